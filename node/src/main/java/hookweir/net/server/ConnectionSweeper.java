package hookweir.net.server;

import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.room.ResourceBudget;

/**
 * Looks through all connections at intervals and ends those that are silent, too slow, or not to be kept any longer. Belongs
 * to the loop.
 */
final class ConnectionSweeper {
    private static final long SWEEP_INTERVAL_US = 200_000;
    /** A kept connection may stand unused for so long. */
    private static final long IDLE_TIMEOUT_US = 60_000_000;
    /**
     * From accepting a connection to the end of its first request, and from a request's first byte to its last. Good
     * clients may write for 2 s, and bad ones are owed an answer within 3 s, the sweep's interval included.
     */
    private static final long REQUEST_TIMEOUT_US = 2_500_000;
    /** A job's body waits so long for room; good clients still have time to go elsewhere then. */
    private static final long BUDGET_WAIT_TIMEOUT_US = 500_000;
    /** A client that does not read its answer may be cut off after so long, while results lack room. */
    private static final long WRITE_STALL_TIMEOUT_US = 3_000_000;

    private final Loop loop;
    private final Invariants invariants;
    private final ResourceBudget room;
    private final ConnectionTable connections;
    private final BodyAdmission admission;
    private final ConnectionCloser closer;
    private boolean draining;

    ConnectionSweeper(Loop loop, Invariants invariants, ResourceBudget room, ConnectionTable connections, BodyAdmission admission,
            ConnectionCloser closer) {
        this.loop = loop;
        this.invariants = invariants;
        this.room = room;
        this.connections = connections;
        this.admission = admission;
        this.closer = closer;
    }

    /** Sweeps now and at every interval from now on. */
    void run() {
        long now = loop.nowUs();
        if (connections.isDescriptorLimitReached()) {
            connections.enforceDescriptorLimit();
        }
        for (InboundConnection c : connections.snapshot()) {
            check(c, now);
        }
        loop.schedule(SWEEP_INTERVAL_US, this::run);
    }

    private void check(InboundConnection c, long now) {
        if (c.unwrittenSinceUs != 0 && now - c.unwrittenSinceUs > WRITE_STALL_TIMEOUT_US && room.isOutputBacklogged()) {
            invariants.count("ingress answer not read");
            closer.recordClose(c, CloseReason.ANSWER_NOT_READ);
            c.transportConnection.terminateSilently();
        } else if (c.budgetWaitSinceUs != 0) {
            if (now - c.budgetWaitSinceUs > BUDGET_WAIT_TIMEOUT_US && !c.receivingCallback && !c.isClosing()) {
                admission.reject(c, c.decoder.className());
            }
        } else if (!c.isClosing() && c.isIdle()) {
            checkIdle(c, now);
        }
    }

    private void checkIdle(InboundConnection c, long now) {
        boolean partial = c.partialRequestSinceUs != 0;
        boolean slow = partial ? now - c.partialRequestSinceUs > REQUEST_TIMEOUT_US : !c.requestReceived && now - c.openedUs > REQUEST_TIMEOUT_US;
        if (slow && partial && c.decoder.path() != null && BodyReservations.isCallback(c.decoder.path())) {
            // An answer, whatever its status, would end the worker's retries, and with them the job.
            invariants.count("ingress slow call-back");
            closer.close(c, CloseReason.SLOW_CALLBACK);
        } else if (slow && partial) {
            invariants.count("ingress slow request");
            c.errorStatus = HttpStatus.REQUEST_TIMEOUT;
            closer.closeWithError(c);
        } else if (draining && c.mayClose(now)) {
            closer.close(c, CloseReason.SENT_AWAY);
        } else if (slow || now - c.lastUsedUs > IDLE_TIMEOUT_US) {
            invariants.count("ingress silent");
            closer.close(c, CloseReason.SILENT);
        }
    }

    /** Whether clients are being sent away. */
    boolean isDraining() {
        return draining;
    }

    /** Sends clients away, beginning with idle connections once their unread input has been read, or keeps them again. */
    void setDraining(boolean on) {
        draining = on;
        loop.afterIoRound(() -> {
            long now = loop.nowUs();
            for (InboundConnection c : connections.snapshot()) {
                if (draining && c.mayClose(now)) {
                    closer.close(c, CloseReason.SENT_AWAY);
                }
            }
        });
    }
}
