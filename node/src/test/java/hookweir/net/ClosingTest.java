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
        send(client, HEALTHZ);
        assertTrue(receive(client).startsWith("HTTP/1.1 200"));
        node.request(HEALTHZ); // by now the loop has seen that the first response was written
        return client;
    }

    /** A request that arrived unread on an idle connection before SIGTERM is read and answered. */
    @Test
    void requestReceivedBeforeSigtermIsAnswered() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = idleConnection(node)) {
            CountDownLatch gate = node.blockLoop();
            send(client, HEALTHZ);
            node.node.drain();
            gate.countDown();
            assertTrue(receive(client).startsWith("HTTP/1.1 503"));
            assertCleanEnd(client);
        }
    }

    /** Requests that arrive after the connection's output was shut down are not forwarded, and the client sees a clean end. */
    @Test
    void requestAfterShutdownIsNotForwarded() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = idleConnection(node); Socket pendingClient = node.connect()) {
            send(pendingClient, job("s0"));
            try (Socket worker = node.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                node.node.drain();
                assertCleanEnd(client);
                send(client, job("s1"));
                send(client, job("s2"));
                node.awaitCount("ingress bytes after the end", 1);
                node.sendCallback("s0", "s-01", "done");
                assertTrue(receive(pendingClient).startsWith("HTTP/1.1 200"));
                node.loopThread.join(20_000);
                assertFalse(node.loopThread.isAlive());
                assertEquals(1, node.node.invariants().counted("requests"));
            }
        }
    }

    /** Bytes after the last request are read and discarded, so that no reset overtakes the response. */
    @Test
    void bytesAfterLastRequestAreDiscarded() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            send(client, HEALTHZ.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            assertCleanEnd(client);
            send(client, HEALTHZ);
            node.awaitCount("ingress bytes after the end", 1);
        }
    }

    /** Connections on which no request has arrived yet are closed on SIGTERM, too, and the process exits. */
    @Test
    void connectionWithoutRequestIsClosedOnSigterm() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket silent = node.connect()) {
            assertTrue(node.request(HEALTHZ).startsWith("HTTP/1.1 200"));
            node.node.drain();
            assertCleanEnd(silent);
            assertEquals(0, node.node.invariants().counted("ingress silent"), "closed by the drain, not by the idle timeout");
            node.loopThread.join(20_000);
            assertFalse(node.loopThread.isAlive());
        }
    }

    /** Bytes after an admin request are read and discarded, too. */
    @Test
    void bytesAfterAdminRequestAreDiscarded() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket operator = node.connectAdmin()) {
            send(operator, "GET /admin/health HTTP/1.1\r\nHost: h\r\n\r\n");
            assertTrue(receive(operator).startsWith("HTTP/1.1 200"));
            assertCleanEnd(operator);
            send(operator, HEALTHZ);
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
            send(client, requests.toString());
            try (Socket worker = node.workerListener.accept()) {
                assertTrue(receive(worker).contains("Req-Id: f0\r\n"));
                send(worker, ACCEPTED);
                client.close();
                assertTrue(receive(worker).startsWith("DELETE /jobs/f0 HTTP/1.1\r\n"));
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
            CountDownLatch gate = node.blockLoop();
            send(client, requests.toString());
            gate.countDown();
            int served = 0;
            String response = receive(client);
            for (; response.startsWith("HTTP/1.1 200"); response = receive(client)) {
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
            send(client, job("h1") + job("h2"));
            try (Socket worker = node.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                node.node.drain();
                node.request(HEALTHZ);
                node.sendCallback("h1", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                assertTrue(receive(client).startsWith("HTTP/1.1 "), "a response to the accepted request");
                assertCleanEnd(client);
            }
        }
    }

    /** A client sends many bytes after a job and disconnects: that is noticed although few of them were read. */
    @Test
    void disconnectOfClientThatSentTooMuchIsNoticed() throws Exception {
        try (TestNode node = new TestNode("read_like")) {
            Socket client = node.connect(); // not in a try block, as the test closes it
            send(client, job("i1"));
            try (Socket worker = node.workerListener.accept()) {
                receive(worker);
                send(client, "\0".repeat(600_000));
                node.awaitCount("ingress unreadable 400", 1);
                client.close();
                node.awaitCount("clients gone", 1);
            }
        }
    }

    /** At exit a client's connection without a request so far is closed cleanly, not reset under its first request. */
    @Test
    void newConnectionIsClosedCleanlyAtExit() throws Exception {
        try (TestNode node = TestNode.withFrozenClock("read_like")) {
            node.advanceFrozenClock(650_000);
            node.node.drain();
            node.awaitIoRounds();
            node.advanceFrozenClock(470_000);
            node.awaitIoRounds();
            try (Socket client = node.connect()) {
                node.awaitIoRounds();
                node.advanceFrozenClock(280_000); // a sweep finds the connection recent
                node.awaitIoRounds();
                node.advanceFrozenClock(170_000); // before the next sweep the first request is overdue and the process could exit
                node.awaitIoRounds();
                send(client, HEALTHZ);
                assertTrue(receive(client).startsWith("HTTP/1.1 503"));
                assertCleanEnd(client);
                node.resumeClock(0);
            }
            node.loopThread.join();
        }
    }
}
