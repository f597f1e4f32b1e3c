package hookweir.net;

import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.post;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** More load than the configured small limits allow: every request gets a response, and afterwards nothing is held any more. */
@Timeout(60)
class OverloadTest {
    private static final int BODY_BYTES = 65_536;

    @TempDir
    Path folder;

    private static String largeJob(String id) {
        return post("/api", "Req-Id: " + id + "\r\nReq-Kind: render\r\nReq-Deadline-Ms: 20000\r\n", "b".repeat(BODY_BYTES));
    }

    private static void awaitMetric(TestNode scheduler, String line) throws Exception {
        while (!scheduler.adminCall("GET", "stats").contains(line + "\n")) {
            Thread.sleep(20);
        }
    }

    private static void closeAll(List<Socket> sockets) throws Exception {
        for (Socket s : sockets) {
            s.close();
        }
    }

    /** 300 clients send bodies of the maximum size at once, half of them in two parts, with memory for three: the process died of these. */
    @Test
    void largeBodiesWaitForMemoryAndAllGetResponses() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode scheduler = new TestNode("read_like", 20_000_000, "'sockets':1024,'held_bytes':400000")) {
            AutoWorker worker = new AutoWorker(scheduler, true);
            for (int i = 0; i < 300; i++) {
                clients.add(scheduler.connect());
                String whole = largeJob("big" + i);
                send(clients.get(i), i % 2 == 0 ? whole : whole.substring(0, 300));
            }
            for (int i = 1; i < 300; i += 2) {
                send(clients.get(i), largeJob("big" + i).substring(300));
            }
            int served = 0;
            for (Socket client : clients) {
                String response = receive(client);
                assertTrue(response.startsWith("HTTP/1.1 200 OK") || response.startsWith("HTTP/1.1 429 Too Many Requests"), response);
                served += response.startsWith("HTTP/1.1 200") ? 1 : 0;
            }
            assertTrue(scheduler.node.invariants().counted("ingress waits for room") > 0);
            assertTrue(served >= 3, "served " + served);
            assertEquals(served, worker.jobs.get());
            assertEquals(served * BODY_BYTES, worker.bodyBytes.get());
            awaitMetric(scheduler, "svc_held_bytes 0");
            awaitMetric(scheduler, "svc_held_jobs 0");
        } finally {
            closeAll(clients);
        }
    }

    /** Hundreds of clients disconnect in the middle of a body, while it waits for memory or while their job runs: no memory may leak. */
    @Test
    void disconnectedClientsReleaseTheirMemory() throws Exception {
        try (TestNode scheduler = new TestNode("read_like", 20_000_000, "'sockets':1024,'held_bytes':400000")) {
            new AutoWorker(scheduler, false);
            for (int round = 0; round < 5; round++) {
                List<Socket> clients = new ArrayList<>();
                for (int i = 0; i < 60; i++) {
                    clients.add(scheduler.connect());
                    String whole = largeJob("go" + round + "-" + i);
                    send(clients.get(i), whole.substring(0, i % 3 == 0 ? 40_000 : whole.length()));
                }
                scheduler.awaitCount("ingress waits for room", 1);
                closeAll(clients);
            }
            awaitMetric(scheduler, "svc_held_bytes 0");
            awaitMetric(scheduler, "svc_held_jobs 0");
        }
    }

    /** All client descriptors are used by running jobs: a further client is rejected at once, and callbacks can still complete the jobs. */
    @Test
    void callbacksGetADescriptorAtTheClientLimit() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode scheduler = new TestNode("read_like", 20_000_000, "'sockets':64")) {
            AutoWorker worker = new AutoWorker(scheduler, false);
            String rejected = "";
            while (rejected.isEmpty()) {
                Socket client = scheduler.connect();
                clients.add(client);
                send(client, job("d" + clients.size()));
                while (worker.jobs.get() < clients.size() && scheduler.node.invariants().counted("ingress turned away for room") == 0) {
                    Thread.sleep(2);
                }
                rejected = worker.jobs.get() < clients.size() ? receive(client) : "";
            }
            assertTrue(rejected.startsWith("HTTP/1.1 429 Too Many Requests") && rejected.contains("Connection: close"), rejected);
            assertTrue(clients.size() > 5, "only " + clients.size());
            assertTrue(scheduler.sendCallback("d1", "s-01", "done").startsWith("HTTP/1.1 204"));
            assertTrue(receive(clients.get(0)).startsWith("HTTP/1.1 200"));
        } finally {
            closeAll(clients);
        }
    }

    /** Workers accept jobs and never complete them: each job and its timers end at the deadline. */
    @Test
    void unfinishedJobsEndAtTheirDeadline() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode scheduler = new TestNode("non_idempotent", 1_000_000, "'sockets':256")) {
            new AutoWorker(scheduler, false);
            for (int i = 0; i < 50; i++) {
                clients.add(scheduler.connect());
                send(clients.get(i), post("/api", "Req-Id: n" + i + "\r\nReq-Kind: render\r\nReq-Deadline-Ms: 1000\r\n", "x"));
            }
            for (Socket client : clients) {
                String response = receive(client);
                assertTrue(response.startsWith("HTTP/1.1 500") || response.startsWith("HTTP/1.1 429"), response);
            }
            awaitMetric(scheduler, "svc_held_jobs 0");
            awaitMetric(scheduler, "svc_held_bytes 0");
        } finally {
            closeAll(clients);
        }
    }

    /** Jobs over the limit are rejected at once while the accepted ones go on, and capacity that becomes free is used again. */
    @Test
    void jobsOverTheLimitAreRejected() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode scheduler = new TestNode("read_like", 20_000_000, "'sockets':256,'held_jobs':16")) {
            AutoWorker worker = new AutoWorker(scheduler, false);
            for (int i = 0; i < 16; i++) {
                clients.add(scheduler.connect());
                send(clients.get(i), job("j" + i));
            }
            scheduler.awaitCount("requests", 16);
            while (worker.jobs.get() < 1) {
                Thread.sleep(2);
            }
            try (Socket more = scheduler.connect()) {
                send(more, job("j16"));
                assertTrue(receive(more).startsWith("HTTP/1.1 429 Too Many Requests"));
                String first = worker.ids.peek(); // any of them may be the first to get a connection
                scheduler.sendCallback(first, "s-01", "done");
                assertTrue(receive(clients.get(Integer.parseInt(first.substring(1)))).startsWith("HTTP/1.1 200"));
                send(more, job("j17"));
                scheduler.awaitCount("requests", 17);
            }
        } finally {
            closeAll(clients);
        }
    }

    /** The JDK's HTTP client offers an upgrade to HTTP/2 with its first request, and this was rejected. */
    @Test
    void protocolUpgradeOfferIsIgnored() throws Exception {
        try (TestNode scheduler = new TestNode("read_like")) {
            new AutoWorker(scheduler, true);
            HttpResponse<String> response = HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build().send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + scheduler.port + "/api")).header("Req-Id", "h2").header("Req-Kind", "render")
                    .header("Req-Deadline-Ms", "4000").POST(HttpRequest.BodyPublishers.ofString("work")).build(),
                HttpResponse.BodyHandlers.ofString());
            assertEquals(200, response.statusCode());
        }
    }

    /** An error in the loop, such as an OutOfMemoryError, ends the process with a log line and its own exit status. */
    @Test
    void fatalErrorExitsWithMessageAndStatus() throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, "{'listen':'127.0.0.1:0','discovery':'127.0.0.1:9','settings':{'classes':[{'name':'a'}]}}".replace('\'', '"'));
        File log = folder.resolve("log").toFile();
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1", "-Xmx24m", "-cp",
            System.getProperty("java.class.path"), OutOfMemoryNode.class.getName(), config.toString()).redirectErrorStream(true).redirectOutput(log).start();
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        String output = Files.readString(log.toPath());
        assertEquals(Node.EXIT_FATAL_ERROR, process.exitValue(), output);
        assertTrue(output.contains("the loop ended by java.lang.OutOfMemoryError"), output);
    }
}
