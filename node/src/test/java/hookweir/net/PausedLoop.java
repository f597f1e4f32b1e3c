package hookweir.net;

import static hookweir.net.TestNode.receive;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.CountDownLatch;

/** Holds the loop of a {@link TestNode} between two rounds of I/O, so that a test can order what it finds in the next one. */
final class PausedLoop {
    private PausedLoop() {
    }

    /** Something that a test does by a socket. */
    interface SocketAction {
        void run() throws IOException;
    }

    /**
     * Lets the loop read what the step sent, all in one round, and holds it before the next one: connections that are dialled
     * for it come up unseen.
     *
     * @return to be counted down, so that the loop goes on
     */
    static CountDownLatch pauseAfterReading(TestNode node, SocketAction action) throws Exception {
        CountDownLatch loopGate = node.blockLoop();
        action.run();
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch gate = new CountDownLatch(1);
        node.node.afterIoRound(() -> {
            entered.countDown();
            try {
                gate.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        loopGate.countDown();
        entered.await();
        return gate;
    }

    /** All that came over connections that nobody has accepted yet; the node is ended for that. */
    static String receiveFromPending(ServerSocket listener, TestNode node) throws IOException {
        node.node.stop();
        StringBuilder all = new StringBuilder();
        listener.setSoTimeout(100);
        try {
            while (true) {
                try (Socket socket = listener.accept()) {
                    all.append(receiveUntilClosed(socket, node));
                }
            }
        } catch (SocketTimeoutException none) {
            return all.toString();
        }
    }

    /** All that comes over the connection until its end; the node is ended for that. */
    static String receiveUntilClosed(Socket socket, TestNode node) throws IOException {
        node.node.stop();
        StringBuilder all = new StringBuilder();
        try {
            for (String message = receive(socket); !message.isEmpty(); message = receive(socket)) {
                all.append(message);
            }
        } catch (SocketException reset) {
            return all.toString();
        }
        return all.toString();
    }

    /** The entry of a second worker, which listens at that door. */
    static String secondWorkerEntry(TestNode node, ServerSocket listener, String state) {
        return node.workerEntry(state).replace("s-01", "s-02").replaceAll(":\\d+','zone", ":" + listener.getLocalPort() + "','zone");
    }

    /** Entries of so many workers, all behind that door: none has room for many jobs. */
    static String workerEntries(TestNode node, ServerSocket listener, String state, int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(i == 0 ? "" : ",").append(secondWorkerEntry(node, listener, state).replace("s-02", "s-1" + i));
        }
        return all.toString();
    }
}
