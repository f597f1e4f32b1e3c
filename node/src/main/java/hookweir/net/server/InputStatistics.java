package hookweir.net.server;

import java.util.Locale;

/** What became of the input of one connection, for the log: how much was discarded, and how long reading was paused. Belongs to the loop. */
final class InputStatistics {
    private static final long US_PER_MS = 1_000;

    private long discardedBytes;
    private long pausedUs;
    /** Since when reading has been paused; 0 if it is not. */
    private long pausedSinceUs;
    private ReadPause lastPause;

    /** Input was read and not used. */
    void discarded(int bytes) {
        discardedBytes += bytes;
    }

    /** Reading was paused, for another reason if it was paused before. */
    void paused(ReadPause reason, long nowUs) {
        lastPause = reason;
        pausedSinceUs = isPaused() ? pausedSinceUs : nowUs;
    }

    private boolean isPaused() {
        return pausedSinceUs != 0;
    }

    /** Reading was resumed. */
    void resumed(long nowUs) {
        pausedUs += isPaused() ? nowUs - pausedSinceUs : 0;
        pausedSinceUs = 0;
    }

    /** Describes the input; the caller knows the bytes that were read and not parsed yet. */
    String describe(long nowUs, int unparsedBytes) {
        long totalUs = pausedUs + (isPaused() ? nowUs - pausedSinceUs : 0);
        return String.format(Locale.ROOT, "input: %d bytes unparsed, %d discarded, reading paused for %d ms%s", unparsedBytes, discardedBytes,
            totalUs / US_PER_MS, lastPause == null ? "" : ", last " + lastPause);
    }
}
