package hookweir.lab.lives;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.lab.net.Ports;
import hookweir.lab.record.EventSink;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The scheduler survives random failures of socket system calls under load, and serves every request soon after they end. */
@Timeout(120)
final class SyscallFaultsTest {
    private static final Path ROOT = Path.of("..");
    private static final Path FAULT_LIBRARY_SOURCE = Path.of("src/main/c/syscall_faults.c");
    private static final int FAULTS_START_MS = 4_000;
    private static final int FAULTS_DURATION_MS = 6_000;
    private static final int RECOVERY_MS = 3_000;
    private static final int CLIENTS = 8;
    /** From this failure rate on, some attempt is certain to fail and the log shows it. */
    private static final int MIN_VISIBLE_PER_MILLE = 30;
    private static final int LAST_REQUESTS = 20;

    @TempDir
    Path folder;

    private Path compileFaultLibrary() throws IOException, InterruptedException {
        Path library = folder.resolve("syscall_faults.so");
        Process compiler = new ProcessBuilder("cc", "-O2", "-shared", "-fPIC", "-o", library.toString(), FAULT_LIBRARY_SOURCE.toString(), "-ldl")
            .inheritIO().start();
        assertEquals(0, compiler.waitFor(), "exit code of the C compiler");
        return library;
    }

    private static Thread startClient(int number, int port, long endMs, AtomicInteger requestCount) {
        Thread client = new Thread(() -> {
            try {
                for (int i = 0; System.currentTimeMillis() < endMs; i++) {
                    requestCount.incrementAndGet();
                    new PausableClient(port, "f" + number + "-" + i, "live-status", null, EventSink.NONE).awaitOutcome();
                }
            } catch (IOException | InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        client.setDaemon(true);
        client.start();
        return client;
    }

    @ParameterizedTest
    @CsvSource({"5, 1", "30, 2"})
    void schedulerSurvivesFailingSystemCalls(int perMille, int seed) throws Exception {
        int port = Ports.allocate();
        Map<String, String> faults = Map.of("LD_PRELOAD", compileFaultLibrary().toString(), "FAULTS_PER_MILLE", Integer.toString(perMille),
            "FAULTS_SEED", Integer.toString(seed), "FAULTS_AFTER_MS", Integer.toString(FAULTS_START_MS), "FAULTS_FOR_MS", Integer.toString(FAULTS_DURATION_MS));
        try (StubWorkerPair workers = new StubWorkerPair(Point.AFTER_202, "none", port, EventSink.NONE);
                StubListService listService = new StubListService(workers, EventSink.NONE)) {
            Files.writeString(folder.resolve("config.json"), Scenario.config(listService.port(), listService.listJson()));
            long end = System.currentTimeMillis() + FAULTS_START_MS + FAULTS_DURATION_MS;
            SchedulerProcess scheduler = SchedulerProcess.start(ROOT, folder, null, port, 1, false, EventSink.NONE, faults);
            try {
                scheduler.awaitReady();
                AtomicInteger requestCount = new AtomicInteger();
                List<Thread> clients = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    clients.add(startClient(i, port, end, requestCount));
                }
                for (Thread client : clients) {
                    client.join();
                }
                Thread.sleep(RECOVERY_MS);
                int served = 0;
                for (int i = 0; i < LAST_REQUESTS; i++) {
                    served += new PausableClient(port, "last-" + i, "live-status", null, EventSink.NONE).awaitOutcome()
                        == PausableClient.Outcome.SERVED ? 1 : 0;
                }
                assertEquals(LAST_REQUESTS, served, "after " + requestCount + " requests under faults: " + scheduler.log());
                assertTrue(scheduler.isAlive());
                assertFalse(scheduler.log().contains("BROKEN"), scheduler.log());
                assertTrue(perMille < MIN_VISIBLE_PER_MILLE || scheduler.log().contains(" ended "), "no fault had an effect: " + scheduler.log());
            } finally {
                scheduler.destroy();
            }
        }
    }
}
