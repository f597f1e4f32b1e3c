package hookweir.net.ingress;

import hookweir.timer.TimerWheel;
import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Connection;

/** One accepted connection. Belongs to the loop's thread. */
public final class IngressConnection {
    /** How far its life has come; it only ever goes on. */
    enum Phase {
        /** Requests are read and answered. */
        OPEN,
        /** Nothing that comes in is looked at any more; what was taken is still answered. */
        DEAF,
        /** Its last answer is being written, and nothing follows that one. */
        LAST_WORD,
        /** Its output is shut. What comes in is dropped, until the client's end or a bound. */
        LINGERING,
        /** It is gone. */
        CLOSED
    }

    /** The cost of one that is in use. */
    static final int NEEDED = 8;
    /** The cost of one whose first request may be on the way, and of one on which a request is being written. */
    static final int YOUNG = 6;
    private static final int WRITES = 7;
    /** A good client begins its first request sooner than this after connecting... */
    static final long DUE_US = 400_000;
    private static final long RECENT_US = 1_000_000;
    /** ...and has written any request by this. */
    private static final long WRITTEN_US = 2_200_000;

    final Connection<?> connection;
    final long openedUs;
    /** The request being answered, or null. */
    IngressRequest current;
    /** Requests that a client sent ahead of its answers. */
    final Deque<IngressRequest> ahead = new ArrayDeque<>();
    /** Runs if the client leaves before its answer. */
    Runnable onGone;
    long lastUsedUs;
    /** It brought a whole request once. */
    boolean proven;
    boolean carriesCallbacks;
    boolean carriesJobs;
    private Phase phase = Phase.OPEN;
    /** Requests in a row that were no good; whether reading pauses for them; whether it pauses at all. */
    int errors;
    boolean penance;
    boolean held;
    /** What can't be read came after the requests held: this is the status to end with, or 0. */
    int fault;

    final Framing framing = new Framing();
    /** When the message that is coming in began; 0 between messages. */
    long insideSinceUs;
    /** So much room is counted for the body that is coming in, and whether it is a worker's call. */
    int reserved;
    boolean callback;
    /** Since when a body waits for room; 0 while none does. */
    long waitsSinceUs;
    /** What was read and can't be looked at yet, or null. */
    byte[] rest;
    /** Bytes written that the peer has not taken, and since when it takes none. */
    int unread;
    long unreadSinceUs;
    /** Bytes that came in and were not looked at. */
    int dropped;
    /** Reading rests, as its sender sends for nothing. */
    boolean stalled;
    /** The bound of a lingering close. */
    TimerWheel.Timer linger;

    IngressConnection(Connection<?> connection, long openedUs) {
        this.connection = connection;
        this.openedUs = openedUs;
        this.lastUsedUs = openedUs;
    }

    /** Goes on to a later phase; false where it is there already, or further. */
    boolean enter(Phase next) {
        if (next.compareTo(phase) <= 0) {
            return false;
        }
        phase = next;
        return true;
    }

    /** It can take no further answer. */
    boolean closing() {
        return phase.compareTo(Phase.LAST_WORD) >= 0;
    }

    /** Nothing that comes in is looked at. */
    boolean deaf() {
        return phase != Phase.OPEN;
    }

    /** Its output is shut, or it is gone. */
    boolean ended() {
        return phase.compareTo(Phase.LINGERING) >= 0;
    }

    /**
     * What its end would cost, {@link #NEEDED} at most. A client whose kept connection ends opens another, so that costs
     * less than a young one: a new connection for each job is what some good clients use, and some write it for 2 s.
     */
    int cost(long now) {
        long inside = insideSinceUs;
        if (ended() || closing() && unreadSinceUs != 0 && now - unreadSinceUs > RECENT_US) {
            return 0; // it had its last word, or does not take it
        } else if (closing()) {
            return NEEDED;
        } else if (!idle()) {
            return NEEDED;
        } else if (waitsSinceUs != 0) {
            return NEEDED; // it is not its client that is slow
        } else if (inside != 0) {
            return now - inside > WRITTEN_US ? 3 : WRITES;
        } else if (!proven) {
            return now - openedUs > DUE_US ? 1 : YOUNG;
        }
        if ((carriesCallbacks || carriesJobs) && now - lastUsedUs < RECENT_US) {
            return YOUNG; // its next request may be on the way already
        }
        return carriesCallbacks ? 5 : carriesJobs ? 4 : 2;
    }

    /** A client's kept connection between requests: it may be closed and nothing is lost. */
    boolean resting() {
        return isQuiet() && proven && !carriesCallbacks;
    }

    /** It may be ended now for the scheduler's own sake: it rests, or its first request is overdue. */
    boolean mayLeave(long now) {
        return resting() || isQuiet() && !proven && now - openedUs > DUE_US;
    }

    /** Nothing comes in on it, or waits, or is answered, and its end is not yet under way. */
    boolean isQuiet() {
        return idle() && insideSinceUs == 0 && rest == null && !deaf();
    }

    /** Behind the request being answered there is none that was read. */
    boolean nothingAhead() {
        return ahead.isEmpty() && rest == null;
    }

    /** It waits for a request. */
    boolean idle() {
        return current == null && ahead.isEmpty();
    }
}
