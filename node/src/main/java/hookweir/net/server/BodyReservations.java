package hookweir.net.server;

import hookweir.net.Invariants;
import hookweir.room.ResourceBudget;

/** Returns memory that was reserved for request bodies to the process's {@link ResourceBudget}. Belongs to the loop. */
final class BodyReservations {
    private static final String CALLBACK_PATH = "/callback";

    private final Invariants invariants;
    private final ResourceBudget budget;
    private final Runnable onReleased;

    /**
     * Creates reservations in this memory budget.
     *
     * @param onReleased runs after each release
     */
    BodyReservations(Invariants invariants, ResourceBudget budget, Runnable onReleased) {
        this.invariants = invariants;
        this.budget = budget;
        this.onReleased = onReleased;
    }

    /** Whether requests for this path are workers' callbacks, whose bodies count as results. */
    static boolean isCallback(String path) {
        return path.equals(CALLBACK_PATH);
    }

    /** Ends the reservation of the message being read: keeps the bytes that its body takes and releases the rest. */
    void consume(InboundConnection connection, int bodyBytes) {
        int unused = connection.reservedBytes - bodyBytes;
        if (unused > 0) {
            release(connection.receivingCallback, unused);
        } else if (unused < 0) {
            invariants.check(false, "a body was longer than announced");
        }
        connection.reservedBytes = 0;
    }

    /** Releases the body of a complete request. */
    void release(InboundRequest request) {
        if (request.body().length > 0) {
            release(isCallback(request.path()), request.body().length);
        }
    }

    private void release(boolean callback, int bytes) {
        if (callback) {
            budget.releaseResult(bytes);
        } else {
            budget.releaseBody(bytes);
        }
        onReleased.run();
    }
}
