package hookweir.net;

import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.post;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client's disconnect was noticed late, and its job sent on meanwhile, because reading from its connection was paused or its end was read
 * only after its job had been sent. Where the clock stands still, no pause ends.
 */
@Timeout(20)
final class DisconnectBehindInputTest {
    private static final String INVALID_JOB = post("/api", "Req-Id: x\r\nReq-Kind: unknown\r\nReq-Deadline-Ms: 20000\r\n", "");
    /** One more invalid request than a connection may send before it is throttled. */
    private static final int INVALID_JOBS = 4;
    private static final int UNPARSED_BYTES = 400_000;
    private static final int BODY_BYTES = 60_000;
    private static final String SMALL_BUDGET = "'sockets':128,'held_bytes':262144";
    /** Bodies may take three fifths of the budget. */
    private static final int FITTING_BODIES = 2;

    private static String jobWithBody(String id) {
        return post("/api", "Req-Id: " + id + "\r\nReq-Kind: render\r\nReq-Deadline-Ms: 20000\r\n", "b".repeat(BODY_BYTES));
    }

    /** The client's end stands right behind its job, or behind more jobs than are parsed at once; the scheduler reads both late. */
    @ParameterizedTest
    @ValueSource(ints = {0, 10, 1_000})
    void jobIsNotSentIfItsClientLeftBeforeItWasRead(int furtherJobs) throws Exception {
        try (TestNode node = TestNode.withPushedList(); Socket watch = node.acceptListCallAndWatch(); Socket client = node.connect()) {
            try (Socket idleConnection = node.serveJob(client, "h1")) {
                node.resumeClock(100_000); // past the reuse delay of the idle connection: a job could be sent at once
                CountDownLatch gate = node.blockLoop();
                Socket leaving = node.connect();
                StringBuilder jobs = new StringBuilder();
                for (int i = 0; i <= furtherJobs; i++) {
                    jobs.append(job("f" + i));
                }
                send(leaving, jobs.toString());
                leaving.close();
                gate.countDown();
                node.awaitCount("clients gone", 1);
                node.awaitIoRounds();
                assertEquals(1, node.node.invariants().counted("egress dials"));
                assertEquals("", PausedLoop.receiveUntilClosed(idleConnection, node));
            }
            assertFalse(watch.isClosed());
        }
    }

    private static void disconnectAndAwait(TestNode node, Socket client) throws IOException, InterruptedException {
        client.close();
        node.awaitCount("clients gone", 1);
    }

    @Test
    void disconnectBehindMuchInputIsNoticed() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            node.freezeClock();
            send(client, job("m1"));
            node.awaitCount("requests", 1);
            send(client, "x".repeat(UNPARSED_BYTES));
            disconnectAndAwait(node, client);
            String metrics = node.adminCall("GET", "stats");
            assertTrue(metrics.contains("svc_client_disconnects_total 1") && metrics.contains("svc_reading_paused 0"), metrics);
        }
    }

    @Test
    void disconnectOfThrottledClientIsNoticed() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            node.freezeClock();
            send(client, INVALID_JOB.repeat(INVALID_JOBS) + job("t1"));
            for (int i = 0; i < INVALID_JOBS; i++) {
                receive(client); // unread responses would turn the close into a reset
            }
            node.awaitCount("requests", 1);
            disconnectAndAwait(node, client);
        }
    }

    /** The client's second request has a body for which there is no memory; a client that waits for nothing else still waits for it. */
    @Test
    void disconnectBehindBodyThatWaitsForMemoryIsNoticed() throws Exception {
        try (TestNode node = new TestNode("read_like", 20_000_000, SMALL_BUDGET); Socket client = node.connect(); Socket other = node.connect();
                Socket waiting = node.connect()) {
            node.freezeClock();
            for (int i = 0; i < FITTING_BODIES; i++) {
                send(other, jobWithBody("f" + i));
            }
            send(client, job("b1"));
            node.awaitCount("requests", 2);
            send(waiting, jobWithBody("b2"));
            node.awaitCount("ingress waits for room", 1);
            send(client, jobWithBody("b3"));
            node.awaitIoRounds();
            disconnectAndAwait(node, client);
            assertEquals(0, node.node.invariants().counted("ingress closed EVICTED"));
        }
    }
}
