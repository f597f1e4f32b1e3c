package hookweir.lab.load;

import java.nio.charset.StandardCharsets;

/** What a misbehaving client sends, over and over. Ids and names never repeat. The names are part of the printed result. */
public enum Misuse {
    /** Small requests that get a response at once. */
    HEALTH_CHECKS,
    /** Jobs with so little time left that they are rejected. */
    LATE_JOBS,
    /** Jobs of ever new classes and owners, with ever new header fields. */
    NEW_NAMES,
    /** Jobs without an id. */
    INVALID_JOBS,
    /** Bytes that are no request. */
    GARBAGE,
    /** Jobs, each with much input behind it that is no request: it is read while the job is with a worker. */
    INPUT_BEHIND_JOB,
    /** Empty lines. */
    EMPTY_LINES,
    /** Callbacks of unknown workers about unknown jobs. */
    CALLBACKS,
    /** The beginning of a large body. */
    HALF_BODY,
    /** The beginning of a head with very many short fields. */
    SHORT_FIELDS,
    /** The beginning of a job with more fields than a head may have. */
    TOO_MANY_FIELDS;

    private static final int BODY_BYTES = 65_000;
    private static final int BEHIND_BYTES = 60_000;
    private static final int FIELDS = 60;
    private static final int EXCESSIVE_FIELDS = 3_000;
    private static final String HOST = "Host: h\r\n";

    /** The n-th message of a client. */
    byte[] message(String client, long n) {
        return text(client, n).getBytes(StandardCharsets.ISO_8859_1);
    }

    private String text(String client, long n) {
        String id = client + "-" + n;
        return switch (this) {
            case HEALTH_CHECKS -> "GET /healthz HTTP/1.1\r\n" + HOST + "\r\n";
            case LATE_JOBS -> post("/api", "Req-Id: " + id + "\r\nReq-Kind: job\r\nReq-Deadline-Ms: 1\r\n", "");
            case NEW_NAMES -> post("/api/" + id, "Req-Id: " + id + "\r\nReq-Kind: k" + id + "\r\nReq-Owner: o" + id + "\r\nX-" + id + ": 1\r\n", "");
            case INVALID_JOBS -> post("/api", "Req-Kind: job\r\n", "");
            case GARBAGE -> "\u0001" + id;
            case INPUT_BEHIND_JOB -> post("/api", "Req-Id: " + id + "\r\nReq-Kind: job\r\nReq-Deadline-Ms: 5000\r\n", "") + "\u0001".repeat(BEHIND_BYTES);
            case EMPTY_LINES -> "\r\n\r\n\r\n\r\n";
            case CALLBACKS -> post("/callback", "", "{\"id\":\"" + id + "\",\"from\":\"s-" + id + "\",\"state\":\"done\",\"result\":\"r\"}");
            case HALF_BODY -> "POST /api HTTP/1.1\r\n" + HOST + "Req-Id: " + id + "\r\nReq-Kind: job\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
                + "b".repeat(BODY_BYTES / 2);
            case SHORT_FIELDS -> "POST /api HTTP/1.1\r\n" + "a:\r\n".repeat(FIELDS);
            case TOO_MANY_FIELDS -> "POST /api HTTP/1.1\r\n" + "a:b\r\n".repeat(EXCESSIVE_FIELDS);
        };
    }

    private static String post(String path, String headers, String body) {
        return "POST " + path + " HTTP/1.1\r\n" + HOST + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
