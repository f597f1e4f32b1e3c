package hookweir.net;

import static hookweir.net.TestNode.ACCEPTED;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A graceful shutdown ends before the earliest SIGKILL, which follows SIGTERM by the longest deadline in force, 3 s at most, and 0.7 s. The
 * scheduler's clock stands still but for the steps of the test.
 */
@Timeout(60)
final class ShortDeadlineShutdownTest {
    private static final long US_PER_MS = 1_000;
    private static final long MAX_COUNTED_DEADLINE_MS = 3_000;
    private static final long KILL_DELAY_MS = 700;
    /** A request that is whole before this may be unanswered at SIGKILL, but not where the process ends by itself. */
    private static final long ARRIVAL_MS = 300;
    private static final long EXIT_STEP_MS = 20;

    @TempDir
    Path folder;

    private static long earliestKillMs(long longestDeadlineMs) {
        return Math.min(longestDeadlineMs, MAX_COUNTED_DEADLINE_MS) + KILL_DELAY_MS;
    }

    private static TestNode start(String semantics, long deadlineMs) throws IOException {
        return TestNode.withFrozenClock(semantics, deadlineMs * US_PER_MS);
    }

    private static void drain(TestNode node) throws InterruptedException {
        node.node.drain();
        node.awaitIoRounds();
    }

    private static void advanceMs(TestNode node, long ms) throws InterruptedException {
        node.advanceInSteps(ms * US_PER_MS);
    }

    /** Sends a job that a worker accepts and never ends. */
    private static Socket sendHungJob(TestNode node, Socket client, String id, long deadlineMs) throws IOException, InterruptedException {
        send(client, job(id, deadlineMs));
        Socket worker = node.workerListener.accept();
        receive(worker);
        send(worker, ACCEPTED);
        node.awaitIoRounds();
        return worker;
    }

    /** Asserts that a response has arrived by now, and returns it. */
    private static String arrivedResponse(Socket client) throws IOException {
        assertTrue(client.getInputStream().available() > 0, "a response before the earliest SIGKILL");
        return receive(client);
    }

    private void reload(TestNode node, long fromDeadlineMs, long toDeadlineMs) throws IOException, InterruptedException {
        reload(node, "\"deadline_us\":" + fromDeadlineMs * US_PER_MS, "\"deadline_us\":" + toDeadlineMs * US_PER_MS);
    }

    private void reload(TestNode node, String replaced, String replacement) throws IOException, InterruptedException {
        Path file = folder.resolve("config.json");
        String config = node.config("127.0.0.1:" + node.listService.getLocalPort());
        assertTrue(config.contains(replaced));
        Files.writeString(file, config.replace(replaced, replacement));
        node.node.reload(Map.of("RELAY_CONFIG", file.toString()));
        node.awaitIoRounds();
        assertEquals(0, node.node.invariants().counted("reloads refused"));
    }

    /** Requests were unanswered at the earliest SIGKILL where the longest deadline is short: the process gave itself 3.5 s in any case. */
    @ParameterizedTest
    @CsvSource({"50, read_like, 429", "300, read_like, 429", "300, non_idempotent, 500", "600, idempotency_key, 429", "1500, read_like, 429",
        "1500, non_idempotent, 500", "3000, read_like, 429", "3000, non_idempotent, 500", "6000, idempotency_key, 429", "6000, non_idempotent, 500"})
    void requestAtAHungWorkerIsAnsweredBeforeTheEarliestSigkill(long deadlineMs, String semantics, int status) throws Exception {
        try (TestNode node = start(semantics, deadlineMs); Socket client = node.connect()) {
            drain(node);
            advanceMs(node, ARRIVAL_MS);
            // A client may wait for longer than its class: that moves no SIGKILL.
            Socket worker = sendHungJob(node, client, "a1", 2 * deadlineMs + KILL_DELAY_MS);
            assertEquals(0, client.getInputStream().available());
            advanceMs(node, earliestKillMs(deadlineMs) - ARRIVAL_MS);
            assertTrue(arrivedResponse(client).startsWith("HTTP/1.1 " + status));
            worker.close();
        }
    }

    /** A reload before the shutdown moves its end, also where the class with the longer deadline is still known by its number. */
    @ParameterizedTest
    @CsvSource({"3000, 500", "500, 3000"})
    void reloadBeforeTheShutdownMovesItsEnd(long before, long after) throws Exception {
        try (TestNode node = start("read_like", before); Socket client = node.connect()) {
            reload(node, before, after);
            drain(node);
            Socket worker = sendHungJob(node, client, "b1", 10_000);
            advanceMs(node, earliestKillMs(after) - 300);
            assertEquals(0, client.getInputStream().available(), "the job still runs");
            advanceMs(node, 300);
            assertTrue(arrivedResponse(client).startsWith("HTTP/1.1 429"));
            worker.close();
        }
    }

    /** A reload during the shutdown leaves less time at most: the platform may have set the SIGKILL by the earlier settings. */
    @ParameterizedTest
    @CsvSource({"3000, 800, 1500", "3000, 100, 800", "800, 3000, 1500"})
    void reloadDuringTheShutdownShortensItAtMost(long before, long after, long expectedKillMs) throws Exception {
        try (TestNode node = start("non_idempotent", before); Socket client = node.connect()) {
            drain(node);
            Socket worker = sendHungJob(node, client, "c1", 10_000);
            advanceMs(node, 300);
            reload(node, before, after);
            advanceMs(node, expectedKillMs - 600);
            assertEquals(0, client.getInputStream().available(), "the job still runs");
            advanceMs(node, 300);
            assertTrue(arrivedResponse(client).startsWith("HTTP/1.1 500"));
            worker.close();
        }
    }

    /** A job that a worker ran for 1.3 s was sent with less time left. What can still end is served. */
    @Test
    void requestThatCanNotEndInTimeIsRefusedAtOnce() throws Exception {
        try (TestNode node = start("non_idempotent", 1_500); Socket client = node.connect()) {
            Socket worker = sendHungJob(node, client, "d1", 1_500);
            advanceMs(node, 1_300);
            node.sendCallback("d1", "s-01", "done");
            assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            drain(node);
            try (Socket early = node.connect()) {
                send(early, job("d2", 1_500));
                assertTrue(receive(worker).contains("Req-Id: d2\r\n"));
                send(worker, ACCEPTED);
                advanceMs(node, 1_200);
                try (Socket late = node.connect()) {
                    send(late, job("d3", 1_500));
                    node.awaitIoRounds();
                    assertTrue(arrivedResponse(late).startsWith("HTTP/1.1 429"));
                }
                node.sendCallback("d2", "s-01", "done");
                assertTrue(receive(early).startsWith("HTTP/1.1 200"));
                assertEquals(2, node.node.invariants().counted("attempts OK"));
            }
            worker.close();
        }
    }

    /** Asserts that the process ends by itself no later than at the earliest SIGKILL. */
    private static void assertEnds(TestNode node, long timeLeftMs) throws InterruptedException {
        for (long left = timeLeftMs; left > 0 && node.loopThread.isAlive(); left -= EXIT_STEP_MS) {
            node.advanceFrozenClock(EXIT_STEP_MS * US_PER_MS);
            node.loopThread.join(EXIT_STEP_MS);
        }
        assertFalse(node.loopThread.isAlive(), "ended before the earliest SIGKILL");
    }

    /**
     * A client that writes slowly is served, or refused while it still writes: the process waited for it beyond the earliest SIGKILL, and a
     * request that became whole in between got no response.
     */
    @ParameterizedTest
    @CsvSource({"30, 50", "30, 300", "110, 300", "110, 1500", "30, 1500"})
    void unfinishedRequestIsRefusedAtTheEnd(int writtenBytes, long deadlineMs) throws Exception {
        try (TestNode node = start("non_idempotent", deadlineMs)) {
            Socket hung = node.connect(); // not in a try block, as the test closes it
            Socket worker = sendHungJob(node, hung, "e0", 10_000);
            drain(node);
            advanceMs(node, earliestKillMs(deadlineMs) - 500);
            try (Socket client = node.connect()) {
                String request = job("e1", deadlineMs);
                send(client, request.substring(0, writtenBytes));
                node.awaitIoRounds();
                advanceMs(node, 400);
                assertTrue(arrivedResponse(client).startsWith("HTTP/1.1 429"));
                send(client, request.substring(writtenBytes)); // goes on writing
                assertEquals(-1, client.getInputStream().read(), "a clean end");
            }
            hung.close();
            worker.close();
            assertEnds(node, 100);
            assertEquals(1, node.node.invariants().counted("requests"));
        }
    }

    /**
     * A connection that has not shown whether it carries a job or a worker's callback may do so until the earliest SIGKILL: a 429 would end the
     * repetition of a callback, which another process may wait for.
     */
    @ParameterizedTest
    @CsvSource({"0, 300", "3, 300", "0, 1500"})
    void connectionThatShowsLateWhatItCarriesIsAnswered(int writtenBytes, long deadlineMs) throws Exception {
        try (TestNode node = start("non_idempotent", deadlineMs)) {
            Socket hung = node.connect(); // not in a try block, as the test closes it
            Socket worker = sendHungJob(node, hung, "h0", 10_000);
            drain(node);
            advanceMs(node, earliestKillMs(deadlineMs) - 400);
            String callback = TestNode.post("/callback", "", "{\"id\":\"h9\",\"from\":\"s-01\",\"state\":\"done\"}");
            try (Socket client = node.connect(); Socket workerCallback = node.connect()) {
                send(client, job("h1", deadlineMs).substring(0, writtenBytes));
                send(workerCallback, callback.substring(0, writtenBytes));
                node.awaitIoRounds();
                advanceMs(node, 360);
                assertEquals(0, client.getInputStream().available() + workerCallback.getInputStream().available());
                send(client, job("h1", deadlineMs).substring(writtenBytes));
                send(workerCallback, callback.substring(writtenBytes));
                node.awaitIoRounds();
                assertTrue(arrivedResponse(client).startsWith("HTTP/1.1 429"));
                assertTrue(arrivedResponse(workerCallback).startsWith("HTTP/1.1 204"));
            }
            hung.close();
            worker.close();
            assertEquals(1, node.node.invariants().counted("attempts CANCELLED"), "the late job was not sent");
        }
    }

    /** The process stayed for an attempt that can't be cancelled until the deadline of its request, although that had its response. */
    @Test
    void processEndsAlthoughAnAttemptCanNotBeCancelled() throws Exception {
        try (TestNode node = start("read_like", 400)) {
            Socket client = node.connect(); // not in a try block, as the test closes it
            reload(node, "\"cancel\":true", "\"cancel\":false");
            Socket worker = sendHungJob(node, client, "f1", 9_000);
            drain(node);
            advanceMs(node, 920);
            assertTrue(arrivedResponse(client).startsWith("HTTP/1.1 429"));
            client.close();
            assertEnds(node, 160);
            worker.close();
        }
    }

    /** A connection without any input kept the process until the next sweep, which could be after the earliest SIGKILL. */
    @ParameterizedTest
    @CsvSource({"300", "1500"})
    void connectionWithOverdueRequestIsClosedAtTheEnd(long deadlineMs) throws Exception {
        try (TestNode node = start("read_like", deadlineMs)) {
            Socket hung = node.connect(); // not in a try block, as the test closes it
            Socket worker = sendHungJob(node, hung, "i0", 10_000);
            drain(node);
            advanceMs(node, earliestKillMs(deadlineMs) - 570);
            try (Socket silent = node.connect()) {
                node.awaitIoRounds();
                advanceMs(node, 460);
                silent.setSoTimeout(1_000);
                assertEquals(-1, silent.getInputStream().read());
            }
            hung.close();
            worker.close();
            assertEnds(node, 110);
        }
    }

    /** Requests that a client sent at once all have their responses, one after the other. */
    @Test
    void requestsThatWaitBehindAHungOneAreRefusedAtTheEnd() throws Exception {
        int waiting = 7;
        try (TestNode node = start("read_like", 400)) {
            Socket client = node.connect(); // not in a try block, as the test closes it
            Socket worker = sendHungJob(node, client, "g0", 9_000);
            for (int i = 1; i <= waiting; i++) {
                send(client, job("g" + i, 9_000));
            }
            drain(node);
            advanceMs(node, 920);
            for (int i = 0; i <= waiting; i++) {
                assertTrue(receive(client).startsWith("HTTP/1.1 429"));
                node.awaitIoRounds();
            }
            assertEquals(-1, client.getInputStream().read());
            client.close();
            assertEnds(node, 160);
            worker.close();
        }
    }
}
