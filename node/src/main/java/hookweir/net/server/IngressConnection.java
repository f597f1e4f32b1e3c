package hookweir.net.server;

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
        /** Further input is discarded; the requests that were read are still answered. */
        IGNORING_INPUT,
        /** Its last response is being written. */
        FINAL_RESPONSE,
        /** Its output is shut. Input is discarded until the client's end or a time limit. */
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
    final Deque<IngressRequest> pipelined = new ArrayDeque<>();
    /** Runs if the client disconnects before its answer. */
    Runnable onDisconnect;
    long lastUsedUs;
    /** It brought a whole request once. */
    boolean proven;
    boolean carriesCallbacks;
    boolean carriesJobs;
    private Phase phase = Phase.OPEN;
    /** Bad requests in a row. */
    int badRequests;
    /** No request is parsed for a while, as there were too many bad ones. */
    boolean throttled;
    /** Reading is off, as the connection is throttled or a body waits for room. */
    boolean readingPaused;
    /** The status that ends the connection after the pending answers, as further input can't be parsed; or 0. */
    int errorStatus;

    final Framing framing = new Framing();
    /** When the request that was read in part began; 0 between requests. */
    long partialSinceUs;
    /** Room reserved for the body that is being read. */
    int reservedBytes;
    /** The body being read is that of a worker's call-back. */
    boolean callback;
    /** Since when a body waits for room; 0 while none does. */
    long waitingSinceUs;
    /** Input that was read and can't be parsed yet, or null. */
    byte[] unparsed;
    /** Bytes of responses that the client has not taken. */
    int unwrittenBytes;
    /** Since when the client has taken none of them; 0 where there are none. */
    long unwrittenSinceUs;
    /** Bytes discarded since the last pause. */
    int discardedBytes;
    /** Reading is off for a while, as too much was discarded. */
    boolean discardPaused;
    /** The time limit of a lingering close. */
    TimerWheel.Timer lingerLimit;

    IngressConnection(Connection<?> connection, long openedUs) {
        this.connection = connection;
        this.openedUs = openedUs;
        this.lastUsedUs = openedUs;
    }

    /** The address that it came from, for the log. */
    String peer() {
        return String.valueOf(connection.getPeerAddress());
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
        return phase.compareTo(Phase.FINAL_RESPONSE) >= 0;
    }

    /** Further input is discarded. */
    boolean ignoresInput() {
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
        if (ended() || closing() && unwrittenSinceUs != 0 && now - unwrittenSinceUs > RECENT_US) {
            return 0; // it had its last response, or does not take it
        } else if (closing()) {
            return NEEDED;
        } else if (!idle()) {
            return NEEDED;
        } else if (waitingSinceUs != 0) {
            return NEEDED; // it is not its client that is slow
        } else if (partialSinceUs != 0) {
            return now - partialSinceUs > WRITTEN_US ? 3 : WRITES;
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
        return idle() && partialSinceUs == 0 && unparsed == null && !ignoresInput();
    }

    /** Behind the request being answered there is none that was read. */
    boolean nothingAhead() {
        return pipelined.isEmpty() && unparsed == null;
    }

    /** It waits for a request. */
    boolean idle() {
        return current == null && pipelined.isEmpty();
    }
}
