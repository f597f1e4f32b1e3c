package hookweir.net;

import static hookweir.net.HeldLoop.afterReading;
import static hookweir.net.HeldLoop.many;
import static hookweir.net.HeldLoop.second;
import static hookweir.net.HeldLoop.sentTo;
import static hookweir.net.TestNode.TAKEN;
import static hookweir.net.TestNode.hear;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.line;
import static hookweir.net.TestNode.say;
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
final class LeavingWorkersTest {
    private static final String DECLINED = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

    /** How discovery says that a worker leaves. */
    private enum News {
        DRAINING, DELETED, MISSING_FROM_A_WHOLE_LIST;

        /** Tells it of this worker, whose entry is given as serving. */
        void tell(Socket watch, String entry) throws IOException {
            if (this == MISSING_FROM_A_WHOLE_LIST) {
                line(watch, "{'version':90,'full':true,'servers':[]}");
            } else {
                line(watch, "{'version':90,'full':false,'servers':[" + entry.replace("SERVING", name()) + "]}");
            }
        }
    }

    /** Its connection is up as the news comes, and both are seen in one round of I/O. */
    @ParameterizedTest
    @EnumSource(News.class)
    void aJobWhoseConnectionComesUpIsNotSent(News news) throws Exception {
        try (TestNode n = TestNode.pushed(); Socket watch = n.watched(); Socket client = n.connect()) {
            n.settle();
            CountDownLatch gate = afterReading(n, () -> say(client, job("d1")));
            news.tell(watch, n.entry("SERVING"));
            gate.countDown();
            n.awaitCount("attempts CONNECT_FAILED", 1);
            assertEquals("", sentTo(n.worker, n));
        }
    }

    /** A worker's kept link has yet to settle, and a second job waits for it; the clock stands. */
    private static Socket waitsForALinkThatSettles(TestNode n, Socket client) throws Exception {
        n.freeze();
        say(client, job("s1"));
        Socket kept = n.worker.accept();
        hear(kept);
        say(kept, TAKEN);
        n.tell("s1", "s-01", "done");
        hear(client);
        say(client, job("s2"));
        n.awaitCount("requests", 2);
        n.rounds();
        return kept;
    }

    /** The news comes while a job waits for a link that settles: it is not sent, and nobody dials the worker for it. */
    @ParameterizedTest
    @EnumSource(News.class)
    void aJobThatWaitsForALinkToSettleIsNotSent(News news) throws Exception {
        try (TestNode n = TestNode.pushed(); Socket watch = n.watched(); Socket client = n.connect();
                Socket kept = waitsForALinkThatSettles(n, client)) {
            news.tell(watch, n.entry("SERVING"));
            n.awaitCount("list updates", 2);
            n.goOn(40_000);
            n.awaitCount("attempts CONNECT_FAILED", 1);
            assertEquals(1, n.node.invariants().counted("egress dials"));
            assertEquals("", HeldLoop.sentOn(kept, n));
        }
    }

    /** The news lies unread as the link settles, since the process had other things to do. */
    @ParameterizedTest
    @EnumSource(News.class)
    void newsThatLiesUnreadAsALinkSettlesIsReadFirst(News news) throws Exception {
        try (TestNode n = TestNode.pushed(); Socket watch = n.watched(); Socket client = n.connect();
                Socket kept = waitsForALinkThatSettles(n, client)) {
            CountDownLatch gate = n.deaf();
            news.tell(watch, n.entry("SERVING"));
            n.goOn(400_000);
            gate.countDown();
            n.awaitCount("list updates", 2);
            n.rounds();
            assertEquals("", HeldLoop.sentOn(kept, n));
        }
    }

    /** A further attempt: its connection comes up, or is about to be dialled, as the news of the second worker comes. */
    @ParameterizedTest
    @EnumSource(News.class)
    void aFurtherAttemptIsNotSent(News news) throws Exception {
        try (ServerSocket door = new ServerSocket(0, 5, InetAddress.getLoopbackAddress()); TestNode n = TestNode.pushed();
                Socket watch = n.watched(); Socket client = n.connect()) {
            say(client, job("f1"));
            try (Socket first = n.worker.accept()) {
                hear(first);
                line(watch, "{'version':8,'full':false,'servers':[" + second(n, door, "SERVING") + "]}");
                n.awaitCount("list updates", 2);
                CountDownLatch gate = afterReading(n, () -> say(first, DECLINED));
                news.tell(watch, second(n, door, "SERVING"));
                gate.countDown();
                n.awaitCount("attempts CONNECT_FAILED", 1);
                assertEquals("", sentTo(door, n));
            }
        }
    }

    /** A job that was declined is held, and is repeated nowhere while the only other worker leaves. */
    @Test
    void aJobThatIsHeldIsNotRepeatedAtAWorkerThatLeaves() throws Exception {
        try (ServerSocket door = new ServerSocket(0, 5, InetAddress.getLoopbackAddress()); TestNode n = TestNode.pushed();
                Socket watch = n.watched(); Socket client = n.connect()) {
            line(watch, "{'version':8,'full':false,'servers':[" + second(n, door, "DRAINING") + "]}");
            n.awaitCount("list updates", 2);
            say(client, job("h1"));
            try (Socket first = n.worker.accept()) {
                hear(first);
                say(first, DECLINED);
                n.awaitCount("attempts FULL", 1);
                n.settle();
                n.goOn(15_000_000);
                assertTrue(hear(client).startsWith("HTTP/1.1 429"));
                assertEquals(1, n.node.invariants().counted("egress dials"));
            }
        }
    }

    /** Jobs that wait for a connection, as all that there may be are dialled: none of them is sent, and none dials. */
    @ParameterizedTest
    @EnumSource(News.class)
    void jobsThatWaitForAFreeConnectionAreNotSent(News news) throws Exception {
        try (CrowdedConnections crowd = new CrowdedConnections()) {
            news.tell(crowd.node.watch, many(crowd.node, crowd.workerListener, "SERVING", CrowdedConnections.WORKERS));
            crowd.gate.countDown();
            crowd.node.awaitCount("attempts CONNECT_FAILED", CrowdedConnections.WORKERS);
            assertEquals(crowd.connectCount, crowd.connectCount());
            assertEquals("", sentTo(crowd.workerListener, crowd.node));
        }
    }

    /** A check is for a worker that may get work: one whose connection comes up as the worker leaves is not made. */
    @ParameterizedTest
    @EnumSource(News.class)
    void aCheckWhoseConnectionComesUpIsNotMade(News news) throws Exception {
        try (TestNode n = new TestNode("read_like", 20_000_000, true); Socket watch = n.watch; Socket client = n.connect()) {
            n.settle();
            CountDownLatch gate = afterReading(n, () -> say(client, job("c1")));
            assertEquals(1, n.node.invariants().counted("probes"));
            news.tell(watch, n.entry("SERVING"));
            gate.countDown();
            n.awaitCount("list updates", 3);
            n.rounds();
            assertEquals("", sentTo(n.worker, n));
        }
    }
}
