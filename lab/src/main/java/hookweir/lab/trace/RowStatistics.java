package hookweir.lab.trace;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Where each row of a trace went: rows = used + ignored + all skipped. Nothing vanishes. */
final class RowStatistics {
    private static final int MAX_LOCATIONS = 3;

    /** How often a reason held, and where first. */
    static final class SkippedRows {
        long count;
        final List<String> locations = new ArrayList<>();
    }

    long rows;
    long used;
    long ignored;
    /** Runs of no length, kept at 1 ms. */
    long adjusted;
    /** Used rows whose job starts before one that an earlier row told. */
    long outOfOrder;
    private final Map<SkipReason, SkippedRows> skipped = new EnumMap<>(SkipReason.class);
    private long maxStartUs = Long.MIN_VALUE;

    /** The row at that place gives no job. */
    void recordSkip(SkipReason why, String place) {
        SkippedRows s = skipped.computeIfAbsent(why, w -> new SkippedRows());
        s.count++;
        if (s.locations.size() < MAX_LOCATIONS) {
            s.locations.add(place);
        }
    }

    /** A row tells a job's start: it is before one that an earlier row told. */
    boolean isOutOfOrder(long atUs) {
        boolean late = atUs < maxStartUs;
        maxStartUs = Math.max(maxStartUs, atUs);
        return late;
    }

    /** A used row tells a job's start. */
    void recordStart(long atUs) {
        outOfOrder += isOutOfOrder(atUs) ? 1 : 0;
    }

    /** A run's length as it is kept. */
    long normalizeDuration(long us) {
        if (us > 0) {
            return us;
        }
        adjusted++;
        return 1000;
    }

    Map<SkipReason, SkippedRows> skipped() {
        return skipped;
    }

    /** All rows are accounted for. */
    boolean isBalanced() {
        return rows == used + ignored + skipped.values().stream().mapToLong(s -> s.count).sum();
    }
}
