package hookweir.net.server;

import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.MessageBuilder;
import java.util.function.Consumer;

/** Hands each connection's requests to the handler one at a time, in order, and writes their answers. Belongs to the loop. */
final class RequestQueue {
    /** A connection is throttled after each bad request beyond so many in a row. */
    private static final int MAX_BAD_REQUESTS = 3;
    private static final long THROTTLE_US = 100_000;

    private final Loop loop;
    private final Invariants invariants;
    private final RequestHandler handler;
    private final BodyReservations reservations;
    private final ReadControl input;
    private final BodyAdmission admission;
    private final ConnectionTable connections;
    private final ConnectionSweeper sweep;
    private final ConnectionCloser closer;
    private final ResponseWriter writer;
    private final Consumer<InboundConnection> readBuffered;

    /**
     * Queues for this handler.
     *
     * @param readBuffered parses a connection's buffered input once nothing blocks it any more
     */
    RequestQueue(Loop loop, Invariants invariants, RequestHandler handler, BodyReservations reservations, ReadControl input,
            BodyAdmission admission, ConnectionTable connections, ConnectionSweeper sweep, ConnectionCloser closer, ResponseWriter writer,
            Consumer<InboundConnection> readBuffered) {
        this.loop = loop;
        this.invariants = invariants;
        this.handler = handler;
        this.reservations = reservations;
        this.input = input;
        this.admission = admission;
        this.connections = connections;
        this.sweep = sweep;
        this.closer = closer;
        this.writer = writer;
        this.readBuffered = readBuffered;
    }

    /** A whole request was read: it is handled now, or after those before it. */
    void enqueue(InboundConnection c, InboundRequest request) {
        if (c.isClosing()) {
            reservations.release(request);
            return;
        }
        if (admission.exceedsClientLimit(c, request.path())) {
            reservations.release(request);
            admission.reject(c, request.headers().kind());
            return;
        }
        c.lastUsedUs = loop.nowUs();
        c.requestReceived = true;
        if (c.currentRequest != null) {
            c.pipelined.add(request);
            return;
        }
        handle(c, request);
    }

    private void handle(InboundConnection c, InboundRequest request) {
        c.currentRequest = request;
        connections.markUsed(c);
        handler.handle(c, request);
    }

    /** Answers the request under way; retryAfter may be null. */
    void respond(InboundConnection c, int status, String retryAfter, byte[] body) {
        InboundRequest request = c.currentRequest;
        if (!invariants.check(request != null, "answer without a request")) {
            return;
        }
        c.onDisconnect = null;
        if (c.isClosing()) {
            return;
        }
        countBadRequests(c, status);
        boolean last = isFinalResponse(c, request);
        MessageBuilder head = writer.head(status, body.length, retryAfter);
        if (last) {
            closer.beginFinalResponse(c);
            head.header("Connection", "close");
        } else if (request.http10()) {
            head.header("Connection", "keep-alive");
        }
        writer.write(c, head, body, () -> responseWritten(c, last));
    }

    /**
     * Whether the connection ends with this answer. While new connections wait in the kernel, workers' connections take turns:
     * the call-backs among those that wait end jobs. Requests that a client sent ahead were accepted, and are answered first.
     */
    private boolean isFinalResponse(InboundConnection c, InboundRequest request) {
        return !request.keepAlive() || (c.carriesCallbacks ? connections.isDescriptorLimitReached() : sweep.isDraining() && c.hasNoPipelinedInput());
    }

    private void countBadRequests(InboundConnection c, int status) {
        boolean bad = status >= HttpStatus.BAD_REQUEST && status != HttpStatus.TOO_MANY_REQUESTS && status < HttpStatus.INTERNAL_SERVER_ERROR;
        c.consecutiveBadRequests = bad ? c.consecutiveBadRequests + 1 : 0;
        if (c.consecutiveBadRequests > MAX_BAD_REQUESTS && !c.throttled) {
            throttle(c);
        }
    }

    private void throttle(InboundConnection c) {
        c.throttled = true;
        input.updateReading(c);
        loop.schedule(THROTTLE_US, () -> {
            c.throttled = false;
            readBuffered.accept(c);
            input.updateReading(c);
        });
    }

    private void responseWritten(InboundConnection c, boolean last) {
        c.currentRequest = null;
        c.lastUsedUs = loop.nowUs();
        if (last) {
            closer.close(c, CloseReason.LAST_ANSWER);
        } else if (!c.pipelined.isEmpty()) {
            handle(c, c.pipelined.poll());
            readBuffered.accept(c);
        } else if (c.errorStatus != 0 && !c.isClosing()) {
            closer.closeWithError(c);
        }
    }

    /** Drops the requests of a closed connection that were not handled yet. */
    void discardPending(InboundConnection c) {
        c.pipelined.forEach(reservations::release);
        c.pipelined.clear();
    }
}
