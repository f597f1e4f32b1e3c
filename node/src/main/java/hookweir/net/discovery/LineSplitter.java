package hookweir.net.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a stream of chunks into lines, wherever the chunk boundaries are. A JSON object that is still open at the end of a line,
 * for example an indented one, continues on the next line. If an empty line follows instead, or a line that starts another list
 * object, the open object was truncated, and the part received is passed to the sink. A line over the limit is dropped and
 * reported as null.
 */
public final class LineSplitter {
    private static final byte[] LIST_OBJECT_START = "{\"version\"".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] CR = {'\r'};

    private final int maxBytes;
    private final Consumer<byte[]> sink;
    private LineBuffer line = new LineBuffer();
    /** How many bytes of {@link #line} are complete lines of an object that is still open. */
    private int openObjectBytes;
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean tooLong;

    /** A byte buffer that can be compared and truncated in place. */
    private static final class LineBuffer extends ByteArrayOutputStream {
        boolean containsAt(byte[] expected, int offset) {
            return Arrays.equals(buf, offset, Math.min(count, offset + expected.length), expected, 0, expected.length);
        }

        void truncate(int length) {
            count = length;
        }
    }

    /** Creates a splitter that passes lines of at most {@code maxBytes} bytes to the sink. */
    public LineSplitter(int maxBytes, Consumer<byte[]> sink) {
        this.maxBytes = maxBytes;
        this.sink = sink;
    }

    /** Processes the next chunk. */
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

    /** Passes a truncated object to the sink, without the current line. */
    private void emitTruncated() {
        line.truncate(openObjectBytes);
        emit();
    }

    private void emit() {
        byte[] complete = line.toByteArray();
        line = new LineBuffer();
        boolean wasTooLong = tooLong;
        tooLong = false;
        openObjectBytes = 0;
        depth = 0;
        inString = false;
        escaped = false;
        sink.accept(wasTooLong ? null : complete);
    }
}
