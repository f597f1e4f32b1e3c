package hookweir.lab.lives;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A short soak; fifty seeds and more are played by hand, see docs/acceptance.md. */
@Timeout(180)
final class SoakTest {
    /** Among them: crowds, workers that hang, signals in series. */
    private static final int FIRST_SEED = 1;
    private static final int SEEDS = 10;

    @TempDir
    Path kept;

    @Test
    void stopsUnderLoadViolateNoRule() throws Exception {
        assertEquals(0, Soak.of("..", kept.toString(), FIRST_SEED, SEEDS).run());
    }
}
