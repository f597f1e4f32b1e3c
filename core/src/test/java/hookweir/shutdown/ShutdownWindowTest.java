package hookweir.shutdown;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ShutdownWindowTest {
    /** The window was 3.5 s whatever the settings said: with short deadlines SIGKILL found requests unanswered. */
    @ParameterizedTest
    @CsvSource({"0, 700000", "50000, 750000", "600000, 1300000", "1500000, 2200000", "3000000, 3700000", "3000001, 3700000", "60000000, 3700000"})
    void earliestKillFollowsFromTheLongestDeadline(long longestDeadlineUs, long expectedUs) {
        assertEquals(expectedUs, ShutdownWindow.earliestKillUs(longestDeadlineUs));
        assertEquals(expectedUs - 200_000, ShutdownWindow.responseWindowUs(longestDeadlineUs));
    }
}
