package hookweir.membership;

/**
 * When a scheduler calls the list service again. The service works through the calls of all schedulers in turn, those too whose
 * callers have given up, so calls that come faster than it answers keep it busy with what nobody waits for: none is answered then
 * until the calls get fewer. Each scheduler knows only its own calls, so the pauses grow with the number of schedulers and with
 * each further call that fails, and all are drawn at random. No I/O, no clock; times in µs.
 */
public final class ListCallPacer {
    /** First calls of processes that may all have started at once are spread over so much for each scheduler. */
    static final long START_SPREAD_PER_SCHEDULER_US = 20_000;
    /** The same for watches that may all have been lost at once: the list as held does for some seconds. */
    static final long WATCH_SPREAD_PER_SCHEDULER_US = 30_000;
    /** The first pause after a failed call: so much, or for each scheduler so much. */
    static final long MIN_FIRST_DELAY_US = 250_000;
    static final long FIRST_DELAY_PER_SCHEDULER_US = 30_000;
    /** By so much each further pause is longer than the one before. */
    static final double BACKOFF_FACTOR = 1.5;
    /** The longest pause is so much, and so much more for each scheduler beyond a few, but no more than the most. */
    static final long SMALL_FLEET_MAX_DELAY_US = 500_000;
    static final long MAX_DELAY_PER_EXTRA_SCHEDULER_US = 250_000;
    static final int SMALL_FLEET_SCHEDULERS = 5;
    static final long MAX_DELAY_US = 8_000_000;
    /** An agent on this machine is asked without harm; what it hears when it is back counts at once. */
    static final long AGENT_DELAY_US = 50_000;

    private final int schedulerCount;
    private final boolean polled;
    private final long pollWithinUs;
    private int consecutiveFailures;

    /**
     * A pacer for one of so many schedulers.
     *
     * @param asked the list service is asked by all; else an agent on this machine
     * @param askWithinUs a scheduler that has not asked for so long counts as told; 0: no such rule
     */
    public ListCallPacer(int schedulers, boolean asked, long askWithinUs) {
        this.schedulerCount = Math.max(1, schedulers);
        this.polled = asked;
        this.pollWithinUs = askWithinUs;
    }

    /** The pause before the first call of a process; uniform is a random number from 0 to 1. */
    public long firstCallDelayUs(double uniform) {
        return polled ? (long) (uniform * spreadUs(START_SPREAD_PER_SCHEDULER_US)) : 0;
    }

    /** The pause before the call that follows one that failed. */
    public long retryDelayUs(ListCallFailure failure, double uniform) {
        if (!polled) {
            return (long) (AGENT_DELAY_US * (0.5 + uniform));
        }
        if (failure == ListCallFailure.WATCH_ENDED || failure == ListCallFailure.WATCH_SILENT) {
            return (long) (uniform * spreadUs(WATCH_SPREAD_PER_SCHEDULER_US));
        }
        double first = Math.max(MIN_FIRST_DELAY_US, FIRST_DELAY_PER_SCHEDULER_US * schedulerCount);
        double longest = SMALL_FLEET_MAX_DELAY_US + MAX_DELAY_PER_EXTRA_SCHEDULER_US * Math.max(0, schedulerCount - SMALL_FLEET_SCHEDULERS);
        double pause = Math.min(Math.min(MAX_DELAY_US, longest), first * Math.pow(BACKOFF_FACTOR, consecutiveFailures));
        consecutiveFailures++;
        return (long) (pause * (0.5 + uniform));
    }

    /** The service answered a call. */
    public void callSucceeded() {
        consecutiveFailures = 0;
    }

    private long spreadUs(long eachUs) {
        long spread = eachUs * (schedulerCount - 1);
        return pollWithinUs > 0 ? Math.min(spread, pollWithinUs / 4) : spread;
    }
}
