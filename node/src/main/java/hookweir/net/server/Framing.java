package hookweir.net.server;

import hookweir.net.MessageReader;
import hookweir.net.Transport;
import java.util.Arrays;
import java.util.Set;

/**
 * Reads clients' requests, and strictly: one that two readers could frame in two ways may hide another in its body. One
 * for each connection; belongs to the selector.
 */
public final class Framing extends MessageReader {
    private static final byte[] NOTHING = new byte[0];
    private static final int MOST_METHOD_CHARS = 32;
    private static final int VERSION_CHARS = 8;
    private static final int MOST_HEADERS = 64;
    private static final int FIRST_CHUNKED = 1024;
    /** Those that decide what a request is: each may come once, and not behind the body. */
    private static final String[] DECIDING = {"content-length", "transfer-encoding", "host", "upgrade", "expect",
        "idempotency-key", "req-id", "req-kind", "req-deadline-ms", "req-retry", "req-cost", "req-extra", "req-owner"};
    private static final int KEY = Arrays.asList(DECIDING).indexOf("idempotency-key");
    private static final int ID = KEY + 1;
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST");

    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int LENGTH_REQUIRED = 411;
    private static final int TOO_LONG = 413;
    private static final int EXPECTATION_FAILED = 417;
    private static final int HEAD_TOO_LONG = 431;
    private static final int NO_SUCH_VERSION = 505;

    private final boolean ofClients;
    private int seen;
    private int headers;
    private boolean oldVersion;
    private boolean closes;
    private boolean keeps;
    private boolean posts;
    private boolean expects;
    private long length = -1;
    private boolean chunked;
    private byte[] body = NOTHING;
    private int bodyBytes;
    private boolean waits;
    private String method;
    private String path;
    private String query;
    private final String[] deciding = new String[DECIDING.length];
    private String contentType;
    private IngressRequest request;

    /** For clients' requests. */
    public Framing() {
        this(true);
    }

    /** For requests of clients, or of operators, whose methods are looked at elsewhere. */
    public Framing(boolean ofClients) {
        super(true);
        this.ofClients = ofClients;
    }

    /** The request that was whole last; it is no longer kept here. */
    public IngressRequest take() {
        IngressRequest taken = request;
        request = null;
        return taken;
    }

    /** So many bytes of a body were announced and wait for {@link #admit}; 0 where none are. */
    public int announced() {
        return !waits ? 0 : chunked ? Transport.MAX_BODY_BYTES : (int) length;
    }

    /** Room was found for the body that was announced. */
    public void admit() {
        waits = false;
        body = new byte[chunked ? FIRST_CHUNKED : (int) length];
    }

    /** Its client waits for leave to send the body; asked once. */
    boolean takeExpectation() {
        boolean was = expects;
        expects = false;
        return was;
    }

    /** The connection takes no answer to a further request. */
    private boolean keepAlive() {
        return !closes && (!oldVersion || keeps);
    }

    /** The class of the request whose body was announced, as sent; null where it named none. */
    String kind() {
        return deciding[ID + 1];
    }

    /** The path of the request whose body was announced. */
    String path() {
        return path;
    }

    @Override
    protected boolean isPaused() {
        return waits;
    }

    @Override
    protected void onStartLine() {
        seen = 0;
        headers = 0;
        closes = false;
        keeps = false;
        expects = false;
        length = -1;
        chunked = false;
        bodyBytes = 0;
        contentType = null;
        Arrays.fill(deciding, null);
        int methodEnd = 0;
        while (methodEnd < lineEnd && isTokenChar(line[methodEnd])) {
            methodEnd++;
        }
        int pathEnd = lineEnd - VERSION_CHARS - 1;
        if (methodEnd == 0 || methodEnd > MOST_METHOD_CHARS || pathEnd < methodEnd + 2 || line[methodEnd] != ' ' || line[methodEnd + 1] != '/'
                || line[pathEnd] != ' ' || !version(pathEnd + 1) || !plain(methodEnd + 1, pathEnd)) {
            fail(BAD_REQUEST);
            return;
        }
        method = text(0, methodEnd);
        if (line[lineEnd - 3] != '1') {
            fail(NO_SUCH_VERSION);
        } else if (ofClients && !METHODS.contains(method)) {
            fail(METHOD_NOT_ALLOWED);
        }
        oldVersion = line[lineEnd - 1] == '0';
        posts = method.equals("POST");
        String target = text(methodEnd + 1, pathEnd);
        int mark = target.indexOf('?');
        path = mark < 0 ? target : target.substring(0, mark);
        query = mark < 0 || mark == target.length() - 1 ? null : target.substring(mark + 1);
    }

    private boolean version(int at) {
        return text(at, at + 5).equals("HTTP/") && line[at + 6] == '.' && line[at + 5] >= '0' && line[at + 5] <= '9'
            && line[at + 7] >= '0' && line[at + 7] <= '9';
    }

    private boolean plain(int from, int to) {
        for (int i = from; i < to; i++) {
            byte b = line[i];
            boolean letter = b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9';
            if (b == '%') {
                if (i + 2 >= to || Character.digit(line[i + 1], 16) < 0 || Character.digit(line[i + 2], 16) < 0) {
                    return false;
                }
                i += 2;
            } else if (!letter && (b <= ' ' || "._~!$&'()*+,;=:@/?-".indexOf(b) < 0)) {
                return false;
            }
        }
        return true;
    }

    @Override
    protected void onHeader(int nameEnd, int from, int to, boolean trailer) {
        if (++headers > MOST_HEADERS) {
            fail(HEAD_TOO_LONG);
            return;
        }
        for (int i = 0; i < DECIDING.length; i++) {
            if (lineEquals(DECIDING[i], 0, nameEnd)) {
                if (trailer || (seen & 1 << i) != 0) {
                    fail(BAD_REQUEST); // of two lengths, ids or classes, which one counts?
                    return;
                }
                seen |= 1 << i;
                decide(i, from, to);
                return;
            }
        }
        if (trailer && lineStartsWith("req-", nameEnd)) {
            fail(BAD_REQUEST);
        } else if (lineEquals("connection", 0, nameEnd)) {
            connection(from, to);
        } else if (lineEquals("content-type", 0, nameEnd)) {
            contentType = text(from, to);
        }
    }

    private void decide(int which, int from, int to) {
        switch (DECIDING[which]) {
            case "content-length" -> {
                length = parseDigits(from, to);
                if (length < 0) {
                    fail(BAD_REQUEST);
                }
            }
            case "transfer-encoding" -> {
                chunked = lineEquals("chunked", from, to);
                if (!chunked) {
                    fail(BAD_REQUEST);
                }
            }
            case "expect" -> {
                expects = lineEquals("100-continue", from, to);
                if (!expects) {
                    fail(EXPECTATION_FAILED);
                }
            }
            // RFC 9110 7.8 lets a server pass over an offer to go on by another protocol: this one's framing stands.
            case "host", "upgrade" -> { }
            default -> deciding[which] = text(from, to);
        }
    }

    private void connection(int from, int to) {
        int at = from;
        while (at < to) {
            int end = at;
            while (end < to && line[end] != ',') {
                end++;
            }
            int first = at;
            int last = end;
            while (first < last && (line[first] == ' ' || line[first] == '\t')) {
                first++;
            }
            while (last > first && (line[last - 1] == ' ' || line[last - 1] == '\t')) {
                last--;
            }
            closes |= lineEquals("close", first, last);
            keeps |= lineEquals("keep-alive", first, last);
            at = end + 1;
        }
    }

    @Override
    protected void onHeadEnd() {
        boolean host = (seen & 1 << 2) != 0;
        if (chunked && (length >= 0 || oldVersion) || !oldVersion && !host) {
            fail(BAD_REQUEST);
        } else if (length > Transport.MAX_BODY_BYTES) {
            fail(TOO_LONG);
        } else if (chunked) {
            waits = true;
            expectChunkedBody();
        } else if (ofClients && posts && length < 0) {
            fail(LENGTH_REQUIRED); // whoever left the length out may have left the job out too
        } else {
            waits = length > 0;
            expectBody(Math.max(0, length));
        }
    }

    @Override
    protected void onChunkStart(long bytes) {
        if (bodyBytes + bytes > Transport.MAX_BODY_BYTES) {
            fail(TOO_LONG);
        }
    }

    @Override
    protected void onBody(byte[] from, int at, int n) {
        if (bodyBytes + n > body.length) {
            body = Arrays.copyOf(body, Math.min(Transport.MAX_BODY_BYTES, Math.max(2 * body.length, bodyBytes + n)));
        }
        System.arraycopy(from, at, body, bodyBytes, n);
        bodyBytes += n;
    }

    @Override
    protected void onMessageEnd() {
        IngressRequest.Headers told = new IngressRequest.Headers(deciding[ID], deciding[ID + 1], deciding[ID + 2], deciding[ID + 3],
            deciding[ID + 4], deciding[ID + 5], deciding[ID + 6], deciding[KEY], contentType);
        request = new IngressRequest(method, path, query, told, bodyBytes == body.length ? body : Arrays.copyOf(body, bodyBytes),
            keepAlive(), oldVersion);
        body = NOTHING;
        bodyBytes = 0;
    }
}
