package hookweir.net;

import java.util.Locale;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Logs individual events with their details: calls to the list service, retries, rejections and closed connections with their
 * reasons. A token bucket limits it to a burst of {@value #BURST_LINES} lines and {@value #LINES_PER_S} lines per second, so that
 * a flood of events neither fills the disk nor uses up the CPU; dropped lines are counted. Belongs to the {@link Loop}.
 */
public final class EventLog {
    /** The maximum number of lines logged in a burst. */
    static final int BURST_LINES = 200;
    /** The maximum average number of lines per second. */
    static final int LINES_PER_S = 20;
    private static final double US_PER_S = 1e6;

    private final LongSupplier nowUs;
    private final Invariants invariants;
    private final long startedUs;
    private double tokens = BURST_LINES;
    private long refilledUs;

    /**
     * Creates a log with a full token bucket.
     *
     * @param nowUs the clock, in µs
     */
    public EventLog(LongSupplier nowUs, Invariants invariants) {
        this.nowUs = nowUs;
        this.invariants = invariants;
        startedUs = nowUs.getAsLong();
        refilledUs = startedUs;
    }

    /** Logs an event with the seconds since the start; the text is only built if the event is logged. */
    public void log(Supplier<String> text) {
        long now = nowUs.getAsLong();
        tokens = Math.min(BURST_LINES, tokens + (now - refilledUs) * LINES_PER_S / US_PER_S);
        refilledUs = now;
        if (tokens < 1) {
            invariants.count("events not logged");
            return;
        }
        tokens--;
        Log.line(String.format(Locale.ROOT, "+%.3f %s", (now - startedUs) / US_PER_S, text.get()));
    }
}
