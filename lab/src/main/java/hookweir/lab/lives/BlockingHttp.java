package hookweir.lab.lives;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** HTTP/1.1 messages on plain blocking sockets, in parts where a scenario wants that. */
final class BlockingHttp {
    /** A whole message. */
    record Message(String head, byte[] body) {
        String startLine() {
            return head.substring(0, head.indexOf("\r\n"));
        }
    }

    private BlockingHttp() {
    }

    static void write(Socket s, byte[] bytes) throws IOException {
        s.getOutputStream().write(bytes);
        s.getOutputStream().flush();
    }

    static void write(Socket s, String text) throws IOException {
        write(s, text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The next message whole; null where the connection ends before its first byte, EOFException where it does within. */
    static Message readMessage(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        String text;
        do {
            int b = in.read();
            if (b < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new EOFException("ended within a head");
            }
            head.write(b);
            text = b == '\n' ? head.toString(StandardCharsets.ISO_8859_1) : "";
        } while (!text.endsWith("\r\n\r\n"));
        String length = header(text, "Content-Length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        if (length != null && body.length < Integer.parseInt(length)) {
            throw new EOFException("ended within a body");
        }
        return new Message(text, body);
    }

    static String header(String head, String name) {
        return hookweir.lab.net.Peer.header(head, name);
    }
}
