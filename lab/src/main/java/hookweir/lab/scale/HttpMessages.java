package hookweir.lab.scale;

/** HTTP messages as schedulers, workers and the list service write them. The simulation counts their lengths. */
final class HttpMessages {
    /** Size of the body of a job request. */
    static final int JOB_BODY_BYTES = 212;
    /** Size of the result of a job. */
    static final int RESULT_BYTES = 200;
    static final String NO_CONTENT = "HTTP/1.1 204 No Content\r\n\r\n";
    static final String NOT_MODIFIED = "HTTP/1.1 304 Not Modified\r\nETag: \"0000000000000000\"\r\n\r\n";
    private static final String EMPTY_BODY = "Content-Length: 0\r\n\r\n";
    static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\n" + EMPTY_BODY;
    static final String DECLINED = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\n" + EMPTY_BODY;
    static final String DELETED = "HTTP/1.1 200 OK\r\n" + EMPTY_BODY;
    private static final String REQUEST_ID = "9b1f03aa5c7e2d41";

    private HttpMessages() {
    }

    static String probeRequest(String host) {
        return "GET /load HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
    }

    static String probeResponse(int freeSlots) {
        return okResponse("x0=" + freeSlots);
    }

    static int jobRequestBytes(String host, long remainingMs) {
        String head = "POST /api HTTP/1.1\r\nHost: " + host + "\r\nReq-Id: " + REQUEST_ID + "\r\nReq-Kind: task\r\nReq-Deadline-Ms: " + remainingMs
            + "\r\nContent-Length: " + JOB_BODY_BYTES + "\r\n\r\n";
        return head.length() + JOB_BODY_BYTES;
    }

    static String cancelRequest(String host) {
        return "DELETE /jobs/" + REQUEST_ID + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
    }

    static int callbackRequestBytes(String scheduler, String worker) {
        int body = ("{\"id\":\"" + REQUEST_ID + "\",\"from\":\"" + worker + "\",\"state\":\"done\",\"result\":\"\"}").length() + RESULT_BYTES;
        String head = "POST /callback HTTP/1.1\r\nHost: " + scheduler + "\r\nContent-Type: application/json\r\nContent-Length: " + body
            + "\r\n\r\n";
        return head.length() + body;
    }

    static int resultResponseBytes() {
        return okResponse("").length() + 2 + RESULT_BYTES;
    }

    static String rejectionResponse() {
        return "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\nRetry-After: 1.000\r\n\r\n";
    }

    static String okResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String listRequest(String host, String query) {
        return "GET /v1/servers" + query + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
    }

    static String watchResponseHead() {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static String configurationRequest(String host) {
        return "GET /v1/configuration HTTP/1.1\r\nHost: " + host + "\r\nIf-None-Match: \"0000000000000000\"\r\n\r\n";
    }

    /** Returns a scheduler's configuration file with this many teams. */
    static String configurationFile(int teams) {
        StringBuilder text = new StringBuilder("{\"name\":\"n1\",\"listen\":\"10.0.0.1:8080\",\"discovery\":\"10.0.0.2:8080\",\"settings\":{\"classes\":["
            + "{\"name\":\"task\",\"aim_us\":25800000,\"deadline_us\":51600000,\"semantics\":\"read_like\",\"key_scope\":\"all\"},"
            + "{\"name\":\"accelerator\",\"aim_us\":25800000,\"deadline_us\":51600000,\"semantics\":\"read_like\",\"key_scope\":\"all\"}],"
            + "\"zones\":[\"a\",\"b\",\"c\",\"d\",\"e\",\"f\"],\"kinds\":[\"m\",\"g\"],\"discovery\":\"ask\",\"rules\":{\"ask_within_us\":4000000},"
            + "\"stats\":{\"via\":\"pull\",\"fields\":[\"x0\"]},"
            + "\"limits\":{\"max_attempts\":3,\"probes\":true,\"cancel\":true,\"retry_after\":true},\"orgs\":[");
        for (int team = 0; team < teams; team++) {
            text.append(team == 0 ? "" : ",").append("{\"name\":\"team-").append(team).append("\",\"allowance_per_s\":11.3,\"portion\":0.0256}");
        }
        return text.append("]}}").toString();
    }
}
