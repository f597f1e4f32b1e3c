package hookweir.net.server;

import hookweir.net.Invariants;
import hookweir.room.ResourceBudget;

/** Gives room that was reserved for bodies back to the process's {@link ResourceBudget}. Belongs to the loop. */
final class BodyReservations {
    private static final String CALLBACK_PATH = "/callback";

    private final Invariants invariants;
    private final ResourceBudget room;
    private final Runnable onReleased;

    /**
     * Reservations in this room.
     *
     * @param onReleased runs after each release
     */
    BodyReservations(Invariants invariants, ResourceBudget room, Runnable onReleased) {
        this.invariants = invariants;
        this.room = room;
        this.onReleased = onReleased;
    }

    /** Whether requests for this path are workers' call-backs, whose bodies count as results. */
    static boolean isCallback(String path) {
        return path.equals(CALLBACK_PATH);
    }

    /** Ends the reservation of the message being read: its body takes so many bytes, the others are released. */
    void consume(InboundConnection c, int bodyBytes) {
        int unused = c.reservedBytes - bodyBytes;
        if (unused > 0) {
            release(c.receivingCallback, unused);
        } else if (unused < 0) {
            invariants.check(false, "a body was longer than announced");
        }
        c.reservedBytes = 0;
    }

    /** Releases the body of a whole request. */
    void release(InboundRequest request) {
        if (request.body().length > 0) {
            release(isCallback(request.path()), request.body().length);
        }
    }

    private void release(boolean callback, int bytes) {
        if (callback) {
            room.releaseResult(bytes);
        } else {
            room.releaseBody(bytes);
        }
        onReleased.run();
    }
}
