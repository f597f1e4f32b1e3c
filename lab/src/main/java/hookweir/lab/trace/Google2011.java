package hookweir.lab.trace;

import com.carrotsearch.hppc.LongObjectHashMap;
import com.carrotsearch.hppc.cursors.LongObjectCursor;
import java.io.IOException;

/**
 * Reads table task_events of the cluster-usage trace of 2011 (format v2): no header, 13 columns, times in µs. A run lasts from
 * a SCHEDULE event to the next end event of the same task. Source: Reiss, Wilkes, Hellerstein, "Google cluster-usage traces: format +
 * schema", 2011, revised 2014.
 */
final class Google2011 implements RowReader {
    private static final int COLUMNS = 13;
    private static final int TIME = 0;
    private static final int JOB = 2;
    private static final int TASK = 3;
    private static final int EVENT = 5;
    private static final int PRIORITY = 8;
    private static final int SCHEDULE = 1;

    /** A run that has started and not ended, with the row that started it. */
    private record StartedRun(long startUs, int priority, boolean outOfOrder, String file, long line) {
        String location() {
            return file + ":" + line;
        }
    }

    private final LongObjectHashMap<StartedRun> startedRuns = new LongObjectHashMap<>();

    @Override
    public String name() {
        return "google-2011";
    }

    @Override
    public boolean hasTooFewColumns(int columns) {
        return columns < COLUMNS;
    }

    @Override
    public void readRow(RowFields fields, RowStatistics statistics, TraceJob.Sink sink) throws IOException, RowFields.UnusableRowException {
        long timeUs = fields.wholeNumber(TIME, 0);
        long job = fields.wholeNumber(JOB, 0);
        long task = fields.wholeNumber(TASK, 0);
        long event = fields.wholeNumber(EVENT, 0);
        long key = Hashes.mix(job);
        long run = Hashes.mix(key ^ task);
        switch ((int) Math.min(event, 9)) {
            case 0, 7, 8 -> statistics.ignored++; // SUBMIT, UPDATE_PENDING, UPDATE_RUNNING
            case SCHEDULE -> {
                if (timeUs == Long.MAX_VALUE) {
                    throw new RowFields.UnusableRowException(SkipReason.AFTER_TRACE);
                }
                StartedRun replaced = startedRuns.put(run, new StartedRun(timeUs, (int) Math.min(Integer.MAX_VALUE, priority(fields)),
                    statistics.isOutOfOrder(timeUs), fields.file(), fields.line()));
                if (replaced != null) {
                    statistics.recordSkip(replaced.startUs == 0 ? SkipReason.BEFORE_TRACE : SkipReason.NO_END, replaced.location());
                }
            }
            case 2, 3, 4, 5, 6 -> { // EVICT, FAIL, FINISH, KILL, LOST
                if (timeUs == Long.MAX_VALUE) {
                    throw new RowFields.UnusableRowException(SkipReason.AFTER_TRACE);
                }
                StartedRun started = startedRuns.remove(run);
                if (started == null) {
                    throw new RowFields.UnusableRowException(timeUs == 0 ? SkipReason.BEFORE_TRACE : SkipReason.NO_START);
                }
                if (started.startUs == 0) {
                    statistics.recordSkip(SkipReason.BEFORE_TRACE, started.location());
                    throw new RowFields.UnusableRowException(SkipReason.BEFORE_TRACE);
                }
                if (timeUs < started.startUs) {
                    statistics.recordSkip(SkipReason.OUT_OF_RANGE, started.location());
                    throw new RowFields.UnusableRowException(SkipReason.OUT_OF_RANGE);
                }
                statistics.used += 2; // its start row and its end row
                statistics.outOfOrder += started.outOfOrder ? 1 : 0;
                sink.accept(new TraceJob(started.startUs, statistics.normalizeDuration(timeUs - started.startUs), key, started.priority));
            }
            default -> throw new RowFields.UnusableRowException(SkipReason.UNKNOWN_EVENT);
        }
    }

    private static long priority(RowFields fields) throws RowFields.UnusableRowException {
        return fields.textOrDefault(PRIORITY, "").isEmpty() ? 0 : fields.wholeNumber(PRIORITY, 0);
    }

    @Override
    public void finish(RowStatistics statistics) {
        for (LongObjectCursor<StartedRun> c : startedRuns) {
            statistics.recordSkip(c.value.startUs == 0 ? SkipReason.BEFORE_TRACE : SkipReason.NO_END, c.value.location());
        }
        startedRuns.clear();
    }
}
