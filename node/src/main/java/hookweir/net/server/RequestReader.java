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
    private static final int MAX_TOTAL_BUFFERED_BYTES = 1024 * 1024;

    private final Loop loop;
    private final Invariants invariants;
    private final BodyReservations reservations;
    private final ReadControl input;
    private final BodyAdmission admission;
    private final ConnectionCloser closer;
    private final RequestQueue queue;

    RequestReader(Loop loop, Invariants invariants, BodyReservations reservations, ReadControl input, BodyAdmission admission,
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
    void read(InboundConnection c, byte[] bytes, int from, int to) {
        if (c.unparsedInput != null) {
            buffer(c, bytes, from, to);
            return;
        }
        RequestDecoder framing = c.decoder;
        for (int at = from; at < to && !c.ignoresInput();) {
            if (isBlocked(c)) {
                c.partialRequestSinceUs = 0;
                buffer(c, bytes, at, to);
                return;
            }
            at = framing.feed(bytes, at, to);
            if (framing.announcedBodyBytes() > 0 && framing.fault() == 0 && !admission.admit(c)) {
                input.setUnparsedInput(c, Arrays.copyOfRange(bytes, at, to));
                return;
            }
            if (framing.fault() != 0) {
                input.discardInput(c, to - at);
                closer.closeWithErrorAfterPending(c, framing.fault());
                return;
            }
            if (framing.isComplete()) {
                InboundRequest request = framing.takeRequest();
                reservations.consume(c, request.body().length);
                queue.enqueue(c, request);
            }
        }
        if (c.ignoresInput()) {
            input.discardInput(c, to - from);
        } else if (!framing.isMidMessage()) {
            c.partialRequestSinceUs = 0;
        } else if (c.partialRequestSinceUs == 0) {
            c.partialRequestSinceUs = loop.nowUs();
        }
    }

    /** Parses what was buffered, unless something still blocks it. */
    void readBuffered(InboundConnection c) {
        if (c.unparsedInput != null && c.budgetWaitSinceUs == 0 && !isBlocked(c)) {
            byte[] bytes = c.unparsedInput;
            input.setUnparsedInput(c, null);
            read(c, bytes, 0, bytes.length);
        }
    }

    /** No further request is parsed until one was answered, or the connection is no longer throttled. */
    private static boolean isBlocked(InboundConnection c) {
        return c.pipelined.size() >= MAX_PIPELINED_REQUESTS || c.throttled;
    }

    /**
     * Buffers input that comes behind waiting requests. It is read at all so that the client's end of input is seen: no
     * request is sent on for a client that left. Input beyond the limit is discarded, and the connection ends with an
     * error after its pending answers.
     */
    private void buffer(InboundConnection c, byte[] bytes, int from, int to) {
        int buffered = c.unparsedInput == null ? 0 : c.unparsedInput.length;
        int length = to - from;
        if (c.budgetWaitSinceUs == 0 && (buffered + length > MAX_BUFFERED_BYTES || input.unparsedBytes() + length > MAX_TOTAL_BUFFERED_BYTES)) {
            invariants.count("ingress sent too much ahead");
            input.discardInput(c, buffered + length);
            input.setUnparsedInput(c, null);
            closer.closeWithErrorAfterPending(c, HttpStatus.TOO_MANY_REQUESTS);
            return;
        }
        byte[] joined = buffered == 0 ? new byte[length] : Arrays.copyOf(c.unparsedInput, buffered + length);
        System.arraycopy(bytes, from, joined, buffered, length);
        input.setUnparsedInput(c, joined);
    }
}
