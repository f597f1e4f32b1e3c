package hookweir.net.server;

import hookweir.timer.TimerWheel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;
import org.glassfish.grizzly.Connection;

/** One accepted connection with its state. Belongs to the loop. */
public final class InboundConnection {
    /** The phases of a connection, in order. A connection never returns to an earlier phase. */
    enum Phase {
        /** Requests are read and get their responses. */
        OPEN,
        /** Further input is discarded; requests that were already read still get their responses. */
        IGNORING_INPUT,
        /** The final response is being written. */
        FINAL_RESPONSE,
        /** The output is shut down. Input is discarded until the client closes or a time limit passes. */
        LINGERING,
        /** The connection is closed. */
        CLOSED
    }

    /** The eviction cost of a connection that is in use. */
    static final int COST_IN_USE = 8;
    /** The eviction cost of a connection whose next request may be on its way. Only connections that cost less are evicted. */
    static final int COST_REQUEST_EXPECTED = 6;
    private static final int COST_RECEIVING = 7;
    private static final int COST_IDLE_CALLBACK_CONNECTION = 5;
    private static final int COST_IDLE_JOB_CONNECTION = 4;
    private static final int COST_SLOW_REQUEST = 3;
    /** An idle connection that carried neither jobs nor callbacks, such as one for health checks. */
    private static final int COST_IDLE_OTHER = 2;
    private static final int COST_FIRST_REQUEST_OVERDUE = 1;
    /** A well-behaved client starts its first request within this time after connecting. */
    static final long FIRST_REQUEST_DUE_US = 400_000;
    private static final long RECENT_USE_US = 1_000_000;
    /** A well-behaved client finishes writing any request within this time. */
    private static final long REQUEST_TRANSFER_US = 2_200_000;

    final Connection<?> transportConnection;
    final long openedUs;
    /** The request in progress, or null. */
    InboundRequest currentRequest;
    /** Requests that the client pipelined behind the current one. */
    final Deque<InboundRequest> pipelined = new ArrayDeque<>();
    /** Runs if the client disconnects before its response. */
    Runnable onDisconnect;
    long lastUsedUs;
    /** Whether a complete request was received on this connection. */
    boolean requestReceived;
    boolean carriesCallbacks;
    boolean carriesJobs;
    private Phase phase = Phase.OPEN;
    /** The number of consecutive requests that got a 4xx status other than 429. */
    int consecutiveBadRequests;
    /** Whether parsing is suspended for a while after too many bad requests. */
    boolean throttled;
    /** Why reading is paused, or null. */
    ReadPause readPause;
    /**
     * The status of the error response that ends the connection after its pending responses, or 0. Further input is not
     * parsed.
     */
    int errorStatus;

    final RequestDecoder decoder = new RequestDecoder();
    /** When the partially read request began; 0 between requests. */
    long partialRequestSinceUs;
    /** Memory reserved for the body that is being read. */
    int reservedBytes;
    /** Memory reserved for the head that is being read, or was read and whose body is. */
    int reservedHeadBytes;
    /** Whether the body being read is that of a worker's callback. */
    boolean receivingCallback;
    /** Since when a body has been waiting for memory; 0 if none is. */
    long budgetWaitSinceUs;
    /** Limits that wait; null if there is none, or no limit. */
    TimerWheel.Timer budgetWaitTimer;
    /** Input that was read but cannot be parsed yet, or null. */
    byte[] unparsedInput;
    /** Response bytes that the client has not read yet. */
    int unwrittenBytes;
    /** Since when the client has read none of them; 0 if there are none. */
    long unwrittenSinceUs;
    /** Bytes discarded since the last pause. */
    int discardedBytes;
    /** Whether so much input was discarded that reading should pause. */
    boolean discardPaused;
    /** Whether more input may have arrived than was read. */
    boolean unreadInput;
    /** Whether the end of the client's input was read: it has closed the connection. */
    boolean inputEnded;
    final InputStatistics inputStatistics = new InputStatistics();
    /** The timer that limits a lingering close. */
    TimerWheel.Timer lingerTimer;

    InboundConnection(Connection<?> connection, long openedUs) {
        this.transportConnection = connection;
        this.openedUs = openedUs;
        this.lastUsedUs = openedUs;
    }

    /** The client's address, for the log. */
    public String peerAddress() {
        return String.valueOf(transportConnection.getPeerAddress());
    }

    /** Whether the client is known to have closed the connection, even if that was not reported yet. */
    public boolean hasDisconnected() {
        return inputEnded || !transportConnection.isOpen();
    }

    /** What became of the client's input so far, for the log. */
    public String describeInput(long nowUs) {
        return inputStatistics.describe(nowUs, unparsedInput == null ? 0 : unparsedInput.length);
    }

    /** Advances to a later phase; returns false if the connection is already in that phase or a later one. */
    boolean advanceTo(Phase next) {
        if (next.compareTo(phase) <= 0) {
            return false;
        }
        phase = next;
        return true;
    }

    /** Whether no further response can be sent: the final one has been started, or the connection is ending. */
    boolean isClosing() {
        return phase.compareTo(Phase.FINAL_RESPONSE) >= 0;
    }

    /**
     * Whether a request of the client has no response yet. While there is one, all input is read, so that the client's end is noticed: no
     * request is sent to a worker for a client that has disconnected.
     */
    boolean hasUnansweredRequest() {
        return onDisconnect != null || !pipelined.isEmpty();
    }

    /** Whether further input is discarded. */
    boolean ignoresInput() {
        return phase != Phase.OPEN;
    }

    /** Whether the output is shut down or the connection is closed. */
    boolean isOutputShut() {
        return phase.compareTo(Phase.LINGERING) >= 0;
    }

    /**
     * The cost of evicting this connection, from 0 to {@link #COST_IN_USE}. Evicting an idle keep-alive connection costs
     * less than evicting one that has not sent its first request: the client of the former reconnects, whereas some
     * well-behaved clients open a connection for each job and take up to 2 s to write it.
     */
    int evictionCost(long now) {
        if (isOutputShut() || isClosing() && unwrittenSinceUs != 0 && now - unwrittenSinceUs > RECENT_USE_US) {
            return 0; // the final response was sent, or the client does not read it
        } else if (isClosing()) {
            return COST_IN_USE;
        } else if (!isIdle()) {
            return COST_IN_USE;
        } else if (budgetWaitSinceUs != 0) {
            return COST_IN_USE; // the scheduler is the cause of the delay, not the client
        } else if (partialRequestSinceUs != 0) {
            return now - partialRequestSinceUs > REQUEST_TRANSFER_US ? COST_SLOW_REQUEST : COST_RECEIVING;
        } else if (!requestReceived) {
            return now - openedUs > FIRST_REQUEST_DUE_US ? COST_FIRST_REQUEST_OVERDUE : COST_REQUEST_EXPECTED;
        }
        if ((carriesCallbacks || carriesJobs) && now - lastUsedUs < RECENT_USE_US) {
            return COST_REQUEST_EXPECTED; // its next request may be on its way already
        }
        return carriesCallbacks ? COST_IDLE_CALLBACK_CONNECTION : carriesJobs ? COST_IDLE_JOB_CONNECTION : COST_IDLE_OTHER;
    }

    /**
     * Whether this is a keep-alive connection between requests that may be closed without losing anything. Callback
     * connections are excluded.
     */
    boolean isIdleKeepAlive() {
        return isInactive() && requestReceived && !carriesCallbacks;
    }

    /**
     * Whether the scheduler may close this connection on its own initiative: it is an idle keep-alive connection, or its
     * first request is overdue.
     */
    boolean mayClose(long now) {
        return isIdleKeepAlive() || isInactive() && !requestReceived && now - openedUs > FIRST_REQUEST_DUE_US;
    }

    /** Whether no request is being received, waiting or in progress, and the connection is not closing. */
    boolean isInactive() {
        return isIdle() && partialRequestSinceUs == 0 && unparsedInput == null && !ignoresInput();
    }

    /** Whether a request is being received, or waits for memory, and is known to be for such a path. */
    boolean isReceiving(Predicate<String> path) {
        return (partialRequestSinceUs != 0 || budgetWaitSinceUs != 0) && decoder.path() != null && path.test(decoder.path());
    }

    /** Whether no request was read behind the current one. */
    boolean hasNoPipelinedInput() {
        return pipelined.isEmpty() && unparsedInput == null;
    }

    /** Whether no request is in progress or pipelined. */
    boolean isIdle() {
        return currentRequest == null && pipelined.isEmpty();
    }
}
