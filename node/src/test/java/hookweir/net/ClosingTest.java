package hookweir.net;

import static hookweir.net.TestNode.TAKEN;
import static hookweir.net.TestNode.hear;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.say;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Bytes that come in the very moment in which the scheduler ends a connection. Where it closes over them, the system resets
 * the connection, and what was written before goes with it: {@link #assertCleanEnd} fails on a reset.
 */
@Timeout(30)
final class ClosingTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    /** The client's end of a connection that was ended in order, with nothing more on it. */
    private static void assertCleanEnd(Socket client) throws IOException {
        assertEquals(-1, client.getInputStream().read(), "an end, no reset and no byte more");
    }

    private static Socket idleConnection(TestNode n) throws IOException {
        Socket client = n.connect();
        say(client, HEALTHZ);
        assertTrue(hear(client).startsWith("HTTP/1.1 200"));
        n.ask(HEALTHZ); // by now the loop knows that the first answer is written
        return client;
    }

    /** It lies unread on a resting connection as SIGTERM comes: it was there before, so it is read and answered. */
    @Test
    void requestReceivedBeforeSigtermIsAnswered() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = idleConnection(n)) {
            CountDownLatch gate = n.deaf();
            say(client, HEALTHZ);
            n.node.drain();
            gate.countDown();
            assertTrue(hear(client).startsWith("HTTP/1.1 503"));
            assertCleanEnd(client);
        }
    }

    /** What comes on a connection after its output was shut finds its end; nothing of it is sent on. */
    @Test
    void requestAfterShutdownIsNotForwarded() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = idleConnection(n); Socket holds = n.connect()) {
            say(holds, job("s0"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(w, TAKEN);
                n.node.drain();
                assertCleanEnd(client);
                say(client, job("s1"));
                say(client, job("s2"));
                n.awaitCount("ingress bytes after the end", 1);
                n.tell("s0", "s-01", "done");
                assertTrue(hear(holds).startsWith("HTTP/1.1 200"));
                n.loop.join(20_000);
                assertFalse(n.loop.isAlive());
                assertEquals(1, n.node.invariants().counted("requests"));
            }
        }
    }

    /** What a client sends behind its last request is read and dropped, so that no reset overtakes the answer. */
    @Test
    void bytesAfterLastRequestAreDiscarded() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            say(client, HEALTHZ.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            assertTrue(hear(client).startsWith("HTTP/1.1 200"));
            assertCleanEnd(client);
            say(client, HEALTHZ);
            n.awaitCount("ingress bytes after the end", 1);
        }
    }

    /** Clients that connected and rest, with nothing sent yet, are ended after SIGTERM too, and the process goes. */
    @Test
    void connectionWithoutRequestIsClosedOnSigterm() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket silent = n.connect()) {
            assertTrue(n.ask(HEALTHZ).startsWith("HTTP/1.1 200"));
            n.node.drain();
            assertCleanEnd(silent);
            assertEquals(0, n.node.invariants().counted("ingress silent"), "by the drain, not by its silence");
            n.loop.join(20_000);
            assertFalse(n.loop.isAlive());
        }
    }

    /** What operators send behind their call is read and dropped, too. */
    @Test
    void bytesAfterAdminRequestAreDiscarded() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket operator = n.admin()) {
            say(operator, "GET /admin/health HTTP/1.1\r\nHost: h\r\n\r\n");
            assertTrue(hear(operator).startsWith("HTTP/1.1 200"));
            assertCleanEnd(operator);
            say(operator, HEALTHZ);
            n.awaitCount("admin bytes after the end", 1);
        }
    }

    /** A flood of jobs on one connection, whose sender goes: none but the one at the worker is sent on. */
    @Test
    void pipelinedJobsOfDisconnectedClientAreNotForwarded() throws Exception {
        try (TestNode n = new TestNode("read_like")) {
            Socket flood = n.connect(); // closed by hand: its leaving is the test
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 40; i++) {
                all.append(job("f" + i));
            }
            say(flood, all.toString());
            try (Socket w = n.worker.accept()) {
                assertTrue(hear(w).contains("Req-Id: f0\r\n"));
                say(w, TAKEN);
                flood.close();
                assertTrue(hear(w).startsWith("DELETE /jobs/f0 HTTP/1.1\r\n"));
                n.awaitCount("clients gone", 1);
                assertEquals(1, n.node.invariants().counted("requests"));
            }
        }
    }

    /** More than may wait on one connection is not read; what was taken is answered, then an error ends it. */
    @Test
    void pipelinedRequestsOverTheLimitAreRejected() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket flood = n.connect()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 400; i++) {
                all.append(job("g" + i));
            }
            new AutoWorker(n, true).jobs.get();
            CountDownLatch gate = n.deaf();
            say(flood, all.toString());
            gate.countDown();
            int served = 0;
            String answer = hear(flood);
            for (; answer.startsWith("HTTP/1.1 200"); answer = hear(flood)) {
                served++;
            }
            assertTrue(answer.startsWith("HTTP/1.1 429"), answer);
            assertCleanEnd(flood);
            assertEquals(served, n.node.invariants().counted("requests"), "each that was taken was answered");
        }
    }

    /** A request that a client sent ahead was taken, and is answered before its client is sent away. */
    @Test
    void pipelinedRequestIsAnsweredBeforeDrainClosesConnection() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            say(client, job("h1") + job("h2"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(w, TAKEN);
                n.node.drain();
                n.ask(HEALTHZ);
                n.tell("h1", "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                assertTrue(hear(client).startsWith("HTTP/1.1 "), "an answer to what was taken");
                assertCleanEnd(client);
            }
        }
    }

    /** Its client sent much behind a job and left: that is seen, though little of it was read. */
    @Test
    void disconnectOfClientThatSentTooMuchIsNoticed() throws Exception {
        try (TestNode n = new TestNode("read_like")) {
            Socket client = n.connect(); // closed by hand: its leaving is the test
            say(client, job("i1"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(client, "\0".repeat(600_000));
                n.awaitCount("ingress unreadable 400", 1);
                client.close();
                n.awaitCount("clients gone", 1);
            }
        }
    }

    /** As the process leaves, a client's connection on which nothing came yet is ended like any other, not closed under its request. */
    @Test
    void newConnectionIsClosedCleanlyAtExit() throws Exception {
        try (TestNode n = TestNode.frozen("read_like")) {
            n.step(650_000);
            n.node.drain();
            n.rounds();
            n.step(470_000);
            n.rounds();
            try (Socket client = n.connect()) {
                n.rounds();
                n.step(280_000); // a sweep finds it young
                n.rounds();
                n.step(170_000); // its first request is overdue, and the process would leave, before the next
                n.rounds();
                say(client, HEALTHZ);
                assertTrue(hear(client).startsWith("HTTP/1.1 503"));
                assertCleanEnd(client);
                n.goOn(0);
            }
            n.loop.join();
        }
    }
}
