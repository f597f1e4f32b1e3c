package hookweir.net.server;

/**
 * One whole request as it came in; not changed after.
 *
 * @param method its method
 * @param path its path, as sent
 * @param query its query, as sent, or null
 * @param headers those that matter
 * @param body its body
 * @param keepAlive the client lets the connection live on
 * @param http10 it came by HTTP/1.0, whose clients must be told that a connection lives on
 */
public record InboundRequest(String method, String path, String query, Headers headers, byte[] body, boolean keepAlive,
    boolean http10) {

    /** The headers of a client's request; each is null where absent. */
    public record Headers(String id, String kind, String deadlineMs, String retry, String cost, String extra, String owner,
        String idempotencyKey, String contentType) {
    }
}
