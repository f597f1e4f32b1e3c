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

/** System calls on sockets that fail at random under load: the scheduler lives through them, and serves everybody soon after. */
@Timeout(120)
final class SyscallFaultsTest {
    private static final Path ROOT = Path.of("..");
    private static final Path FAULT_LIBRARY_SOURCE = Path.of("src/main/c/syscall_faults.c");
    private static final int FAULTS_START_MS = 4_000;
    private static final int FAULTS_DURATION_MS = 6_000;
    private static final int RECOVERY_MS = 3_000;
    private static final int CLIENTS = 8;
    /** With so many of a thousand some attempt fails. */
    private static final int MIN_VISIBLE_PER_MILLE = 30;
    private static final int LAST_REQUESTS = 20;

    @TempDir
    Path folder;

    private Path compileFaultLibrary() throws IOException, InterruptedException {
        Path library = folder.resolve("syscall_faults.so");
        Process compiler = new ProcessBuilder("cc", "-O2", "-shared", "-fPIC", "-o", library.toString(), FAULT_LIBRARY_SOURCE.toString(), "-ldl").inheritIO().start();
        assertEquals(0, compiler.waitFor(), "the C compiler");
        return library;
    }

    private static Thread startClient(int number, int port, long endMs, AtomicInteger asked) {
        Thread client = new Thread(() -> {
            try {
                for (int i = 0; System.currentTimeMillis() < endMs; i++) {
                    asked.incrementAndGet();
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
        int port = Ports.free();
        Map<String, String> faults = Map.of("LD_PRELOAD", compileFaultLibrary().toString(), "FAULTS_PER_MILLE", Integer.toString(perMille),
            "FAULTS_SEED", Integer.toString(seed), "FAULTS_AFTER_MS", Integer.toString(FAULTS_START_MS), "FAULTS_FOR_MS", Integer.toString(FAULTS_DURATION_MS));
        try (StubWorkerPair workers = new StubWorkerPair(Point.AFTER_202, "none", port, EventSink.NONE); StubListService list = new StubListService(workers, EventSink.NONE)) {
            Files.writeString(folder.resolve("config.json"), Scenario.config(list.port(), list.listJson()));
            long end = System.currentTimeMillis() + FAULTS_START_MS + FAULTS_DURATION_MS;
            SchedulerProcess life = SchedulerProcess.start(ROOT, folder, null, port, 1, false, EventSink.NONE, faults);
            try {
                life.awaitReady();
                AtomicInteger asked = new AtomicInteger();
                List<Thread> clients = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    clients.add(startClient(i, port, end, asked));
                }
                for (Thread client : clients) {
                    client.join();
                }
                Thread.sleep(RECOVERY_MS);
                int served = 0;
                for (int i = 0; i < LAST_REQUESTS; i++) {
                    served += new PausableClient(port, "last-" + i, "live-status", null, EventSink.NONE).awaitOutcome() == PausableClient.Outcome.SERVED ? 1 : 0;
                }
                assertEquals(LAST_REQUESTS, served, "after " + asked + " under faults: " + life.log());
                assertTrue(life.isAlive());
                assertFalse(life.log().contains("BROKEN"), life.log());
                assertTrue(perMille < MIN_VISIBLE_PER_MILLE || life.log().contains(" ended "), "no fault was felt: " + life.log());
            } finally {
                life.destroy();
            }
        }
    }
}
