package hookweir.membership;

/**
 * What a process that has just started knows of its workers, and by which list it may send requests to them. A state machine
 * without I/O and clock; its host reports the events and acts on the phase.
 *
 * <pre>
 *   PENDING    list received, or confirmed as unchanged      CONFIRMED
 *   PENDING    {@value #REFUSALS} refusals in a row                     CACHED
 *   PENDING    the host's time limit                         CACHED
 *   CACHED     list received, or confirmed as unchanged      CONFIRMED
 * </pre>
 *
 * <p>The list that the previous process held last may name workers that have left since then; that counts as told to this
 * process as soon as the list service can be reached. So nothing is sent by it while an answer may still come.
 */
public final class Startup {
    /** How far the start has come; it only ever goes on. */
    public enum Phase {
        /** Nothing is known for certain: requests are held, none is sent to a worker. */
        PENDING,
        /** The list service can't be reached: requests go by the list as last held. */
        CACHED,
        /** The list service has spoken to this process: requests go by its list. */
        CONFIRMED
    }

    /** One refusal may be a restart of the list service; after so many in a row it counts as out of reach. */
    static final int REFUSALS = 2;

    private Phase phase = Phase.PENDING;
    private int refusals;

    /** The present phase. */
    public Phase phase() {
        return phase;
    }

    /** True while no request may be sent. */
    public boolean isPending() {
        return phase == Phase.PENDING;
    }

    /** The list service sent its list or the changes to the list as last held, or said that there were none. */
    public void confirmed() {
        phase = Phase.CONFIRMED;
    }

    /** A call to the list service failed. */
    public void callFailed(CallFailure failure) {
        refusals = failure == CallFailure.REFUSED ? refusals + 1 : 0;
        if (refusals >= REFUSALS) {
            giveUpWaiting();
        }
    }

    /** The host's limit on the start is over: a process that never serves is worse than one that serves by an old list. */
    public void timeLimitReached() {
        giveUpWaiting();
    }

    private void giveUpWaiting() {
        if (phase == Phase.PENDING) {
            phase = Phase.CACHED;
        }
    }
}
