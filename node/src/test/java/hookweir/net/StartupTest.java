package hookweir.net;

import static hookweir.net.TestNode.CHUNKED_HEAD;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static hookweir.net.TestNode.sendListLine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A process that starts: what it sends, and when, by the list as last held and by that of a list service that is asked. */
@Timeout(30)
final class StartupTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String STARTS_WITH_CACHED_LIST = "starts by the list as last held";
    /** So long a call waits for its answer: longer than list services let one wait. */
    private static final long RESPONSE_TIMEOUT_US = 2_200_000;
    /** The list service's own limit on a call that waits in its queue. */
    private static final long QUEUE_TIMEOUT_US = 1_000_000;

    private static boolean isReady(TestNode n) throws Exception {
        return n.request(HEALTHZ).startsWith("HTTP/1.1 200");
    }

    /** Lets the scheduler's clock go on until something was counted so often, and stand still again. */
    private static void advanceClockUntil(TestNode n, String name, long times) throws Exception {
        while (n.node.invariants().counted(name) < times) {
            n.advanceFrozenClock(20_000);
            n.awaitIoRounds();
        }
    }

    /** Its only worker left while no process ran: the job that came first waits for that news, and goes nowhere. */
    @ParameterizedTest
    @ValueSource(strings = {"DRAINING", "DELETED"})
    void noRequestIsSentBeforeTheListServiceResponds(String state) throws Exception {
        try (TestNode n = TestNode.withUnconfirmedList("read_like"); Socket watch = n.acceptWatch(7); Socket client = n.connect()) {
            n.freezeClock();
            send(client, job("a1").replace("20000", "50"));
            n.awaitCount("requests", 1);
            assertFalse(isReady(n));
            sendListLine(watch, "{'version':8,'full':false,'servers':[" + n.workerEntry(state) + "]}");
            n.awaitCount("list updates", 2);
            n.resumeClock(0);
            assertTrue(receive(client).startsWith("HTTP/1.1 429"));
            assertTrue(isReady(n));
            assertEquals(0, n.node.invariants().counted("egress dials"));
        }
    }

    /** What came before the list is sent on once it is there, also where only a quiet watch's empty line says that nothing changed. */
    @Test
    void jobReceivedBeforeTheListIsServedAfterIt() throws Exception {
        try (TestNode n = TestNode.withUnconfirmedList("read_like"); Socket watch = n.acceptWatch(7); Socket client = n.connect()) {
            send(client, job("b1"));
            n.awaitCount("requests", 1);
            sendListLine(watch, "");
            new AutoWorker(n, true);
            assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            assertEquals(0, n.node.invariants().counted(STARTS_WITH_CACHED_LIST));
        }
    }

    /** A list service that refuses twice is out of reach: the list as last held has to do, and the calls go on. */
    @Test
    void unreachableListServiceDoesNotBlockStart() throws Exception {
        try (TestNode n = TestNode.withUnconfirmedList("read_like")) {
            n.listService.accept().close();
            n.listService.accept().close();
            n.awaitCount(STARTS_WITH_CACHED_LIST, 1);
            assertTrue(isReady(n));
            new AutoWorker(n, true);
            assertTrue(n.request(job("c1")).startsWith("HTTP/1.1 200"));
            try (Socket watch = n.acceptWatch(7)) {
                sendListLine(watch, "{'version':8,'full':false,'servers':[" + n.workerEntry("DELETED") + "]}");
                n.awaitCount("list updates", 2);
                assertTrue(n.request(job("c2").replace("20000", "50")).startsWith("HTTP/1.1 429"));
            }
        }
    }

    /** One that is busy, and says so at once or after a while, may be reached: it is waited for, but not for ever. */
    @Test
    void busyListServiceIsAwaitedForALimitedTime() throws Exception {
        try (TestNode n = TestNode.withUnconfirmedList("read_like")) {
            n.freezeClock();
            advanceClockUntil(n, "discovery calls", 1);
            int calls = 0;
            for (long waited : new long[] {QUEUE_TIMEOUT_US, 0, 0, QUEUE_TIMEOUT_US}) {
                try (Socket call = n.listService.accept()) {
                    receive(call);
                    n.advanceFrozenClock(waited);
                    n.awaitIoRounds();
                    send(call, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                    calls++;
                    n.awaitCount("list calls failed UNANSWERED", calls);
                }
                assertFalse(isReady(n));
                advanceClockUntil(n, "discovery calls", 1 + calls);
            }
            advanceClockUntil(n, STARTS_WITH_CACHED_LIST, 1);
            assertTrue(isReady(n));
        }
    }

    /** A list that is cut in the middle tells nothing for certain: it is asked for again, and nothing is sent before. */
    @Test
    void truncatedListIsNotUsed() throws Exception {
        try (TestNode n = TestNode.withUnconfirmedList("read_like"); Socket client = n.connect()) {
            send(client, job("d1"));
            try (Socket call = n.listService.accept()) {
                receive(call);
                String list = "{'version':8,'full':true,'servers':[" + n.workerEntry("SERVING") + "]}\n";
                send(call, CHUNKED_HEAD + Integer.toHexString(list.length()) + "\r\n" + list.substring(0, list.length() / 2));
            }
            n.awaitCount("list calls failed REFUSED", 1);
            assertFalse(isReady(n));
            assertEquals(0, n.node.invariants().counted("egress dials"));
            try (Socket watch = n.acceptWatch(7)) {
                sendListLine(watch, "{'version':8,'full':true,'servers':[" + n.workerEntry("SERVING") + "]}");
                new AutoWorker(n, true);
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** The list as last held is of a later version than the list service's: only the whole list says what holds now. */
    @Test
    void cachedListNewerThanListServiceIsNotTrusted() throws Exception {
        try (TestNode n = TestNode.withUnconfirmedList("read_like"); Socket client = n.connect()) {
            try (Socket watch = n.acceptWatch(7)) {
                sendListLine(watch, "{'version':3,'full':false,'servers':[]}");
                send(client, job("e1").replace("20000", "5000"));
                try (Socket call = n.listService.accept()) {
                    assertTrue(receive(call).startsWith("GET /v1/servers HTTP/1.1\r\n"));
                    assertFalse(isReady(n));
                    n.sendWholeList(call, 3, "DRAINING");
                }
                n.acceptWatch(3).close();
            }
            assertTrue(receive(client).startsWith("HTTP/1.1 429"));
            assertEquals(0, n.node.invariants().counted("egress dials"));
        }
    }

    /** Changes to a list that names nobody are no list: the whole one is asked for. */
    @Test
    void emptyCachedListTriggersWholeListCall() throws Exception {
        try (TestNode n = TestNode.withCachedList("{'version':7,'full':true,'servers':[]}"); Socket call = n.listService.accept()) {
            assertTrue(receive(call).startsWith("GET /v1/servers HTTP/1.1\r\n"));
            n.sendWholeList(call, 9, "SERVING");
            n.acceptWatch(9).close();
            new AutoWorker(n, true);
            assertTrue(n.request(job("f1")).startsWith("HTTP/1.1 200"));
        }
    }

    /**
     * After an outage of any length: a call that hangs as the list service returns, the longest pause, one more call without an
     * answer and the longest pause again leave time for a further call within the 6 s after which changes count as told.
     */
    @Test
    void twoListCallsFitBeforeChangesCountAsNotified() throws Exception {
        try (TestNode n = TestNode.withUnconfirmedList("read_like")) {
            for (int i = 0; i < 12; i++) {
                n.listService.accept().close();
            }
            n.freezeClock();
            advanceClockUntil(n, "discovery calls", 13);
            Socket hanging = n.listService.accept();
            receive(hanging);
            long failed = n.node.invariants().counted("discovery silent");
            n.advanceFrozenClock(RESPONSE_TIMEOUT_US + 10_000);
            n.awaitCount("discovery silent", failed + 1);
            n.awaitLoop();
            n.advanceFrozenClock(760_000);
            Socket unanswered = n.listService.accept();
            receive(unanswered);
            n.advanceFrozenClock(RESPONSE_TIMEOUT_US + 10_000);
            n.awaitCount("discovery silent", failed + 2);
            n.awaitLoop();
            n.advanceFrozenClock(760_000); // 5.94 s since its return
            n.acceptWatch(7).close();
            hanging.close();
            unanswered.close();
        }
    }
}
