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
    private static final int LINE_BYTES = 256;
    private static final int MOST_KEPT = 512;
    private static final int MOST_CHUNK_LINE = 256;
    private static final int MOST_CHUNK_DIGITS = 8;
    private static final int HEX = 16;
    /** 400, the fault of what is framed in no way or in two. */
    protected static final int BAD = 400;
    private static final int HEAD_TOO_LONG = 431;

    private enum Part { START_LINE, HEADERS, BODY, TO_THE_END, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS }

    private final boolean strict;
    /** The present line, up to {@link #lineEnd}. */
    protected byte[] line = EMPTY;
    protected int lineEnd;
    private Part part = Part.START_LINE;
    private boolean afterCr;
    private int headBytes;
    private long left;
    private int fault;
    private boolean whole;

    /** A strict reader takes only what any two readers frame alike; another one takes bare line feeds too. */
    protected MessageReader(boolean strict) {
        this.strict = strict;
    }

    /** The first line has come, other than an empty one before it. */
    protected abstract void startLine();

    /** A header of the head or, where trailer is set, of the trailers: its name ends at nameEnd, its value is [from, to). */
    protected abstract void header(int nameEnd, int from, int to, boolean trailer);

    /** The head is whole: calls one of {@link #bodyOf}, {@link #bodyInChunks} and {@link #bodyToTheEnd}, or {@link #fail}. */
    protected abstract void headEnded();

    /** A chunk of so many bytes comes next; a subclass may {@link #fail}. */
    protected abstract void chunkBegins(long bytes);

    /** Some of the body. */
    protected abstract void body(byte[] from, int at, int n);

    /** The message is whole. */
    protected abstract void ended();

    /** Reading stops before the next byte of a body, for as long as this is so. */
    protected boolean waits() {
        return false;
    }

    /**
     * Reads on, up to the end of a message, of the bytes, to a fault, or to a wait.
     *
     * @return the place behind the last byte read
     */
    public final int feed(byte[] in, int from, int to) {
        whole = false;
        int at = from;
        while (at < to && fault == 0 && !whole && !waits()) {
            if (part == Part.BODY || part == Part.CHUNK || part == Part.TO_THE_END) {
                int n = part == Part.TO_THE_END ? to - at : (int) Math.min(left, to - at);
                body(in, at, n);
                at += n;
                left -= n;
                if (left == 0 && part == Part.BODY) {
                    end();
                } else if (left == 0 && part == Part.CHUNK) {
                    part = Part.CHUNK_END;
                }
            } else {
                take(in[at++]);
            }
        }
        return at;
    }

    /** The last {@link #feed} ended behind a message. */
    public final boolean whole() {
        return whole;
    }

    /** The status that the bytes read so far deserve; 0 while they are well-formed. */
    public final int fault() {
        return fault;
    }

    /** Some of a message has come, and not all. */
    public final boolean inside() {
        return part != Part.START_LINE || afterCr || lineEnd > 0;
    }

    /** The bytes read so far deserve this status. */
    protected final void fail(int status) {
        fault = status;
    }

    /** A body of so many bytes follows; 0 for none. */
    protected final void bodyOf(long bytes) {
        left = bytes;
        if (bytes > 0) {
            part = Part.BODY;
        } else {
            end();
        }
    }

    /** A body in chunks follows. */
    protected final void bodyInChunks() {
        part = Part.CHUNK_SIZE;
    }

    /** A body follows that ends with its connection. */
    protected final void bodyToTheEnd() {
        left = Long.MAX_VALUE;
        part = Part.TO_THE_END;
    }

    /** The present line from one place to another, as text. */
    protected final String text(int from, int to) {
        return new String(line, from, to - from, StandardCharsets.ISO_8859_1);
    }

    /** The present line holds this lower-case text there, in any case. */
    protected final boolean is(String lower, int from, int to) {
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
    protected final boolean starts(String lower, int to) {
        return to >= lower.length() && is(lower, 0, lower.length());
    }

    /** A whole number of plain digits there; -1 where it is none of up to 18. */
    protected final long digits(int from, int to) {
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
    protected static boolean isToken(byte b) {
        return b >= '0' && b <= '9' || b >= 'A' && b <= 'Z' || b >= 'a' && b <= 'z' || b > ' ' && "!#$%&'*+-.^_`|~".indexOf(b) >= 0;
    }

    private void take(byte b) {
        if (++headBytes > Transport.MOST_HEADER_BYTES) {
            fault = HEAD_TOO_LONG;
        } else if (strict && (afterCr ? b != '\n' : b == '\n' || b < ' ' && b != '\t' && b != '\r' || b == 0x7f)) {
            // A bare CR or LF ends a line for some readers only; other such bytes stand in no head.
            fault = BAD;
        } else if (b == '\r') {
            afterCr = true;
        } else if (b == '\n') {
            afterCr = false;
            lineEnded();
            lineEnd = 0;
        } else if (part == Part.CHUNK_END) {
            fault = BAD; // the chunk is longer than it said
        } else {
            if (lineEnd == line.length) {
                line = Arrays.copyOf(line, Math.max(LINE_BYTES, 2 * lineEnd));
            }
            line[lineEnd++] = b;
        }
    }

    private void lineEnded() {
        switch (part) {
            case START_LINE -> {
                if (lineEnd > 0) {
                    part = Part.HEADERS;
                    startLine();
                } else if (strict) {
                    fault = BAD;
                }
            }
            case HEADERS, TRAILERS -> {
                if (lineEnd > 0) {
                    split(part == Part.TRAILERS);
                } else if (part == Part.TRAILERS) {
                    end();
                } else {
                    headEnded();
                }
            }
            case CHUNK_SIZE -> chunkSize();
            default -> part = Part.CHUNK_SIZE; // the empty line behind a chunk
        }
    }

    private void split(boolean trailer) {
        int nameEnd = 0;
        while (nameEnd < lineEnd && isToken(line[nameEnd])) {
            nameEnd++;
        }
        if (nameEnd == 0 || nameEnd == lineEnd || line[nameEnd] != ':') {
            fault = BAD; // a folded line, a space before the colon, or no header at all
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
        header(nameEnd, from, to, trailer);
    }

    private void chunkSize() {
        long size = 0;
        int i = 0;
        for (; i < lineEnd && Character.digit(line[i], HEX) >= 0; i++) {
            size = size * HEX + Character.digit(line[i], HEX);
        }
        int digits = i;
        while (i < lineEnd && (line[i] == ' ' || line[i] == '\t')) {
            i++;
        }
        if (digits == 0 || digits > MOST_CHUNK_DIGITS || i < lineEnd && line[i] != ';' || strict && i > digits && i == lineEnd
                || lineEnd > MOST_CHUNK_LINE) {
            fault = BAD;
            return;
        }
        headBytes = 0;
        left = size;
        part = size > 0 ? Part.CHUNK : Part.TRAILERS;
        if (size > 0) {
            chunkBegins(size);
        }
    }

    private void end() {
        whole = true;
        part = Part.START_LINE;
        headBytes = 0;
        if (line.length > MOST_KEPT) {
            line = EMPTY; // what one long line took is not kept for as long as the connection
        }
        ended();
    }
}
