package hookweir.net.server;

import hookweir.net.EventLog;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.server.InboundConnection.Phase;
import java.io.IOException;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Pauses and resumes reading from connections, discards unwanted input, and counts the bytes that were read but not parsed
 * yet. Belongs to the loop.
 */
final class ReadControl {
    /** How many bytes may be discarded before reading is paused for {@link #DISCARD_PAUSE_US}. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    private static final long DISCARD_PAUSE_US = 100_000;
    /** The same while a request is unanswered. It is more than the system holds for one connection, so one pause at most hides the end. */
    private static final int MAX_DISCARDED_BYTES_UNANSWERED = 64 * 1024 * 1024;
    private static final long DISCARD_PAUSE_UNANSWERED_US = 20_000;

    private final Loop loop;
    private final Invariants invariants;
    private final EventLog events;
    private final RequestReservations reservations;
    private int unparsedBytes;
    private int pausedConnections;

    ReadControl(Loop loop, Invariants invariants, EventLog events, RequestReservations reservations) {
        this.loop = loop;
        this.invariants = invariants;
        this.events = events;
        this.reservations = reservations;
    }

    /** The bytes of all connections that were read but not parsed yet. */
    int unparsedBytes() {
        return unparsedBytes;
    }

    /** The number of connections from which nothing is read at present. */
    int pausedConnections() {
        return pausedConnections;
    }

    /** Replaces the connection's unparsed input; null if there is none. */
    void setUnparsedInput(InboundConnection connection, byte[] bytes) {
        unparsedBytes += (bytes == null ? 0 : bytes.length) - (connection.unparsedInput == null ? 0 : connection.unparsedInput.length);
        connection.unparsedInput = bytes;
    }

    /** Discards all further input of the connection, and counts the bytes that were discarded just now. */
    void discardInput(InboundConnection connection, int bytes) {
        connection.advanceTo(Phase.IGNORING_INPUT);
        reservations.abandon(connection);
        if (connection.isOutputShut() && bytes > 0) {
            invariants.count("ingress bytes after the end");
        }
        connection.discardedBytes += bytes;
        connection.inputStatistics.discarded(bytes);
        int allowedBytes = connection.hasUnansweredRequest() ? MAX_DISCARDED_BYTES_UNANSWERED : MAX_DISCARDED_BYTES;
        if (connection.discardedBytes > allowedBytes && !connection.discardPaused) {
            pauseDiscarding(connection);
        }
    }

    /**
     * Pauses reading and resumes it later. Reading must resume because the client's end of input has to be detected: its
     * earlier requests may still wait for a worker.
     */
    private void pauseDiscarding(InboundConnection connection) {
        connection.discardPaused = true;
        updateReading(connection);
        loop.schedule(connection.hasUnansweredRequest() ? DISCARD_PAUSE_UNANSWERED_US : DISCARD_PAUSE_US, () -> {
            connection.discardPaused = false;
            connection.discardedBytes = 0;
            updateReading(connection);
        });
    }

    /**
     * Pauses reading while a body waits for memory or the connection is throttled, so that further input stays in the
     * kernel. This protects memory from bodies that have no reservation, and the loop from clients that keep sending bad
     * requests. While a request is unanswered, reading goes on within the limits of unparsed input.
     */
    void updateReading(InboundConnection connection) {
        ReadPause pause = connection.transportConnection.isOpen() ? pauseReason(connection) : null;
        ReadPause before = connection.readPause;
        if (pause == before) {
            return;
        }
        connection.readPause = pause;
        if (pause != null) {
            invariants.count("ingress reading paused " + pause);
            events.log(() -> "connection of " + connection.peerAddress() + " reading paused: " + pause);
            connection.inputStatistics.paused(pause, loop.nowUs());
        } else {
            connection.inputStatistics.resumed(loop.nowUs());
        }
        countWaits(before, pause);
        if (before == null || pause == null) {
            pausedConnections += pause == null ? -1 : 1;
            enableReading(connection, pause == null);
        }
    }

    /** Why nothing should be read from the connection at present; null if it should. */
    private static ReadPause pauseReason(InboundConnection connection) {
        boolean mayWait = !connection.isClosing() && !connection.hasUnansweredRequest();
        if (mayWait && connection.throttled) {
            return ReadPause.THROTTLED;
        } else if (mayWait && connection.budgetWaitSinceUs != 0) {
            return ReadPause.WAITS_FOR_MEMORY;
        }
        return connection.discardPaused ? ReadPause.DISCARDED_TOO_MUCH : null;
    }

    /** Counts when input begins and ends to wait in the kernel until it can be used. */
    private void countWaits(ReadPause before, ReadPause after) {
        boolean waited = before != null && before.keepsInput();
        boolean waits = after != null && after.keepsInput();
        if (waits != waited) {
            invariants.count(waits ? "ingress held back" : "ingress read on");
        }
    }

    /** Whether nothing is read from the connection at present. */
    boolean isPaused(InboundConnection connection) {
        return connection.readPause != null;
    }

    private static void enableReading(InboundConnection connection, boolean enabled) {
        if (!connection.transportConnection.isOpen()) {
            return;
        }
        try {
            if (enabled) {
                ((NIOConnection) connection.transportConnection).enableIOEvent(IOEvent.READ);
            } else {
                ((NIOConnection) connection.transportConnection).disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            connection.transportConnection.closeSilently();
        }
    }
}
