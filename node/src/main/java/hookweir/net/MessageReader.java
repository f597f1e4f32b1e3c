package hookweir.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * An incremental parser for HTTP/1.1 messages (RFC 9112), with the parts that requests and responses share: lines, bodies with a
 * length or in chunks, and the end of a message. The input may be split at any byte. Bodies are not copied and lines are not
 * turned into objects; a subclass inspects the line in place. One per connection; used only on the selector thread.
 */
public abstract class MessageReader {
    private static final byte[] EMPTY = new byte[0];
    private static final int INITIAL_LINE_BYTES = 256;
    private static final int MAX_RETAINED_LINE_BYTES = 512;
    private static final int MAX_CHUNK_LINE_BYTES = 256;
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;
    private static final int HEX = 16;
    /** 400: the message has no framing or conflicting framing. */
    protected static final int BAD_REQUEST = 400;
    private static final int HEADER_FIELDS_TOO_LARGE = 431;

    private enum Part { START_LINE, HEADERS, BODY, UNTIL_CLOSE, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS }

    private final boolean strict;
    /** The current line, up to {@link #lineEnd}. */
    protected byte[] line = EMPTY;
    protected int lineEnd;
    private Part part = Part.START_LINE;
    private boolean afterCr;
    /** Bytes of lines since the start of the message or the last chunk. */
    private int lineBytes;
    /** Bytes of the message's start line and headers read so far. */
    private int headBytes;
    private long remaining;
    private int fault;
    private boolean complete;

    /** A strict reader accepts only messages that all parsers frame alike; a lenient one also accepts bare line feeds. */
    protected MessageReader(boolean strict) {
        this.strict = strict;
    }

    /** Called for the start line; empty lines before it are skipped, or rejected by a strict reader. */
    protected abstract void onStartLine();

    /** Called for each header field or, if trailer is set, trailer field: the name ends at nameEnd, the value is [from, to). */
    protected abstract void onHeader(int nameEnd, int from, int to, boolean trailer);

    /**
     * Called when the head is complete. Has to call {@link #expectBody}, {@link #expectChunkedBody}, {@link #expectBodyUntilClose} or
     * {@link #fail}.
     */
    protected abstract void onHeadEnd();

    /** Called before a chunk of the given size; a subclass may {@link #fail}. */
    protected abstract void onChunkStart(long bytes);

    /** Called with a part of the body. */
    protected abstract void onBody(byte[] from, int at, int count);

    /** Called when the message is complete. */
    protected abstract void onMessageEnd();

    /** Returns whether reading has to stop before the next byte of a body. */
    protected boolean isPaused() {
        return false;
    }

    /**
     * Reads until the end of a message, the end of the input, a syntax error or a pause.
     *
     * @return the index after the last byte read
     */
    public final int feed(byte[] in, int from, int to) {
        complete = false;
        int at = from;
        while (at < to && fault == 0 && !complete && !isPaused()) {
            if (part == Part.BODY || part == Part.CHUNK || part == Part.UNTIL_CLOSE) {
                int count = part == Part.UNTIL_CLOSE ? to - at : (int) Math.min(remaining, to - at);
                onBody(in, at, count);
                at += count;
                remaining -= count;
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

    /** Returns whether the last {@link #feed} stopped at the end of a message. */
    public final boolean isComplete() {
        return complete;
    }

    /** Returns the HTTP status of the syntax error found so far; 0 if there is none. */
    public final int fault() {
        return fault;
    }

    /** Returns whether a message has been read partly. */
    public final boolean isMidMessage() {
        return part != Part.START_LINE || afterCr || lineEnd > 0;
    }

    /** Records a syntax error with this HTTP status. */
    protected final void fail(int status) {
        fault = status;
    }

    /** Declares that a body of this length follows; 0 for none. */
    protected final void expectBody(long bytes) {
        remaining = bytes;
        if (bytes > 0) {
            part = Part.BODY;
        } else {
            endMessage();
        }
    }

    /** Declares that a chunked body follows. */
    protected final void expectChunkedBody() {
        part = Part.CHUNK_SIZE;
    }

    /** Declares that a body follows that ends when the connection closes. */
    protected final void expectBodyUntilClose() {
        remaining = Long.MAX_VALUE;
        part = Part.UNTIL_CLOSE;
    }

    /** Returns part of the current line as text. */
    protected final String text(int from, int to) {
        return new String(line, from, to - from, StandardCharsets.ISO_8859_1);
    }

    /** Returns whether part of the current line equals the lower-case text, ignoring case. */
    protected final boolean lineEquals(String lowerCase, int from, int to) {
        if (to - from != lowerCase.length()) {
            return false;
        }
        for (int i = 0; i < lowerCase.length(); i++) {
            byte b = line[from + i];
            if ((b >= 'A' && b <= 'Z' ? b + 32 : b) != lowerCase.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the current line starts with the lower-case text, ignoring case. */
    protected final boolean lineStartsWith(String lowerCase, int to) {
        return to >= lowerCase.length() && lineEquals(lowerCase, 0, lowerCase.length());
    }

    /** Parses a number of 1 to 18 decimal digits; -1 if the text is not one. */
    protected final long parseDigits(int from, int to) {
        if (to <= from || to - from > 18) {
            return -1;
        }
        long value = 0;
        for (int i = from; i < to; i++) {
            if (line[i] < '0' || line[i] > '9') {
                return -1;
            }
            value = 10 * value + line[i] - '0';
        }
        return value;
    }

    /** Returns whether the byte is a token character (RFC 9110 5.6.2). */
    protected static boolean isTokenChar(byte b) {
        return b >= '0' && b <= '9' || b >= 'A' && b <= 'Z' || b >= 'a' && b <= 'z' || b > ' ' && "!#$%&'*+-.^_`|~".indexOf(b) >= 0;
    }

    /** Returns how many bytes of the current message's head, or of a line behind it, are held. */
    public final int heldHeadBytes() {
        return isInHead() ? headBytes : headBytes + lineEnd;
    }

    private boolean isInHead() {
        return part == Part.START_LINE || part == Part.HEADERS;
    }

    private void readLineByte(byte b) {
        headBytes += isInHead() ? 1 : 0;
        if (++lineBytes > Transport.MAX_HEADER_BYTES) {
            fault = HEADER_FIELDS_TOO_LARGE;
        } else if (strict && (afterCr ? b != '\n' : b == '\n' || b < ' ' && b != '\t' && b != '\r' || b == 0x7f)) {
            // Some parsers end a line at a bare CR or LF and others do not; other control characters are not allowed in a head.
            fault = BAD_REQUEST;
        } else if (b == '\r') {
            afterCr = true;
        } else if (b == '\n') {
            afterCr = false;
            onLineEnd();
            lineEnd = 0;
        } else if (part == Part.CHUNK_END) {
            fault = BAD_REQUEST; // the chunk is longer than announced
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
            default -> part = Part.CHUNK_SIZE; // the empty line after a chunk
        }
    }

    private void parseHeader(boolean trailer) {
        int nameEnd = 0;
        while (nameEnd < lineEnd && isTokenChar(line[nameEnd])) {
            nameEnd++;
        }
        if (nameEnd == 0 || nameEnd == lineEnd || line[nameEnd] != ':') {
            fault = BAD_REQUEST; // a folded line, a space before the colon, or not a header field
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
        lineBytes = 0;
        remaining = size;
        part = size > 0 ? Part.CHUNK : Part.TRAILERS;
        if (size > 0) {
            onChunkStart(size);
        }
    }

    private void endMessage() {
        complete = true;
        part = Part.START_LINE;
        lineBytes = 0;
        if (line.length > MAX_RETAINED_LINE_BYTES) {
            line = EMPTY; // don't retain the memory of one long line for the lifetime of the connection
        }
        onMessageEnd();
        headBytes = 0;
    }
}
