package hookweir.net.server;

import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import java.util.Arrays;

/**
 * Parses received bytes into requests, each as far as there is room for it, and buffers a bounded number of bytes behind
 * requests that wait. Belongs to the loop.
 */
final class RequestReader {
    private static final int MAX_PIPELINED_REQUESTS = 8;
    /** Bytes buffered behind the pipelined requests, on one connection and on all of them together. */
    private static final int MAX_BUFFERED_BYTES = 16 * 1024;
    private static final int MAX_BUFFERED_BYTES_IN_ALL = 1024 * 1024;

    private final Loop loop;
    private final Invariants invariants;
    private final BodyReservations reservations;
    private final InputControl input;
    private final BodyAdmission admission;
    private final ConnectionCloser closer;
    private final RequestQueue queue;

    RequestReader(Loop loop, Invariants invariants, BodyReservations reservations, InputControl input, BodyAdmission admission,
            ConnectionCloser closer, RequestQueue queue) {
        this.loop = loop;
        this.invariants = invariants;
        this.reservations = reservations;
        this.input = input;
        this.admission = admission;
        this.closer = closer;
        this.queue = queue;
    }

    /** Parses bytes [from, to), or buffers them where earlier input has to be parsed first. */
    void read(IngressConnection c, byte[] bytes, int from, int to) {
        if (c.unparsed != null) {
            buffer(c, bytes, from, to);
            return;
        }
        Framing framing = c.framing;
        for (int at = from; at < to && !c.ignoresInput();) {
            if (isBlocked(c)) {
                c.partialSinceUs = 0;
                buffer(c, bytes, at, to);
                return;
            }
            at = framing.feed(bytes, at, to);
            if (framing.announced() > 0 && framing.fault() == 0 && !admission.admit(c)) {
                input.setUnparsed(c, Arrays.copyOfRange(bytes, at, to));
                return;
            }
            if (framing.fault() != 0) {
                input.discard(c, to - at);
                closer.closeUnreadable(c, framing.fault());
                return;
            }
            if (framing.isComplete()) {
                IngressRequest request = framing.take();
                reservations.consume(c, request.body().length);
                queue.arrived(c, request);
            }
        }
        if (c.ignoresInput()) {
            input.discard(c, to - from);
        } else if (!framing.isMidMessage()) {
            c.partialSinceUs = 0;
        } else if (c.partialSinceUs == 0) {
            c.partialSinceUs = loop.nowUs();
        }
    }

    /** Parses what was buffered, unless something still blocks it. */
    void readBuffered(IngressConnection c) {
        if (c.unparsed != null && c.waitingSinceUs == 0 && !isBlocked(c)) {
            byte[] bytes = c.unparsed;
            input.setUnparsed(c, null);
            read(c, bytes, 0, bytes.length);
        }
    }

    /** No further request is parsed until one was answered, or the connection is no longer throttled. */
    private static boolean isBlocked(IngressConnection c) {
        return c.pipelined.size() >= MAX_PIPELINED_REQUESTS || c.throttled;
    }

    /**
     * Buffers input that comes behind waiting requests. It is read at all so that the client's end of input is seen: no
     * request is sent on for a client that left. Input beyond the limit is discarded, and the connection ends with an
     * error after its pending answers.
     */
    private void buffer(IngressConnection c, byte[] bytes, int from, int to) {
        int buffered = c.unparsed == null ? 0 : c.unparsed.length;
        int length = to - from;
        if (c.waitingSinceUs == 0 && (buffered + length > MAX_BUFFERED_BYTES || input.unparsedBytes() + length > MAX_BUFFERED_BYTES_IN_ALL)) {
            invariants.count("ingress sent too much ahead");
            input.discard(c, buffered + length);
            input.setUnparsed(c, null);
            closer.closeUnreadable(c, HttpStatus.TOO_MANY_REQUESTS);
            return;
        }
        byte[] joined = buffered == 0 ? new byte[length] : Arrays.copyOf(c.unparsed, buffered + length);
        System.arraycopy(bytes, from, joined, buffered, length);
        input.setUnparsed(c, joined);
    }
}
