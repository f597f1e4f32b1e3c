package hookweir.net;

import static hookweir.net.TestNode.ACCEPTED;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
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
class AdminEndpointTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    @Test
    void endpointsAreRoutedByMethodAndName() throws Exception {
        try (TestNode n = new TestNode("read_like")) {
            assertTrue(n.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
            assertTrue(n.adminCall("GET", "nothing").startsWith("HTTP/1.1 404"));
            assertTrue(n.adminCall("POST", "quiesce").startsWith("HTTP/1.1 405"));
            assertTrue(n.adminCall("PUT", "health").startsWith("HTTP/1.1 405"));
            assertTrue(n.request(HEALTHZ).startsWith("HTTP/1.1 200"));
        }
    }

    /** Callers that say nothing, or half a call, take their reserved places and no more; a real call passes them. */
    @Test
    void idleAdminConnectionsDoNotBlockCalls() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        try (TestNode n = new TestNode("read_like")) {
            for (int i = 0; i < 2 * AdminServer.MAX_CONNECTIONS; i++) {
                crowd.add(n.connectAdmin());
                if (i % 2 == 0) {
                    send(crowd.get(i), "GET /admin/he");
                }
            }
            assertTrue(n.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
            assertEquals(-1, crowd.get(0).getInputStream().read());
        } finally {
            for (Socket s : crowd) {
                s.close();
            }
        }
    }

    /** A loop that always has something to do keeps no operator waiting. */
    @Test
    void responsesDoNotWaitForTheLoop() throws Exception {
        try (TestNode n = new TestNode("read_like")) {
            CountDownLatch gate = n.keepLoopBusy();
            assertTrue(n.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
            assertTrue(n.adminCall("GET", "stats").startsWith("HTTP/1.1 200"));
            assertTrue(n.adminCall("PUT", "quiesce").startsWith("HTTP/1.1 200"));
            assertEquals(0, n.node.invariants().counted("let go"));
            gate.countDown();
            n.awaitCount("let go", 1);
            assertTrue(n.request(HEALTHZ).startsWith("HTTP/1.1 503"));
        }
    }

    /** Quiesced: kept connections go, those in use go with their answer, new ones are served once; resume undoes it whole. */
    @Test
    void quiesceClosesClientConnectionsAndResumeUndoesIt() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket idle = n.connect(); Socket busy = n.connect();
                Socket half = n.connect(); Socket worker = n.connect()) {
            send(idle, HEALTHZ);
            receive(idle);
            send(worker, TestNode.post("/callback", "", "{\"id\":\"x\",\"from\":\"y\",\"state\":\"done\"}"));
            receive(worker);
            send(busy, job("q1"));
            send(half, HEALTHZ.substring(0, 9));
            try (Socket w = n.workerListener.accept()) {
                receive(w);
                send(w, ACCEPTED);
                assertTrue(n.adminCall("PUT", "quiesce").startsWith("HTTP/1.1 200"));
                assertTrue(n.adminCall("PUT", "quiesce").startsWith("HTTP/1.1 200"));
                assertEquals(-1, idle.getInputStream().read());
                String no = n.request(HEALTHZ);
                assertTrue(no.startsWith("HTTP/1.1 503") && no.contains("Connection: close"), no);
                assertTrue(n.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
                send(half, HEALTHZ.substring(9));
                assertTrue(receive(half).startsWith("HTTP/1.1 503"));
                send(worker, TestNode.post("/callback", "", "{\"id\":\"q1\",\"from\":\"s-01\",\"state\":\"done\"}"));
                assertTrue(!receive(worker).contains("Connection: close"));
                assertTrue(receive(busy).contains("Connection: close"));
                assertEquals(-1, busy.getInputStream().read());
            }
            assertTrue(n.adminCall("PUT", "resume").startsWith("HTTP/1.1 200"));
            try (Socket back = n.connect()) {
                for (int i = 0; i < 2; i++) {
                    send(back, HEALTHZ);
                    String yes = receive(back);
                    assertTrue(yes.startsWith("HTTP/1.1 200") && !yes.contains("Connection: close"), yes);
                }
            }
        }
    }

    /** Each figure is counted where what it counts happens; a client that left counts as no end. */
    @Test
    void metricsMatchWhatPeersSaw() throws Exception {
        try (TestNode n = new TestNode("non_idempotent"); Socket client = n.connect()) {
            String none = n.adminCall("GET", "stats");
            for (String zero : List.of("success_total{type=\"render\"}", "overload_total{type=\"render\"}", "error_total{type=\"render\"}",
                    "dispatches_total", "concurrent", "reload_success_total", "reload_failure_total")) {
                assertEquals(0, metric(none, zero));
            }
            send(client, job("s1"));
            try (Socket w = n.workerListener.accept()) {
                receive(w);
                send(w, ACCEPTED);
                assertEquals(1, metric(n.adminCall("GET", "stats"), "concurrent"));
                n.sendCallback("s1", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                send(client, job("s2"));
                receive(w);
            }
            assertTrue(receive(client).startsWith("HTTP/1.1 500"));
            try (Socket leaver = n.connect()) {
                send(leaver, job("s3"));
                n.awaitCount("requests", 3);
            }
            n.awaitCount("clients gone", 1);
            String all = n.adminCall("GET", "stats");
            assertEquals(1, metric(all, "success_total{type=\"render\"}"));
            assertEquals(0, metric(all, "overload_total{type=\"render\"}"));
            assertEquals(1, metric(all, "error_total{type=\"render\"}"));
            assertEquals(0, metric(all, "concurrent"));
            assertTrue(metric(all, "dispatches_total") >= 2, all); // the third may have left, too
            assertEquals(1, metric(all, "targets"));
        }
    }

    private static long metric(String text, String name) {
        String line = text.lines().filter(l -> l.startsWith("svc_" + name + " ")).findFirst().orElseThrow();
        return Long.parseLong(line.substring(line.lastIndexOf(' ') + 1));
    }

    /** What operators call back after SIGTERM stays away. */
    @Test
    void resumeDoesNotCancelADrain() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            send(client, job("q2"));
            try (Socket w = n.workerListener.accept()) {
                receive(w);
                send(w, ACCEPTED);
                n.adminCall("PUT", "quiesce");
                n.node.drain();
                n.adminCall("PUT", "resume");
                assertTrue(n.request(HEALTHZ).startsWith("HTTP/1.1 503"));
                assertTrue(n.adminCall("GET", "health").startsWith("HTTP/1.1 503"));
                n.sendCallback("q2", "s-01", "done");
                assertTrue(receive(client).contains("Connection: close"));
                n.loopThread.join();
            }
        }
    }

    /** An address that is taken ends the start, and the message names its key. */
    @Test
    void addressInUseIsNamedInTheError() throws Exception {
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
