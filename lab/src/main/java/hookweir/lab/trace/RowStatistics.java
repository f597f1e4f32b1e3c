package hookweir.lab.trace;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts what became of each row of a trace: rows = used + ignored + skipped. */
final class RowStatistics {
    private static final int MAX_LOCATIONS = 3;

    /** How many rows were skipped for one reason, and the locations of the first ones. */
    static final class SkippedRows {
        long count;
        final List<String> locations = new ArrayList<>();
    }

    long rows;
    long used;
    long ignored;
    /** Runs of zero duration, which are recorded as 1 ms. */
    long adjusted;
    /** Used rows whose job starts before the job of an earlier row. */
    long outOfOrder;
    private final Map<SkipReason, SkippedRows> skipped = new EnumMap<>(SkipReason.class);
    private long maxStartUs = Long.MIN_VALUE;

    /** Records that the row at the given location yields no job. */
    void recordSkip(SkipReason reason, String location) {
        SkippedRows skippedRows = skipped.computeIfAbsent(reason, key -> new SkippedRows());
        skippedRows.count++;
        if (skippedRows.locations.size() < MAX_LOCATIONS) {
            skippedRows.locations.add(location);
        }
    }

    /** Whether a job's start is before that of an earlier row; remembers the latest start. */
    boolean isOutOfOrder(long startUs) {
        boolean isEarlier = startUs < maxStartUs;
        maxStartUs = Math.max(maxStartUs, startUs);
        return isEarlier;
    }

    /** Records the job start of a used row. */
    void recordStart(long startUs) {
        outOfOrder += isOutOfOrder(startUs) ? 1 : 0;
    }

    /** The duration to record for a run: 1 ms if it is not positive. */
    long normalizeDuration(long durationUs) {
        if (durationUs > 0) {
            return durationUs;
        }
        adjusted++;
        return 1000;
    }

    Map<SkipReason, SkippedRows> skipped() {
        return skipped;
    }

    /** Whether every row is accounted for. */
    boolean isBalanced() {
        return rows == used + ignored + skipped.values().stream().mapToLong(skippedRows -> skippedRows.count).sum();
    }
}
