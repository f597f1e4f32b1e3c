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

/** The admin address and the effect of its calls on client connections. */
@Timeout(60)
class AdminEndpointTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    @Test
    void endpointsAreRoutedByMethodAndName() throws Exception {
        try (TestNode scheduler = new TestNode("read_like")) {
            assertTrue(scheduler.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
            assertTrue(scheduler.adminCall("GET", "nothing").startsWith("HTTP/1.1 404"));
            assertTrue(scheduler.adminCall("POST", "quiesce").startsWith("HTTP/1.1 405"));
            assertTrue(scheduler.adminCall("PUT", "health").startsWith("HTTP/1.1 405"));
            assertTrue(scheduler.request(HEALTHZ).startsWith("HTTP/1.1 200"));
        }
    }

    /** Connections that send nothing or half a request use only the reserved number of connections: a complete call still gets a response. */
    @Test
    void idleAdminConnectionsDoNotBlockCalls() throws Exception {
        List<Socket> connections = new ArrayList<>();
        try (TestNode scheduler = new TestNode("read_like")) {
            for (int i = 0; i < 2 * AdminServer.MAX_CONNECTIONS; i++) {
                connections.add(scheduler.connectAdmin());
                if (i % 2 == 0) {
                    send(connections.get(i), "GET /admin/he");
                }
            }
            assertTrue(scheduler.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
            assertEquals(-1, connections.get(0).getInputStream().read());
        } finally {
            for (Socket s : connections) {
                s.close();
            }
        }
    }

    /** Admin calls must not wait while the loop is always busy. */
    @Test
    void responsesDoNotWaitForTheLoop() throws Exception {
        try (TestNode scheduler = new TestNode("read_like")) {
            CountDownLatch gate = scheduler.keepLoopBusy();
            assertTrue(scheduler.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
            assertTrue(scheduler.adminCall("GET", "stats").startsWith("HTTP/1.1 200"));
            assertTrue(scheduler.adminCall("PUT", "quiesce").startsWith("HTTP/1.1 200"));
            assertEquals(0, scheduler.node.invariants().counted("let go"));
            gate.countDown();
            scheduler.awaitCount("let go", 1);
            assertTrue(scheduler.request(HEALTHZ).startsWith("HTTP/1.1 503"));
        }
    }

    /**
     * While quiesced, idle client connections are closed, busy ones are closed after their response, and new ones get one response;
     * callback connections stay open. Resume undoes all of it.
     */
    @Test
    void quiesceClosesClientConnectionsAndResumeUndoesIt() throws Exception {
        try (TestNode scheduler = new TestNode("read_like"); Socket idle = scheduler.connect(); Socket busy = scheduler.connect();
                Socket half = scheduler.connect(); Socket callbacks = scheduler.connect()) {
            send(idle, HEALTHZ);
            receive(idle);
            send(callbacks, TestNode.post("/callback", "", "{\"id\":\"x\",\"from\":\"y\",\"state\":\"done\"}"));
            receive(callbacks);
            send(busy, job("q1"));
            send(half, HEALTHZ.substring(0, 9));
            try (Socket worker = scheduler.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                assertTrue(scheduler.adminCall("PUT", "quiesce").startsWith("HTTP/1.1 200"));
                assertTrue(scheduler.adminCall("PUT", "quiesce").startsWith("HTTP/1.1 200"));
                assertEquals(-1, idle.getInputStream().read());
                String no = scheduler.request(HEALTHZ);
                assertTrue(no.startsWith("HTTP/1.1 503") && no.contains("Connection: close"), no);
                assertTrue(scheduler.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
                send(half, HEALTHZ.substring(9));
                assertTrue(receive(half).startsWith("HTTP/1.1 503"));
                send(callbacks, TestNode.post("/callback", "", "{\"id\":\"q1\",\"from\":\"s-01\",\"state\":\"done\"}"));
                assertTrue(!receive(callbacks).contains("Connection: close"));
                assertTrue(receive(busy).contains("Connection: close"));
                assertEquals(-1, busy.getInputStream().read());
            }
            assertTrue(scheduler.adminCall("PUT", "resume").startsWith("HTTP/1.1 200"));
            try (Socket back = scheduler.connect()) {
                for (int i = 0; i < 2; i++) {
                    send(back, HEALTHZ);
                    String yes = receive(back);
                    assertTrue(yes.startsWith("HTTP/1.1 200") && !yes.contains("Connection: close"), yes);
                }
            }
        }
    }

    /** Each metric is counted where its event happens; a job whose client disconnected counts as no outcome. */
    @Test
    void metricsMatchWhatPeersSaw() throws Exception {
        try (TestNode scheduler = new TestNode("non_idempotent"); Socket client = scheduler.connect()) {
            String none = scheduler.adminCall("GET", "stats");
            for (String zero : List.of("success_total{type=\"render\"}", "overload_total{type=\"render\"}", "error_total{type=\"render\"}",
                    "dispatches_total", "concurrent", "reload_success_total", "reload_failure_total")) {
                assertEquals(0, metric(none, zero));
            }
            send(client, job("s1"));
            try (Socket worker = scheduler.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                assertEquals(1, metric(scheduler.adminCall("GET", "stats"), "concurrent"));
                scheduler.sendCallback("s1", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                send(client, job("s2"));
                receive(worker);
            }
            assertTrue(receive(client).startsWith("HTTP/1.1 500"));
            try (Socket departing = scheduler.connect()) {
                send(departing, job("s3"));
                scheduler.awaitCount("requests", 3);
            }
            scheduler.awaitCount("clients gone", 1);
            String all = scheduler.adminCall("GET", "stats");
            assertEquals(1, metric(all, "success_total{type=\"render\"}"));
            assertEquals(0, metric(all, "overload_total{type=\"render\"}"));
            assertEquals(1, metric(all, "error_total{type=\"render\"}"));
            assertEquals(0, metric(all, "concurrent"));
            assertTrue(metric(all, "dispatches_total") >= 2, all); // the third job may have been sent, too
            assertEquals(1, metric(all, "targets"));
        }
    }

    private static long metric(String text, String name) {
        String line = text.lines().filter(l -> l.startsWith("svc_" + name + " ")).findFirst().orElseThrow();
        return Long.parseLong(line.substring(line.lastIndexOf(' ') + 1));
    }

    /** A resume after SIGTERM does not accept clients again. */
    @Test
    void resumeDoesNotCancelADrain() throws Exception {
        try (TestNode scheduler = new TestNode("read_like"); Socket client = scheduler.connect()) {
            send(client, job("q2"));
            try (Socket worker = scheduler.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                scheduler.adminCall("PUT", "quiesce");
                scheduler.node.drain();
                scheduler.adminCall("PUT", "resume");
                assertTrue(scheduler.request(HEALTHZ).startsWith("HTTP/1.1 503"));
                assertTrue(scheduler.adminCall("GET", "health").startsWith("HTTP/1.1 503"));
                scheduler.sendCallback("q2", "s-01", "done");
                assertTrue(receive(client).contains("Connection: close"));
                scheduler.loopThread.join();
            }
        }
    }

    /** An admin address that is already in use makes the start fail, and the message names its setting. */
    @Test
    void addressInUseIsNamedInTheError() throws Exception {
        try (TestNode scheduler = new TestNode("read_like")) {
            Path file = Files.createTempFile("hookweir", ".json");
            Files.writeString(file, scheduler.config("127.0.0.1:1"));
            Node second = new Node(ConfigReader.fromFile(file, Map.of("RELAY_ADMIN_ADDR", "127.0.0.1:" + scheduler.node.adminPort())));
            Files.delete(file);
            IOException e = assertThrows(IOException.class, second::start);
            assertTrue(e.getMessage().contains("admin_addr"), e.getMessage());
            second.stop();
            second.run();
        }
    }
}
