package hookweir.membership;

/**
 * A lease on the worker list: whether this scheduler may send requests to workers, by which list, and until when. It is a state machine
 * without I/O or a clock. Its host reports the events, each with its time in µs, and checks {@link #isValidAt} before it writes the first
 * byte of an attempt.
 *
 * <p>A scheduler counts as notified of a change of the list at most {@value #NOTIFICATION_DEADLINE_US} µs after the list service had the
 * change and was reachable, whether or not the change arrived; after a move to another list service the time is shorter. A response of
 * the service therefore grants a lease for less than that time. Proof that the service is unreachable grants one too, provided that no
 * update can have been missed before: since the list was last known to be complete, no call that reached the service has ended without
 * the list, and no watch has gone silent. A response without the list, such as 503, grants no lease, because the service may have
 * updates that the scheduler can't get. While the lease is expired nothing is sent: requests are held as long as they can still be served
 * in time, and then rejected.
 *
 * <p>Transitions, where "-" means unchanged:
 *
 * <pre>
 *   event                                   phase                      lease expires at           no update missed
 *   confirmed                               CONFIRMED                  confirmation + term        yes
 *   call refused, no update missed          CACHED after {@value #REFUSALS_UNTIL_UNREACHABLE} in a row    start of the call + term   -
 *   call refused, update may be missed      same as above              -                          no
 *   call unanswered, lists polled           -                          -                          no
 *   call unanswered, lists pushed           same as a refused call: an agent is silent only while it receives no updates
 *   watch ended                             -                          -                          -
 *   watch silent                            -                          -                          no
 *   host's start timeout while PENDING      CACHED                     -; now + term if lists are pushed
 *   list service moved                      -                          at most now + move term    no
 * </pre>
 *
 * <p>Refused calls extend a lease only from phase CACHED on; before that nothing is sent. One gap is accepted: if a worker leaves the list
 * just before an outage of the service, while neither this process nor its predecessor is running, neither learns of it.
 */
public final class ListLease {
    /** What is known about the list. The phase only ever advances. */
    public enum Phase {
        /** No usable list: requests are held and none is sent to a worker. */
        PENDING,
        /** The list that the previous process cached is in use; the list service has not sent a list to this process. */
        CACHED,
        /** The list service has sent its list to this process. */
        CONFIRMED
    }

    /** A scheduler counts as notified of an update this long after the list service had the update and was reachable. */
    public static final long NOTIFICATION_DEADLINE_US = 6_000_000;
    /** The same after a move of the list service, counted from the signal that reloaded the configuration with the new address. */
    public static final long MOVE_NOTIFICATION_DEADLINE_US = 4_000_000;
    /**
     * The lease expires this long before the notification deadline, because the process may be paused between reading the clock and
     * writing to the socket. The drain grace period comes on top.
     */
    static final long SAFETY_MARGIN_US = 100_000;
    /** A single refused call may be a restart of the list service; after this many in a row it counts as unreachable. */
    static final int REFUSALS_UNTIL_UNREACHABLE = 2;
    private static final long TERM_US = NOTIFICATION_DEADLINE_US - SAFETY_MARGIN_US;

    private Phase phase = Phase.PENDING;
    private boolean listsPushed;
    private int consecutiveRefusals;
    private long expiresAtUs;
    /** As far as this process can tell, it has received every update that the service had while it was reachable. */
    private boolean noUpdateMissed = true;

    /**
     * Creates a lease that has not started yet.
     *
     * @param pushed true if lists are pushed to an agent on this machine, which responds at once or is silent while it receives no updates
     */
    public ListLease(boolean pushed) {
        this.listsPushed = pushed;
    }

    /** Sets whether lists are pushed, after a reload of the configuration. */
    public void setListsPushed(boolean pushed) {
        listsPushed = pushed;
    }

    /** Returns the current phase. */
    public Phase phase() {
        return phase;
    }

    /** Returns true while no list may be used. */
    public boolean isPending() {
        return phase == Phase.PENDING;
    }

    /** Returns whether the first byte of an attempt may be sent now. */
    public boolean isValidAt(long nowUs) {
        return nowUs < expiresAtUs;
    }

    /** Returns the time from which no attempt may start. */
    public long expiresAtUs() {
        return expiresAtUs;
    }

    /**
     * Records that the list service sent its list, a change to it, or a message that nothing has changed.
     *
     * @param readUs the earliest time at which the data just read can have been written
     */
    public void confirmed(long readUs) {
        phase = Phase.CONFIRMED;
        noUpdateMissed = true;
        consecutiveRefusals = 0;
        expiresAtUs = Math.max(expiresAtUs, readUs + TERM_US);
    }

    /**
     * Records a failed call to the list service.
     *
     * @param startedUs start of the call: a failure to reach the service happened no earlier than this
     */
    public void callFailed(ListCallFailure failure, long startedUs) {
        switch (failure) {
            case REFUSED -> unreachable(startedUs);
            case UNANSWERED -> unanswered(startedUs);
            case WATCH_SILENT -> noUpdateMissed = false;
            case WATCH_ENDED -> { }
        }
    }

    private void unanswered(long startedUs) {
        consecutiveRefusals = 0;
        if (listsPushed) {
            extend(startedUs);
        } else {
            noUpdateMissed = false;
        }
    }

    private void unreachable(long startedUs) {
        consecutiveRefusals++;
        if (phase == Phase.PENDING && consecutiveRefusals >= REFUSALS_UNTIL_UNREACHABLE) {
            phase = Phase.CACHED;
        }
        extend(startedUs);
    }

    /** Extends the lease, as the service was unreachable at this time. */
    private void extend(long atUs) {
        if (phase != Phase.PENDING && noUpdateMissed) {
            expiresAtUs = Math.max(expiresAtUs, atUs + TERM_US);
        }
    }

    /**
     * Records that the host's start timeout has passed: the process accepts requests from now on. It sends them by the cached worker list
     * only if the list service is unreachable.
     */
    public void startTimeoutReached(long nowUs) {
        if (phase != Phase.PENDING) {
            return;
        }
        phase = Phase.CACHED;
        if (listsPushed) {
            expiresAtUs = nowUs + TERM_US;
        }
    }

    /** Shortens the lease, as the reloaded configuration names another list service, whose updates count after a shorter time. */
    public void serviceMoved(long nowUs) {
        noUpdateMissed = false;
        expiresAtUs = Math.min(expiresAtUs, nowUs + MOVE_NOTIFICATION_DEADLINE_US - SAFETY_MARGIN_US);
    }

    /** Returns an independent copy. */
    ListLease copy() {
        ListLease copy = new ListLease(listsPushed);
        copy.phase = phase;
        copy.consecutiveRefusals = consecutiveRefusals;
        copy.expiresAtUs = expiresAtUs;
        copy.noUpdateMissed = noUpdateMissed;
        return copy;
    }

    @Override
    public String toString() {
        return phase + (noUpdateMissed ? "" : ", may have missed an update") + ", " + consecutiveRefusals + " consecutive refusals";
    }
}
