package hookweir.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** While clients send what they should not, usual ones get their results in time, and the process keeps its memory. Longer: lab misuse. */
@Timeout(60)
final class MisuseTest {
    private static final int WORKERS = 5;
    private static final int SERVICE_MS = 20;
    private static final int DEADLINE_MS = 1_000;
    private static final int DESCRIPTORS = 1_024;
    private static final double SECONDS = 3;
    /** The heap of deploy/balancer.toml and what a JVM may be told beside it. */
    private static final double MAX_RESIDENT_MB = 48 + 64;

    @ParameterizedTest
    @CsvSource({"LATE_JOBS,1", "NEW_NAMES,1", "GARBAGE,1", "CALLBACKS,1", "INPUT_BEHIND_JOB,1", "HALF_BODY,300", "SHORT_FIELDS,300", "TOO_MANY_FIELDS,300"})
    void usualClientsAreServedInTime(Misuse misuse, int clients) throws Exception {
        int processor = Runtime.getRuntime().availableProcessors() - 1;
        LoadTestHarness.Config config = new LoadTestHarness.Config("..", processor, WORKERS, SERVICE_MS, 2, DEADLINE_MS / 2, DESCRIPTORS, "pull",
            "", false, null);
        try (LoadTestHarness harness = new LoadTestHarness(config)) {
            MisuseRun.Result result = MisuseRun.run(harness, misuse, clients, DEADLINE_MS, SECONDS);
            assertEquals(0, result.unanswered(), result::toString);
            assertTrue(result.worstMs() <= DEADLINE_MS, result::toString);
            assertTrue(result.step().residentMb() <= MAX_RESIDENT_MB, result::toString);
        }
    }
}
