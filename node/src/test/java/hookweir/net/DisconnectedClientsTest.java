package hookweir.net;

import static hookweir.net.PausedLoop.pauseAfterReading;
import static hookweir.net.PausedLoop.receiveFromPending;
import static hookweir.net.PausedLoop.secondWorkerEntry;
import static hookweir.net.PausedLoop.workerEntries;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static hookweir.net.TestNode.sendListLine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against jobs sent to workers for clients that have already disconnected: no attempt may start once the client has closed
 * its connection, whatever the attempt was waiting for. Clients are closed by the tests, not by try blocks.
 */
@Timeout(60)
final class DisconnectedClientsTest {
    private static final String DECLINED = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    private static final int CLIENTS = 8;

    /** Closes the connection of a client. */
    private static void disconnect(Socket client) throws Exception {
        client.close();
    }

    private static void close(List<Socket> clients) throws Exception {
        for (Socket client : clients) {
            client.close();
        }
    }

    /**
     * Each worker connection opens before its client disconnects, and the scheduler sees both in one I/O round, in any order. Without
     * the check some of this many jobs would be sent.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void jobIsNotSentWhenItsConnectionOpens(boolean cancels) throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                TestNode node = cancels ? TestNode.withPushedList() : TestNode.withoutCancellation();
                Socket watch = cancels ? node.acceptListCallAndWatch() : node.watch) {
            long updates = node.node.invariants().counted("list updates");
            sendListLine(watch, "{'version':8,'full':true,'servers':[" + workerEntries(node, listener, "SERVING", 9) + "]}");
            node.awaitCount("list updates", updates + 1);
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(node.connect());
            }
            node.awaitLoop();
            CountDownLatch gate = pauseAfterReading(node, () -> {
                for (Socket client : clients) {
                    send(client, job("u" + clients.indexOf(client)));
                }
            });
            assertEquals(CLIENTS, node.node.invariants().counted("egress dials"));
            close(clients);
            gate.countDown();
            node.awaitCount("clients gone", CLIENTS);
            node.awaitIoRounds();
            assertEquals("", receiveFromPending(listener, node));
        }
    }

    /** The client disconnects while its job waits for a reuse delay; in the second case this is still unread when the delay ends. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void jobWaitingForReuseDelayIsNotSent(boolean disconnectRead) throws Exception {
        try (TestNode node = TestNode.withPushedList(); Socket watch = node.acceptListCallAndWatch(); Socket client = node.connect();
                Socket leaving = node.connect()) {
            node.freezeClock();
            try (Socket idleConnection = node.serveJob(client, "s1")) {
                send(leaving, job("s2"));
                node.awaitCount("requests", 2);
                node.awaitIoRounds();
                CountDownLatch gate = disconnectRead ? new CountDownLatch(1) : node.blockLoop();
                disconnect(leaving);
                if (disconnectRead) {
                    node.awaitCount("clients gone", 1);
                }
                node.resumeClock(200_000);
                gate.countDown();
                node.awaitCount("clients gone", 1);
                node.awaitIoRounds();
                assertEquals(1, node.node.invariants().counted("egress dials"));
                assertEquals("", PausedLoop.receiveUntilClosed(idleConnection, node));
            }
            assertFalse(watch.isClosed());
        }
    }

    /** The client's job was declined and waits for a retry; in the second case its disconnect is still unread when the retry is due. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void declinedJobIsNotRetried(boolean disconnectRead) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress()); TestNode node = TestNode.withPushedList();
                Socket watch = node.acceptListCallAndWatch(); Socket client = node.connect(); Socket leaving = node.connect()) {
            sendListLine(watch, "{'version':8,'full':true,'servers':[" + secondWorkerEntry(node, listener, "SERVING") + "]}");
            node.awaitCount("list updates", 2);
            try (Socket idleConnection = node.serveJob(client, "r1", listener, "s-02")) {
                node.resumeClock(100_000); // past the reuse delay of the idle connection: a job could be sent at once
                sendListLine(watch, "{'version':9,'full':false,'servers':[" + secondWorkerEntry(node, listener, "DRAINING") + ","
                    + node.workerEntry("SERVING") + "]}");
                node.awaitCount("list updates", 3);
                send(leaving, job("r2"));
                try (Socket first = node.workerListener.accept()) {
                    receive(first);
                    node.freezeClock();
                    send(first, DECLINED);
                    node.awaitCount("attempts FULL", 1);
                    node.awaitIoRounds();
                    sendListLine(watch, "{'version':10,'full':false,'servers':[" + secondWorkerEntry(node, listener, "SERVING") + "]}");
                    node.awaitCount("list updates", 4);
                    node.awaitIoRounds();
                    CountDownLatch gate = disconnectRead ? new CountDownLatch(1) : node.blockLoop();
                    disconnect(leaving);
                    if (disconnectRead) {
                        node.awaitCount("clients gone", 1);
                    }
                    node.resumeClock(400_000);
                    gate.countDown();
                    node.awaitCount("clients gone", 1);
                    node.awaitIoRounds();
                    assertEquals("", PausedLoop.receiveUntilClosed(idleConnection, node));
                }
            }
        }
    }

    /** The client's job waits for a connection at the connection limit: it is not sent, and no connection is opened for it. */
    @Test
    void jobWaitingForFreeConnectionIsNotSent() throws Exception {
        try (CrowdedConnections connections = new CrowdedConnections()) {
            connections.closeClients();
            connections.gate.countDown();
            connections.node.awaitCount("clients gone", CrowdedConnections.WORKERS);
            connections.node.awaitIoRounds();
            assertEquals(connections.connectCount, connections.connectCount());
            assertEquals("", receiveFromPending(connections.workerListener, connections.node));
        }
    }

    /** The client's job waits as no worker serves; its disconnect is still unread when the next try is due and an idle connection is free. */
    @Test
    void jobWaitingForAWorkerIsNotSent() throws Exception {
        try (TestNode node = TestNode.withPushedList(); Socket watch = node.acceptListCallAndWatch(); Socket client = node.connect();
                Socket leaving = node.connect()) {
            try (Socket idleConnection = node.serveJob(client, "h1")) {
                node.resumeClock(100_000); // past the reuse delay of the idle connection: a job could be sent at once
                sendListLine(watch, "{'version':8,'full':false,'servers':[" + node.workerEntry("DRAINING") + "]}");
                node.awaitCount("list updates", 2);
                node.freezeClock();
                send(leaving, job("h2"));
                node.awaitCount("requests", 2);
                sendListLine(watch, "{'version':9,'full':false,'servers':[" + node.workerEntry("SERVING") + "]}");
                node.awaitCount("list updates", 3);
                node.awaitIoRounds();
                CountDownLatch gate = node.blockLoop();
                disconnect(leaving);
                node.resumeClock(400_000);
                gate.countDown();
                node.awaitCount("clients gone", 1);
                node.awaitIoRounds();
                assertEquals("", PausedLoop.receiveUntilClosed(idleConnection, node));
            }
        }
    }
}
