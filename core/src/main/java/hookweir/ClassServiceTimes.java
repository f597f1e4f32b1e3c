package hookweir;

import java.util.Arrays;

/** The mean time from sending a job to its result, for each request class; it holds one number for each class of the settings. */
final class ClassServiceTimes {
    /** Indexed by class number; NaN for a class without a result so far. */
    private double[] meanUs = {};

    /** Makes room for this number of classes; what was measured is kept. */
    void setClassCount(int count) {
        int known = meanUs.length;
        if (count > known) {
            meanUs = Arrays.copyOf(meanUs, count);
            Arrays.fill(meanUs, known, count, Double.NaN);
        }
    }

    /** Records a job of this class that returned a result. */
    void record(int requestClass, long elapsedUs) {
        double before = meanUs[requestClass];
        meanUs[requestClass] = Double.isNaN(before) ? elapsedUs : Decay.mean(before, elapsedUs);
    }

    /** Returns the mean of the class, or this value if no job of it has returned a result. */
    double meanUs(int requestClass, double ifUnknown) {
        double mean = meanUs[requestClass];
        return Double.isNaN(mean) ? ifUnknown : mean;
    }

    /** Returns the number of classes for which there is room. */
    int classCount() {
        return meanUs.length;
    }
}
