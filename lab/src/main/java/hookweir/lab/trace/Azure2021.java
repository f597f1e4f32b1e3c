package hookweir.lab.trace;

import java.io.IOException;

/**
 * Reads the functions trace of 2021: header app,func,end_timestamp,duration; times in seconds. The start of a run is its end
 * minus its duration.
 * Source: the publisher's page on AzureFunctionsInvocationTrace2021.
 */
final class Azure2021 implements RowReader {
    static final String HEADER = "app,func,end_timestamp,duration";
    private static final long US_PER_S = 1_000_000;
    private static final int COLUMNS = 4;

    @Override
    public String name() {
        return "azure-functions-2021";
    }

    @Override
    public boolean hasHeader() {
        return true;
    }

    @Override
    public void checkHeader(RowFields header) throws IOException {
        String[] expected = HEADER.split(",");
        for (int i = 0; i < expected.length; i++) {
            if (!header.textOrDefault(i, "").equals(expected[i])) {
                throw new InvalidTraceException(header.location() + ": column " + (i + 1) + " is '" + header.textOrDefault(i, "") + "', not '" + expected[i]
                    + "' as in " + name());
            }
        }
    }

    @Override
    public boolean hasTooFewColumns(int columns) {
        return columns < COLUMNS;
    }

    @Override
    public void readRow(RowFields fields, RowStatistics statistics, TraceJob.Sink sink) throws IOException, RowFields.UnusableRowException {
        String function = fields.text(0) + "/" + fields.text(1);
        long end = fields.micros(2, US_PER_S);
        long duration = fields.micros(3, US_PER_S);
        if (duration < 0 || end < 0) {
            throw new RowFields.UnusableRowException(SkipReason.OUT_OF_RANGE);
        }
        if (end - duration < 0) {
            throw new RowFields.UnusableRowException(SkipReason.BEFORE_TRACE);
        }
        statistics.used++;
        statistics.recordStart(end - duration);
        sink.accept(new TraceJob(end - duration, statistics.normalizeDuration(duration), Hashes.of(function), 0));
    }
}
