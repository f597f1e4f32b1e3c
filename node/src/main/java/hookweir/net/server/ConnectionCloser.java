package hookweir.net.server;

import hookweir.net.EventLog;
import hookweir.net.HalfClose;
import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.MessageBuilder;
import hookweir.net.server.InboundConnection.Phase;
import java.util.function.Supplier;

/**
 * Closes connections without losing a response: an error response where one is due, then a lingering close. Belongs to the
 * loop.
 */
final class ConnectionCloser {
    private static final byte[] NO_BODY = new byte[0];

    private final Loop loop;
    private final Invariants invariants;
    private final EventLog events;
    private final ReadControl readControl;
    private final ResponseWriter writer;
    private final Supplier<String> retryAfter;

    /**
     * Creates a closer for connections that use this read control and this writer.
     *
     * @param retryAfter supplies the Retry-After header's value for 429 responses, or null
     */
    ConnectionCloser(Loop loop, Invariants invariants, EventLog events, ReadControl readControl, ResponseWriter writer, Supplier<String> retryAfter) {
        this.loop = loop;
        this.invariants = invariants;
        this.events = events;
        this.readControl = readControl;
        this.writer = writer;
        this.retryAfter = retryAfter;
    }

    /**
     * Closes a connection whose further input is not parsed: sends an error with this status after the responses to its
     * earlier requests.
     */
    void closeWithErrorAfterPending(InboundConnection connection, int status) {
        invariants.count("ingress unreadable " + status);
        connection.errorStatus = status;
        if (connection.isIdle() && !connection.isClosing()) {
            closeWithError(connection);
        }
    }

    /** Sends a response with the connection's error status and closes the connection. */
    void closeWithError(InboundConnection connection) {
        beginFinalResponse(connection);
        MessageBuilder head = writer.head(connection.errorStatus, 0, connection.errorStatus == HttpStatus.TOO_MANY_REQUESTS ? retryAfter.get() : null)
            .header("Connection", "close");
        writer.write(connection, head, NO_BODY, () -> close(connection, CloseReason.ERROR_ANSWER));
    }

    /** Marks the next response as the connection's final one. */
    void beginFinalResponse(InboundConnection connection) {
        connection.advanceTo(Phase.FINAL_RESPONSE);
        readControl.updateReading(connection);
    }

    /**
     * Closes a connection whose client may still write: shuts down its output and discards its input until the client closes
     * or a time limit passes. A client that is still reading sees the end at once, and its own close is detected here.
     */
    void close(InboundConnection connection, CloseReason reason) {
        if (!connection.advanceTo(Phase.LINGERING)) {
            return;
        }
        recordClose(connection, reason);
        if (HalfClose.shutdownOutput(connection.transportConnection)) {
            readControl.discardInput(connection, 0);
            readControl.setUnparsedInput(connection, null);
            readControl.updateReading(connection);
            connection.lingerTimer = loop.schedule(HalfClose.LINGER_US, connection.transportConnection::closeSilently);
        }
    }

    /** Records why a connection is closed. */
    void recordClose(InboundConnection connection, CloseReason reason) {
        invariants.count("ingress closed " + reason);
        if (reason != CloseReason.LAST_ANSWER) {
            events.log(() -> "connection of " + connection.peerAddress() + " closed: " + reason
                + (connection.errorStatus == 0 ? "" : " " + connection.errorStatus));
        }
    }
}
