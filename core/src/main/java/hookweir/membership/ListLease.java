package hookweir.membership;

/**
 * A lease on the list of workers: by which list requests may be sent to workers, and until when. A state machine without I/O and
 * clock; its host reports the events, each with its time in µs, and asks {@link #isValidAt} before the first byte of an attempt.
 *
 * <p>A change of the list counts as told to a scheduler at the latest {@value #NOTIFICATION_DEADLINE_US} µs after the list service had it and could be
 * reached, whether it arrived or not; after a move to another service sooner. So an answer of the service is a lease for less than
 * that. So is proof that the service can't be reached, as long as nothing can have been missed before: the service answered no call
 * otherwise, and no watch fell silent, since the list was last known whole. An answer that says nothing of the list, such as 503, is no
 * lease: the service may have news that can't be got from it. While the lease is over nothing is sent; requests are held for as long
 * as they can still be served in time, and refused then.
 *
 * <pre>
 *   event                                     phase                       lease until             missed nothing
 *   confirmed                                 CONFIRMED                   confirmation + term     yes
 *   call refused, nothing missed              CACHED after {@value #REFUSALS_UNTIL_UNREACHABLE} in a row     call's start + term     as it was
 *   call refused, perhaps something missed    the same                    as it was               no
 *   call unanswered, lists asked for          as it was                   as it was               no
 *   call unanswered, lists pushed             as a call refused: an agent is silent only while it learns nothing
 *   watch ended                               as it was                   as it was               as it was
 *   watch silent                              as it was                   as it was               no
 *   the host's time limit while PENDING       CACHED                      as it was; where lists are pushed now + term
 *   moved to another service                  as it was                   now + move term at most no
 * </pre>
 *
 * <p>A lease that refused calls extend begins with the phase CACHED; before that nothing is sent. What left the list while neither this
 * process nor the one before it ran, just before an outage of the service, is not known to either: nothing guards against that.
 */
public final class ListLease {
    /** How far it has come to know the list; it only ever goes on. */
    public enum Phase {
        /** Nothing is known for certain: requests are held, none is sent to a worker. */
        PENDING,
        /** The list as last held by the process before is taken over; the service has not spoken to this process. */
        CACHED,
        /** The list service has spoken to this process. */
        CONFIRMED
    }

    /** What the list service has to tell counts as told so long after it had it and could be reached. */
    public static final long NOTIFICATION_DEADLINE_US = 6_000_000;
    /** The same from the signal by which the configuration moved it to another address. */
    public static final long MOVE_NOTIFICATION_DEADLINE_US = 4_000_000;
    /** So much sooner sending ends. The process may be held up between its clock and its write; the grace of a drain comes on top. */
    static final long SAFETY_MARGIN_US = 100_000;
    /** One refusal may be a restart of the list service; after so many in a row it counts as out of reach. */
    static final int REFUSALS_UNTIL_UNREACHABLE = 2;
    private static final long TERM_US = NOTIFICATION_DEADLINE_US - SAFETY_MARGIN_US;

    private Phase phase = Phase.PENDING;
    private boolean setListsPushed;
    private int consecutiveRefusals;
    private long expiresAtUs;
    /** All is known that the service had to tell while it could be reached, as far as can be seen from here. */
    private boolean noUpdateMissed = true;

    /**
     * A lease that is yet to begin.
     *
     * @param pushed lists are pushed to an agent on this machine, which answers at once or is silent while it learns nothing
     */
    public ListLease(boolean pushed) {
        this.setListsPushed = pushed;
    }

    /** Sets whether lists are pushed, as a new configuration says. */
    public void setListsPushed(boolean on) {
        setListsPushed = on;
    }

    /** The present phase. */
    public Phase phase() {
        return phase;
    }

    /** True while no list may be used. */
    public boolean isPending() {
        return phase == Phase.PENDING;
    }

    /** Whether the first byte of an attempt may be sent now. */
    public boolean isValidAt(long nowUs) {
        return nowUs < expiresAtUs;
    }

    /** No attempt may begin from then on. */
    public long expiresAtUs() {
        return expiresAtUs;
    }

    /**
     * The list service sent its list, the changes to it, or said that there were none.
     *
     * @param readUs nothing that was read then can have been written before this
     */
    public void confirmed(long readUs) {
        phase = Phase.CONFIRMED;
        noUpdateMissed = true;
        consecutiveRefusals = 0;
        expiresAtUs = Math.max(expiresAtUs, readUs + TERM_US);
    }

    /**
     * A call to the list service failed.
     *
     * @param startedUs when the call began: if the service could not be reached, then not before this moment
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
        if (setListsPushed) {
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

    /** The service could not be reached then. */
    private void extend(long atUs) {
        if (phase != Phase.PENDING && noUpdateMissed) {
            expiresAtUs = Math.max(expiresAtUs, atUs + TERM_US);
        }
    }

    /**
     * The host's limit on the start is over: the process takes clients from now on. By the list as last held it sends only where
     * the service is out of reach.
     */
    public void startTimeoutReached(long nowUs) {
        if (phase != Phase.PENDING) {
            return;
        }
        phase = Phase.CACHED;
        if (setListsPushed) {
            expiresAtUs = nowUs + TERM_US;
        }
    }

    /** A new configuration names another address of the list service; what that one has to tell counts soon. */
    public void serviceMoved(long nowUs) {
        noUpdateMissed = false;
        expiresAtUs = Math.min(expiresAtUs, nowUs + MOVE_NOTIFICATION_DEADLINE_US - SAFETY_MARGIN_US);
    }

    /** The same lease, which goes its own way from now on. */
    ListLease copy() {
        ListLease copy = new ListLease(setListsPushed);
        copy.phase = phase;
        copy.consecutiveRefusals = consecutiveRefusals;
        copy.expiresAtUs = expiresAtUs;
        copy.noUpdateMissed = noUpdateMissed;
        return copy;
    }

    @Override
    public String toString() {
        return phase + (noUpdateMissed ? "" : ", may have missed something") + ", " + consecutiveRefusals + " refusals in a row";
    }
}
