package hookweir.net;

import static hookweir.net.TestNode.ACCEPTED;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static hookweir.net.TestNode.sendListLine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.UnixOperatingSystemMXBean;
import hookweir.Contract;
import hookweir.net.worker.WorkerConnectionPool;
import java.io.InputStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Worker connections at awkward moments: late connects, duplicate responses, responses at a timeout, changed addresses. */
@Timeout(30)
final class WorkerConnectionsTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /** Fills the backlog of a listening socket on which nothing is accepted: further connects get no response. */
    private static List<Socket> fillBacklog(ServerSocket listener) throws Exception {
        List<Socket> backlog = new ArrayList<>();
        try {
            while (true) {
                Socket s = new Socket();
                backlog.add(s);
                s.connect(new InetSocketAddress(LOOPBACK, listener.getLocalPort()), 200);
            }
        } catch (java.net.SocketTimeoutException full) {
            return backlog;
        }
    }

    /** A duplicate response that came some milliseconds late was taken for the response to the next job on the connection. */
    @Test
    void connectionIsNotReusedWithinDuplicateResponseWindow() throws Exception {
        try (TestNode scheduler = new TestNode("non_idempotent"); Socket client = scheduler.connect()) {
            scheduler.freezeClock();
            send(client, job("s1"));
            try (Socket first = scheduler.workerListener.accept()) {
                receive(first);
                send(first, ACCEPTED);
                scheduler.sendCallback("s1", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                send(client, job("s2"));
                scheduler.awaitCount("requests", 2);
                send(first, "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
                assertEquals("", receive(first), "no job on the connection and its end, because the next response could not be told from this one");
                scheduler.resumeClock(40_000);
                try (Socket second = scheduler.workerListener.accept()) {
                    assertTrue(receive(second).contains("Req-Id: s2\r\n"));
                    send(second, ACCEPTED);
                    scheduler.sendCallback("s2", "s-01", "done");
                    assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                    send(client, job("s3"));
                    assertTrue(receive(second).contains("Req-Id: s3\r\n"), "a connection is reused after the reuse delay");
                    assertEquals(2, scheduler.node.invariants().counted("egress dials"));
                }
            }
        }
    }

    /** A probe's duplicate response, a 200, comes while a job is sent: no job gets a 200, so the job's own response is awaited. */
    @Test
    void responseThatIsNotForAJobIsIgnored() throws Exception {
        try (TestNode scheduler = new TestNode("non_idempotent"); Socket client = scheduler.connect()) {
            send(client, job("p1"));
            try (Socket worker = scheduler.workerListener.accept()) {
                receive(worker);
                send(worker, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=1");
                scheduler.awaitCount("egress answers of no call", 1);
                send(worker, ACCEPTED);
                scheduler.sendCallback("p1", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** The job was not accepted in time, but a 202 may be on its way: the worker gets a cancellation before the job is sent again. */
    @Test
    void jobNotAcceptedInTimeIsCancelledAtItsWorker() throws Exception {
        try (TestNode scheduler = new TestNode("read_like", 200_000_000); Socket client = scheduler.connect()) {
            send(client, job("u1").replace("20000", "200000"));
            try (Socket first = scheduler.workerListener.accept()) {
                receive(first);
                scheduler.awaitLoop();
                scheduler.resumeClock(31_000_000);
                assertEquals("", receive(first));
                try (Socket next = scheduler.workerListener.accept()) {
                    assertTrue(receive(next).startsWith("DELETE /jobs/u1 HTTP/1.1\r\n"));
                    scheduler.awaitCount("attempts TIMEOUT", 1);
                }
            }
        }
    }

    /** The process was busy, and the 202 had arrived but was still unread when the timeout for it expired. */
    @Test
    void unread202AtTimeoutCounts() throws Exception {
        try (TestNode scheduler = new TestNode("read_like", 200_000_000); Socket client = scheduler.connect()) {
            send(client, job("u2").replace("20000", "200000"));
            try (Socket worker = scheduler.workerListener.accept()) {
                receive(worker);
                scheduler.awaitLoop();
                CountDownLatch gate = scheduler.blockLoop();
                send(worker, ACCEPTED);
                scheduler.resumeClock(31_000_000);
                gate.countDown();
                scheduler.sendCallback("u2", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                assertEquals(0, scheduler.node.invariants().counted("attempts TIMEOUT"));
            }
        }
    }

    /** The result arrives in the round of I/O in which the job's deadline passes: the response stands, and the module is notified of it. */
    @Test
    void resultReceivedAtDeadlineStands() throws Exception {
        try (TestNode scheduler = TestNode.withFrozenClock("non_idempotent"); Socket client = scheduler.connect()) {
            scheduler.advanceFrozenClock(10_000); // after the module's first timers and before the next ones
            send(client, job("x1").replace("20000", "100"));
            try (Socket worker = scheduler.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                Invariants invariants = scheduler.node.invariants();
                LongSupplier before = scheduler.clockOffsetNs;
                scheduler.clockOffsetNs = () -> before.getAsLong() + (invariants.counted("attempts OK") > 0 ? 99_000_000L : 0);
                scheduler.sendCallback("x1", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                assertTrue(scheduler.request("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").startsWith("HTTP/1.1 200"), "the loop is still running");
                assertEquals(0, invariants.counted("BROKEN failure of a closed request"));
            }
        }
    }

    /** The connection is established after the client disconnected. Attempts cannot be cancelled here, so none may be started. */
    @Test
    void jobOfDisconnectedClientIsNotSent() throws Exception {
        try (TestNode scheduler = TestNode.withoutCancellation()) {
            List<Socket> backlog = fillBacklog(scheduler.workerListener);
            Socket client = scheduler.connect(); // closed explicitly: its disconnect is what is tested
            send(client, job("g1"));
            scheduler.awaitCount("egress dials", 1);
            client.close();
            scheduler.awaitCount("clients gone", 1);
            for (Socket s : backlog) {
                s.close();
            }
            for (int i = 1; i < backlog.size(); i++) {
                scheduler.workerListener.accept().close();
            }
            try (Socket late = scheduler.workerListener.accept(); Socket next = scheduler.connect()) {
                scheduler.awaitCount("attempts MOOT", 1);
                send(next, job("g2"));
                assertTrue(receive(late).contains("Req-Id: g2\r\n"), "the first job on this connection");
            }
        }
    }

    /** After a worker changed its address, its idle connections still counted as open: each change left room for one connection less. */
    @Test
    void connectionsToOldWorkerAddressAreReleased() throws Exception {
        try (ServerSocket newListener = new ServerSocket(0, 50, LOOPBACK);
                TestNode scheduler = new TestNode("read_like", 20_000_000, "'sockets':96"); Socket client = scheduler.connect()) {
            new AutoWorker(scheduler, true);
            new AutoWorker(scheduler, newListener, "s-01", true, Integer.MAX_VALUE);
            String movedEntry = scheduler.workerEntry("SERVING").replaceAll(":\\d+','zone", ":" + newListener.getLocalPort() + "','zone");
            for (int i = 0; i < 100; i++) {
                send(client, job("m" + i));
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                sendListLine(scheduler.watch, "{'version':" + (8 + i) + ",'full':false,'servers':["
                    + (i % 2 == 0 ? movedEntry : scheduler.workerEntry("SERVING")) + "]}");
                scheduler.awaitCount("list updates", 3 + i);
            }
            assertEquals(0, scheduler.node.invariants().counted("egress waits for a link"));
        }
    }

    /** At most one call waits for each connection in its reuse delay: when all calls waited, the jobs of a busy worker waited for ever. */
    @Test
    void onlyOneCallWaitsForReuseAndTheNextConnects() throws Exception {
        try (ConnectionPoolFixture fixture = new ConnectionPoolFixture()) {
            fixture.acquire();
            OutboundConnection first = fixture.acquired.take();
            long now = System.nanoTime();
            fixture.io.clock = () -> now;
            fixture.io.loop.post(() -> fixture.pool.releaseWithReuseDelay(fixture.pool.worker(1), first, true));
            fixture.assertOneCallWaitsForReuse(first);
        }
    }

    /**
     * A worker gets jobs without a pause: new connections were opened again and again while others were in their reuse delay, and the
     * throughput was 5,800 jobs/s instead of 14,200.
     */
    @Test
    void longestIdleConnectionIsReused() throws Exception {
        try (ConnectionPoolFixture fixture = new ConnectionPoolFixture()) {
            List<OutboundConnection> all = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                fixture.acquire();
                all.add(fixture.acquired.take());
            }
            long now = System.nanoTime();
            fixture.io.clock = () -> now;
            for (OutboundConnection connection : all) {
                fixture.io.loop.post(() -> fixture.pool.releaseWithReuseDelay(fixture.pool.worker(1), connection, true));
            }
            fixture.acquire();
            assertTrue(all.contains(fixture.acquired.take()), "no new connection and no wait");
            assertEquals(4, fixture.invariants.counted("egress dials"));
        }
    }

    /** A duplicate response to a probe other than 200 could be a job's: it ended a job as failed while the worker still ran it. */
    @Test
    void connectionOfFailedProbeAlsoWaitsForReuse() throws Exception {
        try (ConnectionPoolFixture fixture = new ConnectionPoolFixture()) {
            CountDownLatch ended = new CountDownLatch(1);
            fixture.io.loop.post(() -> new HttpCall(fixture.io.loop, fixture.pool, fixture.invariants, 20_000_000, fixture.pool.worker(1), "GET", "/healthz",
                    WorkerConnectionPool.REUSE_SETTLED) {
                @Override
                public void connected(OutboundConnection connection) {
                    fixture.acquired.add(connection);
                    super.connected(connection);
                }

                @Override
                void onEnd(Contract.Outcome outcome, OutboundConnection.ResponsePart last, byte[] whole) {
                    ended.countDown();
                }
            }.start());
            try (Socket worker = fixture.workerListener.accept()) {
                receive(worker);
                long now = System.nanoTime();
                fixture.io.clock = () -> now;
                send(worker, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                ended.await();
                fixture.assertOneCallWaitsForReuse(fixture.acquired.take());
            }
        }
    }

    /** Connects to a machine that had disappeared kept their descriptors for minutes, outside every limit. */
    @Test
    void cancelledConnectReleasesItsDescriptor() throws Exception {
        var system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        try (ConnectionPoolFixture.IoFixture io = new ConnectionPoolFixture.IoFixture(); ServerSocket listener = new ServerSocket(0, 1, LOOPBACK)) {
            List<Socket> backlog = fillBacklog(listener);
            long before = system.getOpenFileDescriptorCount();
            var address = new InetSocketAddress(LOOPBACK, listener.getLocalPort());
            List<OutboundConnection> connecting = new ArrayList<>();
            io.loop.post(() -> {
                for (int i = 0; i < 200; i++) {
                    connecting.add(io.connector.connect(address, 60_000_000, new ConnectionPoolFixture.IgnoringHandler()));
                }
            });
            while (system.getOpenFileDescriptorCount() < before + 150) { // earlier tests may still release some
                Thread.onSpinWait();
            }
            io.loop.post(() -> connecting.forEach(OutboundConnection::close));
            while (system.getOpenFileDescriptorCount() > before + 50) {
                Thread.onSpinWait();
            }
            for (Socket s : backlog) {
                s.close();
            }
        }
    }

    /** A request that is aborted before it was written completely must stay incomplete: its last byte would start an attempt. */
    @Test
    void abortedRequestIsNeverCompleted() throws Exception {
        byte[] body = new byte[64 * 1024 * 1024];
        try (ConnectionPoolFixture.IoFixture io = new ConnectionPoolFixture.IoFixture(); ServerSocket listener = new ServerSocket(0, 1, LOOPBACK)) {
            io.loop.post(() -> io.connector.connect(new InetSocketAddress(LOOPBACK, listener.getLocalPort()), 5_000_000,
                    new ConnectionPoolFixture.IgnoringHandler() {
                @Override
                public void connected(OutboundConnection connection) {
                    connection.sendRequest(connection.requestHead("POST", "/api", null, "h"), body, this);
                    io.loop.post(connection::close);
                }
            }));
            try (Socket worker = listener.accept()) {
                InputStream in = worker.getInputStream();
                long received = 0;
                try {
                    for (int b = in.read(body); b >= 0; b = in.read(body)) {
                        received += b;
                    }
                } catch (java.net.SocketException reset) {
                    assertTrue(received < body.length);
                }
                assertTrue(received < body.length, "the whole request arrived: " + received);
            }
        }
    }
}
