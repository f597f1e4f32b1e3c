package hookweir.net;

import java.util.Locale;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Logs single events with what they concern: calls to the list service, retries, refusals and closes with their reasons. A token
 * bucket bounds it to {@value #BURST_LINES} lines at once and {@value #LINES_PER_S} a second, so that a storm neither fills a disk nor takes
 * the processor; what is left out is counted. Belongs to the {@link Loop}.
 */
public final class EventLog {
    /** Lines that may be logged at once. */
    static final int BURST_LINES = 200;
    /** Lines a second in the long run. */
    static final int LINES_PER_S = 20;
    private static final double US_PER_S = 1e6;

    private final LongSupplier nowUs;
    private final Invariants invariants;
    private final long startedUs;
    private double tokens = BURST_LINES;
    private long refilledUs;

    /**
     * An empty log.
     *
     * @param nowUs the clock, in µs
     */
    public EventLog(LongSupplier nowUs, Invariants invariants) {
        this.nowUs = nowUs;
        this.invariants = invariants;
        startedUs = nowUs.getAsLong();
        refilledUs = startedUs;
    }

    /** Logs an event, with the seconds since the start; its text is only made where it is logged. */
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
