package hookweir.net;

import static hookweir.net.TestNode.TAKEN;
import static hookweir.net.TestNode.hear;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.line;
import static hookweir.net.TestNode.say;
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
final class LinksTest {
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();

    /** Fills the backlog of a door that nobody opens: whoever dials it hears nothing. */
    private static List<Socket> fill(ServerSocket door) throws Exception {
        List<Socket> crowd = new ArrayList<>();
        try {
            while (true) {
                Socket s = new Socket();
                crowd.add(s);
                s.connect(new InetSocketAddress(HERE, door.getLocalPort()), 200);
            }
        } catch (java.net.SocketTimeoutException full) {
            return crowd;
        }
    }

    /** A second answer that comes some milliseconds late was taken for that of the next job on the link. */
    @Test
    void aLinkCarriesNoJobUntilASecondAnswerWouldHaveCome() throws Exception {
        try (TestNode n = new TestNode("non_idempotent"); Socket client = n.connect()) {
            n.freeze();
            say(client, job("s1"));
            try (Socket first = n.worker.accept()) {
                hear(first);
                say(first, TAKEN);
                n.tell("s1", "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                say(client, job("s2"));
                n.awaitCount("requests", 2);
                say(first, "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
                assertEquals("", hear(first), "no job on it, and its end, as the next answer could not be told from this one");
                n.goOn(40_000);
                try (Socket second = n.worker.accept()) {
                    assertTrue(hear(second).contains("Req-Id: s2\r\n"));
                    say(second, TAKEN);
                    n.tell("s2", "s-01", "done");
                    assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                    say(client, job("s3"));
                    assertTrue(hear(second).contains("Req-Id: s3\r\n"), "a settled link is used again");
                    assertEquals(2, n.node.invariants().counted("egress dials"));
                }
            }
        }
    }

    /** A check's second answer, a 200, comes under a job: that is no answer to a job, and its own is waited for. */
    @Test
    void anAnswerThatNoJobCanHaveIsPassedOver() throws Exception {
        try (TestNode n = new TestNode("non_idempotent"); Socket client = n.connect()) {
            say(client, job("p1"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=1");
                n.awaitCount("egress answers of no call", 1);
                say(w, TAKEN);
                n.tell("p1", "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** Nobody said that it took the job, and a 202 may be on its way: the worker hears before the job goes out again. */
    @Test
    void aWorkerThatDidNotTakeAJobInTimeIsToldThatItIsGivenUp() throws Exception {
        try (TestNode n = new TestNode("read_like", 200_000_000); Socket client = n.connect()) {
            say(client, job("u1").replace("20000", "200000"));
            try (Socket first = n.worker.accept()) {
                hear(first);
                n.settle();
                n.goOn(31_000_000);
                assertEquals("", hear(first));
                try (Socket next = n.worker.accept()) {
                    assertTrue(hear(next).startsWith("DELETE /jobs/u1 HTTP/1.1\r\n"));
                    n.awaitCount("attempts TIMEOUT", 1);
                }
            }
        }
    }

    /** The 202 lay unread as the wait for it ran out, as the process had other things to do. */
    @Test
    void a202ThatLiesUnreadAsTheWaitEndsCounts() throws Exception {
        try (TestNode n = new TestNode("read_like", 200_000_000); Socket client = n.connect()) {
            say(client, job("u2").replace("20000", "200000"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                n.settle();
                CountDownLatch gate = n.deaf();
                say(w, TAKEN);
                n.goOn(31_000_000);
                gate.countDown();
                n.tell("u2", "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                assertEquals(0, n.node.invariants().counted("attempts TIMEOUT"));
            }
        }
    }

    /** The job is done in the round of I/O in which its time runs out: the answer stands, and the module knows of it. */
    @Test
    void anAnswerThatComesAsTheTimeRunsOutStands() throws Exception {
        try (TestNode n = TestNode.frozen("non_idempotent"); Socket client = n.connect()) {
            n.step(10_000); // past the module's first timers, and before the next
            say(client, job("x1").replace("20000", "100"));
            try (Socket w = n.worker.accept()) {
                hear(w);
                say(w, TAKEN);
                Invariants seen = n.node.invariants();
                LongSupplier before = n.ahead;
                n.ahead = () -> before.getAsLong() + (seen.counted("attempts OK") > 0 ? 99_000_000L : 0);
                n.tell("x1", "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                assertTrue(n.ask("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").startsWith("HTTP/1.1 200"), "the loop goes on");
                assertEquals(0, seen.counted("BROKEN failure of a closed request"));
            }
        }
    }

    /** The connection comes up after the client left; attempts can't be called off there, so none is begun. */
    @Test
    void nothingIsSentForAClientThatLeftWhileTheConnectionCameUp() throws Exception {
        try (TestNode n = TestNode.withoutCancels()) {
            List<Socket> crowd = fill(n.worker);
            Socket client = n.connect(); // closed by hand: its leaving is the test
            say(client, job("g1"));
            n.awaitCount("egress dials", 1);
            client.close();
            n.awaitCount("clients gone", 1);
            for (Socket s : crowd) {
                s.close();
            }
            for (int i = 1; i < crowd.size(); i++) {
                n.worker.accept().close();
            }
            try (Socket late = n.worker.accept(); Socket next = n.connect()) {
                n.awaitCount("attempts MOOT", 1);
                say(next, job("g2"));
                assertTrue(hear(late).contains("Req-Id: g2\r\n"), "the first that it carries");
            }
        }
    }

    /** A worker that moved left its kept links counted as open: with each move there was room for one less. */
    @Test
    void linksToAnAddressThatAWorkerLeftAreGivenBack() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 50, HERE);
                TestNode n = new TestNode("read_like", 20_000_000, "'sockets':96"); Socket client = n.connect()) {
            new AutoWorker(n, true);
            new AutoWorker(n, other, "s-01", true, Integer.MAX_VALUE);
            String there = n.entry("SERVING").replaceAll(":\\d+','zone", ":" + other.getLocalPort() + "','zone");
            for (int i = 0; i < 100; i++) {
                say(client, job("m" + i));
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                line(n.watch, "{'version':" + (8 + i) + ",'full':false,'servers':[" + (i % 2 == 0 ? there : n.entry("SERVING")) + "]}");
                n.awaitCount("list updates", 3 + i);
            }
            assertEquals(0, n.node.invariants().counted("egress waits for a link"));
        }
    }

    /** Each link that settles is waited for by one call: where all waited, a busy worker's jobs did so for ever. */
    @Test
    void oneCallWaitsForALinkThatSettlesAndTheNextDials() throws Exception {
        try (LinkPool pool = new LinkPool()) {
            pool.link();
            OutboundConnection first = pool.up.take();
            long now = System.nanoTime();
            pool.bare.clock = () -> now;
            pool.bare.loop.post(() -> pool.egress.releaseWithReuseDelay(pool.egress.worker(1), first, true));
            pool.settlesForOne(first);
        }
    }

    /** A worker that gets jobs without a pause: resting links were dialled round without end, and it carried 5,800 jobs/s in place of 14,200. */
    @Test
    void whereManyLinksRestTheOneThatRestedLongestIsUsed() throws Exception {
        try (LinkPool pool = new LinkPool()) {
            List<OutboundConnection> all = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                pool.link();
                all.add(pool.up.take());
            }
            long now = System.nanoTime();
            pool.bare.clock = () -> now;
            for (OutboundConnection link : all) {
                pool.bare.loop.post(() -> pool.egress.releaseWithReuseDelay(pool.egress.worker(1), link, true));
            }
            pool.link();
            assertTrue(all.contains(pool.up.take()), "no dial, and no wait");
            assertEquals(4, pool.invariants.counted("egress dials"));
        }
    }

    /** A check's second answer that is no 200 could be a job's: it ended one as failed, and left it running. */
    @Test
    void aLinkThatCarriedACheckThatFailedSettlesToo() throws Exception {
        try (LinkPool pool = new LinkPool()) {
            CountDownLatch ended = new CountDownLatch(1);
            pool.bare.loop.post(() -> new HttpCall(pool.bare.loop, pool.egress, pool.invariants, 20_000_000, pool.egress.worker(1), "GET", "/healthz",
                    WorkerConnectionPool.REUSE_SETTLED) {
                @Override
                public void connected(OutboundConnection link) {
                    pool.up.add(link);
                    super.connected(link);
                }

                @Override
                void onEnd(Contract.Outcome outcome, OutboundConnection.ResponsePart last, byte[] whole) {
                    ended.countDown();
                }
            }.start());
            try (Socket w = pool.door.accept()) {
                hear(w);
                long now = System.nanoTime();
                pool.bare.clock = () -> now;
                say(w, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                ended.await();
                pool.settlesForOne(pool.up.take());
            }
        }
    }

    /** Dials to a machine that vanished kept their descriptors for minutes, beside all that is counted. */
    @Test
    void aDialThatIsCalledOffGivesItsDescriptorBack() throws Exception {
        var system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        try (LinkPool.Bare bare = new LinkPool.Bare(); ServerSocket door = new ServerSocket(0, 1, HERE)) {
            List<Socket> crowd = fill(door);
            long before = system.getOpenFileDescriptorCount();
            var address = new InetSocketAddress(HERE, door.getLocalPort());
            List<OutboundConnection> dials = new ArrayList<>();
            bare.loop.post(() -> {
                for (int i = 0; i < 200; i++) {
                    dials.add(bare.dialer.connect(address, 60_000_000, new LinkPool.Silent()));
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
    void aCallThatIsCutOffNeverGetsWhole() throws Exception {
        byte[] body = new byte[64 * 1024 * 1024];
        try (LinkPool.Bare bare = new LinkPool.Bare(); ServerSocket door = new ServerSocket(0, 1, HERE)) {
            bare.loop.post(() -> bare.dialer.connect(new InetSocketAddress(HERE, door.getLocalPort()), 5_000_000, new LinkPool.Silent() {
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
