package hookweir.net.server;

import hookweir.net.EventLog;
import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.MessageBuilder;
import java.util.function.Consumer;

/** Passes each connection's requests to the handler one at a time, in order, and writes their responses. Belongs to the loop. */
final class RequestQueue {
    /** A connection is throttled after each bad request beyond this many in a row. */
    private static final int MAX_BAD_REQUESTS = 3;
    private static final long THROTTLE_US = 100_000;

    private final Loop loop;
    private final Invariants invariants;
    private final EventLog events;
    private final RequestHandler handler;
    private final RequestReservations reservations;
    private final ReadControl readControl;
    private final BodyAdmission admission;
    private final ConnectionTable connections;
    private final ConnectionSweeper sweeper;
    private final ConnectionCloser closer;
    private final ResponseWriter writer;
    private final Consumer<InboundConnection> readBuffered;

    /**
     * Creates a queue for this handler.
     *
     * @param readBuffered parses a connection's buffered input once nothing blocks it any more
     */
    RequestQueue(Loop loop, Invariants invariants, EventLog events, RequestHandler handler, RequestReservations reservations, ReadControl readControl,
            BodyAdmission admission, ConnectionTable connections, ConnectionSweeper sweeper, ConnectionCloser closer, ResponseWriter writer,
            Consumer<InboundConnection> readBuffered) {
        this.loop = loop;
        this.invariants = invariants;
        this.events = events;
        this.handler = handler;
        this.reservations = reservations;
        this.readControl = readControl;
        this.admission = admission;
        this.connections = connections;
        this.sweeper = sweeper;
        this.closer = closer;
        this.writer = writer;
        this.readBuffered = readBuffered;
    }

    /** Handles a complete request now, or after the requests before it. */
    void enqueue(InboundConnection connection, InboundRequest request) {
        if (connection.isClosing()) {
            reservations.release(request);
            return;
        }
        if (admission.exceedsClientLimit(connection, request.path())) {
            reservations.release(request);
            admission.reject(connection, request.headers().kind());
            return;
        }
        connection.lastUsedUs = loop.nowUs();
        connection.requestReceived = true;
        if (connection.currentRequest != null) {
            connection.pipelined.add(request);
            reservations.addWaiting(request);
            return;
        }
        handle(connection, request);
    }

    private void handle(InboundConnection connection, InboundRequest request) {
        connection.currentRequest = request;
        connections.markUsed(connection);
        handler.handle(connection, request);
    }

    /** Sends the response to the current request; retryAfter may be null. */
    void respond(InboundConnection connection, int status, String retryAfter, byte[] body) {
        InboundRequest request = connection.currentRequest;
        if (!invariants.check(request != null, "answer without a request")) {
            return;
        }
        connection.onDisconnect = null;
        if (connection.isClosing()) {
            return;
        }
        countBadRequests(connection, status);
        boolean isFinal = isFinalResponse(connection, request);
        MessageBuilder head = writer.head(status, body.length, retryAfter);
        if (isFinal) {
            closer.beginFinalResponse(connection);
            head.header("Connection", "close");
        } else if (request.http10()) {
            head.header("Connection", "keep-alive");
        }
        readControl.updateReading(connection);
        writer.write(connection, head, body, () -> responseWritten(connection, isFinal));
    }

    /**
     * Whether the connection ends with this response. While new connections wait in the kernel's backlog, callback
     * connections are closed after each response: some of those waiting may carry callbacks that end jobs. Pipelined
     * requests were accepted and get their responses first.
     */
    private boolean isFinalResponse(InboundConnection connection, InboundRequest request) {
        return !request.keepAlive()
            || (connection.carriesCallbacks ? connections.isDescriptorLimitReached() : sweeper.isDraining() && connection.hasNoPipelinedInput());
    }

    private void countBadRequests(InboundConnection connection, int status) {
        boolean bad = status >= HttpStatus.BAD_REQUEST && status != HttpStatus.TOO_MANY_REQUESTS && status < HttpStatus.INTERNAL_SERVER_ERROR;
        connection.consecutiveBadRequests = bad ? connection.consecutiveBadRequests + 1 : 0;
        if (connection.consecutiveBadRequests > MAX_BAD_REQUESTS && !connection.throttled) {
            throttle(connection);
        }
    }

    private void throttle(InboundConnection connection) {
        connection.throttled = true;
        readControl.updateReading(connection);
        loop.schedule(THROTTLE_US, () -> {
            connection.throttled = false;
            readBuffered.accept(connection);
            readControl.updateReading(connection);
        });
    }

    private void responseWritten(InboundConnection connection, boolean isFinal) {
        connection.currentRequest = null;
        connection.lastUsedUs = loop.nowUs();
        if (isFinal) {
            closer.close(connection, CloseReason.LAST_ANSWER);
        } else if (!connection.pipelined.isEmpty()) {
            InboundRequest next = connection.pipelined.poll();
            reservations.removeWaiting(next);
            events.log(() -> "request " + next.headers().id() + " of " + connection.peerAddress() + " begins behind earlier ones, "
                + connection.pipelined.size() + " more wait");
            handle(connection, next);
            readBuffered.accept(connection);
        } else if (connection.unparsedInput != null && !connection.isClosing()) {
            readBuffered.accept(connection);
        } else if (connection.errorStatus != 0 && !connection.isClosing()) {
            closer.closeWithError(connection);
        }
    }

    /** Drops the requests of a closed connection that were not handled yet. */
    void discardPending(InboundConnection connection) {
        connection.pipelined.forEach(request -> {
            reservations.removeWaiting(request);
            reservations.release(request);
        });
        connection.pipelined.clear();
    }
}
