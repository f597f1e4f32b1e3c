package hookweir.net;

import static hookweir.net.TestNode.ACCEPTED;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.Test;

/**
 * A scheduler stops while a worker runs a job that must never run twice, and is started again. The job counts as lost: its client gets
 * no response. The new process must not send the job again, and it has to accept a late callback for it, so that the worker stops
 * retrying the callback.
 */
final class RestartTest {
    @Test
    void restartedProcessAcceptsLateCallbackAndSendsNothing() throws Exception {
        Socket client;
        try (TestNode old = new TestNode("non_idempotent")) {
            client = old.connect();
            send(client, job("k1"));
            try (Socket worker = old.workerListener.accept()) {
                assertTrue(receive(worker).startsWith("POST /api"));
                send(worker, ACCEPTED);
                old.awaitCount("egress dials", 1);
            }
        }
        // The old process ended with the job pending: its client gets no response, only the end of the connection.
        assertTrue(receive(client).isEmpty(), "a response for a job of the old process");
        client.close();
        try (TestNode restarted = new TestNode("non_idempotent")) {
            assertTrue(restarted.sendCallback("k1", "s-01", "done").startsWith("HTTP/1.1 2"), "the late callback is accepted");
            restarted.awaitCount("call-backs for nothing", 1);
            restarted.workerListener.setSoTimeout(300);
            assertThrows(SocketTimeoutException.class, () -> restarted.workerListener.accept().close(), "the new process sent a job");
        }
    }
}
