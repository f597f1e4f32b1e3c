package hookweir;

/**
 * A pseudo-random number generator (SplitMix64; Steele, Lea and Flood 2014). It is implemented here rather than taken from a library,
 * because replaying a recording requires the same sequence for a seed in every version.
 */
final class SplitMix {
    private static final long INCREMENT = 0x9e3779b97f4a7c15L;
    private static final int DROPPED_BITS = 11;
    private static final double TWO_TO_MINUS_53 = 0x1.0p-53;

    private long state;

    SplitMix(long seed) {
        state = seed;
    }

    /** Returns the next number, uniformly distributed in [0, 1). */
    double uniform() {
        state += INCREMENT;
        return (mix(state) >>> DROPPED_BITS) * TWO_TO_MINUS_53;
    }

    /** Hashes a value; each input bit affects about half of the output bits. */
    static long mix(long value) {
        long hash = value + INCREMENT;
        hash = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ hash >>> 27) * 0x94d049bb133111ebL;
        return hash ^ hash >>> 31;
    }
}
