package hookweir.net;

import static hookweir.net.TestNode.hear;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.post;
import static hookweir.net.TestNode.say;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/** One small test for each failure found, and for the orders in which messages of a hop can come. */
class FailuresTest {
    private static final String TAKEN = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

    /** Classes without a key come to the bare path: it was answered 404. */
    @Test
    void barePathIsServed() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            say(client, job("a1"));
            try (Socket w = n.worker.accept()) {
                assertTrue(hear(w).startsWith("POST /api HTTP/1.1\r\n"));
                say(w, TAKEN);
                assertTrue(n.tell("a1", "s-01", "done").startsWith("HTTP/1.1 204"));
                String answer = hear(client);
                assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n\r\nr\u00e9s"), answer);
            }
        }
    }

    /** A call-back may come before the 202, may be repeated, and counts only from the worker that has the job. */
    @Test
    void callbackBeforeTheAnswerAndTwice() throws Exception {
        try (TestNode n = new TestNode("non_idempotent"); Socket client = n.connect()) {
            say(client, job("a2"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                assertTrue(n.tell("a2", "s-02", "failed").startsWith("HTTP/1.1 204"));
                assertTrue(n.tell("a2", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(n.tell("a2", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                say(w, TAKEN);
                assertEquals(1, n.node.invariants().counted("hops OK"));
                assertEquals(2, n.node.invariants().counted("call-backs for nothing"));
            }
        }
    }

    /** A connection that ends after the request's last byte and before the 202 is a reset: it may have run. */
    @Test
    void resetOfAnUnsafeJobFails() throws Exception {
        try (TestNode n = new TestNode("non_idempotent"); Socket client = n.connect()) {
            say(client, job("a3"));
            try (Socket w = n.worker.accept()) {
                hear(w);
            }
            assertTrue(hear(client).startsWith("HTTP/1.1 500"));
            assertEquals(1, n.node.invariants().counted("hops RESET"));
        }
    }

    /** Bad input gets its answer and no more. */
    @Test
    void badInputIsAnswered() throws Exception {
        try (TestNode n = new TestNode("read_like")) {
            assertTrue(n.ask(post("/api", "Req-Id: b1\r\nReq-Kind: unheard-of\r\n", "")).startsWith("HTTP/1.1 400"));
            assertTrue(n.ask(post("/api", "Req-Kind: render\r\n", "")).startsWith("HTTP/1.1 400"));
            assertTrue(n.ask(post("/elsewhere", "", "")).startsWith("HTTP/1.1 404"));
            assertTrue(n.ask(post("/callback", "", "no json")).startsWith("HTTP/1.1 400"));
            assertTrue(n.ask("what is this\r\n\r\n").startsWith("HTTP/1.1 "));
            assertTrue(n.ask(post("/api", "Req-Id: b2\r\nReq-Kind: render\r\n", "x".repeat(65_537))).startsWith("HTTP/1.1 413"));
            assertTrue(n.ask("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").startsWith("HTTP/1.1 200"));
        }
    }
}
