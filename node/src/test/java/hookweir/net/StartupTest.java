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

/** What a starting process sends by its cached worker list and by the list service's list, when the scheduler polls the list service. */
@Timeout(30)
final class StartupTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String STARTS_WITH_CACHED_LIST = "starts by the list as last held";
    /** The timeout of a list call, which is longer than the list service lets a call wait. */
    private static final long RESPONSE_TIMEOUT_US = 2_200_000;
    /** How long the list service lets a call wait in its queue. */
    private static final long QUEUE_TIMEOUT_US = 1_000_000;

    private static boolean isReady(TestNode scheduler) throws Exception {
        return scheduler.request(HEALTHZ).startsWith("HTTP/1.1 200");
    }

    /** Advances the frozen clock until the counter has reached this value. */
    private static void advanceClockUntil(TestNode scheduler, String name, long times) throws Exception {
        while (scheduler.node.invariants().counted(name) < times) {
            scheduler.advanceFrozenClock(20_000);
            scheduler.awaitIoRounds();
        }
    }

    /** The only worker was removed while no process ran: an early job has to wait for that update and must not be sent. */
    @ParameterizedTest
    @ValueSource(strings = {"DRAINING", "DELETED"})
    void noRequestIsSentBeforeTheListServiceResponds(String state) throws Exception {
        try (TestNode scheduler = TestNode.withUnconfirmedList("read_like"); Socket watch = scheduler.acceptWatch(7); Socket client = scheduler.connect()) {
            scheduler.freezeClock();
            send(client, job("a1").replace("20000", "50"));
            scheduler.awaitCount("requests", 1);
            assertFalse(isReady(scheduler));
            sendListLine(watch, "{'version':8,'full':false,'servers':[" + scheduler.workerEntry(state) + "]}");
            scheduler.awaitCount("list updates", 2);
            scheduler.resumeClock(0);
            assertTrue(receive(client).startsWith("HTTP/1.1 429"));
            assertTrue(isReady(scheduler));
            assertEquals(0, scheduler.node.invariants().counted("egress dials"));
        }
    }

    /** A job received before the list is sent once the list is confirmed, here by the heartbeat (an empty line) of a watch without changes. */
    @Test
    void jobReceivedBeforeTheListIsServedAfterIt() throws Exception {
        try (TestNode scheduler = TestNode.withUnconfirmedList("read_like"); Socket watch = scheduler.acceptWatch(7); Socket client = scheduler.connect()) {
            send(client, job("b1"));
            scheduler.awaitCount("requests", 1);
            sendListLine(watch, "");
            new AutoWorker(scheduler, true);
            assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            assertEquals(0, scheduler.node.invariants().counted(STARTS_WITH_CACHED_LIST));
        }
    }

    /** A list service that closes two calls counts as unreachable: the cached worker list is used, and the calls go on. */
    @Test
    void unreachableListServiceDoesNotBlockStart() throws Exception {
        try (TestNode scheduler = TestNode.withUnconfirmedList("read_like")) {
            scheduler.listService.accept().close();
            scheduler.listService.accept().close();
            scheduler.awaitCount(STARTS_WITH_CACHED_LIST, 1);
            assertTrue(isReady(scheduler));
            new AutoWorker(scheduler, true);
            assertTrue(scheduler.request(job("c1")).startsWith("HTTP/1.1 200"));
            try (Socket watch = scheduler.acceptWatch(7)) {
                sendListLine(watch, "{'version':8,'full':false,'servers':[" + scheduler.workerEntry("DELETED") + "]}");
                scheduler.awaitCount("list updates", 2);
                assertTrue(scheduler.request(job("c2").replace("20000", "50")).startsWith("HTTP/1.1 429"));
            }
        }
    }

    /** A list service that responds 503, at once or after a while, is reachable but busy: the start waits for it, but not for ever. */
    @Test
    void busyListServiceIsAwaitedForALimitedTime() throws Exception {
        try (TestNode scheduler = TestNode.withUnconfirmedList("read_like")) {
            scheduler.freezeClock();
            advanceClockUntil(scheduler, "discovery calls", 1);
            int calls = 0;
            for (long waited : new long[] {QUEUE_TIMEOUT_US, 0, 0, QUEUE_TIMEOUT_US}) {
                try (Socket call = scheduler.listService.accept()) {
                    receive(call);
                    scheduler.advanceFrozenClock(waited);
                    scheduler.awaitIoRounds();
                    send(call, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                    calls++;
                    scheduler.awaitCount("list calls failed UNANSWERED", calls);
                }
                assertFalse(isReady(scheduler));
                advanceClockUntil(scheduler, "discovery calls", 1 + calls);
            }
            advanceClockUntil(scheduler, STARTS_WITH_CACHED_LIST, 1);
            assertTrue(isReady(scheduler));
        }
    }

    /** A list that ends in the middle confirms nothing: it is requested again, and no job is sent before. */
    @Test
    void truncatedListIsNotUsed() throws Exception {
        try (TestNode scheduler = TestNode.withUnconfirmedList("read_like"); Socket client = scheduler.connect()) {
            send(client, job("d1"));
            try (Socket call = scheduler.listService.accept()) {
                receive(call);
                String list = "{'version':8,'full':true,'servers':[" + scheduler.workerEntry("SERVING") + "]}\n";
                send(call, CHUNKED_HEAD + Integer.toHexString(list.length()) + "\r\n" + list.substring(0, list.length() / 2));
            }
            scheduler.awaitCount("list calls failed REFUSED", 1);
            assertFalse(isReady(scheduler));
            assertEquals(0, scheduler.node.invariants().counted("egress dials"));
            try (Socket watch = scheduler.acceptWatch(7)) {
                sendListLine(watch, "{'version':8,'full':true,'servers':[" + scheduler.workerEntry("SERVING") + "]}");
                new AutoWorker(scheduler, true);
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** The cached worker list has a higher version than the list service's: only the whole list shows the current state. */
    @Test
    void cachedListNewerThanListServiceIsNotTrusted() throws Exception {
        try (TestNode scheduler = TestNode.withUnconfirmedList("read_like"); Socket client = scheduler.connect()) {
            try (Socket watch = scheduler.acceptWatch(7)) {
                sendListLine(watch, "{'version':3,'full':false,'servers':[]}");
                send(client, job("e1").replace("20000", "5000"));
                try (Socket call = scheduler.listService.accept()) {
                    assertTrue(receive(call).startsWith("GET /v1/servers HTTP/1.1\r\n"));
                    assertFalse(isReady(scheduler));
                    scheduler.sendWholeList(call, 3, "DRAINING");
                }
                scheduler.acceptWatch(3).close();
            }
            assertTrue(receive(client).startsWith("HTTP/1.1 429"));
            assertEquals(0, scheduler.node.invariants().counted("egress dials"));
        }
    }

    /** Changes to an empty cached list do not make a list: the whole list is requested. */
    @Test
    void emptyCachedListTriggersWholeListCall() throws Exception {
        try (TestNode scheduler = TestNode.withCachedList("{'version':7,'full':true,'servers':[]}"); Socket call = scheduler.listService.accept()) {
            assertTrue(receive(call).startsWith("GET /v1/servers HTTP/1.1\r\n"));
            scheduler.sendWholeList(call, 9, "SERVING");
            scheduler.acceptWatch(9).close();
            new AutoWorker(scheduler, true);
            assertTrue(scheduler.request(job("f1")).startsWith("HTTP/1.1 200"));
        }
    }

    /**
     * After an outage of any length, a call that hangs while the list service returns, the longest pause, a second call without a
     * response and the longest pause again must leave time for a third call within the 6 s after which changes count as notified.
     */
    @Test
    void twoListCallsFitBeforeChangesCountAsNotified() throws Exception {
        try (TestNode scheduler = TestNode.withUnconfirmedList("read_like")) {
            for (int i = 0; i < 12; i++) {
                scheduler.listService.accept().close();
            }
            scheduler.freezeClock();
            advanceClockUntil(scheduler, "discovery calls", 13);
            Socket hanging = scheduler.listService.accept();
            receive(hanging);
            long failed = scheduler.node.invariants().counted("discovery silent");
            scheduler.advanceFrozenClock(RESPONSE_TIMEOUT_US + 10_000);
            scheduler.awaitCount("discovery silent", failed + 1);
            scheduler.awaitLoop();
            scheduler.advanceFrozenClock(760_000);
            Socket unanswered = scheduler.listService.accept();
            receive(unanswered);
            scheduler.advanceFrozenClock(RESPONSE_TIMEOUT_US + 10_000);
            scheduler.awaitCount("discovery silent", failed + 2);
            scheduler.awaitLoop();
            scheduler.advanceFrozenClock(760_000); // 5.94 s after the list service returned
            scheduler.acceptWatch(7).close();
            hanging.close();
            unanswered.close();
        }
    }
}
