package hookweir.net;

import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static hookweir.net.TestNode.sendListLine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.membership.ListCallFailure;
import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What the list service has to tell counts as told 6 s after it had it and could be reached. A scheduler whose calls it answers, but
 * with no list, sends nothing by an older one. Found by incident 1, docs/incidents.
 */
@Timeout(60)
final class ListLeaseTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String BUSY = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    /** The list service's own limit on a call that waits in its queue. */
    private static final long QUEUE_TIMEOUT_US = 1_000_000;
    private static final long STEP_US = 20_000;
    private static final long NOTIFIED_AFTER_US = 6_000_000;

    private static void advanceInSteps(TestNode n, long us) throws Exception {
        for (long passed = 0; passed < us; passed += STEP_US) {
            n.advanceFrozenClock(STEP_US);
            n.awaitIoRounds();
        }
    }

    /** Lets time pass until the next call, which waits in the queue and is told that the service is busy. */
    private static long rejectNextListCall(TestNode n, int failed) throws Exception {
        long passed = 0;
        long calls = failedListCalls(n);
        while (n.node.invariants().counted("discovery calls") <= calls) {
            advanceInSteps(n, STEP_US);
            passed += STEP_US;
        }
        try (Socket call = n.listService.accept()) {
            receive(call);
            advanceInSteps(n, QUEUE_TIMEOUT_US);
            send(call, BUSY);
            n.awaitCount("list calls failed UNANSWERED", failed);
        }
        return passed + QUEUE_TIMEOUT_US;
    }

    private static long failedListCalls(TestNode n) {
        long failed = 0;
        for (ListCallFailure f : ListCallFailure.values()) {
            failed += n.node.invariants().counted("list calls failed " + f);
        }
        return failed;
    }

    private static String shortDeadlineJob(String id) {
        return job(id).replace("20000", "300");
    }

    private static void assertRejected(TestNode n, String id) throws Exception {
        long dials = n.node.invariants().counted("egress dials");
        try (Socket client = n.connect()) {
            send(client, shortDeadlineJob(id));
            long taken = n.node.invariants().counted("requests");
            n.awaitIoRounds();
            advanceInSteps(n, 400_000);
            assertTrue(receive(client).startsWith("HTTP/1.1 429"), "asked when " + taken + " had been taken");
        }
        assertEquals(dials, n.node.invariants().counted("egress dials"));
    }

    /** As incident 1 had it: the process starts, and the list service is reached but too busy to answer. */
    @Test
    void startWithBusyListServiceSendsNoJobs() throws Exception {
        try (TestNode n = TestNode.withUnconfirmedList("read_like")) {
            n.freezeClock();
            int failed = 0;
            for (long passed = 0; passed < NOTIFIED_AFTER_US; ) {
                passed += rejectNextListCall(n, ++failed);
            }
            assertTrue(n.request(HEALTHZ).startsWith("HTTP/1.1 200"), "it takes clients all the same");
            assertRejected(n, "a1");
            confirmList(n);
            assertServed(n, "a2");
        }
    }

    /** A process that had the list loses its watch, and the list service is too busy to open it anew. */
    @Test
    void lostWatchStopsJobsOnceChangesCountAsNotified() throws Exception {
        try (TestNode n = TestNode.withFrozenClock("read_like")) {
            n.watch.close();
            n.awaitCount("list calls failed WATCH_ENDED", 1);
            int failed = 0;
            long passed = 0;
            while (passed < NOTIFIED_AFTER_US) {
                passed += rejectNextListCall(n, ++failed);
            }
            assertRejected(n, "b1");
            confirmList(n);
            assertServed(n, "b2");
        }
    }

    /** Before that the list as held still holds: an outage of some seconds costs nothing. */
    @Test
    void lostWatchKeepsServingUntilChangesCountAsNotified() throws Exception {
        try (TestNode n = TestNode.withFrozenClock("read_like")) {
            n.watch.close();
            n.awaitCount("list calls failed WATCH_ENDED", 1);
            for (long passed = 0; passed < NOTIFIED_AFTER_US * 2 / 3; ) {
                passed += rejectNextListCall(n, 1 + (int) n.node.invariants().counted("list calls failed UNANSWERED"));
            }
            assertServed(n, "c1");
        }
    }

    private static void confirmList(TestNode n) throws Exception {
        while (n.node.invariants().counted("discovery calls")
                <= failedListCalls(n)) {
            advanceInSteps(n, STEP_US);
        }
        sendListLine(n.acceptWatch(7), "{'version':7,'full':false,'servers':[]}");
        n.awaitLoop();
    }

    private static void assertServed(TestNode n, String id) throws IOException, InterruptedException {
        new AutoWorker(n, true);
        n.resumeClock(0);
        assertTrue(n.request(job(id)).startsWith("HTTP/1.1 200"));
    }
}
