package hookweir.net;

import static hookweir.net.TestNode.receive;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.CountDownLatch;

/** Pauses the loop of a {@link TestNode} between two rounds of I/O, so that a test can choose what the next round finds. */
final class PausedLoop {
    private PausedLoop() {
    }

    /** An action of a test on a socket. */
    interface SocketAction {
        void run() throws IOException;
    }

    /**
     * Lets the loop read everything that the action sent in one round and pauses it before the next one, so that it does not
     * yet see that the connections it started in this round are established.
     *
     * @return latch that resumes the loop when it is counted down
     */
    static CountDownLatch pauseAfterReading(TestNode scheduler, SocketAction action) throws Exception {
        CountDownLatch loopGate = scheduler.blockLoop();
        action.run();
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch gate = new CountDownLatch(1);
        scheduler.node.afterIoRound(() -> {
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

    /** Stops the scheduler and returns everything that it sent on connections that the test has not accepted yet. */
    static String receiveFromPending(ServerSocket listener, TestNode scheduler) throws IOException {
        scheduler.node.stop();
        StringBuilder all = new StringBuilder();
        listener.setSoTimeout(100);
        try {
            while (true) {
                try (Socket socket = listener.accept()) {
                    all.append(receiveUntilClosed(socket, scheduler));
                }
            }
        } catch (SocketTimeoutException none) {
            return all.toString();
        }
    }

    /** Stops the scheduler and returns everything that arrives on the connection until it is closed. */
    static String receiveUntilClosed(Socket socket, TestNode scheduler) throws IOException {
        scheduler.node.stop();
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

    /** The list entry of a second worker, which listens on this socket. */
    static String secondWorkerEntry(TestNode scheduler, ServerSocket listener, String state) {
        return scheduler.workerEntry(state).replace("s-01", "s-02").replaceAll(":\\d+','zone", ":" + listener.getLocalPort() + "','zone");
    }

    /** The list entries of this many workers, all on this socket, so that jobs spread over them: none has capacity for many. */
    static String workerEntries(TestNode scheduler, ServerSocket listener, String state, int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(i == 0 ? "" : ",").append(secondWorkerEntry(scheduler, listener, state).replace("s-02", "s-1" + i));
        }
        return all.toString();
    }
}
