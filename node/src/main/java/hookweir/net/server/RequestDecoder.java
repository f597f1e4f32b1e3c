package hookweir.net.server;

import hookweir.net.MessageReader;
import hookweir.net.Transport;
import java.util.Arrays;
import java.util.Set;

/**
 * Reads clients' requests, and strictly: one that two readers could frame in two ways may hide another in its body. One
 * for each connection; belongs to the selector.
 */
public final class RequestDecoder extends MessageReader {
    private static final byte[] NO_BODY = new byte[0];
    private static final int MAX_METHOD_CHARS = 32;
    private static final int VERSION_CHARS = 8;
    private static final int MAX_HEADERS = 64;
    private static final int INITIAL_CHUNKED_BODY_BYTES = 1024;
    /** Those that decide what a request is: each may come once, and not behind the body. */
    private static final String[] UNIQUE_HEADERS = {"content-length", "transfer-encoding", "host", "upgrade", "expect",
        "idempotency-key", "req-id", "req-kind", "req-deadline-ms", "req-retry", "req-cost", "req-extra", "req-owner"};
    private static final int IDEMPOTENCY_KEY_INDEX = Arrays.asList(UNIQUE_HEADERS).indexOf("idempotency-key");
    private static final int REQ_ID_INDEX = IDEMPOTENCY_KEY_INDEX + 1;
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST");

    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int LENGTH_REQUIRED = 411;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int EXPECTATION_FAILED = 417;
    private static final int HEADER_FIELDS_TOO_LARGE = 431;
    private static final int HTTP_VERSION_NOT_SUPPORTED = 505;

    private final boolean forClients;
    private int seenHeaders;
    private int headerCount;
    private boolean http10;
    private boolean hasConnectionClose;
    private boolean hasConnectionKeepAlive;
    private boolean isPost;
    private boolean expectsContinue;
    private long contentLength = -1;
    private boolean chunked;
    private byte[] body = NO_BODY;
    private int bodyBytes;
    private boolean awaitingAdmission;
    private String method;
    private String path;
    private String query;
    private final String[] uniqueHeaderValues = new String[UNIQUE_HEADERS.length];
    private String contentType;
    private InboundRequest request;

    /** For clients' requests. */
    public RequestDecoder() {
        this(true);
    }

    /** For requests of clients, or of operators, whose methods are looked at elsewhere. */
    public RequestDecoder(boolean forClients) {
        super(true);
        this.forClients = forClients;
    }

    /** The request that was whole last; it is no longer kept here. */
    public InboundRequest takeRequest() {
        InboundRequest taken = request;
        request = null;
        return taken;
    }

    /** So many bytes of a body were announced and wait for {@link #admitBody}; 0 where none are. */
    public int announcedBodyBytes() {
        return !awaitingAdmission ? 0 : chunked ? Transport.MAX_BODY_BYTES : (int) contentLength;
    }

    /** Room was found for the body that was announced. */
    public void admitBody() {
        awaitingAdmission = false;
        body = new byte[chunked ? INITIAL_CHUNKED_BODY_BYTES : (int) contentLength];
    }

    /** Its client waits for leave to send the body; asked once. */
    boolean takeExpectContinue() {
        boolean was = expectsContinue;
        expectsContinue = false;
        return was;
    }

    /** The connection takes no answer to a further request. */
    private boolean keepAlive() {
        return !hasConnectionClose && (!http10 || hasConnectionKeepAlive);
    }

    /** The class of the request whose body was announced, as sent; null where it named none. */
    String className() {
        return uniqueHeaderValues[REQ_ID_INDEX + 1];
    }

    /** The path of the request whose body was announced. */
    String path() {
        return path;
    }

    @Override
    protected boolean isPaused() {
        return awaitingAdmission;
    }

    @Override
    protected void onStartLine() {
        seenHeaders = 0;
        headerCount = 0;
        hasConnectionClose = false;
        hasConnectionKeepAlive = false;
        expectsContinue = false;
        contentLength = -1;
        chunked = false;
        bodyBytes = 0;
        contentType = null;
        Arrays.fill(uniqueHeaderValues, null);
        int methodEnd = 0;
        while (methodEnd < lineEnd && isTokenChar(line[methodEnd])) {
            methodEnd++;
        }
        int pathEnd = lineEnd - VERSION_CHARS - 1;
        if (methodEnd == 0 || methodEnd > MAX_METHOD_CHARS || pathEnd < methodEnd + 2 || line[methodEnd] != ' ' || line[methodEnd + 1] != '/'
                || line[pathEnd] != ' ' || !isHttpVersion(pathEnd + 1) || !isValidTarget(methodEnd + 1, pathEnd)) {
            fail(BAD_REQUEST);
            return;
        }
        method = text(0, methodEnd);
        if (line[lineEnd - 3] != '1') {
            fail(HTTP_VERSION_NOT_SUPPORTED);
        } else if (forClients && !METHODS.contains(method)) {
            fail(METHOD_NOT_ALLOWED);
        }
        http10 = line[lineEnd - 1] == '0';
        isPost = method.equals("POST");
        String target = text(methodEnd + 1, pathEnd);
        int mark = target.indexOf('?');
        path = mark < 0 ? target : target.substring(0, mark);
        query = mark < 0 || mark == target.length() - 1 ? null : target.substring(mark + 1);
    }

    private boolean isHttpVersion(int at) {
        return text(at, at + 5).equals("HTTP/") && line[at + 6] == '.' && line[at + 5] >= '0' && line[at + 5] <= '9'
            && line[at + 7] >= '0' && line[at + 7] <= '9';
    }

    private boolean isValidTarget(int from, int to) {
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
        if (++headerCount > MAX_HEADERS) {
            fail(HEADER_FIELDS_TOO_LARGE);
            return;
        }
        for (int i = 0; i < UNIQUE_HEADERS.length; i++) {
            if (lineEquals(UNIQUE_HEADERS[i], 0, nameEnd)) {
                if (trailer || (seenHeaders & 1 << i) != 0) {
                    fail(BAD_REQUEST); // of two lengths, ids or classes, which one counts?
                    return;
                }
                seenHeaders |= 1 << i;
                parseUniqueHeader(i, from, to);
                return;
            }
        }
        if (trailer && lineStartsWith("req-", nameEnd)) {
            fail(BAD_REQUEST);
        } else if (lineEquals("connection", 0, nameEnd)) {
            parseConnectionHeader(from, to);
        } else if (lineEquals("content-type", 0, nameEnd)) {
            contentType = text(from, to);
        }
    }

    private void parseUniqueHeader(int index, int from, int to) {
        switch (UNIQUE_HEADERS[index]) {
            case "content-length" -> {
                contentLength = parseDigits(from, to);
                if (contentLength < 0) {
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
                expectsContinue = lineEquals("100-continue", from, to);
                if (!expectsContinue) {
                    fail(EXPECTATION_FAILED);
                }
            }
            // RFC 9110 7.8 lets a server pass over an offer to go on by another protocol: this one's framing stands.
            case "host", "upgrade" -> { }
            default -> uniqueHeaderValues[index] = text(from, to);
        }
    }

    private void parseConnectionHeader(int from, int to) {
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
            hasConnectionClose |= lineEquals("close", first, last);
            hasConnectionKeepAlive |= lineEquals("keep-alive", first, last);
            at = end + 1;
        }
    }

    @Override
    protected void onHeadEnd() {
        boolean hasHost = (seenHeaders & 1 << 2) != 0;
        if (chunked && (contentLength >= 0 || http10) || !http10 && !hasHost) {
            fail(BAD_REQUEST);
        } else if (contentLength > Transport.MAX_BODY_BYTES) {
            fail(CONTENT_TOO_LARGE);
        } else if (chunked) {
            awaitingAdmission = true;
            expectChunkedBody();
        } else if (forClients && isPost && contentLength < 0) {
            fail(LENGTH_REQUIRED); // whoever left the length out may have left the job out too
        } else {
            awaitingAdmission = contentLength > 0;
            expectBody(Math.max(0, contentLength));
        }
    }

    @Override
    protected void onChunkStart(long bytes) {
        if (bodyBytes + bytes > Transport.MAX_BODY_BYTES) {
            fail(CONTENT_TOO_LARGE);
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
        InboundRequest.Headers headers = new InboundRequest.Headers(uniqueHeaderValues[REQ_ID_INDEX], uniqueHeaderValues[REQ_ID_INDEX + 1], uniqueHeaderValues[REQ_ID_INDEX + 2], uniqueHeaderValues[REQ_ID_INDEX + 3],
            uniqueHeaderValues[REQ_ID_INDEX + 4], uniqueHeaderValues[REQ_ID_INDEX + 5], uniqueHeaderValues[REQ_ID_INDEX + 6], uniqueHeaderValues[IDEMPOTENCY_KEY_INDEX], contentType);
        request = new InboundRequest(method, path, query, headers, bodyBytes == body.length ? body : Arrays.copyOf(body, bodyBytes),
            keepAlive(), http10);
        body = NO_BODY;
        bodyBytes = 0;
    }
}
