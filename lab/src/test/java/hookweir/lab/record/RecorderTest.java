package hookweir.lab.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.check.History;
import hookweir.lab.check.HistoryReader;
import hookweir.lab.check.RuleChecker;
import hookweir.lab.check.RuleLimits;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A recording is read back unchanged, or is known to be incomplete. */
@Timeout(30)
final class RecorderTest {
    private static final RuleLimits LIMITS = new RuleLimits(true, Set.of("billing-post"),
        Map.of("load-order", new RuleLimits.KeyedClass(RuleLimits.Scope.ZONE, 40_000)),
        3, 250, 50, 6000, 700, 3700, 3, 1000, 20);

    @TempDir
    Path folder;

    /** Blocks writes until the gate opens, and fails as a full disk does beyond its capacity. */
    private static final class GatedWriter extends Writer {
        private final CountDownLatch gate;
        private final int capacityChars;
        private int writtenChars;

        GatedWriter(CountDownLatch gate, int capacityChars) {
            this.gate = gate;
            this.capacityChars = capacityChars;
        }

        @Override
        public void write(char[] c, int off, int len) throws IOException {
            try {
                gate.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            writtenChars += len;
            if (writtenChars > capacityChars) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        public void flush() {
            // writes are not buffered
        }

        @Override
        public void close() {
            // holds no resource
        }
    }

    @Test
    void everyEventTypeIsReadBackUnchanged() throws IOException {
        List<Event> observed = new ArrayList<>(List.of(Event.location("s-1", "a", 3), Event.ask("q\"1", "n/1", "billing-post", 900, "5f"),
            Event.of(Type.ATTEMPT, "q\"1", "s-1", "n/1").checksum("5f"), Event.of(Type.STARTED, "q\"1", "s-1", ""),
            Event.end("q\"1", "s-1", "done", "r\u00e9s\n"), Event.of(Type.CALL, "q\"1", "s-1", "").number(204),
            Event.of(Type.ANSWER, "q\"1", "", "").withResponse(429, "").retryAfter("0.5"), Event.cut("q\"1", true),
            Event.of(Type.CANCEL, "q\"1", "s-1", ""), Event.of(Type.GONE, "q\"1", "", ""), Event.of(Type.DRAIN, "", "s-1", "n/1").notified(false),
            Event.of(Type.SERVING, "", "s-1", "n/1"), Event.of(Type.CAPACITY, "", "s-1", "").number(2.5), Event.of(Type.WARM, "", "s-1", ""),
            Event.of(Type.LIFE, "", "", "n/1").how("start"), Event.of(Type.AGAIN, "q\"1", "", "n/1")));
        Path file = folder.resolve("h.jsonl");
        try (Recorder r = new Recorder(file, LIMITS)) {
            observed.forEach(r::accept);
        }
        History h = History.read(file);
        assertEquals(LIMITS, h.limits());
        observed.add(Event.of(Type.CLOSE, "", "", ""));
        assertEquals(observed.stream().map(e -> e.at(0)).toList(), h.events().stream().map(e -> new Event(0, 0, e.type(), e.id(), e.worker(),
            e.scheduler(), e.kind(), e.how(), e.text(), e.checksum(), e.zone(), e.number(), 0, e.notified(), e.reused(), e.retryAfter())).toList());
    }

    /** With concurrent threads, recorded time never goes back and no event is missing. */
    @Test
    void concurrentEventsFormOneOrderedHistory() throws Exception {
        Path file = folder.resolve("h.jsonl");
        try (Recorder r = new Recorder(file, LIMITS)) {
            List<Thread> threads = new ArrayList<>();
            for (int t = 0; t < 4; t++) {
                String name = "t" + t + "-";
                threads.add(new Thread(() -> {
                    for (int i = 0; i < 5000; i++) {
                        r.accept(Event.ask(name + i, "n", "k", 60_000, ""));
                        r.accept(Event.of(Type.GONE, name + i, "", ""));
                    }
                }));
            }
            threads.forEach(Thread::start);
            for (Thread t : threads) {
                t.join();
            }
        }
        try (HistoryReader in = HistoryReader.open(file)) {
            RuleChecker c = RuleChecker.check("h", in);
            assertEquals(0, c.violationCount());
            assertEquals(40_001, c.eventCount());
        }
    }

    @Test
    void unwritablePathFailsImmediately() {
        IOException e = assertThrows(IOException.class, () -> new Recorder(folder.resolve("missing/h.jsonl"), LIMITS));
        assertTrue(e.getMessage().startsWith("--record ") && e.getMessage().contains("can't be written"), e.getMessage());
    }

    /** A full disk is reported; the part written before it can't be taken for a complete history. */
    @Test
    void fullDiskInvalidatesTheRecording() throws Exception {
        Writer full = new GatedWriter(new CountDownLatch(0), 600);
        Recorder r = new Recorder(folder.resolve("h.jsonl"), full, LIMITS, 1000);
        while (r.failure() == null) {
            r.accept(Event.of(Type.WARM, "", "s-1", ""));
            Thread.sleep(1);
        }
        r.close();
        assertTrue(r.failure().contains("No space left"), r.failure());
    }

    /** The first event beyond the limit of pending events ends the recording, but not the run. */
    @Test
    void slowWriterInvalidatesTheRecording() throws Exception {
        CountDownLatch gate = new CountDownLatch(1);
        Recorder r = new Recorder(folder.resolve("h.jsonl"), new GatedWriter(gate, 1 << 20), LIMITS, 8);
        for (int i = 0; i < 8 + 8 + 1 && r.failure() == null; i++) {
            r.accept(Event.of(Type.WARM, "", "s-1", ""));
        }
        assertNotNull(r.failure());
        assertTrue(r.failure().startsWith("fell behind by 8 events"), r.failure());
        gate.countDown();
        r.close();
    }

    @Test
    void recordingWithoutCloseIsRejected() throws IOException {
        Path file = folder.resolve("h.jsonl");
        try (Recorder r = new Recorder(file, LIMITS)) {
            r.accept(Event.of(Type.WARM, "", "s-1", ""));
            assertNull(r.failure());
        }
        List<String> lines = Files.readAllLines(file);
        Files.write(file, lines.subList(0, lines.size() - 1));
        IOException e = assertThrows(IOException.class, () -> History.read(file));
        assertTrue(e.getMessage().endsWith(":2: ends without its close: the recording was cut off"), e.getMessage());
    }
}
