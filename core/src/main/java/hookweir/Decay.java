package hookweir;

/** Exponential smoothing of measured values, and their decay with age. */
final class Decay {
    /** Weight of a sample in a running mean; large enough for schedulers that get only one request per second. */
    static final double GAIN = 0.05;
    /** A sample counts as at most this many times the mean, so that one heavy job does not move the mean far. */
    private static final double MAX_SAMPLE_TO_MEAN = 4;

    private Decay() {
    }

    /** Returns the running mean after one more sample. */
    static double mean(double old, double sample) {
        return old + GAIN * (Math.min(sample, MAX_SAMPLE_TO_MEAN * old) - old);
    }

    /** Decays from 1 towards 0 like exp(-age / scale), but is cheaper, as each selection evaluates it for each worker. */
    static double fade(long age, double scale) {
        double x = age <= 0 ? 0 : age / scale;
        return 1 / (1 + x + x * x / 2);
    }
}
