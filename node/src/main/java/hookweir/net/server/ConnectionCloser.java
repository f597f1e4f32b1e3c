package hookweir.net.server;

import hookweir.net.EventLog;
import hookweir.net.HalfClose;
import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.MessageBuilder;
import hookweir.net.server.InboundConnection.Phase;
import java.util.function.Supplier;

/** Ends connections so that no answer is lost: an error response where one is due, then a lingering close. Belongs to the loop. */
final class ConnectionCloser {
    private static final byte[] NO_BODY = new byte[0];

    private final Loop loop;
    private final Invariants invariants;
    private final EventLog events;
    private final ReadControl input;
    private final ResponseWriter writer;
    private final Supplier<String> retryAfter;

    /**
     * Closes connections that these parts read and write.
     *
     * @param retryAfter the Retry-After header's value for those that are told to come back, or null
     */
    ConnectionCloser(Loop loop, Invariants invariants, EventLog events, ReadControl input, ResponseWriter writer, Supplier<String> retryAfter) {
        this.loop = loop;
        this.invariants = invariants;
        this.events = events;
        this.input = input;
        this.writer = writer;
        this.retryAfter = retryAfter;
    }

    /** The connection's input can't be parsed: an error with this status ends it, after the answers to its earlier requests. */
    void closeWithErrorAfterPending(InboundConnection c, int status) {
        invariants.count("ingress unreadable " + status);
        c.errorStatus = status;
        if (c.isIdle() && !c.isClosing()) {
            closeWithError(c);
        }
    }

    /** Answers with the connection's error status and ends the connection. */
    void closeWithError(InboundConnection c) {
        beginFinalResponse(c);
        MessageBuilder head = writer.head(c.errorStatus, 0, c.errorStatus == HttpStatus.TOO_MANY_REQUESTS ? retryAfter.get() : null)
            .header("Connection", "close");
        writer.write(c, head, NO_BODY, () -> close(c, CloseReason.ERROR_ANSWER));
    }

    /** The response that is written next is the connection's last one. */
    void beginFinalResponse(InboundConnection c) {
        c.advanceTo(Phase.FINAL_RESPONSE);
        input.updateReading(c);
    }

    /**
     * Closes a connection whose client may still write: shuts its output and discards its input until the client's end or a
     * time limit. A client that reads on sees the end at once, and its own end is seen here.
     */
    void close(InboundConnection c, CloseReason reason) {
        if (!c.advanceTo(Phase.LINGERING)) {
            return;
        }
        recordClose(c, reason);
        if (HalfClose.shutdownOutput(c.transportConnection)) {
            input.discardInput(c, 0);
            input.setUnparsedInput(c, null);
            input.updateReading(c);
            c.lingerTimer = loop.schedule(HalfClose.LINGER_US, c.transportConnection::closeSilently);
        }
    }

    /** Notes why a connection is ended, whoever ends it. */
    void recordClose(InboundConnection c, CloseReason reason) {
        invariants.count("ingress closed " + reason);
        if (reason != CloseReason.LAST_ANSWER) {
            events.log(() -> "connection of " + c.peerAddress() + " closed: " + reason + (c.errorStatus == 0 ? "" : " " + c.errorStatus));
        }
    }
}
