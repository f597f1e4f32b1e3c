package hookweir.net;

import static hookweir.net.TestNode.post;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How long a job whose body waits for memory is kept waiting. The scheduler's clock stands still but for the steps of the test. */
@Timeout(30)
final class BodyWaitLimitTest {
    private static final String LIMITS = "'sockets':128,'held_bytes':262144";
    private static final int BODY_BYTES = 60_000;
    /** Of these bodies as many fit into the share of the memory that is for bodies. */
    private static final int FITTING = 2;
    private static final long US_PER_MS = 1_000;
    private static final long STEP_MS = 20;
    private static final long CLASS_DEADLINE_MS = 400;

    private static Socket sendJob(TestNode node, String id, String deadlineHeader) throws IOException {
        Socket client = node.connect();
        send(client, post("/api", "Req-Id: " + id + "\r\nReq-Kind: render\r\n" + deadlineHeader, "b".repeat(BODY_BYTES)));
        return client;
    }

    /** A body waited for 0.5 to 0.7 s, however soon its client would give up: its answer came after the deadline. */
    @ParameterizedTest
    @CsvSource({"300, 150", "80, 40", "1000, 500", "20000, 500", ", 200"})
    void waitEndsWithHalfOfTheClientsTime(Long deadlineMs, long limitMs) throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode node = TestNode.withFrozenClock("read_like", CLASS_DEADLINE_MS * US_PER_MS, LIMITS)) {
            for (int i = 0; i < FITTING; i++) {
                clients.add(sendJob(node, "f" + i, "Req-Deadline-Ms: 20000\r\n"));
                node.awaitCount("requests", i + 1);
            }
            Socket waiting = sendJob(node, "w", deadlineMs == null ? "" : "Req-Deadline-Ms: " + deadlineMs + "\r\n");
            clients.add(waiting);
            node.awaitCount("ingress waits for room", 1);
            node.advanceInSteps((limitMs - STEP_MS) * US_PER_MS);
            assertEquals(0, waiting.getInputStream().available(), "memory may still become free");
            node.advanceInSteps(2 * STEP_MS * US_PER_MS);
            assertTrue(waiting.getInputStream().available() > 0, "a response in time");
            assertTrue(receive(waiting).startsWith("HTTP/1.1 429"));
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }
}
