package hookweir.net;

import static hookweir.net.TestNode.TAKEN;
import static hookweir.net.TestNode.hear;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.line;
import static hookweir.net.TestNode.post;
import static hookweir.net.TestNode.say;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract;
import hookweir.config.Config;
import hookweir.config.ConfigReader;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.room.ResourceBudget;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets of more workers and schedulers than any trial has: lists, settings, links and call-backs have no cap below them. */
@Timeout(60)
final class FleetSizeTest {
    private static final int WORKERS = 1100;

    /** Workers that drain, numbered from 0x1000, with long names of their own kinds and cells. */
    private static String draining(int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(",{'id':'s-").append("0".repeat(40)).append(Integer.toHexString(0x1000 + i)).append("','addr':'127.0.0.1:9','zone':'a',")
                .append("'kind':'m','cell':").append(i % 97).append(",'state':'DRAINING','weight':1.0,'started_ms':1700000000000}");
        }
        return all.toString();
    }

    /** The one that serves is found among all. */
    private static void assertServes(TestNode n, Socket client, int count) throws Exception {
        n.awaitCount("list updates", 1);
        AutoWorker worker = new AutoWorker(n, true);
        for (int i = 0; i < 5; i++) {
            say(client, job("w" + i));
            assertTrue(hear(client).startsWith("HTTP/1.1 200"));
        }
        assertEquals(5, worker.jobs.get());
        assertEquals(0, n.node.invariants().counted("discovery bad line") + n.node.invariants().counted("discovery line too long"));
        while (!n.call("GET", "stats").contains(" " + count + "\n")) { // told anew from time to time
            Thread.sleep(20);
        }
    }

    /** On a watch, in one line. */
    @ParameterizedTest
    @ValueSource(ints = {1100, 4096})
    void largeListLineIsApplied(int count) throws Exception {
        try (TestNode n = TestNode.pushed(); Socket watch = n.watched(); Socket client = n.connect()) {
            line(watch, "{'version':8,'full':true,'servers':[" + n.entry("SERVING") + draining(count - 1) + "]}");
            n.awaitCount("list updates", 2);
            assertServes(n, client, count);
        }
    }

    /** As the answer to a call for the whole list. */
    @ParameterizedTest
    @ValueSource(ints = {1100, 4096})
    void largeWholeListIsApplied(int count) throws Exception {
        try (TestNode n = TestNode.pushed(); Socket call = n.list.accept(); Socket client = n.connect()) {
            hear(call);
            String whole = "{'version':8,'full':true,'servers':[" + n.entry("SERVING") + draining(count - 1) + "]}";
            say(call, "HTTP/1.1 200 OK\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole.replace('\'', '"'));
            try (Socket watch = n.watchedFrom(8)) {
                assertServes(n, client, count);
                assertTrue(watch.isConnected());
            }
        }
    }

    /** As many in the list as last held, and the settings of as many schedulers. */
    @Test
    void largeConfigurationIsRead() throws Exception {
        Path file = Files.createTempFile("hookweir", ".json");
        try {
            Files.writeString(file, ("{'listen':'127.0.0.1:0','discovery':'127.0.0.1:9','known':{'version':1,'full':true,'servers':["
                + draining(4096).substring(1) + "]},'settings':{'classes':[{'name':'render','deadline_us':9,'semantics':'read_like'}],"
                + "'zones':['a'],'kinds':['m'],'me':4095,'instances':4096}}").replace('\'', '"'));
            Config config = ConfigReader.fromFile(file, Map.of());
            assertEquals(4095, config.settings().policySettings.schedulerIndex);
            assertEquals(4096, config.settings().policySettings.schedulerCount);
            assertEquals(4096, config.cachedWorkerList().path("servers").size());
        } finally {
            Files.delete(file);
        }
    }

    /** More workers than links may be open: each gets one in its turn, and none is refused for those that rest. */
    @Test
    void everyWorkerGetsAConnectionOverTheDescriptorLimit() throws Exception {
        Invariants invariants = new Invariants();
        Loop loop = new Loop(invariants);
        Transport transport = new Transport(invariants, loop);
        ResourceBudget room = new ResourceBudget(1 << 20, 100);
        room.setMaxDescriptors(100);
        WorkerConnectionPool egress = new WorkerConnectionPool(loop, new Connector(loop, transport), invariants, 20_000_000, 20_000_000, room, () -> 0);
        BlockingQueue<Integer> sizes = new LinkedBlockingQueue<>();
        try (ServerSocket door = new ServerSocket(0, 4096, InetAddress.getLoopbackAddress())) {
            transport.start();
            new Thread(loop::run).start();
            InetSocketAddress at = new InetSocketAddress(door.getInetAddress(), door.getLocalPort());
            for (int i = 0; i < WORKERS; i++) {
                int id = i;
                loop.post(() -> {
                    egress.applyUpdate(id, "s-" + id, at, Contract.WorkerState.READY);
                    egress.acquire(egress.worker(id), new OutboundConnection.Handler() {
                        @Override
                        public void connected(OutboundConnection link) {
                            egress.release(egress.worker(id), link, true);
                            sizes.add(egress.connectionCount());
                        }

                        @Override
                        public void responsePart(OutboundConnection link, OutboundConnection.ResponsePart piece) {
                        }

                        @Override
                        public void disconnected(OutboundConnection link) {
                            sizes.add(Integer.MAX_VALUE);
                        }
                    }, WorkerConnectionPool.REUSE_ANY);
                });
                assertTrue(sizes.take() <= 100 * ResourceBudget.MAX_WORKER_CONNECTION_SHARE + 1, "worker " + i);
            }
            assertEquals(WORKERS, egress.workerCount());
            assertEquals(0, invariants.counted("egress out of links"));
        } finally {
            loop.post(loop::stop);
            transport.stop();
        }
    }

    /** All of so many workers call at once while the loop has other things to do: all wait in the backlog, and are answered. */
    @Test
    void simultaneousCallbacksWaitInTheBacklog() throws Exception {
        List<Socket> workers = new ArrayList<>();
        try (TestNode n = new TestNode("read_like", 20_000_000, "'sockets':2048")) {
            n.settle();
            CountDownLatch gate = n.deaf();
            for (int i = 0; i < WORKERS; i++) {
                Socket worker = n.connect();
                workers.add(worker);
                say(worker, post("/callback", "", "{'id':'none','from':'s-01','state':'done'}".replace('\'', '"')));
            }
            gate.countDown();
            for (Socket worker : workers) {
                assertTrue(hear(worker).startsWith("HTTP/1.1 204"));
            }
        } finally {
            for (Socket worker : workers) {
                worker.close();
            }
        }
    }

    /** Each of so many workers calls back on a connection of its own and keeps it, where there are fewer descriptors. */
    @Test
    void callbackConnectionsOverTheDescriptorLimitAreServed() throws Exception {
        List<Socket> workers = new ArrayList<>();
        try (TestNode n = new TestNode("read_like", 20_000_000, "'sockets':1024"); Socket client = n.connect()) {
            say(client, job("c1"));
            try (Socket link = n.worker.accept()) {
                hear(link);
                say(link, TAKEN);
                String running = "{'id':'c1','from':'s-01','state':'running','share':0.5}".replace('\'', '"');
                for (int i = 0; i < WORKERS; i++) {
                    Socket worker = n.connect();
                    workers.add(worker);
                    say(worker, post("/callback", "", running));
                    assertTrue(hear(worker).startsWith("HTTP/1.1 204"), "worker " + i);
                }
                n.tell("c1", "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
            }
        } finally {
            for (Socket worker : workers) {
                worker.close();
            }
        }
    }
}
