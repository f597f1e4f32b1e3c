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
    private final InputControl input;
    private final BodyAdmission admission;
    private final ConnectionTable connections;
    private final ConnectionSweep sweep;
    private final ConnectionCloser closer;
    private final ResponseWriter writer;
    private final Consumer<IngressConnection> readBuffered;

    /**
     * Queues for this handler.
     *
     * @param readBuffered parses a connection's buffered input once nothing blocks it any more
     */
    RequestQueue(Loop loop, Invariants invariants, RequestHandler handler, BodyReservations reservations, InputControl input,
            BodyAdmission admission, ConnectionTable connections, ConnectionSweep sweep, ConnectionCloser closer, ResponseWriter writer,
            Consumer<IngressConnection> readBuffered) {
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
    void arrived(IngressConnection c, IngressRequest request) {
        if (c.closing()) {
            reservations.release(request);
            return;
        }
        if (admission.exceedsClientLimit(c, request.path())) {
            reservations.release(request);
            admission.reject(c, request.headers().kind());
            return;
        }
        c.lastUsedUs = loop.nowUs();
        c.proven = true;
        if (c.current != null) {
            c.pipelined.add(request);
            return;
        }
        handle(c, request);
    }

    private void handle(IngressConnection c, IngressRequest request) {
        c.current = request;
        connections.used(c);
        handler.request(c, request);
    }

    /** Answers the request under way; retryAfter may be null. */
    void answer(IngressConnection c, int status, String retryAfter, byte[] body) {
        IngressRequest request = c.current;
        if (!invariants.check(request != null, "answer without a request")) {
            return;
        }
        c.onDisconnect = null;
        if (c.closing()) {
            return;
        }
        countBadRequests(c, status);
        boolean last = isLastAnswer(c, request);
        MessageBuilder head = writer.head(status, body.length, retryAfter);
        if (last) {
            closer.beginFinalResponse(c);
            head.header("Connection", "close");
        } else if (request.oldVersion()) {
            head.header("Connection", "keep-alive");
        }
        writer.write(c, head, body, () -> answered(c, last));
    }

    /**
     * Whether the connection ends with this answer. While new connections wait in the kernel, workers' connections take turns:
     * the call-backs among those that wait end jobs. Requests that a client sent ahead were accepted, and are answered first.
     */
    private boolean isLastAnswer(IngressConnection c, IngressRequest request) {
        return !request.keepAlive() || (c.carriesCallbacks ? connections.isFull() : sweep.isSendingAway() && c.nothingAhead());
    }

    private void countBadRequests(IngressConnection c, int status) {
        boolean bad = status >= HttpStatus.BAD_REQUEST && status != HttpStatus.TOO_MANY_REQUESTS && status < HttpStatus.INTERNAL_SERVER_ERROR;
        c.badRequests = bad ? c.badRequests + 1 : 0;
        if (c.badRequests > MAX_BAD_REQUESTS && !c.throttled) {
            throttle(c);
        }
    }

    private void throttle(IngressConnection c) {
        c.throttled = true;
        input.updateReading(c);
        loop.schedule(THROTTLE_US, () -> {
            c.throttled = false;
            readBuffered.accept(c);
            input.updateReading(c);
        });
    }

    private void answered(IngressConnection c, boolean last) {
        c.current = null;
        c.lastUsedUs = loop.nowUs();
        if (last) {
            closer.close(c, CloseReason.LAST_ANSWER);
        } else if (!c.pipelined.isEmpty()) {
            handle(c, c.pipelined.poll());
            readBuffered.accept(c);
        } else if (c.errorStatus != 0 && !c.closing()) {
            closer.closeWithError(c);
        }
    }

    /** Drops the requests of a closed connection that were not handled yet. */
    void closed(IngressConnection c) {
        c.pipelined.forEach(reservations::release);
        c.pipelined.clear();
    }
}
