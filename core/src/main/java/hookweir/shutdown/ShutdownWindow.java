package hookweir.shutdown;

/**
 * How long a process may run after SIGTERM before the platform may kill it, by the longest deadline of the settings in force (protocol
 * page, Figures). All times are in µs.
 */
public final class ShutdownWindow {
    /** A longest deadline over this counts as this. */
    static final long MAX_COUNTED_DEADLINE_US = 3_000_000;
    /** SIGKILL follows SIGTERM no sooner than this after the longest deadline has passed. */
    static final long KILL_DELAY_US = 700_000;
    /** Kept free before the earliest SIGKILL, for delivering the signal and writing the last responses. */
    static final long RESPONSE_MARGIN_US = 200_000;

    private ShutdownWindow() {
    }

    /** Returns the time from SIGTERM to the earliest SIGKILL. */
    public static long earliestKillUs(long longestDeadlineUs) {
        return Math.max(0, Math.min(longestDeadlineUs, MAX_COUNTED_DEADLINE_US)) + KILL_DELAY_US;
    }

    /** Returns the time from SIGTERM within which every request needs its response. */
    public static long responseWindowUs(long longestDeadlineUs) {
        return earliestKillUs(longestDeadlineUs) - RESPONSE_MARGIN_US;
    }
}
