package hookweir.lab.lives;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A short soak; runs of fifty seeds and more are started by hand, see docs/acceptance.md. */
@Timeout(180)
final class SoakTest {
    /** The seeds include many idle connections, workers that hang, and series of signals. */
    private static final int FIRST_SEED = 1;
    private static final int SEEDS = 10;

    @TempDir
    Path kept;

    @Test
    void stopsUnderLoadViolateNoRule() throws Exception {
        assertEquals(0, new Soak().with("..", kept.toString(), FIRST_SEED, SEEDS).run());
    }
}
