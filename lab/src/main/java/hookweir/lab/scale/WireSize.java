package hookweir.lab.scale;

/**
 * Bytes on the wire, from bytes of HTTP, by a stated rule: TCP over IPv4 with timestamps, full segments of 1,448 bytes, 52 bytes
 * of headers for each; an acknowledgement alone (52 bytes) for every two segments, and for a last odd one that no answer
 * follows within the delay of an acknowledgement. No retransmissions, no Ethernet, no TLS.
 */
final class WireSize {
    /** IPv4 (20), TCP (20) and the timestamp option (12). */
    static final int HEADERS = 52;
    /** As HEADERS, with the further options of a connection's first two segments. */
    static final int SYN = 60;
    /** Payload of a full segment on links of 1,500 bytes. */
    static final int SEGMENT = 1448;
    /** The opener's segments over a connection's life, besides data: SYN, ACK, FIN, ACK. */
    static final int OPENER = SYN + 3 * HEADERS;
    /** The other side's: SYN-ACK, ACK, FIN. */
    static final int ACCEPTOR = SYN + 2 * HEADERS;

    private WireSize() {
    }

    /** A message of so many bytes of HTTP with the headers of its segments. */
    static int data(int httpBytes) {
        return httpBytes + HEADERS * segments(httpBytes);
    }

    /** The receiver's acknowledgements of such a message. */
    static int acknowledgements(int httpBytes, boolean answered) {
        int segments = segments(httpBytes);
        return HEADERS * (answered ? segments / 2 : (segments + 1) / 2);
    }

    private static int segments(int httpBytes) {
        return (httpBytes + SEGMENT - 1) / SEGMENT;
    }
}
