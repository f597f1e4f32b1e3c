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
public final class Lines {
    private static final byte[] BEGIN = "{\"version\"".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] CR = {'\r'};

    private final int mostBytes;
    private final Consumer<byte[]> sink;
    private Bytes line = new Bytes();
    /** Bytes of it that are ended lines of an open object. */
    private int open;
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean tooLong;

    /** Bytes that can be looked at in place. */
    private static final class Bytes extends ByteArrayOutputStream {
        boolean has(byte[] what, int at) {
            return Arrays.equals(buf, at, Math.min(count, at + what.length), what, 0, what.length);
        }

        void cut(int to) {
            count = to;
        }
    }

    /** Lines of at most so many bytes go to the sink. */
    public Lines(int mostBytes, Consumer<byte[]> sink) {
        this.mostBytes = mostBytes;
        this.sink = sink;
    }

    /** Takes the next chunk. */
    public void feed(byte[] chunk) {
        for (byte b : chunk) {
            if (b == '\n') {
                lineEnd();
            } else if (line.size() < mostBytes) {
                line.write(b);
                look(b);
            } else {
                tooLong = true;
            }
        }
    }

    private void look(byte b) {
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
        if (open > 0 && line.size() - open == BEGIN.length && line.has(BEGIN, open)) {
            emitCut();
            line.writeBytes(BEGIN);
            depth = 1;
        }
    }

    private void lineEnd() {
        boolean empty = line.size() == open || line.size() == open + 1 && line.has(CR, open);
        if (depth > 0 && !inString && !tooLong && !(empty && open > 0)) {
            open = line.size();
            return;
        }
        if (empty && open > 0) {
            emitCut();
        }
        emit();
    }

    /** The open object was cut: it goes to the sink without the present line. */
    private void emitCut() {
        line.cut(open);
        emit();
    }

    private void emit() {
        byte[] whole = line.toByteArray();
        line = new Bytes();
        boolean dropped = tooLong;
        tooLong = false;
        open = 0;
        depth = 0;
        inString = false;
        escaped = false;
        sink.accept(dropped ? null : whole);
    }
}
