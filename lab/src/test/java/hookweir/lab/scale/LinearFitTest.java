package hookweir.lab.scale;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Slopes are fitted below the target alone. */
class LinearFitTest {
    @Test
    void fitsOnlyTheSizesBelowTheTarget() {
        List<Row> rows = Stream.of(5, 10, 20, 40).map(workers ->
            new Simulation(Shape.target().withSize(workers, 1, 1).withChangeRates(0, 0).withDuration(1, 3)).run()).toList();
        LinearFit slope = LinearFit.of("cost", "workers", 20, rows, row -> row.shape().workers(),
            row -> row.shape().workers() < 20 ? 3 + 2 * row.shape().workers() : 100);
        assertEquals(2, slope.slope(), 1e-9);
        assertEquals(3, slope.intercept(), 1e-9);
        assertEquals(43, slope.predicted(), 1e-9);
        assertEquals(100, slope.measured());
        assertArrayEquals(new double[] {0, 0, 57, 17}, slope.residuals(), 1e-9);
    }
}
