package hookweir.lab.trace;

import de.siegmar.fastcsv.reader.CsvParseException;
import de.siegmar.fastcsv.reader.CsvReader;
import de.siegmar.fastcsv.reader.CsvRecord;
import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.ZipException;

/** Reads the files of one trace, plain or gzipped, row by row, and accounts for every row. */
final class TraceReader {
    private static final int LOOK_AHEAD_BYTES = 8192;
    private static final int GZIP_MAGIC_1 = 0x1f;
    private static final int GZIP_MAGIC_2 = 0x8b;
    private static final int GOOGLE_COLUMNS = 13;
    private static final int ALIBABA_COLUMNS = 9;

    private final List<Path> files;
    private final RowStatistics statistics = new RowStatistics();
    private RowReader format;
    private String truncation;

    /** Reads these files; the format by its name, or "auto" for the one that the first row has. */
    TraceReader(List<Path> files, String format) throws IOException {
        this.files = files;
        this.format = switch (format) {
            case "auto" -> null;
            case "google-2011" -> new Google2011();
            case "alibaba-2018" -> new Alibaba2018();
            case "azure-functions-2021" -> new Azure2021();
            default -> throw new InvalidTraceException("--format: '" + format + "' is none of auto, google-2011, alibaba-2018, azure-functions-2021");
        };
    }

    RowStatistics statistics() {
        return statistics;
    }

    /** The format taken. */
    String format() {
        return format.name();
    }

    /** Where a file broke off in the midst of a row or of its compression, with the reason; null where none did. */
    String truncation() {
        return truncation;
    }

    /** Reads all; jobs go on in the order in which their rows tell them. */
    void read(TraceJob.Sink to) throws IOException {
        for (Path f : files) {
            readFile(f, to);
            if (truncation != null) {
                break; // what follows would not be the same trace
            }
        }
        format.finish(statistics);
    }

    /** Remembers the last byte that was read. */
    private static final class LastByteInputStream extends FilterInputStream {
        private int last = '\n';

        LastByteInputStream(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] b, int off, int len) throws IOException {
            int n = super.read(b, off, len);
            if (n > 0) {
                last = b[off + n - 1];
            }
            return n;
        }
    }

    private void readFile(Path file, TraceJob.Sink to) throws IOException {
        if (Files.isDirectory(file)) {
            throw new InvalidTraceException(file + ": is a directory; name the files in it");
        }
        long before = statistics.rows;
        boolean header = false;
        String place = file.toString();
        try (InputStream plain = open(file); LastByteInputStream in = new LastByteInputStream(plain);
                CsvReader<CsvRecord> csv = CsvReader.builder().allowMissingFields(true).allowExtraFields(true)
                    .ofCsvRecord(new InputStreamReader(in, StandardCharsets.UTF_8))) {
            CsvRecord held = null; // the last row is known to be the last only when there is none after it
            try {
                for (CsvRecord row : csv) {
                    if (format == null) {
                        format = detectFormat(file, row);
                    }
                    if (format.hasHeader() && !header) {
                        header = true;
                        format.checkHeader(new RowFields(row, file.toString()));
                        continue;
                    }
                    if (held != null) {
                        readRow(held, file, to);
                    }
                    held = row;
                    place = file + ":" + row.getStartingLineNumber();
                }
                if (held != null && in.last != '\n' && in.last != '\r' && format.hasTooFewColumns(held.getFieldCount())) {
                    truncation = place + ": the file breaks off in the midst of a row";
                } else if (held != null) {
                    readRow(held, file, to);
                }
            } catch (UncheckedIOException | CsvParseException e) {
                Throwable why = e.getCause() == null ? e : e.getCause();
                if (held != null) {
                    readRow(held, file, to); // whole, as another began after it
                }
                if (!(why instanceof EOFException || why instanceof ZipException)) {
                    throw new InvalidTraceException("after " + place + ": " + why.getMessage());
                }
                truncation = place + ": the compressed file breaks off after this row (" + why.getMessage() + ")";
            }
        }
        if (statistics.rows == before && truncation == null) {
            throw new InvalidTraceException(file + ": holds no rows");
        }
    }

    private void readRow(CsvRecord row, Path file, TraceJob.Sink to) throws IOException {
        statistics.rows++;
        RowFields f = new RowFields(row, file.toString());
        try {
            if (format.hasTooFewColumns(f.columnCount())) {
                throw new RowFields.UnusableRowException(SkipReason.MISSING_COLUMN);
            }
            format.readRow(f, statistics, to);
        } catch (RowFields.UnusableRowException e) {
            statistics.recordSkip(e.reason, f.location());
        }
    }

    private static InputStream open(Path file) throws IOException {
        InputStream in = new BufferedInputStream(Files.newInputStream(file), 1 << 16);
        in.mark(2);
        boolean zipped = in.read() == GZIP_MAGIC_1 && in.read() == GZIP_MAGIC_2;
        in.reset();
        if (zipped) {
            try {
                in = new BufferedInputStream(new GZIPInputStream(in, 1 << 16), 1 << 16);
            } catch (IOException e) {
                in.close();
                throw new InvalidTraceException(file + ": its compression is broken: " + e.getMessage());
            }
        }
        in.mark(LOOK_AHEAD_BYTES);
        int marks = 0;
        for (int i = 0; i < LOOK_AHEAD_BYTES; i++) {
            int b;
            try {
                b = in.read();
            } catch (EOFException | ZipException e) {
                break; // broken off early: the rows before that are read all the same
            }
            if (b < 0) {
                break;
            }
            if (b == 0) {
                in.close();
                throw new InvalidTraceException(file + ": is no text (a zero byte at " + i + ")");
            }
            marks |= i == 0 && b == 0xef || i == 1 && b == 0xbb || i == 2 && b == 0xbf ? 1 << i : 0;
        }
        in.reset();
        if (marks == 0b111) {
            in.skipNBytes(3); // the byte-order mark
        }
        return in;
    }

    private static RowReader detectFormat(Path file, CsvRecord row) throws InvalidTraceException {
        String first = String.join(",", row.getFields());
        if (first.equals(Azure2021.HEADER)) {
            return new Azure2021();
        }
        if (row.getFieldCount() == GOOGLE_COLUMNS && row.getField(0).matches("\\d+")) {
            return new Google2011();
        }
        if (row.getFieldCount() == ALIBABA_COLUMNS) {
            return new Alibaba2018();
        }
        throw new InvalidTraceException(file + ":" + row.getStartingLineNumber() + ": no known format has such a row (" + row.getFieldCount()
            + " columns); name one by --format");
    }
}
