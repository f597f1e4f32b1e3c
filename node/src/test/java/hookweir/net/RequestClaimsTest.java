package hookweir.net;

import static hookweir.net.TestNode.ACCEPTED;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Request ids during an upgrade: no two processes of one scheduler accept the same id. */
@Timeout(60)
class RequestClaimsTest {
    private static final int CLAIM = 4;
    private static final int VERDICT = 3;
    private static final int SERVING = 1;
    private static final int HEADER_BYTES = 9;
    private static final long CLAIM_TIMEOUT_US = 250_000;
    /** From SIGTERM to the last responses where the longest deadline is over 3 s. */
    private static final long RESPONSE_WINDOW_US = 3_500_000;
    /** More than the ids that a process remembers of one kind. */
    private static final int REJECTED_IDS = 5_000;
    private static final String CONFLICT = "HTTP/1.1 409";

    @TempDir
    Path folder;

    private Path path() {
        return folder.resolve("hw");
    }

    private TestNode startProcess() throws IOException {
        return new TestNode("non_idempotent", 20_000_000, false, path());
    }

    /** Starts a second process on the same worker list and waits until it serves. */
    private TestNode startSuccessor(TestNode old) throws Exception {
        TestNode successor = TestNode.withUnconfirmedList("non_idempotent", path());
        successor.acceptWatchAndSendList(old.workerEntry("SERVING"));
        old.awaitCount("clients sent away", 1);
        return successor;
    }

    private static void assertNoFurtherConnection(TestNode old) throws IOException {
        old.workerListener.setSoTimeout(200);
        try (Socket unexpected = old.workerListener.accept()) {
            throw new AssertionError("the worker got a second attempt: " + receive(unexpected));
        } catch (SocketTimeoutException expected) {
            old.workerListener.setSoTimeout(20_000);
        }
    }

    /** Opens a connection that stays open when a successor takes over: its first request may be on its way. */
    private static Socket connectAndWait(TestNode to) throws IOException {
        Socket waiting = to.connect();
        to.awaitLoop();
        to.freezeClock();
        return waiting;
    }

    private static Socket sendJob(TestNode to, String id) throws IOException {
        Socket client = to.connect();
        send(client, job(id));
        return client;
    }

    private static void disconnect(Socket client) throws IOException {
        client.close();
    }

    /** Sends a job and returns its response. */
    private static String responseTo(TestNode to, String id) throws IOException {
        try (Socket client = sendJob(to, id)) {
            return receive(client);
        }
    }

    /**
     * A bad client sent the id of another client's open job to the new process: a job that must not run twice ran twice, and the bad
     * client got the other's result.
     */
    @Test
    void openIdOfThePredecessorIsRejectedAndItsClientGetsTheResult() throws Exception {
        try (TestNode old = startProcess(); Socket client = sendJob(old, "c1"); Socket worker = old.workerListener.accept()) {
            receive(worker);
            send(worker, ACCEPTED);
            try (TestNode successor = startSuccessor(old)) {
                assertTrue(responseTo(successor, "c1").startsWith(CONFLICT));
                assertNoFurtherConnection(old);
                assertTrue(successor.sendCallback("c1", "s-01", "done").startsWith("HTTP/1.1 204"));
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                assertTrue(responseTo(successor, "c1").startsWith(CONFLICT), "the worker may still run it");
                String metrics = successor.adminCall("GET", "stats");
                assertTrue(metrics.contains("svc_concurrent 0") && metrics.contains("svc_error_total{type=\"render\"} 0"), metrics);
            }
        }
    }

    /** A job whose client had left ran twice when its id came again, if thousands of other ids had been rejected in between. */
    @Test
    void rejectedIdsDoNotDisplaceThoseThatWorkersMayKnow() throws Exception {
        try (TestNode node = startProcess(); Socket client = sendJob(node, "e1"); Socket worker = node.workerListener.accept();
                Socket flooding = node.connect()) {
            receive(worker);
            send(worker, ACCEPTED);
            disconnect(client);
            node.awaitCount("clients gone", 1);
            for (int i = 0; i < REJECTED_IDS; i++) {
                send(flooding, job("r" + i).replace("Deadline-Ms: 20000", "Deadline-Ms: 0"));
                assertTrue(receive(flooding).startsWith("HTTP/1.1 429"));
            }
            assertTrue(responseTo(node, "e1").startsWith(CONFLICT));
        }
    }

    /** The ids that the old process had accepted were forgotten with its end, although workers may still run its jobs. */
    @Test
    void idsOfThePredecessorAreKnownAfterItsEnd() throws Exception {
        try (TestNode old = startProcess(); Socket before = sendJob(old, "d1"); Socket worker = old.workerListener.accept()) {
            receive(worker);
            try (Socket during = connectAndWait(old); TestNode successor = startSuccessor(old)) {
                send(during, job("d2"));
                old.awaitCount("requests", 2);
                old.node.stop();
                old.loopThread.join();
                assertTrue(responseTo(successor, "d1").startsWith(CONFLICT));
                assertTrue(responseTo(successor, "d2").startsWith(CONFLICT));
                assertEquals(-1, during.getInputStream().read());
                assertEquals(-1, before.getInputStream().read());
            }
        }
    }

    /** The old process still gets requests on connections that it accepted before. */
    @Test
    void openIdOfTheSuccessorIsRejectedByThePredecessor() throws Exception {
        try (TestNode old = startProcess(); Socket kept = connectAndWait(old); TestNode successor = startSuccessor(old);
                Socket client = sendJob(successor, "e1"); Socket worker = old.workerListener.accept()) {
            receive(worker);
            send(kept, job("e1"));
            assertTrue(receive(kept).startsWith(CONFLICT));
            send(worker, ACCEPTED);
            assertTrue(successor.sendCallback("e1", "s-01", "done").startsWith("HTTP/1.1 204"));
            assertTrue(receive(client).startsWith("HTTP/1.1 200"));
        }
    }

    /** A predecessor that hangs delays the requests of the first quarter of a second only, and what it had claimed stays known. */
    @Test
    void hungPredecessorDelaysRequestsOnlyOnce() throws Exception {
        try (TestNode old = startProcess(); Socket client = sendJob(old, "h1"); Socket first = old.workerListener.accept()) {
            receive(first);
            try (TestNode successor = startSuccessor(old)) {
                assertTrue(responseTo(successor, "h1").startsWith(CONFLICT));
                CountDownLatch gate = old.blockLoop();
                successor.freezeClock();
                try (Socket delayed = sendJob(successor, "h2")) {
                    successor.awaitIoRounds();
                    assertEquals(0, successor.node.invariants().counted("requests"));
                    successor.advanceFrozenClock(CLAIM_TIMEOUT_US + 10_000);
                    successor.awaitCount("requests", 1);
                    try (Socket next = sendJob(successor, "h3")) {
                        successor.awaitCount("requests", 2); // the clock stands still
                        assertTrue(responseTo(successor, "h1").startsWith(CONFLICT));
                        assertEquals(0, next.getInputStream().available() + delayed.getInputStream().available());
                    }
                } finally {
                    gate.countDown();
                }
                assertEquals(0, client.getInputStream().available());
            }
        }
    }

    /** A request got its response up to a quarter of a second after its deadline while a peer process was waited for. */
    @Test
    void requestIsRejectedByItsDeadlineIfItsIdIsNotClaimedUntilThen() throws Exception {
        try (TestNode old = startProcess(); TestNode successor = startSuccessor(old)) {
            CountDownLatch gate = old.blockLoop();
            successor.freezeClock();
            try (Socket client = successor.connect()) {
                send(client, job("i1", 100));
                successor.awaitIoRounds();
                successor.advanceInSteps(80_000);
                assertEquals(0, client.getInputStream().available());
                successor.advanceInSteps(20_000);
                assertTrue(receive(client).startsWith("HTTP/1.1 429"));
                successor.advanceInSteps(CLAIM_TIMEOUT_US);
                assertEquals(0, successor.node.invariants().counted("requests"), "not accepted after its response");
                assertTrue(responseTo(successor, "i1").startsWith(CONFLICT));
            } finally {
                gate.countDown();
            }
        }
    }

    /** Requests were not answered before the earliest SIGKILL if their ids were being claimed at the end of the shutdown, or came after it. */
    @Test
    void requestsAreRejectedAtTheEndOfAShutdownWhileTheirIdsAreClaimed() throws Exception {
        try (ServerSocketChannel socket = bindPath(); TestNode scheduler = startBehind(); FakePeer old = new FakePeer(socket.accept())) {
            scheduler.freezeClock();
            scheduler.node.drain();
            scheduler.awaitIoRounds();
            try (Socket pendingClient = sendJob(scheduler, "j0")) {
                int claim = old.expect(CLAIM, "j0");
                old.sendFrame(VERDICT, claim, new byte[] {0});
                scheduler.awaitCount("requests", 1);
                scheduler.advanceInSteps(RESPONSE_WINDOW_US - 100_000);
                try (Socket waiting = sendJob(scheduler, "j1")) {
                    old.expect(CLAIM, "j1");
                    scheduler.advanceInSteps(120_000);
                    assertTrue(receive(waiting).startsWith("HTTP/1.1 429"));
                }
                assertTrue(responseTo(scheduler, "j2").startsWith("HTTP/1.1 429"), "the clock stands still");
                assertTrue(receive(pendingClient).startsWith("HTTP/1.1 500"));
                assertEquals(1, scheduler.node.invariants().counted("requests"));
            }
        }
    }

    /** Plays a peer process with raw frames. */
    private record FakePeer(SocketChannel channel) implements AutoCloseable {
        void sendFrame(int kind, int number, byte[] payload) throws IOException {
            channel.write(ByteBuffer.allocate(HEADER_BYTES + payload.length).putInt(payload.length).put((byte) kind).putInt(number).put(payload).flip());
        }

        /** Reads frames until one of this kind and returns its number; the payload has to be this text. */
        int expect(int kind, String text) throws IOException {
            while (true) {
                ByteBuffer header = read(HEADER_BYTES);
                int length = header.getInt();
                int received = header.get();
                int number = header.getInt();
                String payload = new String(read(length).array(), StandardCharsets.ISO_8859_1);
                if (received == kind) {
                    assertEquals(text, payload);
                    return number;
                }
            }
        }

        private ByteBuffer read(int length) throws IOException {
            ByteBuffer buffer = ByteBuffer.allocate(length);
            while (buffer.hasRemaining()) {
                assertTrue(channel.read(buffer) >= 0, "the connection was closed");
            }
            return buffer.flip();
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Starts a process whose predecessor is played by the test. */
    private TestNode startBehind() throws Exception {
        TestNode scheduler = TestNode.withUnconfirmedList("non_idempotent", path());
        scheduler.acceptWatchAndSendList(scheduler.workerEntry("SERVING"));
        while (!scheduler.adminCall("GET", "health").startsWith("HTTP/1.1 200")) {
            Thread.sleep(5);
        }
        return scheduler;
    }

    private ServerSocketChannel bindPath() throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        socket.bind(UnixDomainSocketAddress.of(path()));
        return socket;
    }

    /** Two processes that claim an id at the same time both rejected it, or both accepted it. */
    @Test
    void olderProcessGetsAnIdThatBothClaim() throws Exception {
        try (ServerSocketChannel socket = bindPath(); TestNode scheduler = startBehind(); FakePeer old = new FakePeer(socket.accept());
                Socket client = sendJob(scheduler, "t1")) {
            old.expect(CLAIM, "t1");
            old.sendFrame(CLAIM, 7, ascii("t1"));
            assertEquals(7, old.expect(VERDICT, "\0"));
            assertTrue(receive(client).startsWith(CONFLICT));
            try (Socket other = connectAndWait(scheduler);
                    FakePeer successor = new FakePeer(SocketChannel.open(UnixDomainSocketAddress.of(path())))) {
                successor.sendFrame(SERVING, 0, new byte[0]);
                scheduler.awaitCount("clients sent away", 1);
                send(other, job("t2"));
                int claim = old.expect(CLAIM, "t2");
                successor.expect(CLAIM, "t2");
                successor.sendFrame(CLAIM, 8, ascii("t2"));
                assertEquals(8, successor.expect(VERDICT, "\1"));
                assertEquals(0, scheduler.node.invariants().counted("requests"));
                old.sendFrame(VERDICT, claim, new byte[] {0});
                successor.sendFrame(VERDICT, 1, new byte[] {0});
                scheduler.awaitCount("requests", 1);
            }
        }
    }

    /** A client leaves, and a shutdown begins, while an id is being claimed: nothing is sent, and the process waits for open claims. */
    @Test
    void requestOfDisconnectedClientIsDroppedWhileItsIdIsClaimed() throws Exception {
        try (ServerSocketChannel socket = bindPath(); TestNode scheduler = startBehind(); FakePeer old = new FakePeer(socket.accept())) {
            Socket left = sendJob(scheduler, "l1");
            int claim = old.expect(CLAIM, "l1");
            left.close();
            scheduler.awaitCount("clients gone", 1);
            old.sendFrame(VERDICT, claim, new byte[] {0});
            try (Socket client = sendJob(scheduler, "l2")) {
                int second = old.expect(CLAIM, "l2");
                scheduler.node.post(scheduler.node::drain);
                assertEquals(0, scheduler.node.invariants().counted("requests"));
                old.sendFrame(VERDICT, second, new byte[] {0});
                try (Socket worker = scheduler.workerListener.accept()) {
                    assertTrue(receive(worker).contains("Req-Id: l2\r\n"));
                    send(worker, ACCEPTED);
                    scheduler.sendCallback("l2", "s-01", "done");
                    assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                }
            }
        }
    }
}
