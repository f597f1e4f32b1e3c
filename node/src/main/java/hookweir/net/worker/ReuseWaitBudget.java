package hookweir.net.worker;

/**
 * A token bucket that limits waits for the reuse delay of connections. At a few calls a second each of them may wait; under load
 * unlimited waits would bound the throughput.
 */
final class ReuseWaitBudget {
    private static final int MAX_TOKENS = 8;
    private static final double TOKENS_PER_US = 20e-6;

    private double tokens = MAX_TOKENS;
    private long refilledUs;

    /** Takes a token if one is available at this time. */
    boolean tryTake(long nowUs) {
        tokens = Math.min(MAX_TOKENS, tokens + Math.max(0, nowUs - refilledUs) * TOKENS_PER_US);
        refilledUs = nowUs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
