package hookweir.lab.trace;

import de.siegmar.fastcsv.reader.CsvRecord;
import java.math.BigDecimal;
import java.math.RoundingMode;

/** Parses the values of one row; a value that can't be used is reported with the reason. */
final class RowFields {
    private static final BigDecimal MAX_US = BigDecimal.valueOf(Long.MAX_VALUE);

    /** Thrown for a row that yields no job, with the reason. */
    static final class UnusableRowException extends Exception {
        private static final long serialVersionUID = 1L;
        final SkipReason reason;

        UnusableRowException(SkipReason why) {
            super(why.toString(), null, false, false);
            this.reason = why;
        }
    }

    private final CsvRecord row;
    private final String file;

    RowFields(CsvRecord row, String file) {
        this.row = row;
        this.file = file;
    }

    String location() {
        return file + ":" + line();
    }

    String file() {
        return file;
    }

    long line() {
        return row.getStartingLineNumber();
    }

    int columnCount() {
        return row.getFieldCount();
    }

    /** A value, which must be present. */
    String text(int column) throws UnusableRowException {
        if (column >= row.getFieldCount()) {
            throw new UnusableRowException(SkipReason.MISSING_COLUMN);
        }
        String v = row.getField(column);
        if (!v.isEmpty() && (v.charAt(0) <= ' ' || v.charAt(v.length() - 1) <= ' ')) {
            v = v.strip();
        }
        if (v.isEmpty()) {
            throw new UnusableRowException(SkipReason.MISSING_VALUE);
        }
        return v;
    }

    /** A value, or the default if it is missing or blank. */
    String textOrDefault(int column, String defaultValue) {
        return column < row.getFieldCount() && !row.getField(column).isBlank() ? row.getField(column).strip() : defaultValue;
    }

    /** A whole number that is at least the given minimum. */
    long wholeNumber(int column, long minimum) throws UnusableRowException {
        String v = text(column);
        try {
            long n = Long.parseLong(v);
            if (n < minimum) {
                throw new UnusableRowException(SkipReason.OUT_OF_RANGE);
            }
            return n;
        } catch (NumberFormatException e) {
            throw new UnusableRowException(v.matches("[+-]?\\d+") ? SkipReason.OUT_OF_RANGE : SkipReason.BAD_NUMBER);
        }
    }

    /** A decimal number in the given unit, converted to µs and rounded to the nearest. */
    long micros(int column, long unitUs) throws UnusableRowException {
        String v = text(column);
        try {
            BigDecimal us = new BigDecimal(v).multiply(BigDecimal.valueOf(unitUs)).setScale(0, RoundingMode.HALF_UP);
            if (us.abs().compareTo(MAX_US) > 0) {
                throw new UnusableRowException(SkipReason.OUT_OF_RANGE);
            }
            return us.longValueExact();
        } catch (ArithmeticException | NumberFormatException e) {
            throw new UnusableRowException(SkipReason.BAD_NUMBER);
        }
    }
}
