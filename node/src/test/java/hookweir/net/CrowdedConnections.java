package hookweir.net;

import static hookweir.net.PausedLoop.pauseAfterReading;
import static hookweir.net.PausedLoop.workerEntries;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.send;
import static hookweir.net.TestNode.sendListLine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * A scheduler with nine workers behind one listener and nine jobs. Some of the jobs wait for a connection, as the descriptor limit
 * is reached; the scheduler's loop is blocked until the gate is counted down.
 */
final class CrowdedConnections implements AutoCloseable {
    static final int WORKERS = 9;

    final ServerSocket workerListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    final TestNode node = new TestNode("read_like", 20_000_000, "'sockets':64");
    final List<Socket> clients = new ArrayList<>();
    final CountDownLatch gate;
    /** Connection attempts made before the loop was blocked. */
    final long connectCount;

    CrowdedConnections() throws Exception {
        sendListLine(node.watch, "{'version':8,'full':true,'servers':[" + workerEntries(node, workerListener, "SERVING", WORKERS) + "]}");
        node.awaitCount("list updates", 3);
        for (int i = 0; i < WORKERS; i++) {
            clients.add(node.connect());
        }
        node.awaitIoRounds();
        gate = pauseAfterReading(node, () -> {
            for (Socket client : clients) {
                send(client, job("w" + clients.indexOf(client)));
            }
        });
        connectCount = connectCount();
        assertEquals(WORKERS, connectCount + node.node.invariants().counted("egress waits for a link"));
        assertTrue(connectCount < WORKERS, "every job got a descriptor");
    }

    /** Returns the connection attempts made so far. */
    long connectCount() {
        return node.node.invariants().counted("egress dials");
    }

    /** Closes the connections of all clients. */
    void closeClients() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    @Override
    public void close() throws IOException {
        closeClients();
        node.watch.close();
        node.close();
        workerListener.close();
    }
}
