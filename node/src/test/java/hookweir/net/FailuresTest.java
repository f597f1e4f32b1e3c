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

/** One small test for each failure found, and for the orders in which messages of a attempt can come. */
class FailuresTest {
    /** Classes without a key come to the bare path: it was answered 404. */
    @Test
    void apiPathWithoutKeyIsServed() throws Exception {
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
    void earlyAndRepeatedCallbacksAreHandled() throws Exception {
        try (TestNode n = new TestNode("non_idempotent"); Socket client = n.connect()) {
            say(client, job("a2"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                assertTrue(n.tell("a2", "s-02", "failed").startsWith("HTTP/1.1 204"));
                assertTrue(n.tell("a2", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(n.tell("a2", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                say(w, TAKEN);
                assertEquals(1, n.node.invariants().counted("attempts OK"));
                n.awaitCount("call-backs for nothing", 2); // counted after its answer
            }
        }
    }

    /** A connection that ends after the request's last byte and before the 202 is a reset: it may have run. */
    @Test
    void resetFailsNonIdempotentJob() throws Exception {
        try (TestNode n = new TestNode("non_idempotent"); Socket client = n.connect()) {
            say(client, job("a3"));
            try (Socket w = n.worker.accept()) {
                hear(w);
            }
            assertTrue(hear(client).startsWith("HTTP/1.1 500"));
            assertEquals(1, n.node.invariants().counted("attempts RESET"));
        }
    }

    /** Bad input gets its answer and no more. */
    @Test
    void invalidRequestsGetErrorResponses() throws Exception {
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

    /** A job whose time is up gets its final answer, and the worker that took it is told by DELETE. */
    @Test
    void jobPastDeadlineIsAbandoned() throws Exception {
        try (TestNode n = new TestNode("non_idempotent", 3_000_000); Socket client = n.connect()) {
            say(client, post("/api", "Req-Id: a4\r\nReq-Kind: render\r\nReq-Deadline-Ms: 3000\r\n", "work"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(w, TAKEN);
                assertTrue(hear(client).startsWith("HTTP/1.1 500"));
                assertTrue(hear(w).startsWith("DELETE /jobs/a4 HTTP/1.1\r\n"));
            }
        }
    }

    /** After the signal a held job is finished, its connection closed, and then the program ends. */
    @Test
    void drainCompletesPendingJobs() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            say(client, job("a5"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(w, TAKEN);
                n.node.drain();
                assertTrue(n.ask("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").startsWith("HTTP/1.1 503"));
                assertTrue(n.tell("a5", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                assertEquals(-1, client.getInputStream().read());
                n.loop.join(20_000);
                assertFalse(n.loop.isAlive());
            }
        }
    }

    /** A list call that fails is made again; a watch may come in any pieces and count bad lines. */
    @Test
    void failedWatchIsRestarted() throws Exception {
        try (TestNode n = TestNode.unconfirmed("read_like")) {
            try (Socket d = n.list.accept()) {
                assertTrue(hear(d).startsWith("GET /v1/servers?watch=1&after=7 HTTP/1.1\r\n"));
                say(d, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            }
            try (Socket d = n.list.accept()) {
                hear(d);
                String line = ("{'version':9,'full':true,'servers':[" + n.entry("SERVING") + "]}\n").replace('\'', '"');
                say(d, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n4\r\nbad\n\r\n");
                say(d, "5\r\n" + line.substring(0, 5) + "\r\n" + Integer.toHexString(line.length() - 5) + "\r\n" + line.substring(5) + "\r\n");
            }
            try (Socket d = n.list.accept()) {
                assertTrue(hear(d).startsWith("GET /v1/servers?watch=1&after=9 HTTP/1.1\r\n"));
                assertEquals(1, n.node.invariants().counted("discovery bad line"));
            }
        }
    }

    /** Buffers come back to the pool: each request's headers kept one from it. */
    @Test
    void buffersAreReused() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            for (int i = 0; i < 100; i++) {
                say(client, post("/callback", "", "{\"id\":\"x\",\"from\":\"y\",\"state\":\"done\"}"));
                assertTrue(hear(client).startsWith("HTTP/1.1 204"));
                say(client, post("/api", "Req-Id: b1\r\n", "work"));
                assertTrue(hear(client).endsWith("Req-Kind is missing or unknown")); // an answer with a body
            }
            try (Socket w = serveOnce(n, client, null, 0)) {
                for (int i = 1; i < 15; i++) {
                    serveOnce(n, client, w, i);
                }
            }
            assertTrue(n.node.invariants().counted("buffers made") < 12, n.node.invariants().toString());
        }
    }

    private static Socket serveOnce(TestNode n, Socket client, Socket kept, int i) throws Exception {
        say(client, job("e" + i));
        Socket w = kept == null ? n.worker.accept() : kept;
        hear(w);
        say(w, TAKEN);
        n.tell("e" + i, "s-01", "done");
        assertTrue(hear(client).startsWith("HTTP/1.1 200"));
        return w;
    }

    /** Rule 3 counts from a send's first byte: a dial that comes up after word of a drain must carry nothing. */
    @Test
    @Timeout(60)
    void connectionOpenedAfterDrainCarriesNothing() throws Exception {
        try (TestNode n = new TestNode("non_idempotent"); Socket client = n.connect(); Socket d = n.watch) {
            List<Socket> fillers = new ArrayList<>();
            for (int i = 0; i < 2; i++) { // the worker's backlog of one is full, so the next dial waits
                fillers.add(new Socket(n.worker.getInetAddress(), n.worker.getLocalPort()));
            }
            say(client, job("a6"));
            n.awaitCount("egress dials", 1);
            String line = ("{'version':8,'full':false,'servers':[" + n.entry("DRAINING") + "]}\n").replace('\'', '"');
            say(d, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
            n.awaitCount("list updates", 3);
            for (Socket filler : fillers) {
                n.worker.accept().close();
                filler.close();
            }
            n.awaitCount("attempts CONNECT_FAILED", 1);
            try (Socket w = n.worker.accept()) {
                n.node.stop();
                assertEquals("", hear(w));
            }
        }
    }

    /** A client that waits for leave to send its body gets it. */
    @Test
    void expectContinueIsAnswered() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            say(client, "POST /callback HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
            assertTrue(hear(client).startsWith("HTTP/1.1 100"));
            say(client, "{}");
            assertTrue(hear(client).startsWith("HTTP/1.1 400"));
        }
    }

    /** A request that stood inside the body of another was passed on: it had two lengths, and is refused now. */
    @Test
    void smuggledRequestIsNotForwarded() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            String hidden = job("h2");
            say(client, "POST /api HTTP/1.1\r\nHost: h\r\nReq-Id: h1\r\nReq-Kind: render\r\nTransfer-Encoding: chunked\r\nContent-Length: "
                + (5 + hidden.length()) + "\r\n\r\n0\r\n\r\n" + hidden);
            assertTrue(hear(client).startsWith("HTTP/1.1 400"));
            assertEquals("", hear(client));
            assertEquals(0, n.node.invariants().counted("requests"));
        }
    }

    /** What can't be read ends a connection, but only after the answer to what was taken before it. */
    @Test
    void acceptedRequestIsAnsweredBeforeTheError() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            say(client, job("h3") + "\u0001");
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(w, TAKEN);
                n.tell("h3", "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                assertTrue(hear(client).startsWith("HTTP/1.1 400"));
                assertEquals(-1, client.getInputStream().read());
            }
        }
    }

    /** Silent connections were kept for a minute, and half a request for ever. */
    @Test
    void silentAndSlowClientsAreDisconnected() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket silent = n.connect(); Socket slow = n.connect()) {
            say(slow, "POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
            assertEquals(-1, silent.getInputStream().read());
            assertTrue(hear(slow).startsWith("HTTP/1.1 408"));
        }
    }

    /** At the cap a client that had just come and was writing its job went before a crowd that asked once and stayed. */
    @Test
    void idleClientsDoNotDisplaceASendingClient() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        try (TestNode n = new TestNode("read_like")) {
            while (n.node.invariants().counted("ingress closed at the cap") == 0) {
                requestAndKeepOpen(n, crowd);
            }
            try (Socket good = n.connect()) {
                String job = job("l1");
                say(good, job.substring(0, job.length() / 2));
                for (int i = 0; i < 60; i++) { // more than there is room for
                    requestAndKeepOpen(n, crowd);
                }
                say(good, job.substring(job.length() / 2));
                try (Socket w = n.worker.accept()) {
                    hear(w);
                    say(w, TAKEN);
                    n.tell("l1", "s-01", "done");
                    assertTrue(hear(good).startsWith("HTTP/1.1 200"));
                }
            }
        } finally {
            for (Socket s : crowd) {
                s.close();
            }
        }
    }

    private static void requestAndKeepOpen(TestNode n, List<Socket> crowd) throws IOException {
        Socket s = n.connect();
        crowd.add(s);
        say(s, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
        assertTrue(hear(s).startsWith("HTTP/1.1 200"));
    }

    /** Hundreds of requests sent ahead on one connection: closing it lost the one being answered. */
    @Test
    void manyPipelinedRequestsAreAnswered() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            say(client, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n".repeat(400));
            for (int i = 0; i < 400; i++) {
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** A deadline that is no plain number was guessed at. */
    @Test
    void malformedDeadlinesAreRejected() throws Exception {
        try (TestNode n = new TestNode("read_like")) {
            for (String odd : List.of("1e3", "-5", "0x10", "12.5", "soon", "1d", "99999999999")) {
                assertTrue(n.ask(post("/api", "Req-Id: f1\r\nReq-Kind: render\r\nReq-Deadline-Ms: " + odd + "\r\n", "")).startsWith("HTTP/1.1 400"), odd);
            }
        }
    }

    /** A JVM ends on SIGHUP unless told otherwise. */
    @Test
    void sighupIsHandled() throws Exception {
        CountDownLatch heard = new CountDownLatch(1);
        SighupHandler.install();
        SighupHandler.onSignal(heard::countDown);
        new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid())).start();
        heard.await();
    }

    /** A reload goes over to the discovery that the file names, though a variable named another; a faulty file is passed over. */
    @Test
    void reloadChangesListServiceAddress() throws Exception {
        try (TestNode n = new TestNode("read_like"); ServerSocket next = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            next.setSoTimeout(20_000);
            try (Socket old = n.watch) {
                Path file = Files.createTempFile("hookweir", ".json");
                Map<String, String> env = Map.of("RELAY_CONFIG", file.toString(), "RELAY_DISCOVERY", "127.0.0.1:1");
                Files.writeString(file, "{'discovery':");
                n.node.reload(env);
                assertEquals(1, n.node.invariants().counted("reloads refused"));
                Files.writeString(file, n.config("127.0.0.1:" + next.getLocalPort()));
                n.node.reload(env);
                Files.delete(file);
                String list = ("{'version':3,'full':true,'servers':[" + n.entry("DRAINING") + "]}").replace('\'', '"');
                try (Socket d = next.accept()) {
                    assertTrue(hear(d).startsWith("GET /v1/servers HTTP/1.1\r\n")); // versions there may be counted anew
                    say(d, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                }
                try (Socket d = next.accept()) {
                    assertTrue(hear(d).startsWith("GET /v1/servers?watch=1&after=3 HTTP/1.1\r\n"));
                }
                assertEquals(-1, old.getInputStream().read());
                assertEquals(3, n.node.invariants().counted("list updates"));
            }
        }
    }

    /** New settings are taken whole: a new class is served, a vanished one refused, and a job under way keeps its own. */
    @Test
    void reloadChangesSettings() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            Path file = Files.createTempFile("hookweir", ".json");
            Map<String, String> env = Map.of("RELAY_CONFIG", file.toString());
            String now = n.config("127.0.0.1:" + n.list.getLocalPort());
            say(client, job("r1"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(w, TAKEN);
                Files.writeString(file, now.replace("\"render\"", "\"paint\"").replace("\"max_attempts\":3,", ""));
                n.node.reload(env);
                assertTrue(n.ask(job("r2").replace("render", "paint")).startsWith("HTTP/1.1 400"));
                Files.writeString(file, now.replace("\"render\"", "\"paint\"").replace("read_like", "non_idempotent"));
                n.node.reload(env);
                Files.delete(file);
                n.awaitCount("reloads", 1);
                assertTrue(n.ask(job("r3")).startsWith("HTTP/1.1 400"));
                n.tell("r1", "s-01", "failed");
                assertTrue(hear(client).startsWith("HTTP/1.1 429")); // its class may be repeated still
                say(client, job("r4").replace("render", "paint"));
                hear(w);
                say(w, TAKEN);
                n.tell("r4", "s-01", "failed");
                assertTrue(hear(client).startsWith("HTTP/1.1 500")); // the new class may not
                String stats = n.call("GET", "stats");
                assertTrue(stats.contains("svc_reload_success_total 1\n") && stats.contains("svc_reload_failure_total 1\n"), stats);
                assertTrue(stats.contains("svc_overload_total{type=\"render\"} 1\n") && stats.contains("svc_error_total{type=\"paint\"} 1\n"), stats);
            }
        }
    }

    /** An id that was answered here may still run at a worker: a second request of that id went there too. */
    @Test
    void duplicateIdIsRejected() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            say(client, job("g1"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(w, TAKEN);
                assertTrue(n.ask(job("g1")).startsWith("HTTP/1.1 409"));
                n.tell("g1", "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                assertTrue(n.ask(job("g1")).startsWith("HTTP/1.1 409"));
            }
        }
    }

    /** The same bad request as soon as it is refused took thousands of turns of the loop; now there are pauses. */
    @Test
    void repeatedBadRequestIsDelayed() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            for (int i = 0; i < 6; i++) {
                say(client, post("/api", "Req-Id: i1\r\nReq-Kind: none\r\n", ""));
                assertTrue(hear(client).startsWith("HTTP/1.1 400"));
            }
            assertTrue(n.node.invariants().counted("ingress held back") >= 2);
            assertTrue(n.ask(job("i2").replace("render", "none")).startsWith("HTTP/1.1 400"));
        }
    }

    /** Kept links that break under their next call failed jobs that must not run twice; these get links of their own. */
    @Test
    void nonIdempotentJobsAvoidUnreliableReusedConnections() throws Exception {
        try (TestNode n = new TestNode("non_idempotent"); Socket client = n.connect()) {
            try (Socket w = serveOnce(n, client, null, 0)) {
                say(client, job("k1"));
                hear(w);
            }
            assertTrue(hear(client).startsWith("HTTP/1.1 500"));
            try (Socket first = serveOnce(n, client, null, 2); Socket second = serveOnce(n, client, null, 3)) {
                assertTrue(first.isConnected() && second.isConnected());
            }
        }
    }

    /** A probe that broke a kept link spoke against the worker; it is sent once more on a link of its own. */
    @Test
    void probeOnBrokenConnectionIsRetried() throws Exception {
        try (TestNode n = new TestNode("read_like", 20_000_000, true); Socket client = n.connect()) {
            Thread worker = new Thread(() -> {
                try {
                    while (true) {
                        Socket w = n.worker.accept();
                        new Thread(() -> serveOneProbe(n, w)).start();
                    }
                } catch (IOException e) {
                    assertTrue(n.worker.isClosed());
                }
            });
            worker.start();
            for (int i = 0; n.node.invariants().counted("errands once more") == 0; i++) {
                say(client, job("p" + i));
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
            }
            assertEquals(0, n.node.invariants().counted("attempts RESET"));
        }
    }

    private static void serveOneProbe(TestNode n, Socket w) {
        try (w) {
            int probes = 0;
            for (String call = hear(w); !call.isEmpty(); call = hear(w)) {
                if (call.startsWith("POST")) {
                    say(w, TAKEN);
                    int at = call.indexOf("Req-Id: ") + 8;
                    n.tell(call.substring(at, call.indexOf('\r', at)), "s-01", "done");
                } else if (probes++ == 0) {
                    say(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=1");
                } else {
                    return;
                }
            }
        } catch (IOException e) {
            assertNotNull(e); // the scheduler may end it, too
        }
    }
}
