package hookweir.net.server;

import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.room.ResourceBudget;

/**
 * Looks through all connections at intervals and ends those that are silent, too slow, or not to be kept any longer. Belongs
 * to the loop.
 */
final class ConnectionSweep {
    private static final long INTERVAL_US = 200_000;
    /** A kept connection may stand unused for so long. */
    private static final long IDLE_LIMIT_US = 60_000_000;
    /**
     * From accepting a connection to the end of its first request, and from a request's first byte to its last. Good
     * clients may write for 2 s, and bad ones are owed an answer within 3 s, the sweep's interval included.
     */
    private static final long REQUEST_LIMIT_US = 2_500_000;
    /** A job's body waits so long for room; good clients still have time to go elsewhere then. */
    private static final long ROOM_WAIT_LIMIT_US = 500_000;
    /** A client that does not read its answer may be cut off after so long, while results lack room. */
    private static final long UNWRITTEN_LIMIT_US = 3_000_000;

    private final Loop loop;
    private final Invariants invariants;
    private final ResourceBudget room;
    private final ConnectionTable connections;
    private final BodyAdmission admission;
    private final ConnectionCloser closer;
    private boolean sendingAway;

    ConnectionSweep(Loop loop, Invariants invariants, ResourceBudget room, ConnectionTable connections, BodyAdmission admission,
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
        if (connections.isFull()) {
            connections.fit();
        }
        for (IngressConnection c : connections.snapshot()) {
            check(c, now);
        }
        loop.schedule(INTERVAL_US, this::run);
    }

    private void check(IngressConnection c, long now) {
        if (c.unwrittenSinceUs != 0 && now - c.unwrittenSinceUs > UNWRITTEN_LIMIT_US && room.isOutputBacklogged()) {
            invariants.count("ingress answer not read");
            closer.closing(c, CloseReason.ANSWER_NOT_READ);
            c.connection.terminateSilently();
        } else if (c.waitingSinceUs != 0) {
            if (now - c.waitingSinceUs > ROOM_WAIT_LIMIT_US && !c.callback && !c.closing()) {
                admission.reject(c, c.framing.kind());
            }
        } else if (!c.closing() && c.idle()) {
            checkIdle(c, now);
        }
    }

    private void checkIdle(IngressConnection c, long now) {
        boolean partial = c.partialSinceUs != 0;
        boolean slow = partial ? now - c.partialSinceUs > REQUEST_LIMIT_US : !c.proven && now - c.openedUs > REQUEST_LIMIT_US;
        if (slow && partial && c.framing.path() != null && BodyReservations.isCallback(c.framing.path())) {
            // An answer, whatever its status, would end the worker's retries, and with them the job.
            invariants.count("ingress slow call-back");
            closer.close(c, CloseReason.SLOW_CALLBACK);
        } else if (slow && partial) {
            invariants.count("ingress slow request");
            c.errorStatus = HttpStatus.REQUEST_TIMEOUT;
            closer.closeWithError(c);
        } else if (sendingAway && c.mayLeave(now)) {
            closer.close(c, CloseReason.SENT_AWAY);
        } else if (slow || now - c.lastUsedUs > IDLE_LIMIT_US) {
            invariants.count("ingress silent");
            closer.close(c, CloseReason.SILENT);
        }
    }

    /** Whether clients are being sent away. */
    boolean isSendingAway() {
        return sendingAway;
    }

    /** Sends clients away, beginning with idle connections once their unread input has been read, or keeps them again. */
    void sendAway(boolean on) {
        sendingAway = on;
        loop.afterIoRound(() -> {
            long now = loop.nowUs();
            for (IngressConnection c : connections.snapshot()) {
                if (sendingAway && c.mayLeave(now)) {
                    closer.close(c, CloseReason.SENT_AWAY);
                }
            }
        });
    }
}
