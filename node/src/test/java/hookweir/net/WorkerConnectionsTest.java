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

/** What workers do to connections at the wrong moment: late ones, second answers, answers across a decision, moved addresses. */
@Timeout(30)
final class WorkerConnectionsTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /** Fills the backlog of a door that nobody opens: whoever dials it hears nothing. */
    private static List<Socket> fillBacklog(ServerSocket door) throws Exception {
        List<Socket> crowd = new ArrayList<>();
        try {
            while (true) {
                Socket s = new Socket();
                crowd.add(s);
                s.connect(new InetSocketAddress(LOOPBACK, door.getLocalPort()), 200);
            }
        } catch (java.net.SocketTimeoutException full) {
            return crowd;
        }
    }

    /** A second answer that comes some milliseconds late was taken for that of the next job on the link. */
    @Test
    void connectionIsNotReusedWithinDuplicateResponseWindow() throws Exception {
        try (TestNode n = new TestNode("non_idempotent"); Socket client = n.connect()) {
            n.freezeClock();
            send(client, job("s1"));
            try (Socket first = n.workerListener.accept()) {
                receive(first);
                send(first, ACCEPTED);
                n.sendCallback("s1", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                send(client, job("s2"));
                n.awaitCount("requests", 2);
                send(first, "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
                assertEquals("", receive(first), "no job on it, and its end, as the next answer could not be told from this one");
                n.resumeClock(40_000);
                try (Socket second = n.workerListener.accept()) {
                    assertTrue(receive(second).contains("Req-Id: s2\r\n"));
                    send(second, ACCEPTED);
                    n.sendCallback("s2", "s-01", "done");
                    assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                    send(client, job("s3"));
                    assertTrue(receive(second).contains("Req-Id: s3\r\n"), "a settled link is used again");
                    assertEquals(2, n.node.invariants().counted("egress dials"));
                }
            }
        }
    }

    /** A check's second answer, a 200, comes under a job: that is no answer to a job, and its own is waited for. */
    @Test
    void responseThatIsNotForAJobIsIgnored() throws Exception {
        try (TestNode n = new TestNode("non_idempotent"); Socket client = n.connect()) {
            send(client, job("p1"));
            try (Socket w = n.workerListener.accept()) {
                receive(w);
                send(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=1");
                n.awaitCount("egress answers of no call", 1);
                send(w, ACCEPTED);
                n.sendCallback("p1", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** Nobody said that it took the job, and a 202 may be on its way: the worker hears before the job goes out again. */
    @Test
    void jobNotAcceptedInTimeIsCancelledAtItsWorker() throws Exception {
        try (TestNode n = new TestNode("read_like", 200_000_000); Socket client = n.connect()) {
            send(client, job("u1").replace("20000", "200000"));
            try (Socket first = n.workerListener.accept()) {
                receive(first);
                n.awaitLoop();
                n.resumeClock(31_000_000);
                assertEquals("", receive(first));
                try (Socket next = n.workerListener.accept()) {
                    assertTrue(receive(next).startsWith("DELETE /jobs/u1 HTTP/1.1\r\n"));
                    n.awaitCount("attempts TIMEOUT", 1);
                }
            }
        }
    }

    /** The 202 lay unread as the wait for it ran out, as the process had other things to do. */
    @Test
    void unread202AtTimeoutCounts() throws Exception {
        try (TestNode n = new TestNode("read_like", 200_000_000); Socket client = n.connect()) {
            send(client, job("u2").replace("20000", "200000"));
            try (Socket w = n.workerListener.accept()) {
                receive(w);
                n.awaitLoop();
                CountDownLatch gate = n.blockLoop();
                send(w, ACCEPTED);
                n.resumeClock(31_000_000);
                gate.countDown();
                n.sendCallback("u2", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                assertEquals(0, n.node.invariants().counted("attempts TIMEOUT"));
            }
        }
    }

    /** The job is done in the round of I/O in which its time runs out: the answer stands, and the module knows of it. */
    @Test
    void resultReceivedAtDeadlineStands() throws Exception {
        try (TestNode n = TestNode.withFrozenClock("non_idempotent"); Socket client = n.connect()) {
            n.advanceFrozenClock(10_000); // past the module's first timers, and before the next
            send(client, job("x1").replace("20000", "100"));
            try (Socket w = n.workerListener.accept()) {
                receive(w);
                send(w, ACCEPTED);
                Invariants seen = n.node.invariants();
                LongSupplier before = n.clockOffsetNs;
                n.clockOffsetNs = () -> before.getAsLong() + (seen.counted("attempts OK") > 0 ? 99_000_000L : 0);
                n.sendCallback("x1", "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                assertTrue(n.request("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").startsWith("HTTP/1.1 200"), "the loop goes on");
                assertEquals(0, seen.counted("BROKEN failure of a closed request"));
            }
        }
    }

    /** The connection comes up after the client left; attempts can't be called off there, so none is begun. */
    @Test
    void jobOfDisconnectedClientIsNotSent() throws Exception {
        try (TestNode n = TestNode.withoutCancellation()) {
            List<Socket> crowd = fillBacklog(n.workerListener);
            Socket client = n.connect(); // closed by hand: its leaving is the test
            send(client, job("g1"));
            n.awaitCount("egress dials", 1);
            client.close();
            n.awaitCount("clients gone", 1);
            for (Socket s : crowd) {
                s.close();
            }
            for (int i = 1; i < crowd.size(); i++) {
                n.workerListener.accept().close();
            }
            try (Socket late = n.workerListener.accept(); Socket next = n.connect()) {
                n.awaitCount("attempts MOOT", 1);
                send(next, job("g2"));
                assertTrue(receive(late).contains("Req-Id: g2\r\n"), "the first that it carries");
            }
        }
    }

    /** A worker that moved left its kept links counted as open: with each move there was room for one less. */
    @Test
    void connectionsToOldWorkerAddressAreReleased() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 50, LOOPBACK);
                TestNode n = new TestNode("read_like", 20_000_000, "'sockets':96"); Socket client = n.connect()) {
            new AutoWorker(n, true);
            new AutoWorker(n, other, "s-01", true, Integer.MAX_VALUE);
            String there = n.workerEntry("SERVING").replaceAll(":\\d+','zone", ":" + other.getLocalPort() + "','zone");
            for (int i = 0; i < 100; i++) {
                send(client, job("m" + i));
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                sendListLine(n.watch, "{'version':" + (8 + i) + ",'full':false,'servers':[" + (i % 2 == 0 ? there : n.workerEntry("SERVING")) + "]}");
                n.awaitCount("list updates", 3 + i);
            }
            assertEquals(0, n.node.invariants().counted("egress waits for a link"));
        }
    }

    /** Each link that settles is waited for by one call: where all waited, a busy worker's jobs did so for ever. */
    @Test
    void onlyOneCallWaitsForReuseAndTheNextConnects() throws Exception {
        try (ConnectionPoolFixture pool = new ConnectionPoolFixture()) {
            pool.acquire();
            OutboundConnection first = pool.acquired.take();
            long now = System.nanoTime();
            pool.io.clock = () -> now;
            pool.io.loop.post(() -> pool.pool.releaseWithReuseDelay(pool.pool.worker(1), first, true));
            pool.assertOneCallWaitsForReuse(first);
        }
    }

    /** A worker that gets jobs without a pause: resting links were dialled round without end, and it carried 5,800 jobs/s in place of 14,200. */
    @Test
    void longestIdleConnectionIsReused() throws Exception {
        try (ConnectionPoolFixture pool = new ConnectionPoolFixture()) {
            List<OutboundConnection> all = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                pool.acquire();
                all.add(pool.acquired.take());
            }
            long now = System.nanoTime();
            pool.io.clock = () -> now;
            for (OutboundConnection link : all) {
                pool.io.loop.post(() -> pool.pool.releaseWithReuseDelay(pool.pool.worker(1), link, true));
            }
            pool.acquire();
            assertTrue(all.contains(pool.acquired.take()), "no dial, and no wait");
            assertEquals(4, pool.invariants.counted("egress dials"));
        }
    }

    /** A check's second answer that is no 200 could be a job's: it ended one as failed, and left it running. */
    @Test
    void connectionOfFailedProbeAlsoWaitsForReuse() throws Exception {
        try (ConnectionPoolFixture pool = new ConnectionPoolFixture()) {
            CountDownLatch ended = new CountDownLatch(1);
            pool.io.loop.post(() -> new HttpCall(pool.io.loop, pool.pool, pool.invariants, 20_000_000, pool.pool.worker(1), "GET", "/healthz",
                    WorkerConnectionPool.REUSE_SETTLED) {
                @Override
                public void connected(OutboundConnection link) {
                    pool.acquired.add(link);
                    super.connected(link);
                }

                @Override
                void onEnd(Contract.Outcome outcome, OutboundConnection.ResponsePart last, byte[] whole) {
                    ended.countDown();
                }
            }.start());
            try (Socket w = pool.workerListener.accept()) {
                receive(w);
                long now = System.nanoTime();
                pool.io.clock = () -> now;
                send(w, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                ended.await();
                pool.assertOneCallWaitsForReuse(pool.acquired.take());
            }
        }
    }

    /** Dials to a machine that vanished kept their descriptors for minutes, beside all that is counted. */
    @Test
    void cancelledConnectReleasesItsDescriptor() throws Exception {
        var system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        try (ConnectionPoolFixture.IoFixture bare = new ConnectionPoolFixture.IoFixture(); ServerSocket door = new ServerSocket(0, 1, LOOPBACK)) {
            List<Socket> crowd = fillBacklog(door);
            long before = system.getOpenFileDescriptorCount();
            var address = new InetSocketAddress(LOOPBACK, door.getLocalPort());
            List<OutboundConnection> dials = new ArrayList<>();
            bare.loop.post(() -> {
                for (int i = 0; i < 200; i++) {
                    dials.add(bare.connector.connect(address, 60_000_000, new ConnectionPoolFixture.IgnoringHandler()));
                }
            });
            while (system.getOpenFileDescriptorCount() < before + 150) { // earlier tests may still give some back
                Thread.onSpinWait();
            }
            bare.loop.post(() -> dials.forEach(OutboundConnection::close));
            while (system.getOpenFileDescriptorCount() > before + 50) {
                Thread.onSpinWait();
            }
            for (Socket s : crowd) {
                s.close();
            }
        }
    }

    /** A call that is cut off before it was written whole never gets whole: its last byte would begin an attempt. */
    @Test
    void abortedRequestIsNeverCompleted() throws Exception {
        byte[] body = new byte[64 * 1024 * 1024];
        try (ConnectionPoolFixture.IoFixture bare = new ConnectionPoolFixture.IoFixture(); ServerSocket door = new ServerSocket(0, 1, LOOPBACK)) {
            bare.loop.post(() -> bare.connector.connect(new InetSocketAddress(LOOPBACK, door.getLocalPort()), 5_000_000, new ConnectionPoolFixture.IgnoringHandler() {
                @Override
                public void connected(OutboundConnection link) {
                    link.sendRequest(link.requestHead("POST", "/api", null, "h"), body, this);
                    bare.loop.post(link::close);
                }
            }));
            try (Socket w = door.accept()) {
                InputStream in = w.getInputStream();
                long came = 0;
                try {
                    for (int b = in.read(body); b >= 0; b = in.read(body)) {
                        came += b;
                    }
                } catch (java.net.SocketException reset) {
                    assertTrue(came < body.length);
                }
                assertTrue(came < body.length, "the whole call came: " + came);
            }
        }
    }
}
