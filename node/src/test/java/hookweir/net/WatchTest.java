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

/** A watch on the list, and what comes between its lines. */
@Timeout(30)
final class WatchTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    private static void awaitDrained(TestNode n) throws Exception {
        String answer = "";
        for (int i = 0; !answer.startsWith("HTTP/1.1 429"); i++) {
            answer = n.request(TestNode.post("/api", "Req-Id: d" + i + "\r\nReq-Kind: render\r\nReq-Deadline-Ms: 50\r\n", "work"));
        }
    }

    /** An object over several lines was taken for as many bad ones, and its news was lost. */
    @Test
    void indentedListIsParsed() throws Exception {
        try (TestNode n = TestNode.withPushedList(); Socket watch = n.acceptListCallAndWatch()) {
            String text = ("{\n  'version': 8,\n  'full': false,\n  'servers': [\n    " + n.workerEntry("DRAINING").replace(",", ",\n      ")
                + "\n  ]\n}\n").replace('\'', '"');
            send(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            n.awaitCount("list updates", 2);
            assertEquals(0, n.node.invariants().counted("discovery bad line"));
            awaitDrained(n);
        }
    }

    /** What a line told that can't be read no later line repeats: the whole list is asked for, after the next line of any kind. */
    @Test
    void unreadableLineTriggersWholeListCall() throws Exception {
        try (TestNode n = TestNode.withPushedList()) {
            try (Socket watch = n.acceptListCallAndWatch()) {
                sendListLine(watch, "{'version':8,'full':false,'servers':[" + n.workerEntry("DRAINING").substring(0, 40));
                sendListLine(watch, "");
                try (Socket call = n.listService.accept()) {
                    assertTrue(receive(call).startsWith("GET /v1/servers HTTP/1.1\r\n"));
                    n.sendWholeList(call, 8, "DRAINING");
                    awaitDrained(n);
                }
                n.acceptWatch(8).close();
            }
        }
    }

    /** The process was busy for as long as a watch may be silent, and a line lay unread all the while: the watch stands. */
    @Test
    void unreadLineIsNotSilence() throws Exception {
        try (TestNode n = TestNode.withPushedList(); Socket watch = n.acceptListCallAndWatch()) {
            sendListLine(watch, "");
            n.awaitLoop();
            CountDownLatch gate = n.blockLoop();
            sendListLine(watch, "{'version':8,'full':false,'servers':[]}");
            n.resumeClock(5_000_000);
            gate.countDown();
            n.awaitCount("list updates", 2);
            n.awaitLoop();
            assertEquals(0, n.node.invariants().counted("discovery silent"));
        }
    }

    /** A watch that falls silent is opened anew, from where it stood, with time for a second try before 6 s are over. */
    @Test
    void silentWatchIsReopenedInTimeForARetry() throws Exception {
        try (TestNode n = TestNode.withPushedList(); Socket watch = n.acceptListCallAndWatch()) {
            sendListLine(watch, "{'version':8,'full':false,'servers':[]}");
            n.awaitCount("list updates", 2);
            n.freezeClock();
            n.advanceFrozenClock(2_700_000);
            n.awaitCount("discovery silent", 1);
            n.awaitLoop();
            n.advanceFrozenClock(375_000); // the longest first pause
            Socket unheard = n.listService.accept();
            receive(unheard);
            n.advanceFrozenClock(1_600_000); // no answer
            n.awaitCount("discovery silent", 2);
            n.awaitLoop();
            n.resumeClock(751_000); // the longest second pause: 5.4 s so far
            n.acceptWatch(8).close();
            unheard.close();
        }
    }

    /** What the agent has counts as told from the first moment of a process: no job goes by the list as last held before it. */
    @Test
    void noJobIsSentBeforeTheAgentResponds() throws Exception {
        try (TestNode n = TestNode.withPushedList(); Socket call = n.listService.accept()) {
            receive(call);
            n.freezeClock();
            try (Socket client = n.connect()) {
                send(client, TestNode.job("a1").replace("20000", "50"));
                n.awaitIoRounds();
                n.sendWholeList(call, 8, "DRAINING");
                n.acceptWatch(8).close();
                n.resumeClock(0);
                assertTrue(receive(client).startsWith("HTTP/1.1 429"));
                assertEquals(0, n.node.invariants().counted("egress dials"));
            }
        }
    }

    /** Without an answer the list as last held has to do, after half a second and not before. */
    @Test
    void silentAgentDoesNotBlockStart() throws Exception {
        try (TestNode n = TestNode.withPushedList(); Socket unheard = n.listService.accept()) {
            receive(unheard);
            n.freezeClock();
            assertTrue(n.request(HEALTHZ).startsWith("HTTP/1.1 503"));
            n.advanceFrozenClock(510_000);
            n.awaitCount("starts by the list as last held", 1);
            assertTrue(n.request(HEALTHZ).startsWith("HTTP/1.1 200"));
        }
    }

    /** What an agent hears at discovery's return counts as told at once: while it is silent it is asked five times a second. */
    @Test
    void silentAgentIsPolledAgainAtOnce() throws Exception {
        try (TestNode n = TestNode.withPushedList()) {
            n.acceptListCallAndWatch().close();
            for (int i = 0; i < 8; i++) {
                Socket unheard = n.listService.accept();
                n.freezeClock();
                receive(unheard);
                n.advanceFrozenClock(102_000);
                n.awaitCount("discovery silent", 1 + i);
                n.awaitLoop();
                n.advanceFrozenClock(78_000);
                unheard.close();
            }
        }
    }
}
