package hookweir.net;

import static hookweir.net.TestNode.ACCEPTED;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.post;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
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
            send(client, job("a1"));
            try (Socket worker = node.workerListener.accept()) {
                assertTrue(receive(worker).startsWith("POST /api HTTP/1.1\r\n"));
                send(worker, ACCEPTED);
                assertTrue(node.sendCallback("a1", "s-01", "done").startsWith("HTTP/1.1 204"));
                String response = receive(client);
                assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("\r\n\r\nr\u00e9s"), response);
            }
        }
    }

    /** A callback may arrive before the 202 and may be repeated, and counts only if it is from the worker that has the job. */
    @Test
    void earlyAndRepeatedCallbacksAreHandled() throws Exception {
        try (TestNode node = new TestNode("non_idempotent"); Socket client = node.connect()) {
            send(client, job("a2"));
            try (Socket worker = node.workerListener.accept()) {
                receive(worker);
                assertTrue(node.sendCallback("a2", "s-02", "failed").startsWith("HTTP/1.1 204"));
                assertTrue(node.sendCallback("a2", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(node.sendCallback("a2", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                send(worker, ACCEPTED);
                assertEquals(1, node.node.invariants().counted("attempts OK"));
                node.awaitCount("call-backs for nothing", 2); // counted after the response is sent
            }
        }
    }

    /** A connection that ends after the last byte of the job and before the 202 counts as a reset: the job may have run. */
    @Test
    void resetFailsNonIdempotentJob() throws Exception {
        try (TestNode node = new TestNode("non_idempotent"); Socket client = node.connect()) {
            send(client, job("a3"));
            try (Socket worker = node.workerListener.accept()) {
                receive(worker);
            }
            assertTrue(receive(client).startsWith("HTTP/1.1 500"));
            assertEquals(1, node.node.invariants().counted("attempts RESET"));
        }
    }

    /** Invalid requests get an error response and have no other effect. */
    @Test
    void invalidRequestsGetErrorResponses() throws Exception {
        try (TestNode node = new TestNode("read_like")) {
            assertTrue(node.request(post("/api", "Req-Id: b1\r\nReq-Kind: unheard-of\r\n", "")).startsWith("HTTP/1.1 400"));
            assertTrue(node.request(post("/api", "Req-Kind: render\r\n", "")).startsWith("HTTP/1.1 400"));
            assertTrue(node.request(post("/elsewhere", "", "")).startsWith("HTTP/1.1 404"));
            assertTrue(node.request(post("/callback", "", "no json")).startsWith("HTTP/1.1 400"));
            assertTrue(node.request("what is this\r\n\r\n").startsWith("HTTP/1.1 "));
            assertTrue(node.request(post("/api", "Req-Id: b2\r\nReq-Kind: render\r\n", "x".repeat(65_537))).startsWith("HTTP/1.1 413"));
            assertTrue(node.request("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").startsWith("HTTP/1.1 200"));
        }
    }

    /** A job past its deadline gets its final response, and the worker that accepted it gets a DELETE. */
    @Test
    void jobPastDeadlineIsAbandoned() throws Exception {
        try (TestNode node = new TestNode("non_idempotent", 3_000_000); Socket client = node.connect()) {
            send(client, post("/api", "Req-Id: a4\r\nReq-Kind: render\r\nReq-Deadline-Ms: 3000\r\n", "work"));
            try (Socket worker = node.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                assertTrue(receive(client).startsWith("HTTP/1.1 500"));
                assertTrue(receive(worker).startsWith("DELETE /jobs/a4 HTTP/1.1\r\n"));
            }
        }
    }

    /** During a drain a pending job is completed and its connection closed, and then the process ends. */
    @Test
    void drainCompletesPendingJobs() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            send(client, job("a5"));
            try (Socket worker = node.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                node.node.drain();
                assertTrue(node.request("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").startsWith("HTTP/1.1 503"));
                assertTrue(node.sendCallback("a5", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                assertEquals(-1, client.getInputStream().read());
                node.loopThread.join(20_000);
                assertFalse(node.loopThread.isAlive());
            }
        }
    }

    /** A failed list call is repeated; the lines of a watch may be split anywhere, and invalid ones are counted. */
    @Test
    void failedWatchIsRestarted() throws Exception {
        try (TestNode node = TestNode.withUnconfirmedList("read_like")) {
            try (Socket listService = node.listService.accept()) {
                assertTrue(receive(listService).startsWith("GET /v1/servers?watch=1&after=7 HTTP/1.1\r\n"));
                send(listService, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            }
            try (Socket listService = node.listService.accept()) {
                receive(listService);
                String line = ("{'version':9,'full':true,'servers':[" + node.workerEntry("SERVING") + "]}\n").replace('\'', '"');
                send(listService, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n4\r\nbad\n\r\n");
                send(listService, "5\r\n" + line.substring(0, 5) + "\r\n" + Integer.toHexString(line.length() - 5) + "\r\n" + line.substring(5) + "\r\n");
            }
            try (Socket listService = node.listService.accept()) {
                assertTrue(receive(listService).startsWith("GET /v1/servers?watch=1&after=9 HTTP/1.1\r\n"));
                assertEquals(1, node.node.invariants().counted("discovery bad line"));
            }
        }
    }

    /** Buffers return to the pool. Once the headers of each request kept one out of it. */
    @Test
    void buffersAreReused() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            for (int i = 0; i < 100; i++) {
                send(client, post("/callback", "", "{\"id\":\"x\",\"from\":\"y\",\"state\":\"done\"}"));
                assertTrue(receive(client).startsWith("HTTP/1.1 204"));
                send(client, post("/api", "Req-Id: b1\r\n", "work"));
                assertTrue(receive(client).endsWith("Req-Kind is missing or unknown")); // a response with a body
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
        send(client, job("e" + i));
        Socket worker = reused == null ? node.workerListener.accept() : reused;
        receive(worker);
        send(worker, ACCEPTED);
        node.sendCallback("e" + i, "s-01", "done");
        assertTrue(receive(client).startsWith("HTTP/1.1 200"));
        return worker;
    }

    /** A worker that drains must get no new job, counted from a job's first byte: a connection that opens after the drain carries nothing. */
    @Test
    @Timeout(60)
    void connectionOpenedAfterDrainCarriesNothing() throws Exception {
        try (TestNode node = new TestNode("non_idempotent"); Socket client = node.connect(); Socket listService = node.watch) {
            List<Socket> fillers = new ArrayList<>();
            for (int i = 0; i < 2; i++) { // fill the worker's backlog of one, so that the next connect waits
                fillers.add(new Socket(node.workerListener.getInetAddress(), node.workerListener.getLocalPort()));
            }
            send(client, job("a6"));
            node.awaitCount("egress dials", 1);
            String line = ("{'version':8,'full':false,'servers':[" + node.workerEntry("DRAINING") + "]}\n").replace('\'', '"');
            send(listService, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
            node.awaitCount("list updates", 3);
            for (Socket filler : fillers) {
                node.workerListener.accept().close();
                filler.close();
            }
            node.awaitCount("attempts CONNECT_FAILED", 1);
            try (Socket worker = node.workerListener.accept()) {
                node.node.stop();
                assertEquals("", receive(worker));
            }
        }
    }

    /** A client that sends Expect: 100-continue gets a 100 before it sends its body. */
    @Test
    void expectContinueIsAnswered() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            send(client, "POST /callback HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
            assertTrue(receive(client).startsWith("HTTP/1.1 100"));
            send(client, "{}");
            assertTrue(receive(client).startsWith("HTTP/1.1 400"));
        }
    }

    /** Request smuggling: a request inside the body of another with two lengths was once forwarded; the outer one is rejected now. */
    @Test
    void smuggledRequestIsNotForwarded() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            String hidden = job("h2");
            send(client, "POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: h1\r\nReq-Kind: render\r\nTransfer-Encoding: chunked\r\nContent-Length: "
                + (5 + hidden.length()) + "\r\n\r\n0\r\n\r\n" + hidden);
            assertTrue(receive(client).startsWith("HTTP/1.1 400"));
            assertEquals("", receive(client));
            assertEquals(0, node.node.invariants().counted("requests"));
        }
    }

    /** Invalid input ends a connection, but only after the response to the request accepted before it. */
    @Test
    void acceptedRequestIsAnsweredBeforeTheError() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            send(client, job("h3") + "\u0001");
            try (Socket worker = node.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                node.sendCallback("h3", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                assertTrue(receive(client).startsWith("HTTP/1.1 400"));
                assertEquals(-1, client.getInputStream().read());
            }
        }
    }

    /** Silent connections were once kept for a minute, and connections with half a request forever. */
    @Test
    void silentAndSlowClientsAreDisconnected() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket silent = node.connect(); Socket slow = node.connect()) {
            send(slow, "POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
            assertEquals(-1, silent.getInputStream().read());
            assertTrue(receive(slow).startsWith("HTTP/1.1 408"));
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
                send(sendingClient, job.substring(0, job.length() / 2));
                for (int i = 0; i < 60; i++) { // more than the connection limit
                    requestAndKeepOpen(node, idleClients);
                }
                send(sendingClient, job.substring(job.length() / 2));
                try (Socket worker = node.workerListener.accept()) {
                    receive(worker);
                    send(worker, ACCEPTED);
                    node.sendCallback("l1", "s-01", "done");
                    assertTrue(receive(sendingClient).startsWith("HTTP/1.1 200"));
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
        send(client, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
        assertTrue(receive(client).startsWith("HTTP/1.1 200"));
    }

    /** Hundreds of requests pipelined on one connection: once the connection was closed and the response being written was lost. */
    @Test
    void manyPipelinedRequestsAreAnswered() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            send(client, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n".repeat(400));
            for (int i = 0; i < 400; i++) {
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** A deadline that is not a plain decimal number is rejected; its meaning was once guessed. */
    @Test
    void malformedDeadlinesAreRejected() throws Exception {
        try (TestNode node = new TestNode("read_like")) {
            for (String odd : List.of("1e3", "-5", "0x10", "12.5", "soon", "1d", "99999999999")) {
                assertTrue(node.request(post("/api", "Req-Id: f1\r\nReq-Kind: render\r\nReq-Deadline-Ms: " + odd + "\r\n",
                    "")).startsWith("HTTP/1.1 400"), odd);
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
                String list = ("{'version':3,'full':true,'servers':[" + node.workerEntry("DRAINING") + "]}").replace('\'', '"');
                try (Socket listService = next.accept()) {
                    assertTrue(receive(listService).startsWith("GET /v1/servers HTTP/1.1\r\n")); // the new service may count versions differently
                    send(listService, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                }
                try (Socket listService = next.accept()) {
                    assertTrue(receive(listService).startsWith("GET /v1/servers?watch=1&after=3 HTTP/1.1\r\n"));
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
            String config = node.config("127.0.0.1:" + node.listService.getLocalPort());
            send(client, job("r1"));
            try (Socket worker = node.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                Files.writeString(file, config.replace("\"render\"", "\"paint\"").replace("\"max_attempts\":3,", ""));
                node.node.reload(env);
                assertTrue(node.request(job("r2").replace("render", "paint")).startsWith("HTTP/1.1 400"));
                Files.writeString(file, config.replace("\"render\"", "\"paint\"").replace("read_like", "non_idempotent"));
                node.node.reload(env);
                Files.delete(file);
                node.awaitCount("reloads", 1);
                assertTrue(node.request(job("r3")).startsWith("HTTP/1.1 400"));
                node.sendCallback("r1", "s-01", "failed");
                assertTrue(receive(client).startsWith("HTTP/1.1 429")); // its class may still be retried
                send(client, job("r4").replace("render", "paint"));
                receive(worker);
                send(worker, ACCEPTED);
                node.sendCallback("r4", "s-01", "failed");
                assertTrue(receive(client).startsWith("HTTP/1.1 500")); // the new class may not be retried
                String stats = node.adminCall("GET", "stats");
                assertTrue(stats.contains("svc_reload_success_total 1\n") && stats.contains("svc_reload_failure_total 1\n"), stats);
                assertTrue(stats.contains("svc_overload_total{type=\"render\"} 1\n") && stats.contains("svc_error_total{type=\"paint\"} 1\n"), stats);
            }
        }
    }

    /** A job whose id was answered here may still run at a worker; a second request with that id was once sent there, too. */
    @Test
    void duplicateIdIsRejected() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            send(client, job("g1"));
            try (Socket worker = node.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                assertTrue(node.request(job("g1")).startsWith("HTTP/1.1 409"));
                node.sendCallback("g1", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                assertTrue(node.request(job("g1")).startsWith("HTTP/1.1 409"));
            }
        }
    }

    /** A client that repeated a bad request as soon as it was rejected once took thousands of turns of the loop; such requests are delayed now. */
    @Test
    void repeatedBadRequestIsDelayed() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            for (int i = 0; i < 6; i++) {
                send(client, post("/api", "Req-Id: i1\r\nReq-Kind: none\r\n", ""));
                assertTrue(receive(client).startsWith("HTTP/1.1 400"));
            }
            assertTrue(node.node.invariants().counted("ingress held back") >= 2);
            assertTrue(node.request(job("i2").replace("render", "none")).startsWith("HTTP/1.1 400"));
        }
    }

    /** Reused connections that broke under their next call once failed non-idempotent jobs; these now get new connections. */
    @Test
    void nonIdempotentJobsAvoidUnreliableReusedConnections() throws Exception {
        try (TestNode node = new TestNode("non_idempotent"); Socket client = node.connect()) {
            try (Socket worker = serveOnce(node, client, null, 0)) {
                send(client, job("k1"));
                receive(worker);
            }
            assertTrue(receive(client).startsWith("HTTP/1.1 500"));
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
                        Socket worker = node.workerListener.accept();
                        new Thread(() -> serveOneProbe(node, worker)).start();
                    }
                } catch (IOException e) {
                    assertTrue(node.workerListener.isClosed());
                }
            });
            workerThread.start();
            for (int i = 0; node.node.invariants().counted("errands once more") == 0; i++) {
                send(client, job("p" + i));
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            }
            assertEquals(0, node.node.invariants().counted("attempts RESET"));
        }
    }

    private static void serveOneProbe(TestNode node, Socket worker) {
        try (worker) {
            int probes = 0;
            for (String call = receive(worker); !call.isEmpty(); call = receive(worker)) {
                if (call.startsWith("POST")) {
                    send(worker, ACCEPTED);
                    int idAt = call.indexOf("Req-Id: ") + 8;
                    node.sendCallback(call.substring(idAt, call.indexOf('\r', idAt)), "s-01", "done");
                } else if (probes++ == 0) {
                    send(worker, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=1");
                } else {
                    return;
                }
            }
        } catch (IOException e) {
            assertNotNull(e); // the scheduler may close the connection, too
        }
    }
}
