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
 * A list change counts as notified 6 s after the list service had it and could be reached. A scheduler whose list calls are answered
 * without a list (503) must stop sending jobs by its older list then. See docs/incidents, incident 1.
 */
@Timeout(60)
final class ListLeaseTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String BUSY = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    /** How long the list service lets a call wait in its queue. */
    private static final long QUEUE_TIMEOUT_US = 1_000_000;
    private static final long STEP_US = 20_000;
    private static final long NOTIFIED_AFTER_US = 6_000_000;

    private static void advanceInSteps(TestNode scheduler, long us) throws Exception {
        for (long passed = 0; passed < us; passed += STEP_US) {
            scheduler.advanceFrozenClock(STEP_US);
            scheduler.awaitIoRounds();
        }
    }

    /** Advances the clock until the next list call, which waits in the queue and then gets a 503; returns the time that passed. */
    private static long rejectNextListCall(TestNode scheduler, int failed) throws Exception {
        long passed = 0;
        long calls = failedListCalls(scheduler);
        while (scheduler.node.invariants().counted("discovery calls") <= calls) {
            advanceInSteps(scheduler, STEP_US);
            passed += STEP_US;
        }
        try (Socket call = scheduler.listService.accept()) {
            receive(call);
            advanceInSteps(scheduler, QUEUE_TIMEOUT_US);
            send(call, BUSY);
            scheduler.awaitCount("list calls failed UNANSWERED", failed);
        }
        return passed + QUEUE_TIMEOUT_US;
    }

    private static long failedListCalls(TestNode scheduler) {
        long failed = 0;
        for (ListCallFailure f : ListCallFailure.values()) {
            failed += scheduler.node.invariants().counted("list calls failed " + f);
        }
        return failed;
    }

    private static String shortDeadlineJob(String id) {
        return job(id).replace("20000", "300");
    }

    private static void assertRejected(TestNode scheduler, String id) throws Exception {
        long dials = scheduler.node.invariants().counted("egress dials");
        try (Socket client = scheduler.connect()) {
            send(client, shortDeadlineJob(id));
            long received = scheduler.node.invariants().counted("requests");
            scheduler.awaitIoRounds();
            advanceInSteps(scheduler, 400_000);
            assertTrue(receive(client).startsWith("HTTP/1.1 429"), "sent when " + received + " requests had been received");
        }
        assertEquals(dials, scheduler.node.invariants().counted("egress dials"));
    }

    /** The case of incident 1: the process starts, and the list service can be reached but is too busy to respond. */
    @Test
    void startWithBusyListServiceSendsNoJobs() throws Exception {
        try (TestNode scheduler = TestNode.withUnconfirmedList("read_like")) {
            scheduler.freezeClock();
            int failed = 0;
            for (long passed = 0; passed < NOTIFIED_AFTER_US; ) {
                passed += rejectNextListCall(scheduler, ++failed);
            }
            assertTrue(scheduler.request(HEALTHZ).startsWith("HTTP/1.1 200"), "it still accepts clients");
            assertRejected(scheduler, "a1");
            confirmList(scheduler);
            assertServed(scheduler, "a2");
        }
    }

    /** A process that has the list loses its watch, and the list service is too busy to reopen it. */
    @Test
    void lostWatchStopsJobsOnceChangesCountAsNotified() throws Exception {
        try (TestNode scheduler = TestNode.withFrozenClock("read_like")) {
            scheduler.watch.close();
            scheduler.awaitCount("list calls failed WATCH_ENDED", 1);
            int failed = 0;
            long passed = 0;
            while (passed < NOTIFIED_AFTER_US) {
                passed += rejectNextListCall(scheduler, ++failed);
            }
            assertRejected(scheduler, "b1");
            confirmList(scheduler);
            assertServed(scheduler, "b2");
        }
    }

    /** Until then the cached worker list remains in use: an outage of some seconds must not stop jobs. */
    @Test
    void lostWatchKeepsServingUntilChangesCountAsNotified() throws Exception {
        try (TestNode scheduler = TestNode.withFrozenClock("read_like")) {
            scheduler.watch.close();
            scheduler.awaitCount("list calls failed WATCH_ENDED", 1);
            for (long passed = 0; passed < NOTIFIED_AFTER_US * 2 / 3; ) {
                passed += rejectNextListCall(scheduler, 1 + (int) scheduler.node.invariants().counted("list calls failed UNANSWERED"));
            }
            assertServed(scheduler, "c1");
        }
    }

    private static void confirmList(TestNode scheduler) throws Exception {
        while (scheduler.node.invariants().counted("discovery calls")
                <= failedListCalls(scheduler)) {
            advanceInSteps(scheduler, STEP_US);
        }
        sendListLine(scheduler.acceptWatch(7), "{'version':7,'full':false,'servers':[]}");
        scheduler.awaitLoop();
    }

    private static void assertServed(TestNode scheduler, String id) throws IOException, InterruptedException {
        new AutoWorker(scheduler, true);
        scheduler.resumeClock(0);
        assertTrue(scheduler.request(job(id)).startsWith("HTTP/1.1 200"));
    }
}
