package hookweir.net;

import static hookweir.net.TestNode.hear;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.line;
import static hookweir.net.TestNode.say;
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
    private static final long QUEUED_US = 1_000_000;
    private static final long STEP_US = 20_000;
    private static final long COUNTS_AS_TOLD_US = 6_000_000;

    private static void letPass(TestNode n, long us) throws Exception {
        for (long passed = 0; passed < us; passed += STEP_US) {
            n.step(STEP_US);
            n.rounds();
        }
    }

    /** Lets time pass until the next call, which waits in the queue and is told that the service is busy. */
    private static long refuseNextCall(TestNode n, int failed) throws Exception {
        long passed = 0;
        long calls = failedCalls(n);
        while (n.node.invariants().counted("discovery calls") <= calls) {
            letPass(n, STEP_US);
            passed += STEP_US;
        }
        try (Socket call = n.list.accept()) {
            hear(call);
            letPass(n, QUEUED_US);
            say(call, BUSY);
            n.awaitCount("list calls failed UNANSWERED", failed);
        }
        return passed + QUEUED_US;
    }

    private static long failedCalls(TestNode n) {
        long failed = 0;
        for (ListCallFailure f : ListCallFailure.values()) {
            failed += n.node.invariants().counted("list calls failed " + f);
        }
        return failed;
    }

    private static String shortJob(String id) {
        return job(id).replace("20000", "300");
    }

    private static void assertRefused(TestNode n, String id) throws Exception {
        long dials = n.node.invariants().counted("egress dials");
        try (Socket client = n.connect()) {
            say(client, shortJob(id));
            long taken = n.node.invariants().counted("requests");
            n.rounds();
            letPass(n, 400_000);
            assertTrue(hear(client).startsWith("HTTP/1.1 429"), "asked when " + taken + " had been taken");
        }
        assertEquals(dials, n.node.invariants().counted("egress dials"));
    }

    /** As incident 1 had it: the process starts, and the list service is reached but too busy to answer. */
    @Test
    void aStartSendsNothingByTheListAsLastHeldWhileTheListServiceIsBusy() throws Exception {
        try (TestNode n = TestNode.unconfirmed("read_like")) {
            n.freeze();
            int failed = 0;
            for (long passed = 0; passed < COUNTS_AS_TOLD_US; ) {
                passed += refuseNextCall(n, ++failed);
            }
            assertTrue(n.ask(HEALTHZ).startsWith("HTTP/1.1 200"), "it takes clients all the same");
            assertRefused(n, "a1");
            confirm(n);
            assertServed(n, "a2");
        }
    }

    /** A process that had the list loses its watch, and the list service is too busy to open it anew. */
    @Test
    void aSchedulerThatLostItsWatchSendsNothingOnceNewsWouldCount() throws Exception {
        try (TestNode n = TestNode.frozen("read_like")) {
            n.watch.close();
            n.awaitCount("list calls failed WATCH_ENDED", 1);
            int failed = 0;
            long passed = 0;
            while (passed < COUNTS_AS_TOLD_US) {
                passed += refuseNextCall(n, ++failed);
            }
            assertRefused(n, "b1");
            confirm(n);
            assertServed(n, "b2");
        }
    }

    /** Before that the list as held still holds: an outage of some seconds costs nothing. */
    @Test
    void aSchedulerThatLostItsWatchServesOnUntilNewsWouldCount() throws Exception {
        try (TestNode n = TestNode.frozen("read_like")) {
            n.watch.close();
            n.awaitCount("list calls failed WATCH_ENDED", 1);
            for (long passed = 0; passed < COUNTS_AS_TOLD_US * 2 / 3; ) {
                passed += refuseNextCall(n, 1 + (int) n.node.invariants().counted("list calls failed UNANSWERED"));
            }
            assertServed(n, "c1");
        }
    }

    private static void confirm(TestNode n) throws Exception {
        while (n.node.invariants().counted("discovery calls")
                <= failedCalls(n)) {
            letPass(n, STEP_US);
        }
        line(n.watchedFrom(7), "{'version':7,'full':false,'servers':[]}");
        n.settle();
    }

    private static void assertServed(TestNode n, String id) throws IOException, InterruptedException {
        new AutoWorker(n, true);
        n.goOn(0);
        assertTrue(n.ask(job(id)).startsWith("HTTP/1.1 200"));
    }
}
