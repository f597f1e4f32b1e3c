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
 * A scheduler stopped while a worker holds a job that must never run twice, then a new life of it: the brief
 * promises no answer for what the old life took (it is lost), and the new life must not make more of it than that:
 * it sends the job nowhere again, and a late call-back for it is taken, so that the worker stops trying.
 */
final class RestartTest {
    @Test
    void restartedProcessAcceptsLateCallbackAndSendsNothing() throws Exception {
        Socket client;
        try (TestNode old = new TestNode("non_idempotent")) {
            client = old.connect();
            send(client, job("k1"));
            try (Socket w = old.workerListener.accept()) {
                assertTrue(receive(w).startsWith("POST /api"));
                send(w, ACCEPTED);
                old.awaitCount("egress dials", 1);
            }
        }
        // The old life ended with the job held: its client hears no answer, only the end of its connection.
        assertTrue(receive(client).isEmpty(), "an answer for what the old life held");
        client.close();
        try (TestNode again = new TestNode("non_idempotent")) {
            assertTrue(again.sendCallback("k1", "s-01", "done").startsWith("HTTP/1.1 2"), "the late call-back is taken");
            again.awaitCount("call-backs for nothing", 1);
            again.workerListener.setSoTimeout(300);
            assertThrows(SocketTimeoutException.class, () -> again.workerListener.accept().close(), "the new life sent work");
        }
    }
}
