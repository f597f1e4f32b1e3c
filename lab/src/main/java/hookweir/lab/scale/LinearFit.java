package hookweir.lab.scale;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A cost against a size, fitted by least squares to the sizes below the target and held against what was measured there.
 *
 * @param cost what is fitted
 * @param against the size
 * @param x sizes, ascending
 * @param y costs there
 * @param target the size that is predicted
 * @param rSquare of the fit
 * @param residuals measured less fitted, at each size, those from the target on included
 * @param predicted at the target
 * @param measured at the target
 */
record LinearFit(String cost, String against, double[] x, double[] y, double target, double intercept, double slope, double slopeError, double rSquare,
        double[] residuals, double predicted, double measured) {
    static LinearFit of(String cost, String against, double target, List<Row> rows, ToDoubleFunction<Row> size, ToDoubleFunction<Row> value) {
        SimpleRegression fit = new SimpleRegression();
        double measured = Double.NaN;
        for (Row row : rows) {
            double at = size.applyAsDouble(row);
            if (at < target) {
                fit.addData(at, value.applyAsDouble(row));
            }
            measured = at == target ? value.applyAsDouble(row) : measured;
        }
        double[] x = rows.stream().mapToDouble(size).toArray();
        double[] y = rows.stream().mapToDouble(value).toArray();
        double[] residuals = new double[x.length];
        for (int i = 0; i < x.length; i++) {
            residuals[i] = y[i] - fit.predict(x[i]);
        }
        return new LinearFit(cost, against, x, y, target, fit.getIntercept(), fit.getSlope(), fit.getSlopeStdErr(), fit.getRSquare(), residuals,
            fit.predict(target), measured);
    }

    /** The fitted line. */
    double valueAt(double size) {
        return intercept + slope * size;
    }
}
