package hookweir.lab.scale;

/**
 * Bytes on the wire, from bytes of HTTP, by a stated rule: TCP over IPv4 with timestamps, full segments of 1,448 bytes, 52 bytes
 * of headers for each; an acknowledgement alone (52 bytes) for every two segments, and for a last odd one that no answer
 * follows within the delay of an acknowledgement. No retransmissions, no Ethernet, no TLS.
 */
final class WireSize {
    /** IPv4 (20), TCP (20) and the timestamp option (12). */
    static final int SEGMENT_HEADER_BYTES = 52;
    /** As HEADERS, with the further options of a connection's first two segments. */
    static final int SYN_SEGMENT_BYTES = 60;
    /** Payload of a full segment on links of 1,500 bytes. */
    static final int MAX_SEGMENT_PAYLOAD_BYTES = 1448;
    /** The opener's segments over a connection's life, besides data: SYN, ACK, FIN, ACK. */
    static final int INITIATOR_OVERHEAD_BYTES = SYN_SEGMENT_BYTES + 3 * SEGMENT_HEADER_BYTES;
    /** The other side's: SYN-ACK, ACK, FIN. */
    static final int ACCEPTOR_OVERHEAD_BYTES = SYN_SEGMENT_BYTES + 2 * SEGMENT_HEADER_BYTES;

    private WireSize() {
    }

    /** A message of so many bytes of HTTP with the headers of its segments. */
    static int dataBytes(int httpBytes) {
        return httpBytes + SEGMENT_HEADER_BYTES * segmentCount(httpBytes);
    }

    /** The receiver's acknowledgements of such a message. */
    static int acknowledgementBytes(int httpBytes, boolean responseFollows) {
        int segments = segmentCount(httpBytes);
        return SEGMENT_HEADER_BYTES * (responseFollows ? segments / 2 : (segments + 1) / 2);
    }

    private static int segmentCount(int httpBytes) {
        return (httpBytes + MAX_SEGMENT_PAYLOAD_BYTES - 1) / MAX_SEGMENT_PAYLOAD_BYTES;
    }
}
