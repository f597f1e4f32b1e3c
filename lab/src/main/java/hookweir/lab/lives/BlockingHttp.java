package hookweir.lab.lives;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Reads and writes HTTP/1.1 messages on blocking sockets; a message can be written in parts. */
final class BlockingHttp {
    /** A complete message: its start line and headers, and its body. */
    record Message(String head, byte[] body) {
        String startLine() {
            return head.substring(0, head.indexOf("\r\n"));
        }
    }

    private BlockingHttp() {
    }

    static void write(Socket socket, byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    static void write(Socket socket, String text) throws IOException {
        write(socket, text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads the next complete message; returns null if the connection ends before its first byte, and throws EOFException if it ends within. */
    static Message readMessage(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        String text;
        do {
            int next = in.read();
            if (next < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new EOFException("connection ended within a message head");
            }
            head.write(next);
            text = next == '\n' ? head.toString(StandardCharsets.ISO_8859_1) : "";
        } while (!text.endsWith("\r\n\r\n"));
        String length = header(text, "Content-Length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        if (length != null && body.length < Integer.parseInt(length)) {
            throw new EOFException("connection ended within a message body");
        }
        return new Message(text, body);
    }

    static String header(String head, String name) {
        return hookweir.lab.net.HttpConnection.header(head, name);
    }
}
