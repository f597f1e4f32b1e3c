package hookweir.net;

import static hookweir.net.TestNode.TAKEN;
import static hookweir.net.TestNode.hear;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.post;
import static hookweir.net.TestNode.say;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Regression tests, one for each fault found, and for the orders in which the messages of an attempt can arrive. */
class FailuresTest {
    /** Jobs of classes without a key are sent to /api without a suffix, which was once answered with 404. */
    @Test
    void apiPathWithoutKeyIsServed() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            say(client, job("a1"));
            try (Socket worker = node.worker.accept()) {
                assertTrue(hear(worker).startsWith("POST /api HTTP/1.1\r\n"));
                say(worker, TAKEN);
                assertTrue(node.tell("a1", "s-01", "done").startsWith("HTTP/1.1 204"));
                String response = hear(client);
                assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("\r\n\r\nr\u00e9s"), response);
            }
        }
    }

    /** A callback may arrive before the 202 and may be repeated, and counts only if it is from the worker that has the job. */
    @Test
    void earlyAndRepeatedCallbacksAreHandled() throws Exception {
        try (TestNode node = new TestNode("non_idempotent"); Socket client = node.connect()) {
            say(client, job("a2"));
            try (Socket worker = node.worker.accept()) {
                hear(worker);
                assertTrue(node.tell("a2", "s-02", "failed").startsWith("HTTP/1.1 204"));
                assertTrue(node.tell("a2", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(node.tell("a2", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                say(worker, TAKEN);
                assertEquals(1, node.node.invariants().counted("attempts OK"));
                node.awaitCount("call-backs for nothing", 2); // counted after the response is sent
            }
        }
    }

    /** A connection that ends after the last byte of the job and before the 202 counts as a reset: the job may have run. */
    @Test
    void resetFailsNonIdempotentJob() throws Exception {
        try (TestNode node = new TestNode("non_idempotent"); Socket client = node.connect()) {
            say(client, job("a3"));
            try (Socket worker = node.worker.accept()) {
                hear(worker);
            }
            assertTrue(hear(client).startsWith("HTTP/1.1 500"));
            assertEquals(1, node.node.invariants().counted("attempts RESET"));
        }
    }

    /** Invalid requests get an error response and have no other effect. */
    @Test
    void invalidRequestsGetErrorResponses() throws Exception {
        try (TestNode node = new TestNode("read_like")) {
            assertTrue(node.ask(post("/api", "Req-Id: b1\r\nReq-Kind: unheard-of\r\n", "")).startsWith("HTTP/1.1 400"));
            assertTrue(node.ask(post("/api", "Req-Kind: render\r\n", "")).startsWith("HTTP/1.1 400"));
            assertTrue(node.ask(post("/elsewhere", "", "")).startsWith("HTTP/1.1 404"));
            assertTrue(node.ask(post("/callback", "", "no json")).startsWith("HTTP/1.1 400"));
            assertTrue(node.ask("what is this\r\n\r\n").startsWith("HTTP/1.1 "));
            assertTrue(node.ask(post("/api", "Req-Id: b2\r\nReq-Kind: render\r\n", "x".repeat(65_537))).startsWith("HTTP/1.1 413"));
            assertTrue(node.ask("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").startsWith("HTTP/1.1 200"));
        }
    }

    /** A job past its deadline gets its final response, and the worker that accepted it gets a DELETE. */
    @Test
    void jobPastDeadlineIsAbandoned() throws Exception {
        try (TestNode node = new TestNode("non_idempotent", 3_000_000); Socket client = node.connect()) {
            say(client, post("/api", "Req-Id: a4\r\nReq-Kind: render\r\nReq-Deadline-Ms: 3000\r\n", "work"));
            try (Socket worker = node.worker.accept()) {
                hear(worker);
                say(worker, TAKEN);
                assertTrue(hear(client).startsWith("HTTP/1.1 500"));
                assertTrue(hear(worker).startsWith("DELETE /jobs/a4 HTTP/1.1\r\n"));
            }
        }
    }

    /** During a drain a pending job is completed and its connection closed, and then the process ends. */
    @Test
    void drainCompletesPendingJobs() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            say(client, job("a5"));
            try (Socket worker = node.worker.accept()) {
                hear(worker);
                say(worker, TAKEN);
                node.node.drain();
                assertTrue(node.ask("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").startsWith("HTTP/1.1 503"));
                assertTrue(node.tell("a5", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                assertEquals(-1, client.getInputStream().read());
                node.loop.join(20_000);
                assertFalse(node.loop.isAlive());
            }
        }
    }

    /** A failed list call is repeated; the lines of a watch may be split anywhere, and invalid ones are counted. */
    @Test
    void failedWatchIsRestarted() throws Exception {
        try (TestNode node = TestNode.unconfirmed("read_like")) {
            try (Socket listService = node.list.accept()) {
                assertTrue(hear(listService).startsWith("GET /v1/servers?watch=1&after=7 HTTP/1.1\r\n"));
                say(listService, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            }
            try (Socket listService = node.list.accept()) {
                hear(listService);
                String line = ("{'version':9,'full':true,'servers':[" + node.entry("SERVING") + "]}\n").replace('\'', '"');
                say(listService, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n4\r\nbad\n\r\n");
                say(listService, "5\r\n" + line.substring(0, 5) + "\r\n" + Integer.toHexString(line.length() - 5) + "\r\n" + line.substring(5) + "\r\n");
            }
            try (Socket listService = node.list.accept()) {
                assertTrue(hear(listService).startsWith("GET /v1/servers?watch=1&after=9 HTTP/1.1\r\n"));
                assertEquals(1, node.node.invariants().counted("discovery bad line"));
            }
        }
    }

    /** Buffers return to the pool. Once the headers of each request kept one out of it. */
    @Test
    void buffersAreReused() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            for (int i = 0; i < 100; i++) {
                say(client, post("/callback", "", "{\"id\":\"x\",\"from\":\"y\",\"state\":\"done\"}"));
                assertTrue(hear(client).startsWith("HTTP/1.1 204"));
                say(client, post("/api", "Req-Id: b1\r\n", "work"));
                assertTrue(hear(client).endsWith("Req-Kind is missing or unknown")); // a response with a body
            }
            try (Socket worker = serveOnce(node, client, null, 0)) {
                for (int i = 1; i < 15; i++) {
                    serveOnce(node, client, worker, i);
                }
            }
            assertTrue(node.node.invariants().counted("buffers made") < 12, node.node.invariants().toString());
        }
    }

    private static Socket serveOnce(TestNode node, Socket client, Socket reused, int i) throws Exception {
        say(client, job("e" + i));
        Socket worker = reused == null ? node.worker.accept() : reused;
        hear(worker);
        say(worker, TAKEN);
        node.tell("e" + i, "s-01", "done");
        assertTrue(hear(client).startsWith("HTTP/1.1 200"));
        return worker;
    }

    /** A worker that drains must get no new job, counted from a job's first byte: a connection that opens after the drain carries nothing. */
    @Test
    @Timeout(60)
    void connectionOpenedAfterDrainCarriesNothing() throws Exception {
        try (TestNode node = new TestNode("non_idempotent"); Socket client = node.connect(); Socket listService = node.watch) {
            List<Socket> fillers = new ArrayList<>();
            for (int i = 0; i < 2; i++) { // fill the worker's backlog of one, so that the next connect waits
                fillers.add(new Socket(node.worker.getInetAddress(), node.worker.getLocalPort()));
            }
            say(client, job("a6"));
            node.awaitCount("egress dials", 1);
            String line = ("{'version':8,'full':false,'servers':[" + node.entry("DRAINING") + "]}\n").replace('\'', '"');
            say(listService, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
            node.awaitCount("list updates", 3);
            for (Socket filler : fillers) {
                node.worker.accept().close();
                filler.close();
            }
            node.awaitCount("attempts CONNECT_FAILED", 1);
            try (Socket worker = node.worker.accept()) {
                node.node.stop();
                assertEquals("", hear(worker));
            }
        }
    }

    /** A client that sends Expect: 100-continue gets a 100 before it sends its body. */
    @Test
    void expectContinueIsAnswered() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            say(client, "POST /callback HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
            assertTrue(hear(client).startsWith("HTTP/1.1 100"));
            say(client, "{}");
            assertTrue(hear(client).startsWith("HTTP/1.1 400"));
        }
    }

    /** Request smuggling: a request inside the body of another with two lengths was once forwarded; the outer one is rejected now. */
    @Test
    void smuggledRequestIsNotForwarded() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            String hidden = job("h2");
            say(client, "POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: h1\r\nReq-Kind: render\r\nTransfer-Encoding: chunked\r\nContent-Length: "
                + (5 + hidden.length()) + "\r\n\r\n0\r\n\r\n" + hidden);
            assertTrue(hear(client).startsWith("HTTP/1.1 400"));
            assertEquals("", hear(client));
            assertEquals(0, node.node.invariants().counted("requests"));
        }
    }

    /** Invalid input ends a connection, but only after the response to the request accepted before it. */
    @Test
    void acceptedRequestIsAnsweredBeforeTheError() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            say(client, job("h3") + "\u0001");
            try (Socket worker = node.worker.accept()) {
                hear(worker);
                say(worker, TAKEN);
                node.tell("h3", "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                assertTrue(hear(client).startsWith("HTTP/1.1 400"));
                assertEquals(-1, client.getInputStream().read());
            }
        }
    }

    /** Silent connections were once kept for a minute, and connections with half a request forever. */
    @Test
    void silentAndSlowClientsAreDisconnected() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket silent = node.connect(); Socket slow = node.connect()) {
            say(slow, "POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
            assertEquals(-1, silent.getInputStream().read());
            assertTrue(hear(slow).startsWith("HTTP/1.1 408"));
        }
    }

    /** At the connection limit a new client sending its job was once evicted before many idle clients that had sent one request. */
    @Test
    void idleClientsDoNotDisplaceASendingClient() throws Exception {
        List<Socket> idleClients = new ArrayList<>();
        try (TestNode node = new TestNode("read_like")) {
            while (node.node.invariants().counted("ingress closed at the cap") == 0) {
                requestAndKeepOpen(node, idleClients);
            }
            try (Socket sendingClient = node.connect()) {
                String job = job("l1");
                say(sendingClient, job.substring(0, job.length() / 2));
                for (int i = 0; i < 60; i++) { // more than the connection limit
                    requestAndKeepOpen(node, idleClients);
                }
                say(sendingClient, job.substring(job.length() / 2));
                try (Socket worker = node.worker.accept()) {
                    hear(worker);
                    say(worker, TAKEN);
                    node.tell("l1", "s-01", "done");
                    assertTrue(hear(sendingClient).startsWith("HTTP/1.1 200"));
                }
            }
        } finally {
            for (Socket client : idleClients) {
                client.close();
            }
        }
    }

    private static void requestAndKeepOpen(TestNode node, List<Socket> idleClients) throws IOException {
        Socket client = node.connect();
        idleClients.add(client);
        say(client, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
        assertTrue(hear(client).startsWith("HTTP/1.1 200"));
    }

    /** Hundreds of requests pipelined on one connection: once the connection was closed and the response being written was lost. */
    @Test
    void manyPipelinedRequestsAreAnswered() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            say(client, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n".repeat(400));
            for (int i = 0; i < 400; i++) {
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** A deadline that is not a plain decimal number is rejected; its meaning was once guessed. */
    @Test
    void malformedDeadlinesAreRejected() throws Exception {
        try (TestNode node = new TestNode("read_like")) {
            for (String odd : List.of("1e3", "-5", "0x10", "12.5", "soon", "1d", "99999999999")) {
                assertTrue(node.ask(post("/api", "Req-Id: f1\r\nReq-Kind: render\r\nReq-Deadline-Ms: " + odd + "\r\n", "")).startsWith("HTTP/1.1 400"), odd);
            }
        }
    }

    /** A JVM ends on SIGHUP unless a handler is installed. */
    @Test
    void sighupIsHandled() throws Exception {
        CountDownLatch signalled = new CountDownLatch(1);
        SighupHandler.install();
        SighupHandler.onSignal(signalled::countDown);
        new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid())).start();
        signalled.await();
    }

    /** A reload switches to the list service named in the file, despite a variable that names another; an invalid file is ignored. */
    @Test
    void reloadChangesListServiceAddress() throws Exception {
        try (TestNode node = new TestNode("read_like"); ServerSocket next = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            next.setSoTimeout(20_000);
            try (Socket old = node.watch) {
                Path file = Files.createTempFile("hookweir", ".json");
                Map<String, String> env = Map.of("RELAY_CONFIG", file.toString(), "RELAY_DISCOVERY", "127.0.0.1:1");
                Files.writeString(file, "{'discovery':");
                node.node.reload(env);
                assertEquals(1, node.node.invariants().counted("reloads refused"));
                Files.writeString(file, node.config("127.0.0.1:" + next.getLocalPort()));
                node.node.reload(env);
                Files.delete(file);
                String list = ("{'version':3,'full':true,'servers':[" + node.entry("DRAINING") + "]}").replace('\'', '"');
                try (Socket listService = next.accept()) {
                    assertTrue(hear(listService).startsWith("GET /v1/servers HTTP/1.1\r\n")); // the new service may count versions differently
                    say(listService, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                }
                try (Socket listService = next.accept()) {
                    assertTrue(hear(listService).startsWith("GET /v1/servers?watch=1&after=3 HTTP/1.1\r\n"));
                }
                assertEquals(-1, old.getInputStream().read());
                assertEquals(3, node.node.invariants().counted("list updates"));
            }
        }
    }

    /** New settings apply as a whole: a new class is served, a removed one rejected, and a pending job keeps its old settings. */
    @Test
    void reloadChangesSettings() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            Path file = Files.createTempFile("hookweir", ".json");
            Map<String, String> env = Map.of("RELAY_CONFIG", file.toString());
            String config = node.config("127.0.0.1:" + node.list.getLocalPort());
            say(client, job("r1"));
            try (Socket worker = node.worker.accept()) {
                hear(worker);
                say(worker, TAKEN);
                Files.writeString(file, config.replace("\"render\"", "\"paint\"").replace("\"max_attempts\":3,", ""));
                node.node.reload(env);
                assertTrue(node.ask(job("r2").replace("render", "paint")).startsWith("HTTP/1.1 400"));
                Files.writeString(file, config.replace("\"render\"", "\"paint\"").replace("read_like", "non_idempotent"));
                node.node.reload(env);
                Files.delete(file);
                node.awaitCount("reloads", 1);
                assertTrue(node.ask(job("r3")).startsWith("HTTP/1.1 400"));
                node.tell("r1", "s-01", "failed");
                assertTrue(hear(client).startsWith("HTTP/1.1 429")); // its class may still be retried
                say(client, job("r4").replace("render", "paint"));
                hear(worker);
                say(worker, TAKEN);
                node.tell("r4", "s-01", "failed");
                assertTrue(hear(client).startsWith("HTTP/1.1 500")); // the new class may not be retried
                String stats = node.call("GET", "stats");
                assertTrue(stats.contains("svc_reload_success_total 1\n") && stats.contains("svc_reload_failure_total 1\n"), stats);
                assertTrue(stats.contains("svc_overload_total{type=\"render\"} 1\n") && stats.contains("svc_error_total{type=\"paint\"} 1\n"), stats);
            }
        }
    }

    /** A job whose id was answered here may still run at a worker; a second request with that id was once sent there, too. */
    @Test
    void duplicateIdIsRejected() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            say(client, job("g1"));
            try (Socket worker = node.worker.accept()) {
                hear(worker);
                say(worker, TAKEN);
                assertTrue(node.ask(job("g1")).startsWith("HTTP/1.1 409"));
                node.tell("g1", "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                assertTrue(node.ask(job("g1")).startsWith("HTTP/1.1 409"));
            }
        }
    }

    /** A client that repeated a bad request as soon as it was rejected once took thousands of turns of the loop; such requests are delayed now. */
    @Test
    void repeatedBadRequestIsDelayed() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            for (int i = 0; i < 6; i++) {
                say(client, post("/api", "Req-Id: i1\r\nReq-Kind: none\r\n", ""));
                assertTrue(hear(client).startsWith("HTTP/1.1 400"));
            }
            assertTrue(node.node.invariants().counted("ingress held back") >= 2);
            assertTrue(node.ask(job("i2").replace("render", "none")).startsWith("HTTP/1.1 400"));
        }
    }

    /** Reused connections that broke under their next call once failed non-idempotent jobs; these now get new connections. */
    @Test
    void nonIdempotentJobsAvoidUnreliableReusedConnections() throws Exception {
        try (TestNode node = new TestNode("non_idempotent"); Socket client = node.connect()) {
            try (Socket worker = serveOnce(node, client, null, 0)) {
                say(client, job("k1"));
                hear(worker);
            }
            assertTrue(hear(client).startsWith("HTTP/1.1 500"));
            try (Socket first = serveOnce(node, client, null, 2); Socket second = serveOnce(node, client, null, 3)) {
                assertTrue(first.isConnected() && second.isConnected());
            }
        }
    }

    /** A probe whose reused connection broke once counted as a failure of the worker; it is now retried on a new connection. */
    @Test
    void probeOnBrokenConnectionIsRetried() throws Exception {
        try (TestNode node = new TestNode("read_like", 20_000_000, true); Socket client = node.connect()) {
            Thread workerThread = new Thread(() -> {
                try {
                    while (true) {
                        Socket worker = node.worker.accept();
                        new Thread(() -> serveOneProbe(node, worker)).start();
                    }
                } catch (IOException e) {
                    assertTrue(node.worker.isClosed());
                }
            });
            workerThread.start();
            for (int i = 0; node.node.invariants().counted("errands once more") == 0; i++) {
                say(client, job("p" + i));
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
            }
            assertEquals(0, node.node.invariants().counted("attempts RESET"));
        }
    }

    private static void serveOneProbe(TestNode node, Socket worker) {
        try (worker) {
            int probes = 0;
            for (String call = hear(worker); !call.isEmpty(); call = hear(worker)) {
                if (call.startsWith("POST")) {
                    say(worker, TAKEN);
                    int idAt = call.indexOf("Req-Id: ") + 8;
                    node.tell(call.substring(idAt, call.indexOf('\r', idAt)), "s-01", "done");
                } else if (probes++ == 0) {
                    say(worker, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=1");
                } else {
                    return;
                }
            }
        } catch (IOException e) {
            assertNotNull(e); // the scheduler may close the connection, too
        }
    }
}
