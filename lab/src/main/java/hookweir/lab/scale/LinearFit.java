package hookweir.lab.scale;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A least-squares fit of a cost as a linear function of a size. Only sizes below the target are fitted, so that the value that the
 * line predicts for the target can be compared with the value measured there.
 *
 * @param cost name of the fitted cost
 * @param against name of the size
 * @param x the sizes, ascending
 * @param y the cost measured at each size
 * @param target the size for which the cost is predicted
 * @param rSquare coefficient of determination of the fit
 * @param residuals measured minus fitted cost at each size, including the target and the sizes above it
 * @param predicted fitted cost at the target
 * @param measured measured cost at the target, NaN if the target is not among the sizes
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

    /** Returns the fitted cost at this size. */
    double valueAt(double size) {
        return intercept + slope * size;
    }
}
