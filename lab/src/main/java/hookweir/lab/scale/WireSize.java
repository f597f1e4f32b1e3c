package hookweir.lab.scale;

/**
 * Estimates the bytes on the wire from the bytes of HTTP. The model is TCP over IPv4 with timestamps: segments of at most 1,448 bytes
 * of payload with 52 bytes of headers each, and a separate acknowledgement (52 bytes) for every two segments. A last odd segment is
 * acknowledged separately only if no response follows within the delayed-acknowledgement time. Retransmissions, Ethernet framing and
 * TLS are not counted.
 */
final class WireSize {
    /** Headers of a segment: IPv4 (20), TCP (20) and the timestamp option (12). */
    static final int SEGMENT_HEADER_BYTES = 52;
    /** Size of a SYN or SYN-ACK segment: the headers with further TCP options. */
    static final int SYN_SEGMENT_BYTES = 60;
    /** Payload of a full segment with an MTU of 1,500 bytes. */
    static final int MAX_SEGMENT_PAYLOAD_BYTES = 1448;
    /** Segments without data that the initiator of a connection sends: SYN, ACK, FIN, ACK. */
    static final int INITIATOR_OVERHEAD_BYTES = SYN_SEGMENT_BYTES + 3 * SEGMENT_HEADER_BYTES;
    /** Segments without data that the acceptor of a connection sends: SYN-ACK, ACK, FIN. */
    static final int ACCEPTOR_OVERHEAD_BYTES = SYN_SEGMENT_BYTES + 2 * SEGMENT_HEADER_BYTES;

    private WireSize() {
    }

    /** Returns the bytes on the wire of a message with this many bytes of HTTP, including segment headers. */
    static int dataBytes(int httpBytes) {
        return httpBytes + SEGMENT_HEADER_BYTES * segmentCount(httpBytes);
    }

    /** Returns the bytes of the receiver's separate acknowledgements of such a message. */
    static int acknowledgementBytes(int httpBytes, boolean responseFollows) {
        int segments = segmentCount(httpBytes);
        return SEGMENT_HEADER_BYTES * (responseFollows ? segments / 2 : (segments + 1) / 2);
    }

    private static int segmentCount(int httpBytes) {
        return (httpBytes + MAX_SEGMENT_PAYLOAD_BYTES - 1) / MAX_SEGMENT_PAYLOAD_BYTES;
    }
}
