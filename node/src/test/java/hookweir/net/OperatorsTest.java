package hookweir.net;

import static hookweir.net.TestNode.TAKEN;
import static hookweir.net.TestNode.hear;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.say;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.config.ConfigReader;
import hookweir.net.admin.AdminServer;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The operators' address, and what it does to clients. */
@Timeout(60)
class OperatorsTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    @Test
    void callsAreAnsweredByTheirNames() throws Exception {
        try (TestNode n = new TestNode("read_like")) {
            assertTrue(n.call("GET", "health").startsWith("HTTP/1.1 200"));
            assertTrue(n.call("GET", "nothing").startsWith("HTTP/1.1 404"));
            assertTrue(n.call("POST", "quiesce").startsWith("HTTP/1.1 405"));
            assertTrue(n.call("PUT", "health").startsWith("HTTP/1.1 405"));
            assertTrue(n.ask(HEALTHZ).startsWith("HTTP/1.1 200"));
        }
    }

    /** Callers that say nothing, or half a call, take their reserved places and no more; a real call passes them. */
    @Test
    void silentCallersHoldUpNobody() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        try (TestNode n = new TestNode("read_like")) {
            for (int i = 0; i < 2 * AdminServer.MAX_CONNECTIONS; i++) {
                crowd.add(n.admin());
                if (i % 2 == 0) {
                    say(crowd.get(i), "GET /admin/he");
                }
            }
            assertTrue(n.call("GET", "health").startsWith("HTTP/1.1 200"));
            assertEquals(-1, crowd.get(0).getInputStream().read());
        } finally {
            for (Socket s : crowd) {
                s.close();
            }
        }
    }

    /** A loop that always has something to do keeps no operator waiting. */
    @Test
    void answersDoNotQueueBehindTheLoop() throws Exception {
        try (TestNode n = new TestNode("read_like")) {
            CountDownLatch gate = n.busy();
            assertTrue(n.call("GET", "health").startsWith("HTTP/1.1 200"));
            assertTrue(n.call("GET", "stats").startsWith("HTTP/1.1 200"));
            assertTrue(n.call("PUT", "quiesce").startsWith("HTTP/1.1 200"));
            assertEquals(0, n.node.invariants().counted("let go"));
            gate.countDown();
            n.awaitCount("let go", 1);
            assertTrue(n.ask(HEALTHZ).startsWith("HTTP/1.1 503"));
        }
    }

    /** Quiesced: kept connections go, those in use go with their answer, new ones are served once; resume undoes it whole. */
    @Test
    void clientsAreSentAwayAndCalledBack() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket idle = n.connect(); Socket busy = n.connect();
                Socket half = n.connect(); Socket worker = n.connect()) {
            say(idle, HEALTHZ);
            hear(idle);
            say(worker, TestNode.post("/callback", "", "{\"id\":\"x\",\"from\":\"y\",\"state\":\"done\"}"));
            hear(worker);
            say(busy, job("q1"));
            say(half, HEALTHZ.substring(0, 9));
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(w, TAKEN);
                assertTrue(n.call("PUT", "quiesce").startsWith("HTTP/1.1 200"));
                assertTrue(n.call("PUT", "quiesce").startsWith("HTTP/1.1 200"));
                assertEquals(-1, idle.getInputStream().read());
                String no = n.ask(HEALTHZ);
                assertTrue(no.startsWith("HTTP/1.1 503") && no.contains("Connection: close"), no);
                assertTrue(n.call("GET", "health").startsWith("HTTP/1.1 200"));
                say(half, HEALTHZ.substring(9));
                assertTrue(hear(half).startsWith("HTTP/1.1 503"));
                say(worker, TestNode.post("/callback", "", "{\"id\":\"q1\",\"from\":\"s-01\",\"state\":\"done\"}"));
                assertTrue(!hear(worker).contains("Connection: close"));
                assertTrue(hear(busy).contains("Connection: close"));
                assertEquals(-1, busy.getInputStream().read());
            }
            assertTrue(n.call("PUT", "resume").startsWith("HTTP/1.1 200"));
            try (Socket back = n.connect()) {
                for (int i = 0; i < 2; i++) {
                    say(back, HEALTHZ);
                    String yes = hear(back);
                    assertTrue(yes.startsWith("HTTP/1.1 200") && !yes.contains("Connection: close"), yes);
                }
            }
        }
    }

    /** Each figure is counted where what it counts happens; a client that left counts as no end. */
    @Test
    void figuresTellWhatPeersSaw() throws Exception {
        try (TestNode n = new TestNode("non_idempotent"); Socket client = n.connect()) {
            String none = n.call("GET", "stats");
            for (String zero : List.of("success_total{type=\"render\"}", "overload_total{type=\"render\"}", "error_total{type=\"render\"}",
                    "dispatches_total", "concurrent", "reload_success_total", "reload_failure_total")) {
                assertEquals(0, figure(none, zero));
            }
            say(client, job("s1"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(w, TAKEN);
                assertEquals(1, figure(n.call("GET", "stats"), "concurrent"));
                n.tell("s1", "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                say(client, job("s2"));
                hear(w);
            }
            assertTrue(hear(client).startsWith("HTTP/1.1 500"));
            try (Socket leaver = n.connect()) {
                say(leaver, job("s3"));
                n.awaitCount("requests", 3);
            }
            n.awaitCount("clients gone", 1);
            String all = n.call("GET", "stats");
            assertEquals(1, figure(all, "success_total{type=\"render\"}"));
            assertEquals(0, figure(all, "overload_total{type=\"render\"}"));
            assertEquals(1, figure(all, "error_total{type=\"render\"}"));
            assertEquals(0, figure(all, "concurrent"));
            assertTrue(figure(all, "dispatches_total") >= 2, all); // the third may have left, too
            assertEquals(1, figure(all, "targets"));
        }
    }

    private static long figure(String text, String name) {
        String line = text.lines().filter(l -> l.startsWith("svc_" + name + " ")).findFirst().orElseThrow();
        return Long.parseLong(line.substring(line.lastIndexOf(' ') + 1));
    }

    /** What operators call back after SIGTERM stays away. */
    @Test
    void resumeDoesNotUndoAPlannedEnd() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            say(client, job("q2"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(w, TAKEN);
                n.call("PUT", "quiesce");
                n.node.drain();
                n.call("PUT", "resume");
                assertTrue(n.ask(HEALTHZ).startsWith("HTTP/1.1 503"));
                assertTrue(n.call("GET", "health").startsWith("HTTP/1.1 503"));
                n.tell("q2", "s-01", "done");
                assertTrue(hear(client).contains("Connection: close"));
                n.loop.join();
            }
        }
    }

    /** An address that is taken ends the start, and the message names its key. */
    @Test
    void takenAddressIsNamed() throws Exception {
        try (TestNode n = new TestNode("read_like")) {
            Path file = Files.createTempFile("hookweir", ".json");
            Files.writeString(file, n.config("127.0.0.1:1"));
            Node second = new Node(ConfigReader.fromFile(file, Map.of("RELAY_ADMIN_ADDR", "127.0.0.1:" + n.node.adminPort())));
            Files.delete(file);
            IOException e = assertThrows(IOException.class, second::start);
            assertTrue(e.getMessage().contains("admin_addr"), e.getMessage());
            second.stop();
            second.run();
        }
    }
}
