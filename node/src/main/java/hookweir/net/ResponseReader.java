package hookweir.net;

/** Parses responses of workers and of the list service. One per connection; used only on the selector thread. */
final class ResponseReader extends MessageReader {
    private static final int MIN_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int STATUS_START = 9;
    private static final int STATUS_END = 12;

    private int status;
    private boolean http10;
    private boolean connectionClose;
    private boolean connectionKeepAlive;
    private boolean declined;
    private String load;
    private long contentLength = -1;
    private boolean chunked;
    private boolean framed;
    private boolean headComplete;
    private byte[] bodyBytes = new byte[0];

    ResponseReader() {
        super(false);
    }

    /** Returns the part of the response received since the last call; null if the head is not complete. */
    OutboundConnection.ResponsePart takePart() {
        if (!headComplete) {
            return null;
        }
        boolean keepAlive = framed && !connectionClose && (!http10 || connectionKeepAlive);
        OutboundConnection.ResponsePart part = new OutboundConnection.ResponsePart(status, declined, load, keepAlive, bodyBytes, isComplete());
        bodyBytes = new byte[0];
        headComplete = !isComplete();
        return part;
    }

    /** Returns whether the response has a known length, so that it does not end with its connection. */
    boolean framed() {
        return framed;
    }

    @Override
    protected void onStartLine() {
        boolean http = lineStartsWith("http/1.", lineEnd) && lineEnd >= STATUS_END && (lineEnd == STATUS_END || line[STATUS_END] == ' ');
        status = http ? (int) parseDigits(STATUS_START, STATUS_END) : -1;
        http10 = http && line[STATUS_START - 2] == '0';
        if (status < 100) {
            fail(BAD_REQUEST);
        }
        connectionClose = false;
        connectionKeepAlive = false;
        declined = false;
        load = null;
        contentLength = -1;
        chunked = false;
    }

    @Override
    protected void onHeader(int nameEnd, int from, int to, boolean trailer) {
        if (trailer) {
            return;
        }
        if (lineEquals("content-length", 0, nameEnd)) {
            long value = parseDigits(from, to);
            if (value < 0 || contentLength >= 0 && value != contentLength) {
                fail(BAD_REQUEST);
            }
            contentLength = value;
        } else if (lineEquals("transfer-encoding", 0, nameEnd)) {
            chunked = lineEquals("chunked", from, to);
            if (!chunked) {
                fail(BAD_REQUEST);
            }
        } else if (lineEquals("connection", 0, nameEnd)) {
            connectionClose |= lineEquals("close", from, to);
            connectionKeepAlive |= lineEquals("keep-alive", from, to);
        } else if (lineEquals("srv-declined", 0, nameEnd)) {
            declined = lineEquals("1", from, to);
        } else if (lineEquals("srv-load", 0, nameEnd)) {
            load = text(from, to);
        }
    }

    @Override
    protected void onHeadEnd() {
        headComplete = status >= MIN_FINAL_STATUS;
        framed = true;
        if (!headComplete || status == NO_CONTENT || status == NOT_MODIFIED) {
            expectBody(0);
        } else if (chunked) {
            expectChunkedBody();
        } else if (contentLength >= 0) {
            expectBody(contentLength);
        } else {
            framed = false;
            expectBodyUntilClose();
        }
    }

    @Override
    protected void onChunkStart(long bytes) {
    }

    @Override
    protected void onBody(byte[] from, int at, int count) {
        int oldLength = bodyBytes.length;
        bodyBytes = java.util.Arrays.copyOf(bodyBytes, oldLength + count);
        System.arraycopy(from, at, bodyBytes, oldLength, count);
    }

    @Override
    protected void onMessageEnd() {
    }
}
