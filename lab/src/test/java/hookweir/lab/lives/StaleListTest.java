package hookweir.lab.lives;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.lab.check.History;
import hookweir.lab.check.RuleChecker;
import hookweir.lab.net.Ports;
import hookweir.lab.record.Recorder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Incident 1 on a real process: all workers drain while the list service accepts connections but is too overloaded to send the list. Once
 * the update counts as received, no job may be sent to the workers, whether the process had a list before or started from the cached one.
 */
@Timeout(120)
final class StaleListTest {
    private static final Path ROOT = Path.of("..");
    private static final int JOBS = 4;
    /** The update counts as received 6 s after the list service had it; the rest covers the drain grace and the recorder's resolution. */
    private static final long UPDATE_BINDING_MS = 6_500;

    @TempDir
    Path folder;
    private Recorder witness;
    private StubWorkerPair workers;
    private StubListService listService;
    private SchedulerProcess scheduler;
    private int port;

    @BeforeEach
    void setUp() throws IOException {
        port = Ports.allocate();
        witness = new Recorder(folder.resolve("history.jsonl"), Scenario.terms());
        workers = new StubWorkerPair(Point.AFTER_202, "none", port, witness);
        listService = new StubListService(workers, witness);
        Files.writeString(folder.resolve("config.json"), Scenario.config(listService.port(), listService.listJson()));
    }

    @AfterEach
    void tearDown() throws IOException {
        if (scheduler != null) {
            scheduler.destroy();
        }
        workers.close();
        listService.close();
    }

    private void startScheduler(int number) throws IOException, InterruptedException {
        scheduler = SchedulerProcess.start(ROOT, folder, null, port, number, false, witness);
        scheduler.awaitReady();
    }

    /** Sends jobs whose deadline is too short to wait for the list service: each must be rejected without an attempt at a worker. */
    private void assertJobsRejected() throws IOException, InterruptedException {
        for (int i = 0; i < JOBS; i++) {
            assertEquals(PausableClient.Outcome.REFUSED, new PausableClient(port, "late-" + i, "live-status", null, witness).awaitOutcome());
        }
    }

    private void assertNoViolations() throws Exception {
        scheduler.kill();
        witness.finish();
        List<RuleChecker.Violation> breaches = RuleChecker.check(History.read(folder.resolve("history.jsonl")));
        assertTrue(breaches.isEmpty(), breaches.toString());
    }

    @Test
    void processThatLostItsWatchSendsNothingByItsStaleList() throws Exception {
        startScheduler(1);
        assertEquals(PausableClient.Outcome.SERVED, new PausableClient(port, "early", "live-status", null, witness).awaitOutcome());
        listService.drainAllWhileOverloaded();
        Thread.sleep(UPDATE_BINDING_MS);
        assertJobsRejected();
        assertNoViolations();
    }

    @Test
    void restartedProcessSendsNothingByItsCachedList() throws Exception {
        startScheduler(1);
        scheduler.kill();
        listService.drainAllWhileOverloaded();
        startScheduler(2);
        Thread.sleep(UPDATE_BINDING_MS);
        assertJobsRejected();
        assertNoViolations();
    }
}
