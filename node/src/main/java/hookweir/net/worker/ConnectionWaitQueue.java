package hookweir.net.worker;

import hookweir.net.Invariants;
import hookweir.net.Loop;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The calls that wait for a free connection, in order of arrival. A call keeps its place and its timeout until it gets a connection,
 * no longer needs one, or times out: an assignment offers each call at most one connection of each kind, and never queues a call
 * again. Used on the loop thread only.
 */
final class ConnectionWaitQueue {
    /** Maximum number of waiting calls, over all workers; further calls fail at once. */
    private static final int MAX_WAITING = 1024;

    private final Loop loop;
    private final Invariants invariants;
    private final Predicate<ConnectionWaiter> assignIdle;
    private final Predicate<ConnectionWaiter> assignNew;
    private final Set<ConnectionWaiter> waiting = new LinkedHashSet<>();
    private boolean assignmentScheduled;

    /**
     * Creates an empty queue.
     *
     * @param assignIdle gives a call an idle connection to its worker, now or after its reuse delay; false if there is none for it
     * @param assignNew opens a connection for a call; false if there may be no further one
     */
    ConnectionWaitQueue(Loop loop, Invariants invariants, Predicate<ConnectionWaiter> assignIdle, Predicate<ConnectionWaiter> assignNew) {
        this.loop = loop;
        this.invariants = invariants;
        this.assignIdle = assignIdle;
        this.assignNew = assignNew;
    }

    /**
     * Queues a call. Its handler is notified when it gets no connection in time, or at once if its time is over or the queue is full.
     *
     * @param timeoutUs how long the call waits if it was never queued before
     */
    void add(ConnectionWaiter waiter, long timeoutUs) {
        long now = loop.nowUs();
        if (waiter.queueUntilUs == 0) {
            waiter.queueUntilUs = now + timeoutUs;
        }
        if (now >= waiter.queueUntilUs || waiting.size() >= MAX_WAITING) {
            loop.post(() -> fail(waiter));
            return;
        }
        invariants.count("egress waits for a link");
        waiting.add(waiter);
        waiter.timeoutTimer = loop.schedule(waiter.queueUntilUs - now, () -> {
            waiting.remove(waiter);
            fail(waiter);
        });
    }

    private void fail(ConnectionWaiter waiter) {
        invariants.count("egress out of links");
        waiter.handler.connectionUnavailable();
    }

    /** Called when a connection or capacity became free: assigns it in the loop's next turn. */
    void connectionFreed() {
        if (!waiting.isEmpty() && !assignmentScheduled) {
            assignmentScheduled = true;
            loop.post(this::assign);
        }
    }

    /**
     * Offers idle connections to the calls for the same worker first, as closing one for another worker's call would cost a new
     * connection. Then opens connections for the others, in order of arrival, as long as there may be more.
     */
    private void assign() {
        assignmentScheduled = false;
        for (ConnectionWaiter waiter : new ArrayList<>(waiting)) {
            if (!waiter.worker.idleConnections.isEmpty()) {
                offer(waiter, assignIdle);
            }
        }
        for (ConnectionWaiter waiter : new ArrayList<>(waiting)) {
            if (!offer(waiter, assignNew)) {
                return;
            }
        }
    }

    /** Offers the call a connection, unless it no longer needs one. Returns whether the call has left the queue. */
    private boolean offer(ConnectionWaiter waiter, Predicate<ConnectionWaiter> assignment) {
        boolean needed = waiter.handler.needsConnection();
        if (needed && !assignment.test(waiter)) {
            return false;
        }
        if (!needed) {
            invariants.count("egress calls gone before their link");
        }
        waiting.remove(waiter);
        waiter.timeoutTimer.cancel();
        return true;
    }
}
