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
                TestNode node = cancels ? TestNode.pushed() : TestNode.withoutCancels();
                Socket watch = cancels ? node.watched() : node.watch) {
            long updates = node.node.invariants().counted("list updates");
            line(watch, "{'version':8,'full':true,'servers':[" + many(node, listener, "SERVING", 9) + "]}");
            node.awaitCount("list updates", updates + 1);
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(node.connect());
            }
            node.settle();
            CountDownLatch gate = afterReading(node, () -> {
                for (Socket client : clients) {
                    say(client, job("u" + clients.indexOf(client)));
                }
            });
            assertEquals(CLIENTS, node.node.invariants().counted("egress dials"));
            close(clients);
            gate.countDown();
            node.awaitCount("clients gone", CLIENTS);
            node.rounds();
            assertEquals("", sentTo(listener, node));
        }
    }

    /** The client disconnects while its job waits for a reuse delay; in the second case this is still unread when the delay ends. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void jobWaitingForReuseDelayIsNotSent(boolean disconnectRead) throws Exception {
        try (TestNode node = TestNode.pushed(); Socket watch = node.watched(); Socket client = node.connect(); Socket leaving = node.connect()) {
            node.freeze();
            say(client, job("s1"));
            try (Socket idleConnection = node.worker.accept()) {
                hear(idleConnection);
                say(idleConnection, TAKEN);
                node.tell("s1", "s-01", "done");
                hear(client);
                say(leaving, job("s2"));
                node.awaitCount("requests", 2);
                node.rounds();
                CountDownLatch gate = disconnectRead ? new CountDownLatch(1) : node.deaf();
                disconnect(leaving);
                if (disconnectRead) {
                    node.awaitCount("clients gone", 1);
                }
                node.goOn(200_000);
                gate.countDown();
                node.awaitCount("clients gone", 1);
                node.rounds();
                assertEquals(1, node.node.invariants().counted("egress dials"));
                assertEquals("", HeldLoop.sentOn(idleConnection, node));
            }
            assertFalse(watch.isClosed());
        }
    }

    /** The client's job was declined and waits for a retry; in the second case its disconnect is still unread when the retry is due. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void declinedJobIsNotRetried(boolean disconnectRead) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress()); TestNode node = TestNode.pushed();
                Socket watch = node.watched(); Socket client = node.connect(); Socket leaving = node.connect()) {
            line(watch, "{'version':8,'full':true,'servers':[" + second(node, listener, "SERVING") + "]}");
            node.awaitCount("list updates", 2);
            say(client, job("r1"));
            try (Socket idleConnection = listener.accept()) {
                hear(idleConnection);
                say(idleConnection, TAKEN);
                node.tell("r1", "s-02", "done");
                hear(client);
                node.goOn(100_000); // past the reuse delay of the idle connection: a job could be sent at once
                line(watch, "{'version':9,'full':false,'servers':[" + second(node, listener, "DRAINING") + "," + node.entry("SERVING") + "]}");
                node.awaitCount("list updates", 3);
                say(leaving, job("r2"));
                try (Socket first = node.worker.accept()) {
                    hear(first);
                    node.freeze();
                    say(first, DECLINED);
                    node.awaitCount("attempts FULL", 1);
                    node.rounds();
                    line(watch, "{'version':10,'full':false,'servers':[" + second(node, listener, "SERVING") + "]}");
                    node.awaitCount("list updates", 4);
                    node.rounds();
                    CountDownLatch gate = disconnectRead ? new CountDownLatch(1) : node.deaf();
                    disconnect(leaving);
                    if (disconnectRead) {
                        node.awaitCount("clients gone", 1);
                    }
                    node.goOn(400_000);
                    gate.countDown();
                    node.awaitCount("clients gone", 1);
                    node.rounds();
                    assertEquals("", HeldLoop.sentOn(idleConnection, node));
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
            connections.node.rounds();
            assertEquals(connections.connectCount, connections.connectCount());
            assertEquals("", sentTo(connections.workerListener, connections.node));
        }
    }

    /** The client's job waits as no worker serves; its disconnect is still unread when the next try is due and an idle connection is free. */
    @Test
    void jobWaitingForAWorkerIsNotSent() throws Exception {
        try (TestNode node = TestNode.pushed(); Socket watch = node.watched(); Socket client = node.connect(); Socket leaving = node.connect()) {
            say(client, job("h1"));
            try (Socket idleConnection = node.worker.accept()) {
                hear(idleConnection);
                say(idleConnection, TAKEN);
                node.tell("h1", "s-01", "done");
                hear(client);
                node.goOn(100_000); // past the reuse delay of the idle connection: a job could be sent at once
                line(watch, "{'version':8,'full':false,'servers':[" + node.entry("DRAINING") + "]}");
                node.awaitCount("list updates", 2);
                node.freeze();
                say(leaving, job("h2"));
                node.awaitCount("requests", 2);
                line(watch, "{'version':9,'full':false,'servers':[" + node.entry("SERVING") + "]}");
                node.awaitCount("list updates", 3);
                node.rounds();
                CountDownLatch gate = node.deaf();
                disconnect(leaving);
                node.goOn(400_000);
                gate.countDown();
                node.awaitCount("clients gone", 1);
                node.rounds();
                assertEquals("", HeldLoop.sentOn(idleConnection, node));
            }
        }
    }
}
