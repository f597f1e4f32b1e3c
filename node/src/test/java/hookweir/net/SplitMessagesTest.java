package hookweir.net;

import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against messages misread because of how they are split into reads: chunked messages were once rejected as broken. Splits
 * the messages of clients, workers and the list service at each byte, and into single bytes.
 */
@Timeout(120)
class SplitMessagesTest {
    private static final String HEAD = "POST /callback HTTP/1.1\r\nHost: app.svc\r\nIdempotency-Key: 5c0f6e1a\r\n";
    private static final String PLAIN = HEAD + "Content-Length: 34\r\n\r\n{'id':'x','from':'y','state':'no'}".replace('\'', '"');
    private static final String CHUNKED = HEAD + ("Transfer-Encoding: chunked\r\n\r\n1e\r\n{'id':'x','from':'y','state':'\r\n"
        + "004;ext=1\r\nno'}\r\n0\r\nTrailer: t\r\n\r\n").replace('\'', '"');
    private static final String ACCEPTED_RESPONSE =
        "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n11\r\n, I have taken it\r\n0\r\n\r\n";

    /** Sends the message in two parts; the pause usually makes them two reads, but the test passes either way. */
    private static void saySplit(Socket socket, String message, int cut) throws IOException, InterruptedException {
        socket.setTcpNoDelay(true);
        send(socket, message.substring(0, cut));
        Thread.sleep(2);
        send(socket, message.substring(cut));
    }

    private static void sayBytewise(Socket socket, String message) throws IOException, InterruptedException {
        socket.setTcpNoDelay(true);
        for (int i = 0; i < message.length(); i++) {
            send(socket, message.substring(i, i + 1));
            Thread.sleep(1);
        }
    }

    @Test
    void requestsMaySplitAnywhere() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket socket = node.connect()) {
            for (String message : new String[] {PLAIN, CHUNKED}) {
                for (int cut = 1; cut < message.length(); cut++) {
                    saySplit(socket, message, cut);
                    String response = receive(socket);
                    assertTrue(response.startsWith("HTTP/1.1 204") && !response.contains("close"), cut + ": " + response);
                }
                sayBytewise(socket, message);
                assertTrue(receive(socket).startsWith("HTTP/1.1 204"));
            }
        }
    }

    @Test
    void workerResponsesMaySplitAnywhere() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket client = node.connect()) {
            Socket worker = null;
            for (int cut = 0; cut < ACCEPTED_RESPONSE.length(); cut += 6) { // the offsets between are covered by the same decoder in listLinesMaySplitAnywhere
                send(client, TestNode.job("w" + cut));
                worker = worker == null ? node.workerListener.accept() : worker; // one connection carries them all, as each response is read completely
                receive(worker);
                if (cut == 0) {
                    sayBytewise(worker, ACCEPTED_RESPONSE);
                } else {
                    saySplit(worker, ACCEPTED_RESPONSE, cut);
                }
                node.sendCallback("w" + cut, "s-01", "done");
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            }
            assertEquals(1, node.node.invariants().counted("egress dials"));
        }
    }

    @Test
    void listLinesMaySplitAnywhere() throws Exception {
        try (TestNode node = new TestNode("read_like"); Socket listService = node.watch) {
            String line = ("{'version':9,'full':false,'servers':[" + node.workerEntry("SERVING") + "]}\n").replace('\'', '"');
            String chunk = Integer.toHexString(line.length()) + "\r\n" + line + "\r\n1\r\n\n\r\n";
            for (int cut = 1; cut < chunk.length(); cut++) {
                saySplit(listService, chunk, cut);
            }
            sayBytewise(listService, chunk);
            node.awaitCount("list updates", chunk.length() + 2);
            assertEquals(0, node.node.invariants().counted("discovery bad line"));
        }
    }
}
