package hookweir.lab.trace;

import com.carrotsearch.hppc.LongObjectHashMap;
import com.carrotsearch.hppc.cursors.LongObjectCursor;
import java.io.IOException;

/**
 * The cluster-usage trace of 2011 (format v2), table task_events: no header, 13 columns, times in µs. A run goes from a
 * SCHEDULE to the next end of the same task. Source: Reiss, Wilkes, Hellerstein, "Google cluster-usage traces: format +
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

    /** A run that has started. */
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
    public void readRow(RowFields f, RowStatistics tally, TraceJob.Sink to) throws IOException, RowFields.UnusableRowException {
        long atUs = f.wholeNumber(TIME, 0);
        long job = f.wholeNumber(JOB, 0);
        long task = f.wholeNumber(TASK, 0);
        long event = f.wholeNumber(EVENT, 0);
        long key = Hashes.mix(job);
        long run = Hashes.mix(key ^ task);
        switch ((int) Math.min(event, 9)) {
            case 0, 7, 8 -> tally.ignored++; // SUBMIT, UPDATE_PENDING, UPDATE_RUNNING
            case SCHEDULE -> {
                if (atUs == Long.MAX_VALUE) {
                    throw new RowFields.UnusableRowException(SkipReason.AFTER_TRACE);
                }
                StartedRun before = startedRuns.put(run, new StartedRun(atUs, (int) Math.min(Integer.MAX_VALUE, priority(f)), tally.isOutOfOrder(atUs), f.file(), f.line()));
                if (before != null) {
                    tally.recordSkip(before.startUs == 0 ? SkipReason.BEFORE_TRACE : SkipReason.NO_END, before.location());
                }
            }
            case 2, 3, 4, 5, 6 -> { // EVICT, FAIL, FINISH, KILL, LOST
                if (atUs == Long.MAX_VALUE) {
                    throw new RowFields.UnusableRowException(SkipReason.AFTER_TRACE);
                }
                StartedRun o = startedRuns.remove(run);
                if (o == null) {
                    throw new RowFields.UnusableRowException(atUs == 0 ? SkipReason.BEFORE_TRACE : SkipReason.NO_START);
                }
                if (o.startUs == 0) {
                    tally.recordSkip(SkipReason.BEFORE_TRACE, o.location());
                    throw new RowFields.UnusableRowException(SkipReason.BEFORE_TRACE);
                }
                if (atUs < o.startUs) {
                    tally.recordSkip(SkipReason.OUT_OF_RANGE, o.location());
                    throw new RowFields.UnusableRowException(SkipReason.OUT_OF_RANGE);
                }
                tally.used += 2; // its start and its end
                tally.outOfOrder += o.outOfOrder ? 1 : 0;
                to.accept(new TraceJob(o.startUs, tally.normalizeDuration(atUs - o.startUs), key, o.priority));
            }
            default -> throw new RowFields.UnusableRowException(SkipReason.UNKNOWN_EVENT);
        }
    }

    private static long priority(RowFields f) throws RowFields.UnusableRowException {
        return f.textOrDefault(PRIORITY, "").isEmpty() ? 0 : f.wholeNumber(PRIORITY, 0);
    }

    @Override
    public void finish(RowStatistics tally) {
        for (LongObjectCursor<StartedRun> c : startedRuns) {
            tally.recordSkip(c.value.startUs == 0 ? SkipReason.BEFORE_TRACE : SkipReason.NO_END, c.value.location());
        }
        startedRuns.clear();
    }
}
