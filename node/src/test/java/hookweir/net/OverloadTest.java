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

/** More than there is room for, with small limits: everybody hears, what is held goes back to nothing. */
@Timeout(60)
class OverloadTest {
    private static final int BODY_BYTES = 65_536;

    @TempDir
    Path folder;

    private static String largeJob(String id) {
        return post("/api", "Req-Id: " + id + "\r\nReq-Kind: render\r\nReq-Deadline-Ms: 20000\r\n", "b".repeat(BODY_BYTES));
    }

    private static void awaitMetric(TestNode n, String line) throws Exception {
        while (!n.adminCall("GET", "stats").contains(line + "\n")) {
            Thread.sleep(20);
        }
    }

    private static void closeAll(List<Socket> sockets) throws Exception {
        for (Socket s : sockets) {
            s.close();
        }
    }

    /** Bodies of the largest size from hundreds at once, whole and in two parts, with room for three: it died of these. */
    @Test
    void largeBodiesWaitForMemoryAndAllGetResponses() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode n = new TestNode("read_like", 20_000_000, "'sockets':1024,'held_bytes':400000")) {
            AutoWorker worker = new AutoWorker(n, true);
            for (int i = 0; i < 300; i++) {
                clients.add(n.connect());
                String whole = largeJob("big" + i);
                send(clients.get(i), i % 2 == 0 ? whole : whole.substring(0, 300));
            }
            for (int i = 1; i < 300; i += 2) {
                send(clients.get(i), largeJob("big" + i).substring(300));
            }
            int served = 0;
            for (Socket client : clients) {
                String answer = receive(client);
                assertTrue(answer.startsWith("HTTP/1.1 200 OK") || answer.startsWith("HTTP/1.1 429 Too Many Requests"), answer);
                served += answer.startsWith("HTTP/1.1 200") ? 1 : 0;
            }
            assertTrue(n.node.invariants().counted("ingress waits for room") > 0);
            assertTrue(served >= 3, "served " + served);
            assertEquals(served, worker.jobs.get());
            assertEquals(served * BODY_BYTES, worker.bodyBytes.get());
            awaitMetric(n, "svc_held_bytes 0");
            awaitMetric(n, "svc_held_jobs 0");
        } finally {
            closeAll(clients);
        }
    }

    /** Clients that leave in their hundreds, in the middle of a body, while it waits, or with a job out, leave nothing behind. */
    @Test
    void disconnectedClientsReleaseTheirMemory() throws Exception {
        try (TestNode n = new TestNode("read_like", 20_000_000, "'sockets':1024,'held_bytes':400000")) {
            new AutoWorker(n, false);
            for (int round = 0; round < 5; round++) {
                List<Socket> clients = new ArrayList<>();
                for (int i = 0; i < 60; i++) {
                    clients.add(n.connect());
                    String whole = largeJob("go" + round + "-" + i);
                    send(clients.get(i), whole.substring(0, i % 3 == 0 ? 40_000 : whole.length()));
                }
                n.awaitCount("ingress waits for room", 1);
                closeAll(clients);
            }
            awaitMetric(n, "svc_held_bytes 0");
            awaitMetric(n, "svc_held_jobs 0");
        }
    }

    /** All descriptors with jobs under way: a further client hears so at once, and call-backs still end the jobs. */
    @Test
    void callbacksGetADescriptorAtTheClientLimit() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode n = new TestNode("read_like", 20_000_000, "'sockets':64")) {
            AutoWorker worker = new AutoWorker(n, false);
            String refused = "";
            while (refused.isEmpty()) {
                Socket client = n.connect();
                clients.add(client);
                send(client, job("d" + clients.size()));
                while (worker.jobs.get() < clients.size() && n.node.invariants().counted("ingress turned away for room") == 0) {
                    Thread.sleep(2);
                }
                refused = worker.jobs.get() < clients.size() ? receive(client) : "";
            }
            assertTrue(refused.startsWith("HTTP/1.1 429 Too Many Requests") && refused.contains("Connection: close"), refused);
            assertTrue(clients.size() > 5, "only " + clients.size());
            assertTrue(n.sendCallback("d1", "s-01", "done").startsWith("HTTP/1.1 204"));
            assertTrue(receive(clients.get(0)).startsWith("HTTP/1.1 200"));
        } finally {
            closeAll(clients);
        }
    }

    /** Workers that take jobs and never end them: each job ends by its deadline, and its timers with it. */
    @Test
    void unfinishedJobsEndAtTheirDeadline() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode n = new TestNode("non_idempotent", 1_000_000, "'sockets':256")) {
            new AutoWorker(n, false);
            for (int i = 0; i < 50; i++) {
                clients.add(n.connect());
                send(clients.get(i), post("/api", "Req-Id: n" + i + "\r\nReq-Kind: render\r\nReq-Deadline-Ms: 1000\r\n", "x"));
            }
            for (Socket client : clients) {
                String answer = receive(client);
                assertTrue(answer.startsWith("HTTP/1.1 500") || answer.startsWith("HTTP/1.1 429"), answer);
            }
            awaitMetric(n, "svc_held_jobs 0");
            awaitMetric(n, "svc_held_bytes 0");
        } finally {
            closeAll(clients);
        }
    }

    /** Jobs beyond the limit are refused at once while those taken on go on; room that comes free is used again. */
    @Test
    void jobsOverTheLimitAreRejected() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode n = new TestNode("read_like", 20_000_000, "'sockets':256,'held_jobs':16")) {
            AutoWorker worker = new AutoWorker(n, false);
            for (int i = 0; i < 16; i++) {
                clients.add(n.connect());
                send(clients.get(i), job("j" + i));
            }
            n.awaitCount("requests", 16);
            while (worker.jobs.get() < 1) {
                Thread.sleep(2);
            }
            try (Socket more = n.connect()) {
                send(more, job("j16"));
                assertTrue(receive(more).startsWith("HTTP/1.1 429 Too Many Requests"));
                String first = worker.ids.peek(); // any of them may be the first to get a link
                n.sendCallback(first, "s-01", "done");
                assertTrue(receive(clients.get(Integer.parseInt(first.substring(1)))).startsWith("HTTP/1.1 200"));
                send(more, job("j17"));
                n.awaitCount("requests", 17);
            }
        } finally {
            closeAll(clients);
        }
    }

    /** The JDK's own client offers another protocol with its first request: it was refused for that. */
    @Test
    void protocolUpgradeOfferIsIgnored() throws Exception {
        try (TestNode n = new TestNode("read_like")) {
            new AutoWorker(n, true);
            HttpResponse<String> answer = HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build().send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + n.port + "/api")).header("Req-Id", "h2").header("Req-Kind", "render")
                    .header("Req-Deadline-Ms", "4000").POST(HttpRequest.BodyPublishers.ofString("work")).build(),
                HttpResponse.BodyHandlers.ofString());
            assertEquals(200, answer.statusCode());
        }
    }

    /** An error in the loop, as by a lack of memory, ends the process with a line and a status of its own. */
    @Test
    void fatalErrorExitsWithMessageAndStatus() throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, "{'listen':'127.0.0.1:0','discovery':'127.0.0.1:9','settings':{'classes':[{'name':'a'}]}}".replace('\'', '"'));
        File log = folder.resolve("log").toFile();
        Process p = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1", "-Xmx24m", "-cp",
            System.getProperty("java.class.path"), OutOfMemoryNode.class.getName(), config.toString()).redirectErrorStream(true).redirectOutput(log).start();
        assertTrue(p.waitFor(30, TimeUnit.SECONDS));
        String said = Files.readString(log.toPath());
        assertEquals(Node.EXIT_FATAL_ERROR, p.exitValue(), said);
        assertTrue(said.contains("the loop ended by java.lang.OutOfMemoryError"), said);
    }
}
