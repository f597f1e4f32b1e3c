package hookweir.membership;

/**
 * Schedules a scheduler's calls to the list service: random delays with exponential backoff.
 *
 * <p>The service processes the calls of all schedulers in order, including those whose callers have already timed out. If calls arrive
 * faster than it can respond, it spends its time on abandoned calls and answers none in time until the call rate falls. Each scheduler
 * sees only its own calls, so the delays grow with the number of schedulers and with each consecutive failure, and all of them are
 * random. The delay after a failed call is the value that the constants give, times a random factor from 0.5 to 1.5. Does no I/O and reads
 * no clock; all times are in µs.
 */
public final class ListCallPacer {
    /** Schedulers may all start at once, so their first calls are spread over this time per scheduler. */
    static final long START_SPREAD_PER_SCHEDULER_US = 20_000;
    /** Watches may all be lost at once, so they are reopened over this time per scheduler: the cached list stays usable for some seconds. */
    static final long WATCH_SPREAD_PER_SCHEDULER_US = 30_000;
    /** The delay after the first failed call is at least this; {@link #FIRST_DELAY_PER_SCHEDULER_US} per scheduler if that is longer. */
    static final long MIN_FIRST_DELAY_US = 250_000;
    static final long FIRST_DELAY_PER_SCHEDULER_US = 30_000;
    /** Factor by which the delay grows with each consecutive failure. */
    static final double BACKOFF_FACTOR = 1.5;
    /**
     * The upper limit of the delay for up to {@link #SMALL_FLEET_SCHEDULERS} schedulers. Each further scheduler adds
     * {@link #MAX_DELAY_PER_EXTRA_SCHEDULER_US}, up to {@link #MAX_DELAY_US} in all.
     */
    static final long SMALL_FLEET_MAX_DELAY_US = 500_000;
    static final long MAX_DELAY_PER_EXTRA_SCHEDULER_US = 250_000;
    static final int SMALL_FLEET_SCHEDULERS = 5;
    static final long MAX_DELAY_US = 8_000_000;
    /**
     * Mean delay before the next call to an agent on this machine. Frequent calls do it no harm, and updates that it receives once it is
     * back take effect immediately.
     */
    static final long AGENT_DELAY_US = 50_000;

    private final int schedulerCount;
    private final boolean polled;
    private final long maxPollIntervalUs;
    private int consecutiveFailures;

    /**
     * Creates the pacer of one scheduler.
     *
     * @param schedulers number of schedulers that call the list service
     * @param polled true if all schedulers call a shared list service, false if each calls an agent on its own machine
     * @param maxPollIntervalUs a scheduler that has not polled for this long counts as notified of any change; 0 if there is no such rule
     */
    public ListCallPacer(int schedulers, boolean polled, long maxPollIntervalUs) {
        this.schedulerCount = Math.max(1, schedulers);
        this.polled = polled;
        this.maxPollIntervalUs = maxPollIntervalUs;
    }

    /**
     * Returns the delay before the first call of a process.
     *
     * @param uniform a random number from 0 to 1
     */
    public long firstCallDelayUs(double uniform) {
        return polled ? (long) (uniform * spreadUs(START_SPREAD_PER_SCHEDULER_US)) : 0;
    }

    /**
     * Returns the delay before the call that follows a failed one.
     *
     * @param uniform a random number from 0 to 1
     */
    public long retryDelayUs(ListCallFailure failure, double uniform) {
        if (!polled) {
            return (long) (AGENT_DELAY_US * (0.5 + uniform));
        }
        if (failure == ListCallFailure.WATCH_ENDED || failure == ListCallFailure.WATCH_SILENT) {
            return (long) (uniform * spreadUs(WATCH_SPREAD_PER_SCHEDULER_US));
        }
        double firstDelay = Math.max(MIN_FIRST_DELAY_US, FIRST_DELAY_PER_SCHEDULER_US * schedulerCount);
        double maxDelay = SMALL_FLEET_MAX_DELAY_US + MAX_DELAY_PER_EXTRA_SCHEDULER_US * Math.max(0, schedulerCount - SMALL_FLEET_SCHEDULERS);
        double delay = Math.min(Math.min(MAX_DELAY_US, maxDelay), firstDelay * Math.pow(BACKOFF_FACTOR, consecutiveFailures));
        consecutiveFailures++;
        return (long) (delay * (0.5 + uniform));
    }

    /** Resets the backoff: the service answered a call. */
    public void callSucceeded() {
        consecutiveFailures = 0;
    }

    private long spreadUs(long perSchedulerUs) {
        long spread = perSchedulerUs * (schedulerCount - 1);
        return maxPollIntervalUs > 0 ? Math.min(spread, maxPollIntervalUs / 4) : spread;
    }
}
