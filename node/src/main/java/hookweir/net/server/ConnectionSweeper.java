package hookweir.net.server;

import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.room.ResourceBudget;

/** Checks all connections periodically and closes those that are idle, too slow, or no longer wanted. Belongs to the loop. */
final class ConnectionSweeper {
    private static final long SWEEP_INTERVAL_US = 200_000;
    /** How long a keep-alive connection may be idle. */
    private static final long IDLE_TIMEOUT_US = 60_000_000;
    /**
     * From accepting a connection to the end of its first request, and from a request's first byte to its last. Well-behaved
     * clients may take 2 s to write a request, and others must get a response within 3 s, including the sweep interval.
     */
    private static final long REQUEST_TIMEOUT_US = 2_500_000;
    /** How long a client may leave its response unread before it may be disconnected while memory for results is short. */
    private static final long WRITE_STALL_TIMEOUT_US = 3_000_000;

    private final Loop loop;
    private final Invariants invariants;
    private final ResourceBudget budget;
    private final ConnectionTable connections;
    private final BodyAdmission admission;
    private final ConnectionCloser closer;
    private boolean draining;

    ConnectionSweeper(Loop loop, Invariants invariants, ResourceBudget budget, ConnectionTable connections, BodyAdmission admission,
            ConnectionCloser closer) {
        this.loop = loop;
        this.invariants = invariants;
        this.budget = budget;
        this.connections = connections;
        this.admission = admission;
        this.closer = closer;
    }

    /** Sweeps now and schedules the next sweep. */
    void run() {
        long now = loop.nowUs();
        if (connections.isDescriptorLimitReached()) {
            connections.enforceDescriptorLimit();
        }
        for (InboundConnection connection : connections.snapshot()) {
            check(connection, now);
        }
        loop.schedule(SWEEP_INTERVAL_US, this::run);
    }

    private void check(InboundConnection connection, long now) {
        if (connection.unwrittenSinceUs != 0 && now - connection.unwrittenSinceUs > WRITE_STALL_TIMEOUT_US && budget.isOutputBacklogged()) {
            invariants.count("ingress answer not read");
            closer.recordClose(connection, CloseReason.ANSWER_NOT_READ);
            connection.transportConnection.terminateSilently();
        } else if (connection.budgetWaitSinceUs == 0 && !connection.isClosing() && connection.isIdle()) {
            checkIdle(connection, now);
        }
    }

    private void checkIdle(InboundConnection connection, long now) {
        boolean receiving = connection.partialRequestSinceUs != 0;
        boolean timedOut = receiving ? now - connection.partialRequestSinceUs > REQUEST_TIMEOUT_US
            : !connection.requestReceived && now - connection.openedUs > REQUEST_TIMEOUT_US;
        if (timedOut && receiving && connection.isReceiving(RequestReservations::isCallback)) {
            // Any response, whatever its status, would end the worker's retries and thereby lose the job.
            invariants.count("ingress slow call-back");
            closer.close(connection, CloseReason.SLOW_CALLBACK);
        } else if (timedOut && receiving) {
            invariants.count("ingress slow request");
            connection.errorStatus = HttpStatus.REQUEST_TIMEOUT;
            closer.closeWithError(connection);
        } else if (draining && connection.mayClose(now)) {
            closer.close(connection, CloseReason.SENT_AWAY);
        } else if (timedOut || now - connection.lastUsedUs > IDLE_TIMEOUT_US) {
            invariants.count("ingress silent");
            closer.close(connection, CloseReason.SILENT);
        }
    }

    /**
     * Refuses the jobs that are being received, as there is no time left to answer them once they are complete. Connections with unanswered
     * requests are left until these have their responses. Those that have not shown yet whether they carry a job or a worker's callback are
     * left until they do, or their first request is overdue: any response to a callback would end its repetition.
     */
    void refuseUnfinishedJobs() {
        long now = loop.nowUs();
        for (InboundConnection connection : connections.snapshot()) {
            if (connection.isClosing() || !connection.isIdle()) {
                continue;
            }
            if (connection.mayClose(now)) {
                closer.close(connection, CloseReason.SENT_AWAY);
            } else if (admission.isReceivingJob(connection)) {
                admission.rejectUnfinished(connection);
            }
        }
    }

    /** Whether clients are being moved to other schedulers. */
    boolean isDraining() {
        return draining;
    }

    /**
     * Starts or stops moving clients to other schedulers. At the start it closes idle connections once their unread input
     * has been read.
     */
    void setDraining(boolean enabled) {
        draining = enabled;
        loop.afterIoRound(() -> {
            long now = loop.nowUs();
            for (InboundConnection connection : connections.snapshot()) {
                if (draining && connection.mayClose(now)) {
                    closer.close(connection, CloseReason.SENT_AWAY);
                }
            }
        });
    }
}
