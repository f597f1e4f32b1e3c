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

/** Reads the files of one trace, plain or gzipped, row by row, and counts what became of every row. */
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

    /** Creates a reader for the files, with a named format or "auto" to detect it from the first row. */
    TraceReader(List<Path> files, String format) throws IOException {
        this.files = files;
        this.format = switch (format) {
            case "auto" -> null;
            case "google-2011" -> new Google2011();
            case "alibaba-2018" -> new Alibaba2018();
            case "azure-functions-2021" -> new Azure2021();
            default -> throw new InvalidTraceException("--format: '" + format + "' is not one of auto, google-2011, alibaba-2018, azure-functions-2021");
        };
    }

    RowStatistics statistics() {
        return statistics;
    }

    /** The name of the format in use. */
    String format() {
        return format.name();
    }

    /** Where a file ends in the middle of a row or of its compressed data, with the reason; null if all files are complete. */
    String truncation() {
        return truncation;
    }

    /** Reads all files; jobs reach the sink in the order of their rows. */
    void read(TraceJob.Sink sink) throws IOException {
        for (Path file : files) {
            readFile(file, sink);
            if (truncation != null) {
                break; // later files would not continue the trace without a gap
            }
        }
        format.finish(statistics);
    }

    /** Remembers the last byte read. */
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

    private void readFile(Path file, TraceJob.Sink sink) throws IOException {
        if (Files.isDirectory(file)) {
            throw new InvalidTraceException(file + ": is a directory; specify the files in it");
        }
        long rowsBefore = statistics.rows;
        boolean headerRead = false;
        String location = file.toString();
        try (InputStream plain = open(file); LastByteInputStream in = new LastByteInputStream(plain);
                CsvReader<CsvRecord> csv = CsvReader.builder().allowMissingFields(true).allowExtraFields(true)
                    .ofCsvRecord(new InputStreamReader(in, StandardCharsets.UTF_8))) {
            CsvRecord pending = null; // a row is processed once the next one is read, as the last row may be truncated
            try {
                for (CsvRecord row : csv) {
                    if (format == null) {
                        format = detectFormat(file, row);
                    }
                    if (format.hasHeader() && !headerRead) {
                        headerRead = true;
                        format.checkHeader(new RowFields(row, file.toString()));
                        continue;
                    }
                    if (pending != null) {
                        readRow(pending, file, sink);
                    }
                    pending = row;
                    location = file + ":" + row.getStartingLineNumber();
                }
                if (pending != null && in.last != '\n' && in.last != '\r' && format.hasTooFewColumns(pending.getFieldCount())) {
                    truncation = location + ": the file is truncated in the middle of a row";
                } else if (pending != null) {
                    readRow(pending, file, sink);
                }
            } catch (UncheckedIOException | CsvParseException e) {
                Throwable cause = e.getCause() == null ? e : e.getCause();
                if (pending != null) {
                    readRow(pending, file, sink); // this row is complete, as the reader had moved on to the next one
                }
                if (!(cause instanceof EOFException || cause instanceof ZipException)) {
                    throw new InvalidTraceException("after " + location + ": " + cause.getMessage());
                }
                truncation = location + ": the compressed file is truncated after this row (" + cause.getMessage() + ")";
            }
        }
        if (statistics.rows == rowsBefore && truncation == null) {
            throw new InvalidTraceException(file + ": contains no rows");
        }
    }

    private void readRow(CsvRecord row, Path file, TraceJob.Sink sink) throws IOException {
        statistics.rows++;
        RowFields fields = new RowFields(row, file.toString());
        try {
            if (format.hasTooFewColumns(fields.columnCount())) {
                throw new RowFields.UnusableRowException(SkipReason.MISSING_COLUMN);
            }
            format.readRow(fields, statistics, sink);
        } catch (RowFields.UnusableRowException e) {
            statistics.recordSkip(e.reason, fields.location());
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
                throw new InvalidTraceException(file + ": invalid gzip data: " + e.getMessage());
            }
        }
        in.mark(LOOK_AHEAD_BYTES);
        int bomBytes = 0;
        for (int i = 0; i < LOOK_AHEAD_BYTES; i++) {
            int b;
            try {
                b = in.read();
            } catch (EOFException | ZipException e) {
                break; // truncated early: the rows before the break are still read
            }
            if (b < 0) {
                break;
            }
            if (b == 0) {
                in.close();
                throw new InvalidTraceException(file + ": is not a text file (zero byte at offset " + i + ")");
            }
            bomBytes |= i == 0 && b == 0xef || i == 1 && b == 0xbb || i == 2 && b == 0xbf ? 1 << i : 0;
        }
        in.reset();
        if (bomBytes == 0b111) {
            in.skipNBytes(3); // skips the byte-order mark
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
        throw new InvalidTraceException(file + ":" + row.getStartingLineNumber() + ": the row matches no known format (" + row.getFieldCount()
            + " columns); specify one with --format");
    }
}
