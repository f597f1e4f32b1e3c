package hookweir.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When workers started, by this scheduler's own monotonic clock. The list's stamps come from other clocks, which may be stepped or
 * wrong by any amount, and how much a worker that has just started may be sent depends on its age. So a stamp is only believed as far
 * as it fits what this scheduler saw itself: a start that it did not know of can't be yet to come, and can't be older than lists are
 * late. Remembers the last {@value #MAX_WORKERS} workers, so that one that returns with its old stamp, as after a partition, keeps its age.
 */
public final class WorkerStartTimes {
    /** Workers that are remembered; whoever is forgotten counts as new when it is listed again. */
    static final int MAX_WORKERS = 16_384;
    /** A start that a list tells of for the first time lies at most so far back, in µs: so late may lists be. */
    static final long MAX_LIST_DELAY_US = 10_000_000;
    /** The list's stamp of a worker that started long ago. */
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
     * When a worker started, in µs of this scheduler's clock; 0 for long ago.
     *
     * @param id the worker
     * @param stampUs its start by the list, Unix time in µs; 0 for long ago
     * @param nowUs this scheduler's clock
     * @param listHeld this scheduler held a list before this one, so that it knows which starts are new
     */
    public long startTimeUs(int id, long stampUs, long nowUs, boolean listHeld) {
        if (stampUs == LONG_AGO) {
            starts.remove(id);
            return LONG_AGO;
        }
        Start known = starts.get(id);
        if (known != null && known.timestampUs == stampUs) {
            return known.startedUs;
        }
        long earliest = listHeld ? nowUs - MAX_LIST_DELAY_US : Long.MIN_VALUE;
        long started = Math.max(earliest, Math.min(stampUs, nowUs));
        starts.put(id, new Start(stampUs, started));
        return started;
    }

    /** Workers that are remembered now. */
    int size() {
        return starts.size();
    }
}
