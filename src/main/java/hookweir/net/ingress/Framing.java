package hookweir.net.ingress;

import hookweir.net.Transport;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.glassfish.grizzly.Buffer;

/**
 * Where a client's messages begin and end, read strictly and before the codec sees a byte: a request that two
 * readers could frame in two ways may hide another in its body. One for each connection; belongs to the selector.
 */
public final class Framing {
    private static final Pattern START = Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}) "
        + "/(?:[A-Za-z0-9._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})* (HTTP/[0-9]\\.[0-9])");
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST");
    private static final Pattern HEADER = Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*(.*?)[ \\t]*");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final Pattern CHUNK = Pattern.compile("([0-9A-Fa-f]{1,8})(?:[ \\t]*;.*)?");
    private static final int MOST_HEADERS = 64;
    private static final int MOST_CHUNK_LINE = 256;

    private static final int BAD = 400;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int LENGTH_REQUIRED = 411;
    private static final int TOO_LONG = 413;
    private static final int EXPECTATION_FAILED = 417;
    private static final int HEAD_TOO_LONG = 431;
    private static final int NO_SUCH_VERSION = 505;

    private enum Part { START_LINE, HEADERS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS }

    private final StringBuilder line = new StringBuilder();
    private final Set<String> single = new HashSet<>();
    private Part part = Part.START_LINE;
    private boolean afterCr;
    private int headBytes;
    private int headers;
    private boolean oldVersion;
    private boolean posts;
    private long length = -1;
    private boolean chunked;
    private long left;
    private long bodyBytes;
    private int fault;
    private boolean whole;

    /**
     * Reads on, up to the end of a message, of the buffer or up to a fault; the buffer is not moved.
     *
     * @return the place behind the last byte read
     */
    public int scan(Buffer in) {
        whole = false;
        int at = in.position();
        while (at < in.limit() && fault == 0 && !whole) {
            if (part == Part.BODY || part == Part.CHUNK) {
                int n = (int) Math.min(left, in.limit() - at);
                at += n;
                left -= n;
                if (left == 0 && part == Part.BODY) {
                    end();
                } else if (left == 0) {
                    part = Part.CHUNK_END;
                }
            } else {
                take(in.get(at++));
            }
        }
        return at;
    }

    /** The scan ended behind a message. */
    public boolean whole() {
        return whole;
    }

    /** The status that the bytes read so far deserve; 0 while they are well-formed. */
    public int fault() {
        return fault;
    }

    /** Some of a message has come, and not all. */
    public boolean inside() {
        return part != Part.START_LINE || afterCr || line.length() > 0;
    }

    private void take(byte b) {
        if (++headBytes > Transport.MOST_HEADER_BYTES) {
            fault = HEAD_TOO_LONG;
        } else if (afterCr ? b != '\n' : b == '\n' || b < ' ' && b != '\t' && b != '\r' || b == 0x7f) {
            // A bare CR or LF ends a line for some readers only; other such bytes stand in no head.
            fault = BAD;
        } else if (b == '\r') {
            afterCr = true;
        } else if (b == '\n') {
            afterCr = false;
            String text = line.toString();
            line.setLength(0);
            lineEnded(text);
        } else if (part == Part.CHUNK_END) {
            fault = BAD; // the chunk is longer than it said
        } else {
            line.append((char) b);
        }
    }

    private void lineEnded(String text) {
        switch (part) {
            case START_LINE -> startLine(text);
            case HEADERS, TRAILERS -> {
                if (!text.isEmpty()) {
                    header(text);
                } else if (part == Part.TRAILERS) {
                    end();
                } else {
                    headEnded();
                }
            }
            case CHUNK_SIZE -> chunkSize(text);
            default -> part = Part.CHUNK_SIZE; // the empty line behind a chunk
        }
    }

    private void startLine(String text) {
        Matcher m = START.matcher(text);
        if (!m.matches()) {
            fault = BAD;
        } else if (!m.group(2).startsWith("HTTP/1.")) {
            fault = NO_SUCH_VERSION;
        } else if (!METHODS.contains(m.group(1))) {
            fault = METHOD_NOT_ALLOWED;
        }
        oldVersion = text.endsWith("1.0");
        posts = text.startsWith("POST ");
        part = Part.HEADERS;
    }

    private void header(String text) {
        Matcher m = HEADER.matcher(text);
        if (!m.matches()) {
            fault = BAD; // a folded line, a space before the colon, or no header at all
            return;
        }
        if (++headers > MOST_HEADERS) {
            fault = HEAD_TOO_LONG;
            return;
        }
        String name = m.group(1).toLowerCase(Locale.ROOT);
        boolean decides = switch (name) {
            case "content-length", "transfer-encoding", "host", "idempotency-key", "upgrade", "expect" -> true;
            default -> name.startsWith("req-");
        };
        if (decides && (part == Part.TRAILERS || !single.add(name))) {
            fault = BAD; // of two lengths, ids or classes, which one counts?
            return;
        }
        String value = m.group(2);
        switch (name) {
            case "content-length" -> {
                if (!LENGTH.matcher(value).matches()) {
                    fault = BAD;
                } else {
                    length = Long.parseLong(value);
                }
            }
            case "transfer-encoding" -> {
                chunked = value.equalsIgnoreCase("chunked");
                fault = chunked ? 0 : BAD;
            }
            case "upgrade" -> fault = BAD; // the codec would pass on all that follows as it comes
            case "expect" -> fault = value.equalsIgnoreCase("100-continue") ? 0 : EXPECTATION_FAILED;
            default -> { }
        }
    }

    private void headEnded() {
        if (chunked && (length >= 0 || oldVersion) || !oldVersion && !single.contains("host")) {
            fault = BAD;
        } else if (length > Transport.MOST_BODY_BYTES) {
            fault = TOO_LONG;
        } else if (chunked) {
            part = Part.CHUNK_SIZE;
        } else if (posts && length < 0) {
            fault = LENGTH_REQUIRED; // whoever left the length out may have left the job out too
        } else if (length > 0) {
            part = Part.BODY;
            left = length;
        } else {
            end();
        }
    }

    private void chunkSize(String text) {
        Matcher m = CHUNK.matcher(text);
        if (!m.matches() || text.length() > MOST_CHUNK_LINE) {
            fault = BAD;
            return;
        }
        headBytes = 0;
        left = Long.parseLong(m.group(1), 16);
        bodyBytes += left;
        if (bodyBytes > Transport.MOST_BODY_BYTES) {
            fault = TOO_LONG;
        }
        part = left > 0 ? Part.CHUNK : Part.TRAILERS;
    }

    private void end() {
        whole = true;
        part = Part.START_LINE;
        single.clear();
        headBytes = 0;
        headers = 0;
        length = -1;
        bodyBytes = 0;
        chunked = false;
    }
}
