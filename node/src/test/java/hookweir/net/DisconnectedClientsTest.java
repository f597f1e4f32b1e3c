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

/** No attempt begins for a client that closed its connection, whatever the attempt waits for then. Clients are closed by hand. */
@Timeout(60)
final class DisconnectedClientsTest {
    private static final String DECLINED = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    private static final int CLIENTS = 8;

    /** Its client closes the connection. */
    private static void disconnect(Socket client) throws Exception {
        client.close();
    }

    private static void close(List<Socket> clients) throws Exception {
        for (Socket client : clients) {
            client.close();
        }
    }

    /**
     * Each connection is up before its client leaves, and both are seen in one round of I/O, in whatever order: of so many
     * some would be sent.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void jobIsNotSentWhenItsConnectionOpens(boolean cancels) throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (ServerSocket door = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                TestNode n = cancels ? TestNode.pushed() : TestNode.withoutCancels();
                Socket watch = cancels ? n.watched() : n.watch) {
            long updates = n.node.invariants().counted("list updates");
            line(watch, "{'version':8,'full':true,'servers':[" + many(n, door, "SERVING", 9) + "]}");
            n.awaitCount("list updates", updates + 1);
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(n.connect());
            }
            n.settle();
            CountDownLatch gate = afterReading(n, () -> {
                for (Socket client : clients) {
                    say(client, job("u" + clients.indexOf(client)));
                }
            });
            assertEquals(CLIENTS, n.node.invariants().counted("egress dials"));
            close(clients);
            gate.countDown();
            n.awaitCount("clients gone", CLIENTS);
            n.rounds();
            assertEquals("", sentTo(door, n));
        }
    }

    /** It leaves while its job waits for a link that settles; in the second case that lies unread as the link has settled. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void jobWaitingForReuseDelayIsNotSent(boolean seen) throws Exception {
        try (TestNode n = TestNode.pushed(); Socket watch = n.watched(); Socket client = n.connect(); Socket leaves = n.connect()) {
            n.freeze();
            say(client, job("s1"));
            try (Socket kept = n.worker.accept()) {
                hear(kept);
                say(kept, TAKEN);
                n.tell("s1", "s-01", "done");
                hear(client);
                say(leaves, job("s2"));
                n.awaitCount("requests", 2);
                n.rounds();
                CountDownLatch gate = seen ? new CountDownLatch(1) : n.deaf();
                disconnect(leaves);
                if (seen) {
                    n.awaitCount("clients gone", 1);
                }
                n.goOn(200_000);
                gate.countDown();
                n.awaitCount("clients gone", 1);
                n.rounds();
                assertEquals(1, n.node.invariants().counted("egress dials"));
                assertEquals("", HeldLoop.sentOn(kept, n));
            }
            assertFalse(watch.isClosed());
        }
    }

    /** Its job was declined and is held for a repeat; in the second case its end lies unread as the repeat is due. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void declinedJobIsNotRetried(boolean seen) throws Exception {
        try (ServerSocket door = new ServerSocket(0, 5, InetAddress.getLoopbackAddress()); TestNode n = TestNode.pushed();
                Socket watch = n.watched(); Socket client = n.connect(); Socket leaves = n.connect()) {
            line(watch, "{'version':8,'full':true,'servers':[" + second(n, door, "SERVING") + "]}");
            n.awaitCount("list updates", 2);
            say(client, job("r1"));
            try (Socket kept = door.accept()) {
                hear(kept);
                say(kept, TAKEN);
                n.tell("r1", "s-02", "done");
                hear(client);
                n.goOn(100_000); // a kept link that has settled: a job could be sent at once
                line(watch, "{'version':9,'full':false,'servers':[" + second(n, door, "DRAINING") + "," + n.entry("SERVING") + "]}");
                n.awaitCount("list updates", 3);
                say(leaves, job("r2"));
                try (Socket first = n.worker.accept()) {
                    hear(first);
                    n.freeze();
                    say(first, DECLINED);
                    n.awaitCount("attempts FULL", 1);
                    n.rounds();
                    line(watch, "{'version':10,'full':false,'servers':[" + second(n, door, "SERVING") + "]}");
                    n.awaitCount("list updates", 4);
                    n.rounds();
                    CountDownLatch gate = seen ? new CountDownLatch(1) : n.deaf();
                    disconnect(leaves);
                    if (seen) {
                        n.awaitCount("clients gone", 1);
                    }
                    n.goOn(400_000);
                    gate.countDown();
                    n.awaitCount("clients gone", 1);
                    n.rounds();
                    assertEquals("", HeldLoop.sentOn(kept, n));
                }
            }
        }
    }

    /** Its job waits for a connection, as all that there may be are dialled: none is sent for it, and none dialled. */
    @Test
    void jobWaitingForFreeConnectionIsNotSent() throws Exception {
        try (CrowdedConnections crowd = new CrowdedConnections()) {
            crowd.closeClients();
            crowd.gate.countDown();
            crowd.node.awaitCount("clients gone", CrowdedConnections.WORKERS);
            crowd.node.rounds();
            assertEquals(crowd.connectCount, crowd.connectCount());
            assertEquals("", sentTo(crowd.workerListener, crowd.node));
        }
    }

    /** Its job is held as no worker serves; its end lies unread as the module's next try is due, and a kept link rests. */
    @Test
    void jobWaitingForAWorkerIsNotSent() throws Exception {
        try (TestNode n = TestNode.pushed(); Socket watch = n.watched(); Socket client = n.connect(); Socket leaves = n.connect()) {
            say(client, job("h1"));
            try (Socket kept = n.worker.accept()) {
                hear(kept);
                say(kept, TAKEN);
                n.tell("h1", "s-01", "done");
                hear(client);
                n.goOn(100_000); // a kept link that has settled: a job could be sent at once
                line(watch, "{'version':8,'full':false,'servers':[" + n.entry("DRAINING") + "]}");
                n.awaitCount("list updates", 2);
                n.freeze();
                say(leaves, job("h2"));
                n.awaitCount("requests", 2);
                line(watch, "{'version':9,'full':false,'servers':[" + n.entry("SERVING") + "]}");
                n.awaitCount("list updates", 3);
                n.rounds();
                CountDownLatch gate = n.deaf();
                disconnect(leaves);
                n.goOn(400_000);
                gate.countDown();
                n.awaitCount("clients gone", 1);
                n.rounds();
                assertEquals("", HeldLoop.sentOn(kept, n));
            }
        }
    }
}
