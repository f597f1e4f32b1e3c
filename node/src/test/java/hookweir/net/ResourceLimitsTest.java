package hookweir.net;

import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Load that would take more than there may be: the bound holds, and what was taken on goes on. */
@Timeout(60)
class ResourceLimitsTest {
    /** Clients have all the connections that they may, and use none: a newcomer's job is worth more than one that rests. */
    @Test
    void idleClientsAreDisconnectedForANewJob() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode n = new TestNode("read_like", 20_000_000, "'sockets':64")) {
            new AutoWorker(n, true);
            for (int i = 0; i < 9; i++) { // three quarters of four fifths of the 16 that are not the process's own
                clients.add(n.connect());
                send(clients.get(i), job("r" + i));
                assertTrue(receive(clients.get(i)).startsWith("HTTP/1.1 200"));
            }
            Thread.sleep(1100); // one used within the last second may have its next request on the way
            for (int i = 0; i < 3; i++) {
                Socket more = n.connect();
                clients.add(more);
                send(more, job("m" + i));
                String answer = receive(more);
                assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            }
            assertEquals(-1, clients.get(0).getInputStream().read()); // the longest unused one went
            assertEquals(0, n.node.invariants().counted("ingress turned away for room"));
        } finally {
            for (Socket c : clients) {
                c.close();
            }
        }
    }

    /** A file that allows fewer jobs than are held: those held go on, nobody new is taken until there is room again. */
    @Test
    void loweredJobLimitKeepsPendingJobs() throws Exception {
        List<Socket> clients = new ArrayList<>();
        Path file = Files.createTempFile("hookweir", ".json");
        try (TestNode n = new TestNode("read_like", 20_000_000, "'sockets':256,'held_jobs':32")) {
            AutoWorker worker = new AutoWorker(n, false);
            for (int i = 0; i < 24; i++) {
                clients.add(n.connect());
                send(clients.get(i), job("k" + i));
            }
            n.awaitCount("requests", 24);
            Files.writeString(file, n.config("127.0.0.1:" + n.listService.getLocalPort()).replace("\"held_jobs\":32", "\"held_jobs\":16"));
            n.node.reload(Map.of("RELAY_CONFIG", file.toString()));
            n.awaitCount("reloads", 1);
            assertTrue(n.request(job("more")).startsWith("HTTP/1.1 429"));
            while (worker.ids.isEmpty()) {
                Thread.sleep(2);
            }
            String id = worker.ids.peek();
            n.sendCallback(id, "s-01", "done");
            assertTrue(receive(clients.get(Integer.parseInt(id.substring(1)))).startsWith("HTTP/1.1 200"), id);
            assertTrue(n.request(job("still")).startsWith("HTTP/1.1 429")); // 23 are held, 16 may be
            for (int i = 0; i < 24; i++) {
                if (i != Integer.parseInt(id.substring(1)) && clients.stream().filter(Socket::isClosed).count() < 8) {
                    clients.get(i).close();
                }
            }
            n.awaitCount("clients gone", 8);
            try (Socket next = n.connect()) {
                send(next, job("next"));
                n.awaitCount("requests", 25);
            }
            assertEquals(0, n.node.invariants().counted("BROKEN event failed"));
        } finally {
            Files.delete(file);
            for (Socket c : clients) {
                c.close();
            }
        }
    }

    /** Clients that come again at once at each refusal: each request has one answer, and the jobs held end as ever. */
    @Test
    void retryStormDoesNotBlockPendingJobs() throws Exception {
        int storm = 20;
        int tries = 200;
        List<Socket> clients = new ArrayList<>();
        try (TestNode n = new TestNode("read_like", 20_000_000, "'sockets':256,'held_jobs':16")) {
            AutoWorker worker = new AutoWorker(n, false);
            for (int i = 0; i < 16; i++) {
                clients.add(n.connect());
                send(clients.get(i), job("h" + i));
            }
            n.awaitCount("requests", 16);
            List<Thread> stormers = new ArrayList<>();
            List<String> odd = new java.util.concurrent.CopyOnWriteArrayList<>();
            for (int s = 0; s < storm; s++) {
                String name = "s" + s + "-";
                Thread t = new Thread(() -> {
                    try (Socket c = n.connect()) {
                        for (int i = 0; i < tries; i++) {
                            send(c, job(name + i));
                            String answer = receive(c);
                            if (!answer.startsWith("HTTP/1.1 429")) {
                                odd.add(answer);
                            }
                        }
                    } catch (IOException e) {
                        odd.add(e.toString());
                    }
                });
                stormers.add(t);
                t.start();
            }
            for (Thread t : stormers) {
                t.join();
            }
            assertEquals(List.of(), odd);
            assertEquals((long) storm * tries, n.node.invariants().counted("requests refused for room"));
            while (worker.ids.isEmpty()) {
                Thread.sleep(2);
            }
            String held = worker.ids.peek();
            n.sendCallback(held, "s-01", "done");
            assertTrue(receive(clients.get(Integer.parseInt(held.substring(1)))).startsWith("HTTP/1.1 200"));
            assertFalse(n.adminCall("GET", "stats").contains("svc_held_jobs 17"));
        } finally {
            for (Socket c : clients) {
                c.close();
            }
        }
    }
}
