package hookweir.lab.scale;

import java.util.Arrays;
import org.apache.commons.math3.stat.descriptive.rank.Percentile;

/** A collection of values that gives their percentiles. */
final class Samples {
    private double[] values = new double[64];
    private int count;

    void add(double value) {
        if (count == values.length) {
            values = Arrays.copyOf(values, 2 * count);
        }
        values[count++] = value;
    }

    /** Removes all values. */
    void clear() {
        count = 0;
    }

    int count() {
        return count;
    }

    /** Returns this percentile of the values, or 0 if there are none. */
    double percentile(double percent) {
        return count == 0 ? 0 : new Percentile(percent).evaluate(Arrays.copyOf(values, count));
    }
}
