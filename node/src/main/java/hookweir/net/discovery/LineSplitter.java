package hookweir.net.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts a stream of chunks, however cut, into lines. An object that is open at a line's end, as an indented one is, goes on in
 * the next line; an empty line, or one on which another object begins as a list does, shows that it was cut instead, and what
 * there is of it goes to the sink. A line over the limit is dropped and reported as null.
 */
public final class LineSplitter {
    private static final byte[] LIST_OBJECT_START = "{\"version\"".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] CR = {'\r'};

    private final int maxBytes;
    private final Consumer<byte[]> sink;
    private LineBuffer line = new LineBuffer();
    /** Bytes of it that are ended lines of an open object. */
    private int openObjectBytes;
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean tooLong;

    /** Bytes that can be looked at in place. */
    private static final class LineBuffer extends ByteArrayOutputStream {
        boolean containsAt(byte[] what, int at) {
            return Arrays.equals(buf, at, Math.min(count, at + what.length), what, 0, what.length);
        }

        void truncate(int to) {
            count = to;
        }
    }

    /** Lines of at most so many bytes go to the sink. */
    public LineSplitter(int mostBytes, Consumer<byte[]> sink) {
        this.maxBytes = mostBytes;
        this.sink = sink;
    }

    /** Takes the next chunk. */
    public void feed(byte[] chunk) {
        for (byte b : chunk) {
            if (b == '\n') {
                endLine();
            } else if (line.size() < maxBytes) {
                line.write(b);
                trackNesting(b);
            } else {
                tooLong = true;
            }
        }
    }

    private void trackNesting(byte b) {
        if (inString) {
            inString = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"' && depth > 0) {
            inString = true;
        } else if (b == '{') {
            depth++;
        } else if (b == '}' && depth > 0) {
            depth--;
        }
        if (openObjectBytes > 0 && line.size() - openObjectBytes == LIST_OBJECT_START.length && line.containsAt(LIST_OBJECT_START, openObjectBytes)) {
            emitTruncated();
            line.writeBytes(LIST_OBJECT_START);
            depth = 1;
        }
    }

    private void endLine() {
        boolean empty = line.size() == openObjectBytes || line.size() == openObjectBytes + 1 && line.containsAt(CR, openObjectBytes);
        if (depth > 0 && !inString && !tooLong && !(empty && openObjectBytes > 0)) {
            openObjectBytes = line.size();
            return;
        }
        if (empty && openObjectBytes > 0) {
            emitTruncated();
        }
        emit();
    }

    /** The open object was cut: it goes to the sink without the present line. */
    private void emitTruncated() {
        line.truncate(openObjectBytes);
        emit();
    }

    private void emit() {
        byte[] whole = line.toByteArray();
        line = new LineBuffer();
        boolean dropped = tooLong;
        tooLong = false;
        openObjectBytes = 0;
        depth = 0;
        inString = false;
        escaped = false;
        sink.accept(dropped ? null : whole);
    }
}
