package hookweir.lab.lives;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** What a client sends behind its first request before it leaves. The names are part of the printed result. */
enum UnreadInput {
    /** Nothing. */
    NOTHING,
    /** Jobs without a body. */
    SMALL_JOBS,
    /** Jobs with bodies of 60,000 bytes. */
    LARGE_JOBS,
    /** Jobs whose class is unknown: each gets a 400, and the connection is throttled. */
    INVALID_JOBS,
    /** A body that does not end. */
    UNFINISHED_BODY,
    /** Bytes that are no request. */
    GARBAGE;

    private static final int LARGE_BODY_BYTES = 60_000;

    /** Input of about this many bytes; its jobs have ids that begin with the prefix, and this class. */
    byte[] bytes(String idPrefix, String kind, int size) {
        ByteArrayOutputStream all = new ByteArrayOutputStream(size + 2 * LARGE_BODY_BYTES);
        for (int i = 0; this != NOTHING && all.size() < size; i++) {
            all.writeBytes(part(idPrefix + "-" + i, kind, size).getBytes(StandardCharsets.ISO_8859_1));
        }
        return all.toByteArray();
    }

    private String part(String id, String kind, int size) {
        return switch (this) {
            case NOTHING -> "";
            case SMALL_JOBS -> job(id, kind, "");
            case LARGE_JOBS -> job(id, kind, "b".repeat(LARGE_BODY_BYTES));
            case INVALID_JOBS -> job(id, "no-such-class", "");
            case UNFINISHED_BODY -> job(id, kind, "b".repeat(LARGE_BODY_BYTES)).substring(0, Math.min(size, LARGE_BODY_BYTES));
            case GARBAGE -> "\u0000garbage " + "g".repeat(1000);
        };
    }

    /** A job as a client sends it. */
    static String job(String id, String kind, String body) {
        return "POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline-Ms: "
            + PausableClient.DEADLINE_MS + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
