package hookweir.net.ingress;

import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * One whole request as it came in; made on the selector, not changed after.
 *
 * @param packet the codec's packet, which the answer belongs to
 * @param method its method
 * @param path its path, as sent
 * @param query its query, as sent, or null
 * @param headers those that matter, by lower-case name
 * @param body its body
 * @param keepAlive the client lets the connection live on
 */
public record IngressRequest(HttpRequestPacket packet, String method, String path, String query,
    Headers headers, byte[] body, boolean keepAlive) {

    /** The headers of a client's request; each is null where absent. */
    public record Headers(String id, String kind, String deadlineMs, String retry, String cost, String extra,
        String idempotencyKey, String contentType) {
        static Headers of(HttpRequestPacket p) {
            return new Headers(p.getHeader("req-id"), p.getHeader("req-kind"), p.getHeader("req-deadline-ms"),
                p.getHeader("req-retry"), p.getHeader("req-cost"), p.getHeader("req-extra"),
                p.getHeader("idempotency-key"), p.getHeader("content-type"));
        }
    }
}
