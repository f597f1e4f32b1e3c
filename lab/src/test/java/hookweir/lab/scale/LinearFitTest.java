package hookweir.lab.scale;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the target and larger sizes do not influence the fit. */
class LinearFitTest {
    @Test
    void fitsOnlyTheSizesBelowTheTarget() {
        List<Row> rows = Stream.of(5, 10, 20, 40).map(workers ->
            new Simulation(Shape.target().withSize(workers, 1, 1).withChangeRates(0, 0).withDuration(1, 3)).run()).toList();
        LinearFit fit = LinearFit.of("cost", "workers", 20, rows, row -> row.shape().workers(),
            row -> row.shape().workers() < 20 ? 3 + 2 * row.shape().workers() : 100);
        assertEquals(2, fit.slope(), 1e-9);
        assertEquals(3, fit.intercept(), 1e-9);
        assertEquals(43, fit.predicted(), 1e-9);
        assertEquals(100, fit.measured());
        assertArrayEquals(new double[] {0, 0, 57, 17}, fit.residuals(), 1e-9);
    }
}
