package hookweir.net;

import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static hookweir.net.TestNode.sendListLine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The watch of a pushed worker list: unreadable and unread lines, silence, and an agent that does not respond. */
@Timeout(30)
final class WatchTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    private static void awaitDrained(TestNode scheduler) throws Exception {
        String response = "";
        for (int i = 0; !response.startsWith("HTTP/1.1 429"); i++) {
            response = scheduler.request(TestNode.post("/api", "Req-Id: d" + i + "\r\nReq-Kind: render\r\nReq-Deadline-Ms: 50\r\n", "work"));
        }
    }

    /** An object over several lines was taken for as many invalid lines, and its changes were lost. */
    @Test
    void indentedListIsParsed() throws Exception {
        try (TestNode scheduler = TestNode.withPushedList(); Socket watch = scheduler.acceptListCallAndWatch()) {
            String text = ("{\n  'version': 8,\n  'full': false,\n  'servers': [\n    " + scheduler.workerEntry("DRAINING").replace(",", ",\n      ")
                + "\n  ]\n}\n").replace('\'', '"');
            send(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            scheduler.awaitCount("list updates", 2);
            assertEquals(0, scheduler.node.invariants().counted("discovery bad line"));
            awaitDrained(scheduler);
        }
    }

    /** No later line repeats the changes of a line that cannot be parsed: the whole list is requested after the next line of any kind. */
    @Test
    void unreadableLineTriggersWholeListCall() throws Exception {
        try (TestNode scheduler = TestNode.withPushedList()) {
            try (Socket watch = scheduler.acceptListCallAndWatch()) {
                sendListLine(watch, "{'version':8,'full':false,'servers':[" + scheduler.workerEntry("DRAINING").substring(0, 40));
                sendListLine(watch, "");
                try (Socket call = scheduler.listService.accept()) {
                    assertTrue(receive(call).startsWith("GET /v1/servers HTTP/1.1\r\n"));
                    scheduler.sendWholeList(call, 8, "DRAINING");
                    awaitDrained(scheduler);
                }
                scheduler.acceptWatch(8).close();
            }
        }
    }

    /** The process was busy for the whole silence timeout of the watch while a line lay unread: the watch must stay open. */
    @Test
    void unreadLineIsNotSilence() throws Exception {
        try (TestNode scheduler = TestNode.withPushedList(); Socket watch = scheduler.acceptListCallAndWatch()) {
            sendListLine(watch, "");
            scheduler.awaitLoop();
            CountDownLatch gate = scheduler.blockLoop();
            sendListLine(watch, "{'version':8,'full':false,'servers':[]}");
            scheduler.resumeClock(5_000_000);
            gate.countDown();
            scheduler.awaitCount("list updates", 2);
            scheduler.awaitLoop();
            assertEquals(0, scheduler.node.invariants().counted("discovery silent"));
        }
    }

    /** A silent watch is reopened at its last version, early enough for a second try before 6 s have passed. */
    @Test
    void silentWatchIsReopenedInTimeForARetry() throws Exception {
        try (TestNode scheduler = TestNode.withPushedList(); Socket watch = scheduler.acceptListCallAndWatch()) {
            sendListLine(watch, "{'version':8,'full':false,'servers':[]}");
            scheduler.awaitCount("list updates", 2);
            scheduler.freezeClock();
            scheduler.advanceFrozenClock(2_700_000);
            scheduler.awaitCount("discovery silent", 1);
            scheduler.awaitLoop();
            scheduler.advanceFrozenClock(375_000); // the longest first pause
            Socket unanswered = scheduler.listService.accept();
            receive(unanswered);
            scheduler.advanceFrozenClock(1_600_000); // no response
            scheduler.awaitCount("discovery silent", 2);
            scheduler.awaitLoop();
            scheduler.resumeClock(751_000); // the longest second pause: 5.4 s in total
            scheduler.acceptWatch(8).close();
            unanswered.close();
        }
    }

    /** The agent's list counts as notified from the start of a process: no job is sent by the cached worker list before the agent responds. */
    @Test
    void noJobIsSentBeforeTheAgentResponds() throws Exception {
        try (TestNode scheduler = TestNode.withPushedList(); Socket call = scheduler.listService.accept()) {
            receive(call);
            scheduler.freezeClock();
            try (Socket client = scheduler.connect()) {
                send(client, TestNode.job("a1").replace("20000", "50"));
                scheduler.awaitIoRounds();
                scheduler.sendWholeList(call, 8, "DRAINING");
                scheduler.acceptWatch(8).close();
                scheduler.resumeClock(0);
                assertTrue(receive(client).startsWith("HTTP/1.1 429"));
                assertEquals(0, scheduler.node.invariants().counted("egress dials"));
            }
        }
    }

    /** Without a response the cached worker list is used, after half a second and not before. */
    @Test
    void silentAgentDoesNotBlockStart() throws Exception {
        try (TestNode scheduler = TestNode.withPushedList(); Socket unanswered = scheduler.listService.accept()) {
            receive(unanswered);
            scheduler.freezeClock();
            assertTrue(scheduler.request(HEALTHZ).startsWith("HTTP/1.1 503"));
            scheduler.advanceFrozenClock(510_000);
            scheduler.awaitCount("starts by the list as last held", 1);
            assertTrue(scheduler.request(HEALTHZ).startsWith("HTTP/1.1 200"));
        }
    }

    /** Changes that the agent receives when the list service returns count as notified at once: a silent agent is polled 5 times a second. */
    @Test
    void silentAgentIsPolledAgainAtOnce() throws Exception {
        try (TestNode scheduler = TestNode.withPushedList()) {
            scheduler.acceptListCallAndWatch().close();
            for (int i = 0; i < 8; i++) {
                Socket unanswered = scheduler.listService.accept();
                scheduler.freezeClock();
                receive(unanswered);
                scheduler.advanceFrozenClock(102_000);
                scheduler.awaitCount("discovery silent", 1 + i);
                scheduler.awaitLoop();
                scheduler.advanceFrozenClock(78_000);
                unanswered.close();
            }
        }
    }
}
