package hookweir.lab.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * One connection of a stub or a client: reads HTTP/1.1 messages with a Content-Length or without a body, and writes bytes.
 * Used only on its {@link Reactor}'s thread.
 */
public abstract class HttpConnection {
    private static final byte[] HEAD_END = {'\r', '\n', '\r', '\n'};

    private SelectionKey key;
    private SocketChannel channel;
    private byte[] input = new byte[1024];
    private int inputLength;
    private ByteBuffer output = ByteBuffer.allocate(0);
    private boolean closed;
    private boolean newOutput;

    /** Called for each complete message, with its head as text and its body. */
    protected abstract void onMessage(String head, byte[] body);

    /** Called when newly written output is about to be sent: the connection is established. */
    protected void onSending() {
        // ignored by default
    }

    /** Called once when the connection is closed or could not be established. */
    protected abstract void onClosed();

    void attach(SelectionKey newKey, SocketChannel newChannel) {
        key = newKey;
        channel = newChannel;
    }

    /** Writes bytes after all earlier output. */
    public final void write(byte[] bytes) {
        if (output.hasRemaining()) {
            ByteBuffer combined = ByteBuffer.allocate(output.remaining() + bytes.length);
            output = combined.put(output).put(bytes).flip();
        } else {
            output = ByteBuffer.wrap(bytes);
        }
        newOutput = true;
        if (channel != null && channel.isConnected()) {
            flush();
        }
    }

    /** Writes text in ISO 8859-1. */
    public final void write(String text) {
        write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    final void flush() {
        try {
            if (output.hasRemaining()) {
                if (newOutput) {
                    newOutput = false;
                    onSending();
                }
                channel.write(output);
            }
            int ops = SelectionKey.OP_READ | (output.hasRemaining() ? SelectionKey.OP_WRITE : 0);
            if (key.interestOps() != ops) {
                key.interestOps(ops);
            }
        } catch (IOException e) {
            close();
        }
    }

    final void receive(ByteBuffer bytes) {
        int n = bytes.remaining();
        if (inputLength + n > input.length) {
            input = Arrays.copyOf(input, Math.max(2 * input.length, inputLength + n));
        }
        bytes.get(input, inputLength, n);
        inputLength += n;
        int from = 0;
        while (!closed) {
            int end = headEnd(from);
            if (end < 0) {
                break;
            }
            String head = new String(input, from, end - from, StandardCharsets.ISO_8859_1);
            int length = contentLength(head);
            if (inputLength - end < length) {
                break;
            }
            byte[] body = Arrays.copyOfRange(input, end, end + length);
            from = end + length;
            onMessage(head, body);
        }
        System.arraycopy(input, from, input, 0, inputLength - from);
        inputLength -= from;
    }

    private int headEnd(int from) {
        for (int i = from; i + HEAD_END.length <= inputLength; i++) {
            if (input[i] == '\r' && Arrays.equals(input, i, i + HEAD_END.length, HEAD_END, 0, HEAD_END.length)) {
                return i + HEAD_END.length;
            }
        }
        return -1;
    }

    private static int contentLength(String head) {
        String value = header(head, "Content-Length");
        return value == null ? 0 : Integer.parseInt(value);
    }

    /** Returns the value of a header, or null. */
    public static String header(String head, String name) {
        int n = name.length();
        for (int at = head.indexOf("\r\n"); at >= 0 && at + 2 + n < head.length(); at = head.indexOf("\r\n", at + 2)) {
            if (head.charAt(at + 2 + n) == ':' && head.regionMatches(true, at + 2, name, 0, n)) {
                return head.substring(at + 3 + n, head.indexOf("\r\n", at + 2)).strip();
            }
        }
        return null;
    }

    /** Closes the connection; {@link #onClosed} is called once. */
    public final void close() {
        if (!closed) {
            closed = true;
            try {
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException e) {
                closed = true; // it counts as closed either way
            }
            onClosed();
        }
    }

    /** Whether the connection is closed. */
    public final boolean isClosed() {
        return closed;
    }
}
