package hookweir.lab.trace;

import java.io.IOException;

/**
 * The functions trace of 2021: a header app,func,end_timestamp,duration; seconds. A run starts at its end less its duration.
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
    public void checkHeader(RowFields names) throws IOException {
        String[] want = HEADER.split(",");
        for (int i = 0; i < want.length; i++) {
            if (!names.textOrDefault(i, "").equals(want[i])) {
                throw new InvalidTraceException(names.location() + ": column " + (i + 1) + " is '" + names.textOrDefault(i, "") + "', not '" + want[i] + "' as in " + name());
            }
        }
    }

    @Override
    public boolean hasTooFewColumns(int columns) {
        return columns < COLUMNS;
    }

    @Override
    public void readRow(RowFields f, RowStatistics tally, TraceJob.Sink to) throws IOException, RowFields.UnusableRowException {
        String function = f.text(0) + "/" + f.text(1);
        long end = f.micros(2, US_PER_S);
        long duration = f.micros(3, US_PER_S);
        if (duration < 0 || end < 0) {
            throw new RowFields.UnusableRowException(SkipReason.OUT_OF_RANGE);
        }
        if (end - duration < 0) {
            throw new RowFields.UnusableRowException(SkipReason.BEFORE_TRACE);
        }
        tally.used++;
        tally.recordStart(end - duration);
        to.accept(new TraceJob(end - duration, tally.normalizeDuration(duration), Hashes.of(function), 0));
    }
}
