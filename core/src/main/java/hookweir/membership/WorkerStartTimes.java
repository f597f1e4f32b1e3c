package hookweir.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Start times of workers by this scheduler's own monotonic clock.
 *
 * <p>How much load a newly started worker may get depends on its age, but the timestamps in the list come from other clocks, which may be
 * stepped or wrong by any amount. So a timestamp is clamped to what this scheduler observed itself: a start that it had not seen before
 * can't be in the future, and can't be older than the longest delay of a list. The last {@value #MAX_WORKERS} workers are remembered, so
 * that a worker which returns with its old timestamp, for example after a partition, keeps its age.
 */
public final class WorkerStartTimes {
    /** Maximum number of workers remembered; an evicted one counts as new when it is listed again. */
    static final int MAX_WORKERS = 16_384;
    /** Longest delay of a list, in µs: a start that a list reports for the first time is at most this old. */
    static final long MAX_LIST_DELAY_US = 10_000_000;
    /** Timestamp in the list of a worker that started long ago. */
    private static final long LONG_AGO = 0;

    private record Start(long timestampUs, long startedUs) {
    }

    private final Map<Integer, Start> starts = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Start> eldest) {
            return size() > MAX_WORKERS;
        }
    };

    /**
     * Returns the start time of a worker in µs of this scheduler's clock; 0 for long ago.
     *
     * @param id the worker's id
     * @param timestampUs its start time according to the list, Unix time in µs; 0 for long ago
     * @param nowUs current time of this scheduler's clock
     * @param listHeld true if this scheduler had a list before this one, and so can tell which starts are new
     */
    public long startTimeUs(int id, long timestampUs, long nowUs, boolean listHeld) {
        if (timestampUs == LONG_AGO) {
            starts.remove(id);
            return LONG_AGO;
        }
        Start known = starts.get(id);
        if (known != null && known.timestampUs == timestampUs) {
            return known.startedUs;
        }
        long earliest = listHeld ? nowUs - MAX_LIST_DELAY_US : Long.MIN_VALUE;
        long started = Math.max(earliest, Math.min(timestampUs, nowUs));
        starts.put(id, new Start(timestampUs, started));
        return started;
    }

    /** Returns the number of workers remembered. */
    int size() {
        return starts.size();
    }
}
