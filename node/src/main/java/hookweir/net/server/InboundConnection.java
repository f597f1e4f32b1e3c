package hookweir.net.server;

import hookweir.timer.TimerWheel;
import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Connection;

/** One accepted connection. Belongs to the loop's thread. */
public final class InboundConnection {
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
    static final int COST_IN_USE = 8;
    /** The cost of one whose first request may be on the way, and of one on which a request is being written. */
    static final int COST_REQUEST_EXPECTED = 6;
    private static final int COST_RECEIVING = 7;
    /** A good client begins its first request sooner than this after connecting... */
    static final long FIRST_REQUEST_DUE_US = 400_000;
    private static final long RECENT_USE_US = 1_000_000;
    /** ...and has written any request by this. */
    private static final long REQUEST_TRANSFER_US = 2_200_000;

    final Connection<?> transportConnection;
    final long openedUs;
    /** The request being answered, or null. */
    InboundRequest currentRequest;
    /** Requests that a client sent ahead of its answers. */
    final Deque<InboundRequest> pipelined = new ArrayDeque<>();
    /** Runs if the client disconnects before its answer. */
    Runnable onDisconnect;
    long lastUsedUs;
    /** It brought a whole request once. */
    boolean requestReceived;
    boolean carriesCallbacks;
    boolean carriesJobs;
    private Phase phase = Phase.OPEN;
    /** Bad requests in a row. */
    int consecutiveBadRequests;
    /** No request is parsed for a while, as there were too many bad ones. */
    boolean throttled;
    /** Reading is off, as the connection is throttled or a body waits for room. */
    boolean readingPaused;
    /** The status that ends the connection after the pending answers, as further input can't be parsed; or 0. */
    int errorStatus;

    final RequestDecoder decoder = new RequestDecoder();
    /** When the request that was read in part began; 0 between requests. */
    long partialRequestSinceUs;
    /** Room reserved for the body that is being read. */
    int reservedBytes;
    /** The body being read is that of a worker's call-back. */
    boolean receivingCallback;
    /** Since when a body waits for room; 0 while none does. */
    long budgetWaitSinceUs;
    /** Input that was read and can't be parsed yet, or null. */
    byte[] unparsedInput;
    /** Bytes of responses that the client has not taken. */
    int unwrittenBytes;
    /** Since when the client has taken none of them; 0 where there are none. */
    long unwrittenSinceUs;
    /** Bytes discarded since the last pause. */
    int discardedBytes;
    /** Reading is off for a while, as too much was discarded. */
    boolean discardPaused;
    /** The time limit of a lingering close. */
    TimerWheel.Timer lingerTimer;

    InboundConnection(Connection<?> connection, long openedUs) {
        this.transportConnection = connection;
        this.openedUs = openedUs;
        this.lastUsedUs = openedUs;
    }

    /** The address that it came from, for the log. */
    String peerAddress() {
        return String.valueOf(transportConnection.getPeerAddress());
    }

    /** Goes on to a later phase; false where it is there already, or further. */
    boolean advanceTo(Phase next) {
        if (next.compareTo(phase) <= 0) {
            return false;
        }
        phase = next;
        return true;
    }

    /** It can take no further answer. */
    boolean isClosing() {
        return phase.compareTo(Phase.FINAL_RESPONSE) >= 0;
    }

    /** Further input is discarded. */
    boolean ignoresInput() {
        return phase != Phase.OPEN;
    }

    /** Its output is shut, or it is gone. */
    boolean isOutputShut() {
        return phase.compareTo(Phase.LINGERING) >= 0;
    }

    /**
     * What its end would cost, {@link #COST_IN_USE} at most. A client whose kept connection ends opens another, so that costs
     * less than a young one: a new connection for each job is what some good clients use, and some write it for 2 s.
     */
    int evictionCost(long now) {
        if (isOutputShut() || isClosing() && unwrittenSinceUs != 0 && now - unwrittenSinceUs > RECENT_USE_US) {
            return 0; // it had its last response, or does not take it
        } else if (isClosing()) {
            return COST_IN_USE;
        } else if (!isIdle()) {
            return COST_IN_USE;
        } else if (budgetWaitSinceUs != 0) {
            return COST_IN_USE; // it is not its client that is slow
        } else if (partialRequestSinceUs != 0) {
            return now - partialRequestSinceUs > REQUEST_TRANSFER_US ? 3 : COST_RECEIVING;
        } else if (!requestReceived) {
            return now - openedUs > FIRST_REQUEST_DUE_US ? 1 : COST_REQUEST_EXPECTED;
        }
        if ((carriesCallbacks || carriesJobs) && now - lastUsedUs < RECENT_USE_US) {
            return COST_REQUEST_EXPECTED; // its next request may be on the way already
        }
        return carriesCallbacks ? 5 : carriesJobs ? 4 : 2;
    }

    /** A client's kept connection between requests: it may be closed and nothing is lost. */
    boolean isIdleKeepAlive() {
        return isInactive() && requestReceived && !carriesCallbacks;
    }

    /** It may be ended now for the scheduler's own sake: it rests, or its first request is overdue. */
    boolean mayClose(long now) {
        return isIdleKeepAlive() || isInactive() && !requestReceived && now - openedUs > FIRST_REQUEST_DUE_US;
    }

    /** Nothing comes in on it, or waits, or is answered, and its end is not yet under way. */
    boolean isInactive() {
        return isIdle() && partialRequestSinceUs == 0 && unparsedInput == null && !ignoresInput();
    }

    /** Behind the request being answered there is none that was read. */
    boolean hasNoPipelinedInput() {
        return pipelined.isEmpty() && unparsedInput == null;
    }

    /** It waits for a request. */
    boolean isIdle() {
        return currentRequest == null && pipelined.isEmpty();
    }
}
