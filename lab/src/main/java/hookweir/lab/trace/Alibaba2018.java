package hookweir.lab.trace;

import java.io.IOException;

/**
 * Reads table batch_task of the cluster trace of 2018: no header, 9 columns, times in seconds. Each row stands for instance_num
 * runs of a task.
 * Source: the publisher's schema file of cluster-trace-v2018.
 */
final class Alibaba2018 implements RowReader {
    private static final int COLUMNS = 9;
    private static final int INSTANCES = 1;
    private static final int JOB = 2;
    private static final int START = 5;
    private static final int END = 6;
    private static final long US_PER_S = 1_000_000;
    private static final long MAX_SECONDS = Long.MAX_VALUE / US_PER_S;
    /** A row with more instances is treated as malformed. */
    private static final long MAX_INSTANCES = 1_000_000;

    @Override
    public String name() {
        return "alibaba-2018";
    }

    @Override
    public boolean hasTooFewColumns(int columns) {
        return columns < COLUMNS;
    }

    @Override
    public void readRow(RowFields fields, RowStatistics statistics, TraceJob.Sink sink) throws IOException, RowFields.UnusableRowException {
        long instances = (long) Math.ceil(fields.micros(INSTANCES, 1));
        String job = fields.text(JOB);
        long start = fields.wholeNumber(START, 0);
        if (start == 0) {
            throw new RowFields.UnusableRowException(SkipReason.BEFORE_TRACE);
        }
        if (fields.textOrDefault(END, "0").equals("0")) {
            throw new RowFields.UnusableRowException(SkipReason.NO_END); // the task is still waiting or running
        }
        long end = fields.wholeNumber(END, 0);
        if (instances < 1 || instances > MAX_INSTANCES || end < start || end > MAX_SECONDS) {
            throw new RowFields.UnusableRowException(SkipReason.OUT_OF_RANGE);
        }
        statistics.used++;
        statistics.recordStart(start * US_PER_S);
        long key = Hashes.of(job);
        for (long i = 0; i < instances; i++) {
            sink.accept(new TraceJob(start * US_PER_S, statistics.normalizeDuration((end - start) * US_PER_S), key, 0));
        }
    }
}
