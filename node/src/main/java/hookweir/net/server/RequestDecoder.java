package hookweir.net.server;

import hookweir.net.MessageReader;
import hookweir.net.Transport;
import java.util.Arrays;
import java.util.Set;

/**
 * Decodes HTTP/1.1 requests, strictly: a request that two parsers could frame differently may hide a second request in its
 * body (request smuggling). One instance per connection; runs on the selector.
 */
public final class RequestDecoder extends MessageReader {
    private static final byte[] NO_BODY = new byte[0];
    private static final int MAX_METHOD_CHARS = 32;
    private static final int VERSION_CHARS = 8;
    private static final int MAX_HEADERS = 64;
    private static final int INITIAL_CHUNKED_BODY_BYTES = 1024;
    /** Headers that determine the meaning of a request. Each may occur once, and not in the trailer. */
    private static final String[] UNIQUE_HEADERS = {"content-length", "transfer-encoding", "host", "upgrade", "expect",
        "idempotency-key", "req-id", "req-kind", "req-deadline-ms", "req-retry", "req-cost", "req-extra", "req-owner"};
    /** The headers behind this one are in the order of the components of {@link InboundRequest.Headers}. */
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
    /** Bit i is set once {@link #UNIQUE_HEADERS}[i] was seen. */
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

    /** Creates a decoder for clients' requests. */
    public RequestDecoder() {
        this(true);
    }

    /**
     * Creates a decoder. Requests of clients are restricted to certain methods, and a POST needs a length; otherwise (for
     * operators) the caller checks the method.
     */
    public RequestDecoder(boolean forClients) {
        super(true);
        this.forClients = forClients;
    }

    /** Returns the last complete request and forgets it. */
    public InboundRequest takeRequest() {
        InboundRequest taken = request;
        request = null;
        return taken;
    }

    /** The size of an announced body that waits for {@link #admitBody}, or 0. For a chunked body it is the maximum size. */
    public int announcedBodyBytes() {
        return !awaitingAdmission ? 0 : chunked ? Transport.MAX_BODY_BYTES : (int) contentLength;
    }

    /** Allows the announced body to be read, once memory was reserved for it. */
    public void admitBody() {
        awaitingAdmission = false;
        body = new byte[chunked ? INITIAL_CHUNKED_BODY_BYTES : (int) contentLength];
    }

    /** Whether the client waits for 100 Continue before it sends the body. Resets the flag. */
    boolean takeExpectContinue() {
        boolean was = expectsContinue;
        expectsContinue = false;
        return was;
    }

    /** Whether the connection stays open after the response. */
    private boolean keepAlive() {
        return !hasConnectionClose && (!http10 || hasConnectionKeepAlive);
    }

    /** The class of the request whose body was announced, as sent, or null. */
    String className() {
        return uniqueHeaderValues[REQ_ID_INDEX + 1];
    }

    /** The Req-Deadline-Ms header of the request whose body was announced, as sent, or null. */
    String deadlineMs() {
        return uniqueHeaderValues[REQ_ID_INDEX + 2];
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
                    fail(BAD_REQUEST); // with two lengths, ids or classes it is ambiguous which one counts
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
            // RFC 9110, section 7.8 allows a server to ignore an Upgrade header; the request is framed as HTTP/1.1.
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
            fail(LENGTH_REQUIRED); // a client that omitted the length may have omitted the job too
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
        InboundRequest.Headers headers = new InboundRequest.Headers(uniqueHeaderValues[REQ_ID_INDEX], uniqueHeaderValues[REQ_ID_INDEX + 1],
            uniqueHeaderValues[REQ_ID_INDEX + 2], uniqueHeaderValues[REQ_ID_INDEX + 3], uniqueHeaderValues[REQ_ID_INDEX + 4],
            uniqueHeaderValues[REQ_ID_INDEX + 5], uniqueHeaderValues[REQ_ID_INDEX + 6], uniqueHeaderValues[IDEMPOTENCY_KEY_INDEX], contentType);
        request = new InboundRequest(method, path, query, headers, bodyBytes == body.length ? body : Arrays.copyOf(body, bodyBytes),
            keepAlive(), http10, heldHeadBytes());
        body = NO_BODY;
        bodyBytes = 0;
    }
}
