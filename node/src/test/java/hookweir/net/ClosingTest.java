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
 * Guards against responses lost to a TCP reset. If the scheduler closes a connection while unread bytes have arrived on it, the
 * system resets the connection and drops what was written before; {@link #assertCleanEnd} fails on a reset.
 */
@Timeout(30)
final class ClosingTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    /** Checks that the connection ended without a reset and without further bytes. */
    private static void assertCleanEnd(Socket client) throws IOException {
        assertEquals(-1, client.getInputStream().read(), "a clean end, no reset and no further byte");
    }

    private static Socket idleConnection(TestNode node) throws IOException {
        Socket client = node.connect();
        say(client, HEALTHZ);
        assertTrue(hear(client).startsWith("HTTP/1.1 200"));
        node.ask(HEALTHZ); // by now the loop has seen that the first response was written
        return client;
    }

    /** A request that arrived unread on an idle connection before SIGTERM is read and answered. */
    @Test
    void requestReceivedBeforeSigtermIsAnswered() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = idleConnection(node)) {
            CountDownLatch gate = node.deaf();
            say(client, HEALTHZ);
            node.node.drain();
            gate.countDown();
            assertTrue(hear(client).startsWith("HTTP/1.1 503"));
            assertCleanEnd(client);
        }
    }

    /** Requests that arrive after the connection's output was shut down are not forwarded, and the client sees a clean end. */
    @Test
    void requestAfterShutdownIsNotForwarded() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = idleConnection(node); Socket pendingClient = node.connect()) {
            say(pendingClient, job("s0"));
            try (Socket worker = node.worker.accept()) {
                hear(worker);
                say(worker, TAKEN);
                node.node.drain();
                assertCleanEnd(client);
                say(client, job("s1"));
                say(client, job("s2"));
                node.awaitCount("ingress bytes after the end", 1);
                node.tell("s0", "s-01", "done");
                assertTrue(hear(pendingClient).startsWith("HTTP/1.1 200"));
                node.loop.join(20_000);
                assertFalse(node.loop.isAlive());
                assertEquals(1, node.node.invariants().counted("requests"));
            }
        }
    }

    /** Bytes after the last request are read and discarded, so that no reset overtakes the response. */
    @Test
    void bytesAfterLastRequestAreDiscarded() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            say(client, HEALTHZ.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            assertTrue(hear(client).startsWith("HTTP/1.1 200"));
            assertCleanEnd(client);
            say(client, HEALTHZ);
            node.awaitCount("ingress bytes after the end", 1);
        }
    }

    /** Connections on which no request has arrived yet are closed on SIGTERM, too, and the process exits. */
    @Test
    void connectionWithoutRequestIsClosedOnSigterm() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket silent = node.connect()) {
            assertTrue(node.ask(HEALTHZ).startsWith("HTTP/1.1 200"));
            node.node.drain();
            assertCleanEnd(silent);
            assertEquals(0, node.node.invariants().counted("ingress silent"), "closed by the drain, not by the idle timeout");
            node.loop.join(20_000);
            assertFalse(node.loop.isAlive());
        }
    }

    /** Bytes after an admin request are read and discarded, too. */
    @Test
    void bytesAfterAdminRequestAreDiscarded() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket operator = node.admin()) {
            say(operator, "GET /admin/health HTTP/1.1\r\nHost: h\r\n\r\n");
            assertTrue(hear(operator).startsWith("HTTP/1.1 200"));
            assertCleanEnd(operator);
            say(operator, HEALTHZ);
            node.awaitCount("admin bytes after the end", 1);
        }
    }

    /** A client pipelines many jobs and disconnects: only the job already at the worker is forwarded. */
    @Test
    void pipelinedJobsOfDisconnectedClientAreNotForwarded() throws Exception {
        try (TestNode node = new TestNode("read_like")) {
            Socket client = node.connect(); // not in a try block, as the test closes it
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < 40; i++) {
                requests.append(job("f" + i));
            }
            say(client, requests.toString());
            try (Socket worker = node.worker.accept()) {
                assertTrue(hear(worker).contains("Req-Id: f0\r\n"));
                say(worker, TAKEN);
                client.close();
                assertTrue(hear(worker).startsWith("DELETE /jobs/f0 HTTP/1.1\r\n"));
                node.awaitCount("clients gone", 1);
                assertEquals(1, node.node.invariants().counted("requests"));
            }
        }
    }

    /** More requests than may wait on one connection are not read; the accepted ones are answered, then an error ends the connection. */
    @Test
    void pipelinedRequestsOverTheLimitAreRejected() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < 400; i++) {
                requests.append(job("g" + i));
            }
            new AutoWorker(node, true).jobs.get();
            CountDownLatch gate = node.deaf();
            say(client, requests.toString());
            gate.countDown();
            int served = 0;
            String response = hear(client);
            for (; response.startsWith("HTTP/1.1 200"); response = hear(client)) {
                served++;
            }
            assertTrue(response.startsWith("HTTP/1.1 429"), response);
            assertCleanEnd(client);
            assertEquals(served, node.node.invariants().counted("requests"), "each accepted request was answered");
        }
    }

    /** A pipelined request counts as accepted, and is answered before the drain closes its connection. */
    @Test
    void pipelinedRequestIsAnsweredBeforeDrainClosesConnection() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            say(client, job("h1") + job("h2"));
            try (Socket worker = node.worker.accept()) {
                hear(worker);
                say(worker, TAKEN);
                node.node.drain();
                node.ask(HEALTHZ);
                node.tell("h1", "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                assertTrue(hear(client).startsWith("HTTP/1.1 "), "a response to the accepted request");
                assertCleanEnd(client);
            }
        }
    }

    /** A client sends many bytes after a job and disconnects: that is noticed although few of them were read. */
    @Test
    void disconnectOfClientThatSentTooMuchIsNoticed() throws Exception {
        try (TestNode node = new TestNode("read_like")) {
            Socket client = node.connect(); // not in a try block, as the test closes it
            say(client, job("i1"));
            try (Socket worker = node.worker.accept()) {
                hear(worker);
                say(client, "\0".repeat(600_000));
                node.awaitCount("ingress unreadable 400", 1);
                client.close();
                node.awaitCount("clients gone", 1);
            }
        }
    }

    /** At exit a client's connection without a request so far is closed cleanly, not reset under its first request. */
    @Test
    void newConnectionIsClosedCleanlyAtExit() throws Exception {
        try (TestNode node = TestNode.frozen("read_like")) {
            node.step(650_000);
            node.node.drain();
            node.rounds();
            node.step(470_000);
            node.rounds();
            try (Socket client = node.connect()) {
                node.rounds();
                node.step(280_000); // a sweep finds the connection recent
                node.rounds();
                node.step(170_000); // before the next sweep the first request is overdue and the process could exit
                node.rounds();
                say(client, HEALTHZ);
                assertTrue(hear(client).startsWith("HTTP/1.1 503"));
                assertCleanEnd(client);
                node.goOn(0);
            }
            node.loop.join();
        }
    }
}
