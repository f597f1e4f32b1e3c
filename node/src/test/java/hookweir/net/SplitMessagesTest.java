package hookweir.net;

import static hookweir.net.TestNode.hear;
import static hookweir.net.TestNode.say;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Messages of every peer, cut at every byte and into single bytes. The codec took chunked ones for broken. */
@Timeout(120)
class SplitMessagesTest {
    private static final String HEAD = "POST /callback HTTP/1.1\r\nHost: app.svc\r\nIdempotency-Key: 5c0f6e1a\r\n";
    private static final String PLAIN = HEAD + "Content-Length: 34\r\n\r\n{'id':'x','from':'y','state':'no'}".replace('\'', '"');
    private static final String CHUNKED = HEAD + ("Transfer-Encoding: chunked\r\n\r\n1e\r\n{'id':'x','from':'y','state':'\r\n"
        + "004;ext=1\r\nno'}\r\n0\r\nTrailer: t\r\n\r\n").replace('\'', '"');
    private static final String TAKEN = "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n11\r\n, I have taken it\r\n0\r\n\r\n";

    /** Says it in two pieces; the pause makes them two reads mostly, and whether it does changes no verdict. */
    private static void saySplit(Socket s, String message, int cut) throws IOException, InterruptedException {
        s.setTcpNoDelay(true);
        say(s, message.substring(0, cut));
        Thread.sleep(2);
        say(s, message.substring(cut));
    }

    private static void sayBytewise(Socket s, String message) throws IOException, InterruptedException {
        s.setTcpNoDelay(true);
        for (int i = 0; i < message.length(); i++) {
            say(s, message.substring(i, i + 1));
            Thread.sleep(1);
        }
    }

    @Test
    void requestsMaySplitAnywhere() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket s = n.connect()) {
            for (String message : new String[] {PLAIN, CHUNKED}) {
                for (int cut = 1; cut < message.length(); cut++) {
                    saySplit(s, message, cut);
                    String answer = hear(s);
                    assertTrue(answer.startsWith("HTTP/1.1 204") && !answer.contains("close"), cut + ": " + answer);
                }
                sayBytewise(s, message);
                assertTrue(hear(s).startsWith("HTTP/1.1 204"));
            }
        }
    }

    @Test
    void workerResponsesMaySplitAnywhere() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket client = n.connect()) {
            Socket w = null;
            for (int cut = 0; cut < TAKEN.length(); cut += 6) { // the others are the codec's, as with discovery
                say(client, TestNode.job("w" + cut));
                w = w == null ? n.worker.accept() : w; // one link carries them all, as each answer is read whole
                hear(w);
                if (cut == 0) {
                    sayBytewise(w, TAKEN);
                } else {
                    saySplit(w, TAKEN, cut);
                }
                n.tell("w" + cut, "s-01", "done");
                assertTrue(hear(client).startsWith("HTTP/1.1 200"));
            }
            assertEquals(1, n.node.invariants().counted("egress dials"));
        }
    }

    @Test
    void listLinesMaySplitAnywhere() throws Exception {
        try (TestNode n = new TestNode("read_like"); Socket d = n.watch) {
            String line = ("{'version':9,'full':false,'servers':[" + n.entry("SERVING") + "]}\n").replace('\'', '"');
            String chunk = Integer.toHexString(line.length()) + "\r\n" + line + "\r\n1\r\n\n\r\n";
            for (int cut = 1; cut < chunk.length(); cut++) {
                saySplit(d, chunk, cut);
            }
            sayBytewise(d, chunk);
            n.awaitCount("list updates", chunk.length() + 2);
            assertEquals(0, n.node.invariants().counted("discovery bad line"));
        }
    }
}
