package hookweir.net.server;

/**
 * One complete request. Immutable by convention.
 *
 * @param method its method
 * @param path its path, as sent
 * @param query its query, as sent, or null
 * @param headers the headers that the scheduler uses
 * @param body its body
 * @param keepAlive whether the client keeps the connection open after the response
 * @param http10 whether it was sent by HTTP/1.0, in which case the response must say that the connection is kept alive
 * @param headBytes the size of its start line and headers
 */
public record InboundRequest(String method, String path, String query, Headers headers, byte[] body, boolean keepAlive,
    boolean http10, int headBytes) {

    /** The headers of a client's request; each is null if absent. */
    public record Headers(String id, String kind, String deadlineMs, String retry, String cost, String extra, String owner,
        String idempotencyKey, String contentType) {
    }
}
