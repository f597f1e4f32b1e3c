package hookweir.net;

/** Reads answers of workers and of discovery. One for each connection; belongs to the selector. */
final class AnswerReader extends MessageReader {
    private static final int FIRST_FINAL = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int STATUS_AT = 9;
    private static final int STATUS_TO = 12;

    private int status;
    private boolean oldVersion;
    private boolean closes;
    private boolean keeps;
    private boolean declined;
    private String load;
    private long length = -1;
    private boolean chunked;
    private boolean framed;
    private boolean headDone;
    private byte[] got = new byte[0];

    AnswerReader() {
        super(false);
    }

    /** What came of an answer since the last call; null where its head is not whole. */
    Link.Piece piece() {
        if (!headDone) {
            return null;
        }
        boolean keepAlive = framed && !closes && (!oldVersion || keeps);
        Link.Piece piece = new Link.Piece(status, declined, load, keepAlive, got, whole());
        got = new byte[0];
        headDone = !whole();
        return piece;
    }

    /** Its end does not come with its connection's. */
    boolean framed() {
        return framed;
    }

    @Override
    protected void startLine() {
        boolean http = starts("http/1.", lineEnd) && lineEnd >= STATUS_TO && (lineEnd == STATUS_TO || line[STATUS_TO] == ' ');
        status = http ? (int) digits(STATUS_AT, STATUS_TO) : -1;
        oldVersion = http && line[STATUS_AT - 2] == '0';
        if (status < 100) {
            fail(BAD);
        }
        closes = false;
        keeps = false;
        declined = false;
        load = null;
        length = -1;
        chunked = false;
    }

    @Override
    protected void header(int nameEnd, int from, int to, boolean trailer) {
        if (trailer) {
            return;
        }
        if (is("content-length", 0, nameEnd)) {
            long told = digits(from, to);
            if (told < 0 || length >= 0 && told != length) {
                fail(BAD);
            }
            length = told;
        } else if (is("transfer-encoding", 0, nameEnd)) {
            chunked = is("chunked", from, to);
            if (!chunked) {
                fail(BAD);
            }
        } else if (is("connection", 0, nameEnd)) {
            closes |= is("close", from, to);
            keeps |= is("keep-alive", from, to);
        } else if (is("srv-declined", 0, nameEnd)) {
            declined = is("1", from, to);
        } else if (is("srv-load", 0, nameEnd)) {
            load = text(from, to);
        }
    }

    @Override
    protected void headEnded() {
        headDone = status >= FIRST_FINAL;
        framed = true;
        if (!headDone || status == NO_CONTENT || status == NOT_MODIFIED) {
            bodyOf(0);
        } else if (chunked) {
            bodyInChunks();
        } else if (length >= 0) {
            bodyOf(length);
        } else {
            framed = false;
            bodyToTheEnd();
        }
    }

    @Override
    protected void chunkBegins(long bytes) {
    }

    @Override
    protected void body(byte[] from, int at, int n) {
        int had = got.length;
        got = java.util.Arrays.copyOf(got, had + n);
        System.arraycopy(from, at, got, had, n);
    }

    @Override
    protected void ended() {
    }
}
