package hookweir.net;

import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.room.ResourceBudget;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Load beyond the configured limits: the limits hold, and accepted jobs continue. */
@Timeout(60)
class ResourceLimitsTest {
    /** Idle clients hold all connections that clients may have: the longest idle one has to be closed for a new client's job. */
    @Test
    void idleClientsAreDisconnectedForANewJob() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode scheduler = new TestNode("read_like", 20_000_000, "'sockets':64")) {
            new AutoWorker(scheduler, true);
            for (int i = 0; i < 9; i++) { // 3/4 of 4/5 of the 16 descriptors that the process does not need itself
                clients.add(scheduler.connect());
                send(clients.get(i), job("r" + i));
                assertTrue(receive(clients.get(i)).startsWith("HTTP/1.1 200"));
            }
            Thread.sleep(1100); // a connection used within the last second may have its next request on the way
            for (int i = 0; i < 3; i++) {
                Socket more = scheduler.connect();
                clients.add(more);
                send(more, job("m" + i));
                String response = receive(more);
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
            assertEquals(-1, clients.get(0).getInputStream().read()); // the longest idle connection was closed
            assertEquals(0, scheduler.node.invariants().counted("ingress turned away for room"));
        } finally {
            for (Socket c : clients) {
                c.close();
            }
        }
    }

    private static String longHeadJob(String id, int headBytes) {
        return job(id).replace("/api ", "/api?q=" + "a".repeat(headBytes) + " ");
    }

    /** Heads were counted by no limit, so that bad clients could fill the heap. Clients with short heads are served meanwhile. */
    @Test
    void largeHeadsAreRejectedBeyondTheirShare() throws Exception {
        int headBytes = 15_000;
        int fitting = (int) (262_144 * ResourceBudget.MAX_HEAD_SHARE / (headBytes - ResourceBudget.FREE_HEAD_BYTES));
        List<Socket> clients = new ArrayList<>();
        try (TestNode scheduler = new TestNode("read_like", 20_000_000, "'sockets':128,'held_bytes':262144"); Socket usual = scheduler.connect()) {
            for (int i = 0; i < fitting; i++) {
                clients.add(scheduler.connect());
                send(clients.get(i), longHeadJob("h" + i, headBytes));
                scheduler.awaitCount("requests", i + 1);
            }
            try (Socket tooMany = scheduler.connect()) {
                send(tooMany, longHeadJob("x", headBytes));
                assertTrue(receive(tooMany).startsWith("HTTP/1.1 429"));
                assertEquals(-1, tooMany.getInputStream().read());
            }
            try (Socket unfinished = scheduler.connect()) {
                send(unfinished, "GET /api?" + "a".repeat(headBytes));
                assertTrue(receive(unfinished).startsWith("HTTP/1.1 429"), "a head that is being read counts, too");
            }
            new AutoWorker(scheduler, true);
            send(usual, job("usual"));
            assertTrue(receive(usual).startsWith("HTTP/1.1 200"));
            for (Socket client : clients) {
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            }
            send(clients.get(0), longHeadJob("again", headBytes));
            assertTrue(receive(clients.get(0)).startsWith("HTTP/1.1 200"), "the heads were released with their requests");
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    /** Where the requests behind others take all that they may, the rest waits unread, and all of them get their responses. */
    @Test
    void requestsBehindOthersWaitUnreadBeyondTheirShare() throws Exception {
        int connections = 20;
        int requests = 8;
        List<Socket> clients = new ArrayList<>();
        try (TestNode scheduler = new TestNode("read_like", 20_000_000, "'sockets':128,'held_bytes':262144")) {
            for (int i = 0; i < connections; i++) {
                clients.add(scheduler.connect());
                StringBuilder all = new StringBuilder();
                for (int k = 0; k < requests; k++) {
                    all.append(job("w" + i + "-" + k));
                }
                send(clients.get(i), all.toString());
            }
            scheduler.awaitCount("requests", connections);
            scheduler.awaitIoRounds();
            new AutoWorker(scheduler, true);
            for (Socket client : clients) {
                for (int k = 0; k < requests; k++) {
                    String response = receive(client);
                    assertTrue(response.startsWith("HTTP/1.1 200"), response);
                }
            }
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    /** A reloaded configuration allows fewer jobs than are pending: these go on, and new ones are rejected until the count is below the limit. */
    @Test
    void loweredJobLimitKeepsPendingJobs() throws Exception {
        List<Socket> clients = new ArrayList<>();
        Path file = Files.createTempFile("hookweir", ".json");
        try (TestNode scheduler = new TestNode("read_like", 20_000_000, "'sockets':256,'held_jobs':32")) {
            AutoWorker worker = new AutoWorker(scheduler, false);
            for (int i = 0; i < 24; i++) {
                clients.add(scheduler.connect());
                send(clients.get(i), job("k" + i));
            }
            scheduler.awaitCount("requests", 24);
            Files.writeString(file, scheduler.config("127.0.0.1:" + scheduler.listService.getLocalPort()).replace("\"held_jobs\":32", "\"held_jobs\":16"));
            scheduler.node.reload(Map.of("RELAY_CONFIG", file.toString()));
            scheduler.awaitCount("reloads", 1);
            assertTrue(scheduler.request(job("more")).startsWith("HTTP/1.1 429"));
            while (worker.ids.isEmpty()) {
                Thread.sleep(2);
            }
            String id = worker.ids.peek();
            scheduler.sendCallback(id, "s-01", "done");
            assertTrue(receive(clients.get(Integer.parseInt(id.substring(1)))).startsWith("HTTP/1.1 200"), id);
            assertTrue(scheduler.request(job("still")).startsWith("HTTP/1.1 429")); // 23 jobs are pending, 16 are allowed
            for (int i = 0; i < 24; i++) {
                if (i != Integer.parseInt(id.substring(1)) && clients.stream().filter(Socket::isClosed).count() < 8) {
                    clients.get(i).close();
                }
            }
            scheduler.awaitCount("clients gone", 8);
            try (Socket next = scheduler.connect()) {
                send(next, job("next"));
                scheduler.awaitCount("requests", 25);
            }
            assertEquals(0, scheduler.node.invariants().counted("BROKEN event failed"));
        } finally {
            Files.delete(file);
            for (Socket c : clients) {
                c.close();
            }
        }
    }

    /** Clients that retry at once after each rejection: each request gets one response, and the pending jobs still complete. */
    @Test
    void retryStormDoesNotBlockPendingJobs() throws Exception {
        int stormClients = 20;
        int requestsPerClient = 200;
        List<Socket> clients = new ArrayList<>();
        try (TestNode scheduler = new TestNode("read_like", 20_000_000, "'sockets':256,'held_jobs':16")) {
            AutoWorker worker = new AutoWorker(scheduler, false);
            for (int i = 0; i < 16; i++) {
                clients.add(scheduler.connect());
                send(clients.get(i), job("h" + i));
            }
            scheduler.awaitCount("requests", 16);
            List<Thread> threads = new ArrayList<>();
            List<String> unexpected = new java.util.concurrent.CopyOnWriteArrayList<>();
            for (int s = 0; s < stormClients; s++) {
                String name = "s" + s + "-";
                Thread thread = new Thread(() -> {
                    try (Socket c = scheduler.connect()) {
                        for (int i = 0; i < requestsPerClient; i++) {
                            send(c, job(name + i));
                            String response = receive(c);
                            if (!response.startsWith("HTTP/1.1 429")) {
                                unexpected.add(response);
                            }
                        }
                    } catch (IOException e) {
                        unexpected.add(e.toString());
                    }
                });
                threads.add(thread);
                thread.start();
            }
            for (Thread thread : threads) {
                thread.join();
            }
            assertEquals(List.of(), unexpected);
            assertEquals((long) stormClients * requestsPerClient, scheduler.node.invariants().counted("requests refused for room"));
            while (worker.ids.isEmpty()) {
                Thread.sleep(2);
            }
            String held = worker.ids.peek();
            scheduler.sendCallback(held, "s-01", "done");
            assertTrue(receive(clients.get(Integer.parseInt(held.substring(1)))).startsWith("HTTP/1.1 200"));
            assertFalse(scheduler.adminCall("GET", "stats").contains("svc_held_jobs 17"));
        } finally {
            for (Socket c : clients) {
                c.close();
            }
        }
    }
}
