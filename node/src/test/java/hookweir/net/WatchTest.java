package hookweir.net;

import static hookweir.net.TestNode.CHUNKED;
import static hookweir.net.TestNode.hear;
import static hookweir.net.TestNode.line;
import static hookweir.net.TestNode.say;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A watch on the list, and what comes between its lines. */
@Timeout(30)
final class WatchTest {
    private static Socket watched(TestNode n, String from) throws Exception {
        Socket watch = n.list.accept();
        assertTrue(hear(watch).startsWith("GET /v1/servers?watch=1&after=" + from + " HTTP/1.1\r\n"));
        say(watch, CHUNKED);
        return watch;
    }

    private static void awaitDrained(TestNode n) throws Exception {
        String answer = "";
        for (int i = 0; !answer.startsWith("HTTP/1.1 429"); i++) {
            answer = n.ask(TestNode.post("/api", "Req-Id: d" + i + "\r\nReq-Kind: render\r\nReq-Deadline-Ms: 50\r\n", "work"));
        }
    }

    /** An object over several lines was taken for as many bad ones, and its news was lost. */
    @Test
    void anIndentedListIsRead() throws Exception {
        try (TestNode n = TestNode.pushed(); Socket watch = watched(n, "7")) {
            String text = ("{\n  'version': 8,\n  'full': false,\n  'servers': [\n    " + n.entry("DRAINING").replace(",", ",\n      ")
                + "\n  ]\n}\n").replace('\'', '"');
            say(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            n.awaitCount("list updates", 2);
            assertEquals(0, n.node.invariants().counted("discovery bad line"));
            awaitDrained(n);
        }
    }

    /** What a line told that can't be read no later line repeats: the whole list is asked for, after the next line of any kind. */
    @Test
    void whatALineThatCannotBeReadToldIsAskedFor() throws Exception {
        try (TestNode n = TestNode.pushed()) {
            try (Socket watch = watched(n, "7")) {
                line(watch, "{'version':8,'full':false,'servers':[" + n.entry("DRAINING").substring(0, 40));
                line(watch, "");
                try (Socket call = n.list.accept()) {
                    assertTrue(hear(call).startsWith("GET /v1/servers HTTP/1.1\r\n"));
                    String list = ("{'version':8,'full':true,'servers':[" + n.entry("DRAINING") + "]}").replace('\'', '"');
                    say(call, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                    awaitDrained(n);
                }
                watched(n, "8").close();
            }
        }
    }

    /** The process was busy for as long as a watch may be silent, and a line lay unread all the while: the watch stands. */
    @Test
    void aLineThatLiesUnreadIsNoSilence() throws Exception {
        try (TestNode n = TestNode.pushed(); Socket watch = watched(n, "7")) {
            line(watch, "");
            n.ask("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
            CountDownLatch gate = n.deaf();
            line(watch, "{'version':8,'full':false,'servers':[]}");
            n.goOn(5_000_000);
            gate.countDown();
            n.awaitCount("list updates", 2);
            n.ask("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
            assertEquals(0, n.node.invariants().counted("discovery silent"));
        }
    }

    /** A watch that falls silent is opened anew, from where it stood, with time for a second try before 6 s are over. */
    @Test
    void aSilentWatchIsOpenedAnewInTimeForASecondTry() throws Exception {
        try (TestNode n = TestNode.pushed(); Socket watch = watched(n, "7")) {
            line(watch, "{'version':8,'full':false,'servers':[]}");
            n.awaitCount("list updates", 2);
            n.freeze();
            n.goOn(2_700_000);
            n.freeze();
            n.awaitCount("discovery silent", 1);
            n.goOn(375_000); // the longest first pause
            n.freeze();
            Socket unheard = n.list.accept();
            hear(unheard);
            n.goOn(1_600_000); // no answer
            n.freeze();
            n.awaitCount("discovery silent", 2);
            n.goOn(751_000); // the longest second pause: 5.4 s so far
            watched(n, "8").close();
            unheard.close();
        }
    }
}
