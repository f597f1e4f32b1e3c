package hookweir.net.server;

import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.room.ResourceBudget;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Decides whether a request body may be read: reserves memory for it, queues its connection until memory is available (first
 * come, first served), or rejects the request. Belongs to the loop.
 */
final class BodyAdmission {
    /** How long a job's body waits for memory at most. It leaves well-behaved clients enough time to try another scheduler. */
    private static final long MAX_WAIT_US = 500_000;
    /** The share of a client's own time that it waits at most, for the same reason. */
    private static final double MAX_WAIT_SHARE = 0.5;

    private final Loop loop;
    private final Invariants invariants;
    private final ResourceBudget budget;
    private final RequestHandler handler;
    private final ReadControl readControl;
    private final ConnectionCloser closer;
    private final ResponseWriter writer;
    private final ConnectionTable connections;
    private final Consumer<InboundConnection> readBuffered;
    /** Connections whose body waits for memory, in order of arrival. */
    private final Set<InboundConnection> waitingConnections = new LinkedHashSet<>();
    private boolean retryPosted;

    /**
     * Creates an admission control for this memory budget.
     *
     * @param readBuffered parses a connection's buffered input once its body is admitted
     */
    BodyAdmission(Loop loop, Invariants invariants, ResourceBudget budget, RequestHandler handler, ReadControl readControl, ConnectionCloser closer,
            ResponseWriter writer, ConnectionTable connections, Consumer<InboundConnection> readBuffered) {
        this.loop = loop;
        this.invariants = invariants;
        this.budget = budget;
        this.handler = handler;
        this.readControl = readControl;
        this.closer = closer;
        this.writer = writer;
        this.connections = connections;
        this.readBuffered = readBuffered;
    }

    /**
     * Reserves memory for the announced body, or queues the connection for it and returns false. Also returns true if the
     * request was rejected.
     */
    boolean admit(InboundConnection connection) {
        int bytes = connection.decoder.announcedBodyBytes();
        connection.receivingCallback = RequestReservations.isCallback(connection.decoder.path());
        if (exceedsClientLimit(connection, connection.decoder.path())) {
            reject(connection, connection.decoder.className());
            return true;
        }
        ResourceBudget.Admission admission = connection.receivingCallback ? budget.reserveResult(bytes)
            : budget.reserveBody(handler.classNumber(connection.decoder.className()), bytes);
        if (admission == ResourceBudget.Admission.ADMIT) {
            connection.reservedBytes = bytes;
            connection.decoder.admitBody();
            if (connection.decoder.takeExpectContinue()) {
                writer.writeContinue(connection);
            }
            return true;
        }
        if (connection.budgetWaitSinceUs == 0) {
            invariants.count("ingress waits for room");
            startWaiting(connection);
            readControl.updateReading(connection);
        }
        return false;
    }

    private void startWaiting(InboundConnection connection) {
        connection.budgetWaitSinceUs = loop.nowUs();
        waitingConnections.add(connection);
        if (!connection.receivingCallback) {
            long clientWaitsUs = handler.timeoutUs(connection.decoder.className(), connection.decoder.deadlineMs());
            long limitUs = Math.min(MAX_WAIT_US, (long) (clientWaitsUs * MAX_WAIT_SHARE));
            connection.budgetWaitTimer = loop.schedule(limitUs, () -> waitedTooLong(connection));
        }
    }

    private void waitedTooLong(InboundConnection connection) {
        if (!connection.isClosing()) {
            reject(connection, connection.decoder.className());
        }
    }

    private void endWaiting(InboundConnection connection) {
        waitingConnections.remove(connection);
        connection.budgetWaitSinceUs = 0;
        if (connection.budgetWaitTimer != null) {
            connection.budgetWaitTimer.cancel();
            connection.budgetWaitTimer = null;
        }
    }

    /**
     * Whether clients hold all the connections they may and none of them can be closed. The remaining connections are for
     * workers' callbacks.
     */
    boolean exceedsClientLimit(InboundConnection connection, String path) {
        return !connection.carriesJobs && connections.isClientLimitReached() && handler.isJob(path) && !connections.evictIdleClient();
    }

    /** Called when memory was released: retries the waiting connections in the loop's next turn. */
    void budgetReleased() {
        if (!waitingConnections.isEmpty() && !retryPosted) {
            retryPosted = true;
            loop.post(this::retryWaiting);
        }
    }

    private void retryWaiting() {
        retryPosted = false;
        for (InboundConnection connection : new ArrayList<>(waitingConnections)) {
            if (!connection.isClosing() && admit(connection)) {
                resume(connection);
            }
        }
    }

    private void resume(InboundConnection connection) {
        if (connection.ignoresInput()) {
            return; // the request was rejected
        }
        endWaiting(connection);
        connection.partialRequestSinceUs = loop.nowUs(); // waiting for memory does not count towards the client's time limit
        readBuffered.accept(connection);
        readControl.updateReading(connection);
    }

    /** Rejects the request being read for lack of memory. The client gets the error after its pending responses. */
    void reject(InboundConnection connection, String className) {
        invariants.count("ingress turned away for room");
        endWithRejection(connection, className);
    }

    /** Whether a job is being received, or waits for memory. */
    boolean isReceivingJob(InboundConnection connection) {
        return connection.isReceiving(handler::isJob);
    }

    /** Rejects the job being received for lack of time before this process ends. */
    void rejectUnfinished(InboundConnection connection) {
        invariants.count("ingress unfinished at the end");
        endWithRejection(connection, connection.decoder.className());
    }

    private void endWithRejection(InboundConnection connection, String className) {
        endWaiting(connection);
        readControl.setUnparsedInput(connection, null);
        handler.jobRejected(className);
        readControl.discardInput(connection, 0);
        readControl.updateReading(connection);
        closer.closeWithErrorAfterPending(connection, HttpStatus.TOO_MANY_REQUESTS);
    }

    /** Removes a closed connection from the queue. */
    void connectionClosed(InboundConnection connection) {
        endWaiting(connection);
    }
}
