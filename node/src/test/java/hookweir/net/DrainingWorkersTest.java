package hookweir.net;

import static hookweir.net.PausedLoop.pauseAfterReading;
import static hookweir.net.PausedLoop.receiveFromPending;
import static hookweir.net.PausedLoop.secondWorkerEntry;
import static hookweir.net.PausedLoop.workerEntries;
import static hookweir.net.TestNode.ACCEPTED;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static hookweir.net.TestNode.sendListLine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** No byte of a job or a check is written first after a worker was announced as leaving, whatever the job waits for then. */
@Timeout(60)
final class DrainingWorkersTest {
    private static final String DECLINED = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

    /** How discovery says that a worker leaves. */
    private enum WorkerRemoval {
        DRAINING, DELETED, MISSING_FROM_WHOLE_LIST;

        /** Tells it of this worker, whose entry is given as serving. */
        void send(Socket watch, String entry) throws IOException {
            if (this == MISSING_FROM_WHOLE_LIST) {
                sendListLine(watch, "{'version':90,'full':true,'servers':[]}");
            } else {
                sendListLine(watch, "{'version':90,'full':false,'servers':[" + entry.replace("SERVING", name()) + "]}");
            }
        }
    }

    /** Its connection is up as the news comes, and both are seen in one round of I/O. */
    @ParameterizedTest
    @EnumSource(WorkerRemoval.class)
    void jobIsNotSentWhenItsConnectionOpens(WorkerRemoval news) throws Exception {
        try (TestNode n = TestNode.withPushedList(); Socket watch = n.acceptListCallAndWatch(); Socket client = n.connect()) {
            n.awaitLoop();
            CountDownLatch gate = pauseAfterReading(n, () -> send(client, job("d1")));
            news.send(watch, n.workerEntry("SERVING"));
            gate.countDown();
            n.awaitCount("attempts CONNECT_FAILED", 1);
            assertEquals("", receiveFromPending(n.workerListener, n));
        }
    }

    /** A worker's kept link has yet to settle, and a second job waits for it; the clock stands. */
    private static Socket queueJobForReuseDelay(TestNode n, Socket client) throws Exception {
        n.freezeClock();
        send(client, job("s1"));
        Socket kept = n.workerListener.accept();
        receive(kept);
        send(kept, ACCEPTED);
        n.sendCallback("s1", "s-01", "done");
        receive(client);
        send(client, job("s2"));
        n.awaitCount("requests", 2);
        n.awaitIoRounds();
        return kept;
    }

    /** The news comes while a job waits for a link that settles: it is not sent, and nobody dials the worker for it. */
    @ParameterizedTest
    @EnumSource(WorkerRemoval.class)
    void jobWaitingForReuseDelayIsNotSent(WorkerRemoval news) throws Exception {
        try (TestNode n = TestNode.withPushedList(); Socket watch = n.acceptListCallAndWatch(); Socket client = n.connect();
                Socket kept = queueJobForReuseDelay(n, client)) {
            news.send(watch, n.workerEntry("SERVING"));
            n.awaitCount("list updates", 2);
            n.resumeClock(40_000);
            n.awaitCount("attempts CONNECT_FAILED", 1);
            assertEquals(1, n.node.invariants().counted("egress dials"));
            assertEquals("", PausedLoop.receiveUntilClosed(kept, n));
        }
    }

    /** The news lies unread as the link settles, since the process had other things to do. */
    @ParameterizedTest
    @EnumSource(WorkerRemoval.class)
    void unreadListUpdateIsAppliedBeforeReuse(WorkerRemoval news) throws Exception {
        try (TestNode n = TestNode.withPushedList(); Socket watch = n.acceptListCallAndWatch(); Socket client = n.connect();
                Socket kept = queueJobForReuseDelay(n, client)) {
            CountDownLatch gate = n.blockLoop();
            news.send(watch, n.workerEntry("SERVING"));
            n.resumeClock(400_000);
            gate.countDown();
            n.awaitCount("list updates", 2);
            n.awaitIoRounds();
            assertEquals("", PausedLoop.receiveUntilClosed(kept, n));
        }
    }

    /** A further attempt: its connection comes up, or is about to be dialled, as the news of the second worker comes. */
    @ParameterizedTest
    @EnumSource(WorkerRemoval.class)
    void retryIsNotSent(WorkerRemoval news) throws Exception {
        try (ServerSocket door = new ServerSocket(0, 5, InetAddress.getLoopbackAddress()); TestNode n = TestNode.withPushedList();
                Socket watch = n.acceptListCallAndWatch(); Socket client = n.connect()) {
            send(client, job("f1"));
            try (Socket first = n.workerListener.accept()) {
                receive(first);
                sendListLine(watch, "{'version':8,'full':false,'servers':[" + secondWorkerEntry(n, door, "SERVING") + "]}");
                n.awaitCount("list updates", 2);
                CountDownLatch gate = pauseAfterReading(n, () -> send(first, DECLINED));
                news.send(watch, secondWorkerEntry(n, door, "SERVING"));
                gate.countDown();
                n.awaitCount("attempts CONNECT_FAILED", 1);
                assertEquals("", receiveFromPending(door, n));
            }
        }
    }

    /** A job that was declined is held, and is repeated nowhere while the only other worker leaves. */
    @Test
    void declinedJobIsNotRetriedAtDrainingWorker() throws Exception {
        try (ServerSocket door = new ServerSocket(0, 5, InetAddress.getLoopbackAddress()); TestNode n = TestNode.withPushedList();
                Socket watch = n.acceptListCallAndWatch(); Socket client = n.connect()) {
            sendListLine(watch, "{'version':8,'full':false,'servers':[" + secondWorkerEntry(n, door, "DRAINING") + "]}");
            n.awaitCount("list updates", 2);
            send(client, job("h1"));
            try (Socket first = n.workerListener.accept()) {
                receive(first);
                send(first, DECLINED);
                n.awaitCount("attempts FULL", 1);
                n.awaitLoop();
                n.resumeClock(15_000_000);
                assertTrue(receive(client).startsWith("HTTP/1.1 429"));
                assertEquals(1, n.node.invariants().counted("egress dials"));
            }
        }
    }

    /** Jobs that wait for a connection, as all that there may be are dialled: none of them is sent, and none dials. */
    @ParameterizedTest
    @EnumSource(WorkerRemoval.class)
    void jobsWaitingForFreeConnectionAreNotSent(WorkerRemoval news) throws Exception {
        try (CrowdedConnections crowd = new CrowdedConnections()) {
            news.send(crowd.node.watch, workerEntries(crowd.node, crowd.workerListener, "SERVING", CrowdedConnections.WORKERS));
            crowd.gate.countDown();
            crowd.node.awaitCount("attempts CONNECT_FAILED", CrowdedConnections.WORKERS);
            assertEquals(crowd.connectCount, crowd.connectCount());
            assertEquals("", receiveFromPending(crowd.workerListener, crowd.node));
        }
    }

    /** A check is for a worker that may get work: one whose connection comes up as the worker leaves is not made. */
    @ParameterizedTest
    @EnumSource(WorkerRemoval.class)
    void probeIsNotSentWhenItsConnectionOpens(WorkerRemoval news) throws Exception {
        try (TestNode n = new TestNode("read_like", 20_000_000, true); Socket watch = n.watch; Socket client = n.connect()) {
            n.awaitLoop();
            CountDownLatch gate = pauseAfterReading(n, () -> send(client, job("c1")));
            assertEquals(1, n.node.invariants().counted("probes"));
            news.send(watch, n.workerEntry("SERVING"));
            gate.countDown();
            n.awaitCount("list updates", 3);
            n.awaitIoRounds();
            assertEquals("", receiveFromPending(n.workerListener, n));
        }
    }
}
