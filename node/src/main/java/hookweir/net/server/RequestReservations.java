package hookweir.net.server;

import hookweir.net.Invariants;
import hookweir.room.ResourceBudget;

/** Reserves memory for requests, and returns it to the process's {@link ResourceBudget}. Belongs to the loop. */
final class RequestReservations {
    private static final String CALLBACK_PATH = "/callback";

    private final Invariants invariants;
    private final ResourceBudget budget;
    private final Runnable onReleased;

    /**
     * Creates reservations in this memory budget.
     *
     * @param onReleased runs after each release
     */
    RequestReservations(Invariants invariants, ResourceBudget budget, Runnable onReleased) {
        this.invariants = invariants;
        this.budget = budget;
        this.onReleased = onReleased;
    }

    /** Whether requests for this path are workers' callbacks, whose bodies count as results. */
    static boolean isCallback(String path) {
        return path.equals(CALLBACK_PATH);
    }

    /** Adjusts the reservation of the head being read to its size; false if there is no memory for it. */
    boolean reserveHead(InboundConnection connection, int headBytes) {
        int more = ResourceBudget.chargedHeadBytes(headBytes) - connection.reservedHeadBytes;
        if (more > 0 && !budget.reserveHead(more)) {
            return false;
        }
        if (more < 0) {
            budget.releaseHead(-more);
        }
        connection.reservedHeadBytes += more;
        return true;
    }

    /** Ends the reservations of a message that was read: the request keeps its head and the bytes that its body takes. */
    void complete(InboundConnection connection, InboundRequest request) {
        connection.reservedHeadBytes = 0;
        releaseUnusedBody(connection, request.body().length);
    }

    /** Ends the reservations of a message that will not be read to its end. */
    void abandon(InboundConnection connection) {
        budget.releaseHead(connection.reservedHeadBytes);
        connection.reservedHeadBytes = 0;
        releaseUnusedBody(connection, 0);
    }

    private void releaseUnusedBody(InboundConnection connection, int bodyBytes) {
        int unused = connection.reservedBytes - bodyBytes;
        if (unused > 0) {
            release(connection.receivingCallback, unused);
        } else if (unused < 0) {
            invariants.check(false, "a body was longer than announced");
        }
        connection.reservedBytes = 0;
    }

    /** Whether the requests that wait behind others take as much memory as they may. */
    boolean isWaitingLimitReached() {
        return budget.isWaitingLimitReached();
    }

    /** Counts a request that waits behind another one on its connection. */
    void addWaiting(InboundRequest request) {
        budget.addWaiting(request.headBytes(), request.body().length);
    }

    /** Counts a request that no longer waits. */
    void removeWaiting(InboundRequest request) {
        budget.removeWaiting(request.headBytes(), request.body().length);
    }

    /** Releases the head and the body of a complete request. */
    void release(InboundRequest request) {
        budget.releaseHead(ResourceBudget.chargedHeadBytes(request.headBytes()));
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
