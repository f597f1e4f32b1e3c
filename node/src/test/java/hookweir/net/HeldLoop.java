package hookweir.net;

import static hookweir.net.TestNode.hear;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.CountDownLatch;

/** Holds the loop of a {@link TestNode} between two rounds of I/O, so that a test can order what it finds in the next one. */
final class HeldLoop {
    private HeldLoop() {
    }

    /** Something that a test does by a socket. */
    interface Step {
        void run() throws IOException;
    }

    /**
     * Lets the loop read what the step sent, all in one round, and holds it before the next one: connections that are dialled
     * for it come up unseen.
     *
     * @return to be counted down, so that the loop goes on
     */
    static CountDownLatch afterReading(TestNode n, Step step) throws Exception {
        CountDownLatch before = n.deaf();
        step.run();
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch gate = new CountDownLatch(1);
        n.node.afterIoRound(() -> {
            entered.countDown();
            try {
                gate.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        before.countDown();
        entered.await();
        return gate;
    }

    /** All that came over connections that nobody has accepted yet; the node is ended for that. */
    static String sentTo(ServerSocket door, TestNode n) throws IOException {
        n.node.stop();
        StringBuilder all = new StringBuilder();
        door.setSoTimeout(100);
        try {
            while (true) {
                try (Socket s = door.accept()) {
                    all.append(sentOn(s, n));
                }
            }
        } catch (SocketTimeoutException none) {
            return all.toString();
        }
    }

    /** All that comes over the connection until its end; the node is ended for that. */
    static String sentOn(Socket s, TestNode n) throws IOException {
        n.node.stop();
        StringBuilder all = new StringBuilder();
        try {
            for (String message = hear(s); !message.isEmpty(); message = hear(s)) {
                all.append(message);
            }
        } catch (SocketException reset) {
            return all.toString();
        }
        return all.toString();
    }

    /** The entry of a second worker, which listens at that door. */
    static String second(TestNode n, ServerSocket door, String state) {
        return n.entry(state).replace("s-01", "s-02").replaceAll(":\\d+','zone", ":" + door.getLocalPort() + "','zone");
    }

    /** Entries of so many workers, all behind that door: none has room for many jobs. */
    static String many(TestNode n, ServerSocket door, String state, int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(i == 0 ? "" : ",").append(second(n, door, state).replace("s-02", "s-1" + i));
        }
        return all.toString();
    }
}
