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

/**
 * The list service announces that a worker drains or is gone while a job or a probe for it is about to be sent. From then on no first
 * byte of a job or probe may be written to this worker, whatever the job was waiting for.
 */
@Timeout(60)
final class DrainingWorkersTest {
    private static final String DECLINED = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

    /** How the list service announces that a worker gets no more work. */
    private enum WorkerRemoval {
        DRAINING, DELETED, MISSING_FROM_WHOLE_LIST;

        /** Announces it for the worker of this entry, which is given as serving. */
        void send(Socket watch, String entry) throws IOException {
            if (this == MISSING_FROM_WHOLE_LIST) {
                sendListLine(watch, "{'version':90,'full':true,'servers':[]}");
            } else {
                sendListLine(watch, "{'version':90,'full':false,'servers':[" + entry.replace("SERVING", name()) + "]}");
            }
        }
    }

    /** The job's connection is established when the update comes, and the loop sees both in one round of I/O. */
    @ParameterizedTest
    @EnumSource(WorkerRemoval.class)
    void jobIsNotSentWhenItsConnectionOpens(WorkerRemoval removal) throws Exception {
        try (TestNode scheduler = TestNode.withPushedList(); Socket watch = scheduler.acceptListCallAndWatch(); Socket client = scheduler.connect()) {
            scheduler.awaitLoop();
            CountDownLatch gate = pauseAfterReading(scheduler, () -> send(client, job("d1")));
            removal.send(watch, scheduler.workerEntry("SERVING"));
            gate.countDown();
            scheduler.awaitCount("attempts CONNECT_FAILED", 1);
            assertEquals("", receiveFromPending(scheduler.workerListener, scheduler));
        }
    }

    /** Leaves a worker with an idle connection that may not be reused yet and a second job that waits for it; the clock is frozen. */
    private static Socket queueJobForReuseDelay(TestNode scheduler, Socket client) throws Exception {
        scheduler.freezeClock();
        send(client, job("s1"));
        Socket idleConnection = scheduler.workerListener.accept();
        receive(idleConnection);
        send(idleConnection, ACCEPTED);
        scheduler.sendCallback("s1", "s-01", "done");
        receive(client);
        send(client, job("s2"));
        scheduler.awaitCount("requests", 2);
        scheduler.awaitIoRounds();
        return idleConnection;
    }

    /** The update comes while a job waits for the reuse delay of a connection: the job is not sent, and no new connection is opened for it. */
    @ParameterizedTest
    @EnumSource(WorkerRemoval.class)
    void jobWaitingForReuseDelayIsNotSent(WorkerRemoval removal) throws Exception {
        try (TestNode scheduler = TestNode.withPushedList(); Socket watch = scheduler.acceptListCallAndWatch(); Socket client = scheduler.connect();
                Socket idleConnection = queueJobForReuseDelay(scheduler, client)) {
            removal.send(watch, scheduler.workerEntry("SERVING"));
            scheduler.awaitCount("list updates", 2);
            scheduler.resumeClock(40_000);
            scheduler.awaitCount("attempts CONNECT_FAILED", 1);
            assertEquals(1, scheduler.node.invariants().counted("egress dials"));
            assertEquals("", PausedLoop.receiveUntilClosed(idleConnection, scheduler));
        }
    }

    /** The process was busy, and the update is still unread when the reuse delay ends: it has to be read before the job is sent. */
    @ParameterizedTest
    @EnumSource(WorkerRemoval.class)
    void unreadListUpdateIsAppliedBeforeReuse(WorkerRemoval removal) throws Exception {
        try (TestNode scheduler = TestNode.withPushedList(); Socket watch = scheduler.acceptListCallAndWatch(); Socket client = scheduler.connect();
                Socket idleConnection = queueJobForReuseDelay(scheduler, client)) {
            CountDownLatch gate = scheduler.blockLoop();
            removal.send(watch, scheduler.workerEntry("SERVING"));
            scheduler.resumeClock(400_000);
            gate.countDown();
            scheduler.awaitCount("list updates", 2);
            scheduler.awaitIoRounds();
            assertEquals("", PausedLoop.receiveUntilClosed(idleConnection, scheduler));
        }
    }

    /** The connection of a retry at a second worker is established, or about to be opened, when the update for that worker comes. */
    @ParameterizedTest
    @EnumSource(WorkerRemoval.class)
    void retryIsNotSent(WorkerRemoval removal) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress()); TestNode scheduler = TestNode.withPushedList();
                Socket watch = scheduler.acceptListCallAndWatch(); Socket client = scheduler.connect()) {
            send(client, job("f1"));
            try (Socket first = scheduler.workerListener.accept()) {
                receive(first);
                sendListLine(watch, "{'version':8,'full':false,'servers':[" + secondWorkerEntry(scheduler, listener, "SERVING") + "]}");
                scheduler.awaitCount("list updates", 2);
                CountDownLatch gate = pauseAfterReading(scheduler, () -> send(first, DECLINED));
                removal.send(watch, secondWorkerEntry(scheduler, listener, "SERVING"));
                gate.countDown();
                scheduler.awaitCount("attempts CONNECT_FAILED", 1);
                assertEquals("", receiveFromPending(listener, scheduler));
            }
        }
    }

    /** A declined job stays pending and is not retried while the only other worker is draining. */
    @Test
    void declinedJobIsNotRetriedAtDrainingWorker() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress()); TestNode scheduler = TestNode.withPushedList();
                Socket watch = scheduler.acceptListCallAndWatch(); Socket client = scheduler.connect()) {
            sendListLine(watch, "{'version':8,'full':false,'servers':[" + secondWorkerEntry(scheduler, listener, "DRAINING") + "]}");
            scheduler.awaitCount("list updates", 2);
            send(client, job("h1"));
            try (Socket first = scheduler.workerListener.accept()) {
                receive(first);
                send(first, DECLINED);
                scheduler.awaitCount("attempts FULL", 1);
                scheduler.awaitLoop();
                scheduler.resumeClock(15_000_000);
                assertTrue(receive(client).startsWith("HTTP/1.1 429"));
                assertEquals(1, scheduler.node.invariants().counted("egress dials"));
            }
        }
    }

    /** Jobs wait for a free connection while the maximum number is being opened: none of them is sent, and none opens a connection. */
    @ParameterizedTest
    @EnumSource(WorkerRemoval.class)
    void jobsWaitingForFreeConnectionAreNotSent(WorkerRemoval removal) throws Exception {
        try (CrowdedConnections crowded = new CrowdedConnections()) {
            removal.send(crowded.node.watch, workerEntries(crowded.node, crowded.workerListener, "SERVING", CrowdedConnections.WORKERS));
            crowded.gate.countDown();
            crowded.node.awaitCount("attempts CONNECT_FAILED", CrowdedConnections.WORKERS);
            assertEquals(crowded.connectCount, crowded.connectCount());
            assertEquals("", receiveFromPending(crowded.workerListener, crowded.node));
        }
    }

    /** Only workers that may get work are probed: a probe whose connection is established when the update comes is not sent. */
    @ParameterizedTest
    @EnumSource(WorkerRemoval.class)
    void probeIsNotSentWhenItsConnectionOpens(WorkerRemoval removal) throws Exception {
        try (TestNode scheduler = new TestNode("read_like", 20_000_000, true); Socket watch = scheduler.watch; Socket client = scheduler.connect()) {
            scheduler.awaitLoop();
            CountDownLatch gate = pauseAfterReading(scheduler, () -> send(client, job("c1")));
            assertEquals(1, scheduler.node.invariants().counted("probes"));
            removal.send(watch, scheduler.workerEntry("SERVING"));
            gate.countDown();
            scheduler.awaitCount("list updates", 3);
            scheduler.awaitIoRounds();
            assertEquals("", receiveFromPending(scheduler.workerListener, scheduler));
        }
    }
}
