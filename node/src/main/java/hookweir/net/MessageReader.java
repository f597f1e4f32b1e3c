package hookweir.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The part of reading HTTP/1.1 messages (RFC 9112) that requests and answers share: lines, bodies by length or in chunks,
 * and where a message ends, however the bytes are cut. It copies no body and makes no object of a line; a subclass looks
 * at the line in place. One for each connection; belongs to the selector.
 */
public abstract class MessageReader {
    private static final byte[] EMPTY = new byte[0];
    private static final int INITIAL_LINE_BYTES = 256;
    private static final int MAX_RETAINED_LINE_BYTES = 512;
    private static final int MAX_CHUNK_LINE_BYTES = 256;
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;
    private static final int HEX = 16;
    /** 400, the fault of what is framed in no way or in two. */
    protected static final int BAD_REQUEST = 400;
    private static final int HEADER_FIELDS_TOO_LARGE = 431;

    private enum Part { START_LINE, HEADERS, BODY, UNTIL_CLOSE, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS }

    private final boolean strict;
    /** The present line, up to {@link #lineEnd}. */
    protected byte[] line = EMPTY;
    protected int lineEnd;
    private Part part = Part.START_LINE;
    private boolean afterCr;
    private int headBytes;
    private long remaining;
    private int fault;
    private boolean isComplete;

    /** A strict reader takes only what any two readers frame alike; another one takes bare line feeds too. */
    protected MessageReader(boolean strict) {
        this.strict = strict;
    }

    /** The first line has come, other than an empty one before it. */
    protected abstract void onStartLine();

    /** A header of the head or, where trailer is set, of the trailers: its name ends at nameEnd, its value is [from, to). */
    protected abstract void onHeader(int nameEnd, int from, int to, boolean trailer);

    /** The head is whole: calls one of {@link #expectBody}, {@link #expectChunkedBody} and {@link #expectBodyUntilClose}, or {@link #fail}. */
    protected abstract void onHeadEnd();

    /** A chunk of so many bytes comes next; a subclass may {@link #fail}. */
    protected abstract void onChunkStart(long bytes);

    /** Some of the body. */
    protected abstract void onBody(byte[] from, int at, int n);

    /** The message is whole. */
    protected abstract void onMessageEnd();

    /** Reading stops before the next byte of a body, for as long as this is so. */
    protected boolean isPaused() {
        return false;
    }

    /**
     * Reads on, up to the end of a message, of the bytes, to a fault, or to a wait.
     *
     * @return the place behind the last byte read
     */
    public final int feed(byte[] in, int from, int to) {
        isComplete = false;
        int at = from;
        while (at < to && fault == 0 && !isComplete && !isPaused()) {
            if (part == Part.BODY || part == Part.CHUNK || part == Part.UNTIL_CLOSE) {
                int n = part == Part.UNTIL_CLOSE ? to - at : (int) Math.min(remaining, to - at);
                onBody(in, at, n);
                at += n;
                remaining -= n;
                if (remaining == 0 && part == Part.BODY) {
                    endMessage();
                } else if (remaining == 0 && part == Part.CHUNK) {
                    part = Part.CHUNK_END;
                }
            } else {
                readLineByte(in[at++]);
            }
        }
        return at;
    }

    /** The last {@link #feed} ended behind a message. */
    public final boolean isComplete() {
        return isComplete;
    }

    /** The status that the bytes read so far deserve; 0 while they are well-formed. */
    public final int fault() {
        return fault;
    }

    /** Some of a message has come, and not all. */
    public final boolean isMidMessage() {
        return part != Part.START_LINE || afterCr || lineEnd > 0;
    }

    /** The bytes read so far deserve this status. */
    protected final void fail(int status) {
        fault = status;
    }

    /** A body of so many bytes follows; 0 for none. */
    protected final void expectBody(long bytes) {
        remaining = bytes;
        if (bytes > 0) {
            part = Part.BODY;
        } else {
            endMessage();
        }
    }

    /** A body in chunks follows. */
    protected final void expectChunkedBody() {
        part = Part.CHUNK_SIZE;
    }

    /** A body follows that ends with its connection. */
    protected final void expectBodyUntilClose() {
        remaining = Long.MAX_VALUE;
        part = Part.UNTIL_CLOSE;
    }

    /** The present line from one place to another, as text. */
    protected final String text(int from, int to) {
        return new String(line, from, to - from, StandardCharsets.ISO_8859_1);
    }

    /** The present line holds this lower-case text there, in any case. */
    protected final boolean lineEquals(String lower, int from, int to) {
        if (to - from != lower.length()) {
            return false;
        }
        for (int i = 0; i < lower.length(); i++) {
            byte b = line[from + i];
            if ((b >= 'A' && b <= 'Z' ? b + 32 : b) != lower.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** The present line begins with this lower-case text, in any case. */
    protected final boolean lineStartsWith(String lower, int to) {
        return to >= lower.length() && lineEquals(lower, 0, lower.length());
    }

    /** A whole number of plain digits there; -1 where it is none of up to 18. */
    protected final long parseDigits(int from, int to) {
        if (to <= from || to - from > 18) {
            return -1;
        }
        long v = 0;
        for (int i = from; i < to; i++) {
            if (line[i] < '0' || line[i] > '9') {
                return -1;
            }
            v = 10 * v + line[i] - '0';
        }
        return v;
    }

    /** A character of a token (RFC 9110 5.6.2). */
    protected static boolean isTokenChar(byte b) {
        return b >= '0' && b <= '9' || b >= 'A' && b <= 'Z' || b >= 'a' && b <= 'z' || b > ' ' && "!#$%&'*+-.^_`|~".indexOf(b) >= 0;
    }

    private void readLineByte(byte b) {
        if (++headBytes > Transport.MAX_HEADER_BYTES) {
            fault = HEADER_FIELDS_TOO_LARGE;
        } else if (strict && (afterCr ? b != '\n' : b == '\n' || b < ' ' && b != '\t' && b != '\r' || b == 0x7f)) {
            // A bare CR or LF ends a line for some readers only; other such bytes stand in no head.
            fault = BAD_REQUEST;
        } else if (b == '\r') {
            afterCr = true;
        } else if (b == '\n') {
            afterCr = false;
            onLineEnd();
            lineEnd = 0;
        } else if (part == Part.CHUNK_END) {
            fault = BAD_REQUEST; // the chunk is longer than it said
        } else {
            if (lineEnd == line.length) {
                line = Arrays.copyOf(line, Math.max(INITIAL_LINE_BYTES, 2 * lineEnd));
            }
            line[lineEnd++] = b;
        }
    }

    private void onLineEnd() {
        switch (part) {
            case START_LINE -> {
                if (lineEnd > 0) {
                    part = Part.HEADERS;
                    onStartLine();
                } else if (strict) {
                    fault = BAD_REQUEST;
                }
            }
            case HEADERS, TRAILERS -> {
                if (lineEnd > 0) {
                    parseHeader(part == Part.TRAILERS);
                } else if (part == Part.TRAILERS) {
                    endMessage();
                } else {
                    onHeadEnd();
                }
            }
            case CHUNK_SIZE -> parseChunkSize();
            default -> part = Part.CHUNK_SIZE; // the empty line behind a chunk
        }
    }

    private void parseHeader(boolean trailer) {
        int nameEnd = 0;
        while (nameEnd < lineEnd && isTokenChar(line[nameEnd])) {
            nameEnd++;
        }
        if (nameEnd == 0 || nameEnd == lineEnd || line[nameEnd] != ':') {
            fault = BAD_REQUEST; // a folded line, a space before the colon, or no header at all
            return;
        }
        int from = nameEnd + 1;
        int to = lineEnd;
        while (from < to && (line[from] == ' ' || line[from] == '\t')) {
            from++;
        }
        while (to > from && (line[to - 1] == ' ' || line[to - 1] == '\t')) {
            to--;
        }
        onHeader(nameEnd, from, to, trailer);
    }

    private void parseChunkSize() {
        long size = 0;
        int i = 0;
        for (; i < lineEnd && Character.digit(line[i], HEX) >= 0; i++) {
            size = size * HEX + Character.digit(line[i], HEX);
        }
        int digits = i;
        while (i < lineEnd && (line[i] == ' ' || line[i] == '\t')) {
            i++;
        }
        if (digits == 0 || digits > MAX_CHUNK_SIZE_DIGITS || i < lineEnd && line[i] != ';' || strict && i > digits && i == lineEnd
                || lineEnd > MAX_CHUNK_LINE_BYTES) {
            fault = BAD_REQUEST;
            return;
        }
        headBytes = 0;
        remaining = size;
        part = size > 0 ? Part.CHUNK : Part.TRAILERS;
        if (size > 0) {
            onChunkStart(size);
        }
    }

    private void endMessage() {
        isComplete = true;
        part = Part.START_LINE;
        headBytes = 0;
        if (line.length > MAX_RETAINED_LINE_BYTES) {
            line = EMPTY; // what one long line took is not kept for as long as the connection
        }
        onMessageEnd();
    }
}
