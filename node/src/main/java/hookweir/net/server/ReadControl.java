package hookweir.net.server;

import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.server.InboundConnection.Phase;
import java.io.IOException;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Pauses and resumes reading from connections, discards input that is of no use, and counts the bytes that were read and not
 * yet parsed. Belongs to the loop.
 */
final class ReadControl {
    /** So much is read and discarded at a time; reading from a sender of more is paused for so long, again and again. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    private static final long DISCARD_PAUSE_US = 100_000;

    private final Loop loop;
    private final Invariants invariants;
    private final BodyReservations reservations;
    private int unparsedBytes;

    ReadControl(Loop loop, Invariants invariants, BodyReservations reservations) {
        this.loop = loop;
        this.invariants = invariants;
        this.reservations = reservations;
    }

    /** Bytes that were read and not yet parsed, of all connections. */
    int unparsedBytes() {
        return unparsedBytes;
    }

    /** Replaces the connection's unparsed input; null where there is none. */
    void setUnparsedInput(InboundConnection c, byte[] bytes) {
        unparsedBytes += (bytes == null ? 0 : bytes.length) - (c.unparsedInput == null ? 0 : c.unparsedInput.length);
        c.unparsedInput = bytes;
    }

    /** Ignores all further input of the connection, of which so many bytes were just discarded. */
    void discardInput(InboundConnection c, int bytes) {
        c.advanceTo(Phase.IGNORING_INPUT);
        reservations.consume(c, 0);
        if (c.isOutputShut() && bytes > 0) {
            invariants.count("ingress bytes after the end");
        }
        c.discardedBytes += bytes;
        if (c.discardedBytes > MAX_DISCARDED_BYTES && !c.discardPaused) {
            pauseDiscarding(c);
        }
    }

    /** Reading goes on after a pause, as the client's end of input has to be seen: its earlier requests may still wait for a worker. */
    private void pauseDiscarding(InboundConnection c) {
        c.discardPaused = true;
        enableReading(c, false);
        loop.schedule(DISCARD_PAUSE_US, () -> {
            c.discardPaused = false;
            c.discardedBytes = 0;
            if (c.transportConnection.isOpen()) {
                enableReading(c, true);
            }
        });
    }

    /**
     * Pauses reading while a body waits for room or the connection is throttled, so that further input stays in the kernel.
     * Guards memory against bodies that find no room, and the loop against clients that keep sending bad requests.
     */
    void updateReading(InboundConnection c) {
        boolean paused = !c.isClosing() && (c.throttled || c.budgetWaitSinceUs != 0);
        if (paused != c.readingPaused) {
            c.readingPaused = paused;
            invariants.count(paused ? "ingress held back" : "ingress read on");
            enableReading(c, !paused);
        }
    }

    private static void enableReading(InboundConnection c, boolean enabled) {
        try {
            if (enabled) {
                ((NIOConnection) c.transportConnection).enableIOEvent(IOEvent.READ);
            } else {
                ((NIOConnection) c.transportConnection).disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            c.transportConnection.closeSilently();
        }
    }
}
