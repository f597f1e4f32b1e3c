package hookweir.net.worker;

/**
 * A token bucket for waits on resting links. At a few calls a second each of them may wait; under load waits would bound the
 * throughput, so there are only so many.
 */
final class RestBudget {
    private static final int MOST_TOKENS = 8;
    private static final double TOKENS_PER_US = 20e-6;

    private double tokens = MOST_TOKENS;
    private long filledUs;

    /** Takes a token if there is one at this time. */
    boolean take(long nowUs) {
        tokens = Math.min(MOST_TOKENS, tokens + Math.max(0, nowUs - filledUs) * TOKENS_PER_US);
        filledUs = nowUs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
