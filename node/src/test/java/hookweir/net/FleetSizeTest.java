package hookweir.net;

import static hookweir.net.TestNode.ACCEPTED;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.post;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static hookweir.net.TestNode.sendListLine;
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

/** Guards against size limits that a large fleet would hit, in lists, settings, worker connections and callbacks. */
@Timeout(60)
final class FleetSizeTest {
    private static final int WORKERS = 1100;

    /** Returns list entries of draining workers, numbered from 0x1000, with long names and many cells. */
    private static String draining(int count) {
        StringBuilder entries = new StringBuilder();
        for (int i = 0; i < count; i++) {
            entries.append(",{'id':'s-").append("0".repeat(40)).append(Integer.toHexString(0x1000 + i)).append("','addr':'127.0.0.1:9','zone':'a',")
                .append("'kind':'m','cell':").append(i % 97).append(",'state':'DRAINING','weight':1.0,'started_ms':1700000000000}");
        }
        return entries.toString();
    }

    /** Checks that jobs reach the one serving worker among all. */
    private static void assertServes(TestNode node, Socket client, int count) throws Exception {
        node.awaitCount("list updates", 1);
        AutoWorker worker = new AutoWorker(node, true);
        for (int i = 0; i < 5; i++) {
            send(client, job("w" + i));
            assertTrue(receive(client).startsWith("HTTP/1.1 200"));
        }
        assertEquals(5, worker.jobs.get());
        assertEquals(0, node.node.invariants().counted("discovery bad line") + node.node.invariants().counted("discovery line too long"));
        while (!node.adminCall("GET", "stats").contains(" " + count + "\n")) { // the statistics are updated periodically
            Thread.sleep(20);
        }
    }

    /** A change on the watch, in one line. */
    @ParameterizedTest
    @ValueSource(ints = {1100, 4096})
    void largeListLineIsApplied(int count) throws Exception {
        try (TestNode node = TestNode.withPushedList(); Socket watch = node.acceptListCallAndWatch(); Socket client = node.connect()) {
            sendListLine(watch, "{'version':8,'full':true,'servers':[" + node.workerEntry("SERVING") + draining(count - 1) + "]}");
            node.awaitCount("list updates", 2);
            assertServes(node, client, count);
        }
    }

    /** The response to a request for the whole list. */
    @ParameterizedTest
    @ValueSource(ints = {1100, 4096})
    void largeWholeListIsApplied(int count) throws Exception {
        try (TestNode node = TestNode.withPushedList(); Socket call = node.listService.accept(); Socket client = node.connect()) {
            receive(call);
            String whole = "{'version':8,'full':true,'servers':[" + node.workerEntry("SERVING") + draining(count - 1) + "]}";
            send(call, "HTTP/1.1 200 OK\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole.replace('\'', '"'));
            try (Socket watch = node.acceptWatch(8)) {
                assertServes(node, client, count);
                assertTrue(watch.isConnected());
            }
        }
    }

    /** A cached worker list of 4096 workers, and the settings of as many schedulers. */
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

    /** More workers than connections may be open: each gets one in turn, as idle connections to others make way. */
    @Test
    void everyWorkerGetsAConnectionOverTheDescriptorLimit() throws Exception {
        Invariants invariants = new Invariants();
        Loop loop = new Loop(invariants);
        Transport transport = new Transport(invariants, loop);
        ResourceBudget budget = new ResourceBudget(1 << 20, 100);
        budget.setMaxDescriptors(100);
        WorkerConnectionPool pool = new WorkerConnectionPool(loop, new Connector(loop, transport), invariants, 20_000_000, 20_000_000, budget, () -> 0);
        BlockingQueue<Integer> sizes = new LinkedBlockingQueue<>();
        try (ServerSocket listener = new ServerSocket(0, 4096, InetAddress.getLoopbackAddress())) {
            transport.start();
            new Thread(loop::run).start();
            InetSocketAddress address = new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
            for (int i = 0; i < WORKERS; i++) {
                int id = i;
                loop.post(() -> {
                    pool.applyUpdate(id, "s-" + id, address, Contract.WorkerState.READY);
                    pool.acquire(pool.worker(id), new OutboundConnection.Handler() {
                        @Override
                        public void connected(OutboundConnection connection) {
                            pool.release(pool.worker(id), connection, true);
                            sizes.add(pool.connectionCount());
                        }

                        @Override
                        public void responsePart(OutboundConnection connection, OutboundConnection.ResponsePart part) {
                        }

                        @Override
                        public void disconnected(OutboundConnection connection) {
                            sizes.add(Integer.MAX_VALUE);
                        }
                    }, WorkerConnectionPool.REUSE_ANY);
                });
                assertTrue(sizes.take() <= 100 * ResourceBudget.MAX_WORKER_CONNECTION_SHARE + 1, "worker " + i);
            }
            assertEquals(WORKERS, pool.workerCount());
            assertEquals(0, invariants.counted("egress out of links"));
        } finally {
            loop.post(loop::stop);
            transport.stop();
        }
    }

    /** All workers call back at once while the loop is blocked: the callbacks wait in the accept backlog, and are answered. */
    @Test
    void simultaneousCallbacksWaitInTheBacklog() throws Exception {
        List<Socket> workers = new ArrayList<>();
        try (TestNode node = new TestNode("read_like", 20_000_000, "'sockets':2048")) {
            node.awaitLoop();
            CountDownLatch gate = node.blockLoop();
            for (int i = 0; i < WORKERS; i++) {
                Socket worker = node.connect();
                workers.add(worker);
                send(worker, post("/callback", "", "{'id':'none','from':'s-01','state':'done'}".replace('\'', '"')));
            }
            gate.countDown();
            for (Socket worker : workers) {
                assertTrue(receive(worker).startsWith("HTTP/1.1 204"));
            }
        } finally {
            for (Socket worker : workers) {
                worker.close();
            }
        }
    }

    /** Each worker calls back on its own connection and keeps it open, with fewer descriptors than workers. */
    @Test
    void callbackConnectionsOverTheDescriptorLimitAreServed() throws Exception {
        List<Socket> workers = new ArrayList<>();
        try (TestNode node = new TestNode("read_like", 20_000_000, "'sockets':1024"); Socket client = node.connect()) {
            send(client, job("c1"));
            try (Socket connection = node.workerListener.accept()) {
                receive(connection);
                send(connection, ACCEPTED);
                String running = "{'id':'c1','from':'s-01','state':'running','share':0.5}".replace('\'', '"');
                for (int i = 0; i < WORKERS; i++) {
                    Socket worker = node.connect();
                    workers.add(worker);
                    send(worker, post("/callback", "", running));
                    assertTrue(receive(worker).startsWith("HTTP/1.1 204"), "worker " + i);
                }
                node.sendCallback("c1", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            }
        } finally {
            for (Socket worker : workers) {
                worker.close();
            }
        }
    }
}
