package hookweir.net.discovery;

import hookweir.membership.ListCallFailure;
import hookweir.net.Connector;
import hookweir.net.EventLog;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.OutboundConnection;
import hookweir.timer.TimerWheel;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * The client of the list service: keeps at most one watch, and fetches the whole list on request, each over its own connection.
 * Used on the loop thread only.
 */
public final class WorkerListClient {
    /** Receives the list and the failures of list calls, on the loop thread. */
    public interface Listener {
        /**
         * Called with a received list or change of it.
         *
         * @param complete whether no earlier change was missed; if one was, the whole list has been requested and has not arrived yet
         */
        void listReceived(ListUpdate update, boolean complete);

        /** Called when the list service confirms that the cached list is current. */
        void upToDate();

        /** Called when a list call that was started at this time failed, or the watch ended. */
        void listCallFailed(ListCallFailure failure, long startedUs);
    }

    private static final long CONNECT_TIMEOUT_US = 1_000_000;
    /**
     * A call without a response by then is repeated, as a scheduler counts as notified of every listed change some seconds after it.
     * Not shorter: the list service abandons calls that have waited for 1 to 2 s, and one abandoned here before that still takes its
     * turn there.
     */
    private static final long RESPONSE_TIMEOUT_US = 2_200_000;
    /** A local agent responds at once or not at all; once it is back, what it receives counts as notified at once. */
    private static final long AGENT_RESPONSE_TIMEOUT_US = 100_000;
    /** Heartbeats (empty lines) arrive every 2 s. Changes missed by a silent watch count as notified 6 s later: time for two tries. */
    private static final long WATCH_SILENCE_TIMEOUT_US = 2_600_000;
    /** No list is cached; the whole list is requested. */
    public static final long UNKNOWN_VERSION = -1;
    /** The list service has too many callers or nothing to report yet; the list may have changed all the same. */
    private static final int SERVICE_UNAVAILABLE = 503;
    /** A call that ends after more than this time was waiting in the list service's queue, so it does not count as refused. */
    private static final long REFUSAL_WINDOW_US = 200_000;
    private static final long US_PER_MS = 1_000;
    private static final int MAX_LINE_BYTES = 4 * 1024 * 1024;

    private final Loop loop;
    private final Connector connector;
    private final ListUpdate.Parser parser;
    private final Invariants invariants;
    private final EventLog events;
    private final Listener listener;
    /** Whether lists are pushed, that is, the address is that of a local agent. */
    private final BooleanSupplier listPushed;
    private final Set<ListCall> fetches = new HashSet<>();
    private InetSocketAddress address;
    private ListCall watch;
    /** Version of the cached list, as counted by the current address; unknown until that has sent a whole list. */
    private long version = UNKNOWN_VERSION;
    /** Whether a line of the watch could not be parsed and the list has not been requested again yet. */
    private boolean missedUpdate;

    public WorkerListClient(Loop loop, Connector connector, InetSocketAddress address, ListUpdate.Parser parser,
            Invariants invariants, EventLog events, BooleanSupplier listPushed, Listener listener) {
        this.listPushed = listPushed;
        this.loop = loop;
        this.connector = connector;
        this.address = address;
        this.parser = parser;
        this.invariants = invariants;
        this.events = events;
        this.listener = listener;
    }

    /** Sets the version of the cached worker list. */
    public void setKnownVersion(long knownVersion) {
        version = knownVersion;
    }

    /**
     * Switches to another address, and abandons all calls to the old one; does nothing if the address is the same. The cached list
     * stays valid until the new address has sent a whole list, as versions may be counted differently there.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        version = UNKNOWN_VERSION;
        new ArrayList<>(fetches).forEach(ListCall::stop);
        watch(true);
    }

    /** Returns the address of the list service. */
    public InetSocketAddress address() {
        return address;
    }

    /** Starts or stops the watch. Starting it again replaces the old watch. */
    public void watch(boolean enabled) {
        if (watch != null) {
            watch.stop();
            watch = null;
        }
        if (enabled && version == UNKNOWN_VERSION) {
            watch = new ListCall(null, true);
        } else if (enabled) {
            watch = new ListCall("watch=1&after=" + version, true);
        }
        if (enabled) {
            watch.start();
        }
    }

    /** Fetches the whole list once. */
    public void fetchWholeList() {
        new ListCall(null, false).start();
    }

    /** Handles an empty line: nothing has changed since the previous line. */
    private void handleHeartbeat() {
        boolean complete = isComplete();
        fetchIfMissed();
        if (complete) {
            watch.confirmedList = true;
            listener.upToDate();
        }
    }

    /** Returns whether all changes up to the cached version have been applied. */
    private boolean isComplete() {
        return !missedUpdate && version != UNKNOWN_VERSION;
    }

    private void handleLine(byte[] line) {
        if (line != null && line.length <= 1) {
            handleHeartbeat();
            return;
        }
        ListUpdate update = line == null ? null : parser.parse(line);
        if (line == null) {
            invariants.count("discovery line too long");
        }
        missedUpdate |= update == null;
        if (update != null && update.full()) {
            missedUpdate = false;
        }
        if (update != null) {
            boolean wentBack = update.version() < version;
            version = wentBack && !update.full() ? UNKNOWN_VERSION : update.version();
            if (isComplete()) {
                watch.confirmedList = true;
            }
            listener.listReceived(update, isComplete());
            if (wentBack) {
                handleVersionRegression(update);
            }
            fetchIfMissed();
        }
    }

    /** Requests the whole list if a line could not be parsed, as no later change repeats what it contained. */
    private void fetchIfMissed() {
        if (missedUpdate) {
            missedUpdate = false;
            invariants.count("discovery asked for what it missed");
            version = UNKNOWN_VERSION;
            watch(true);
        }
    }

    /** Requests the whole list after a change with a lower version: the change applies, but other changes may have been lost. */
    private void handleVersionRegression(ListUpdate update) {
        parser.errorLog().report("discovery version went back", "to " + update.version(), "; requesting the whole list");
        if (version == UNKNOWN_VERSION) {
            watch(true);
        }
    }

    /** One call to the list service: ends with its response, on a failure, or on silence. */
    private final class ListCall implements OutboundConnection.Handler {
        private final InetSocketAddress server = address;
        /** The query string; null for the whole list. */
        private final String query;
        /** Whether the call is a watch, or the fetch of the whole list that precedes one. */
        private final boolean isWatch;
        private final LineSplitter lineSplitter = new LineSplitter(MAX_LINE_BYTES, WorkerListClient.this::handleLine);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private OutboundConnection connection;
        private TimerWheel.Timer silenceTimer;
        private boolean ended;
        private long partCount;
        private long startedUs;
        private boolean connected;
        /** Whether this watch has delivered the list, or confirmed that it has not changed. */
        private boolean confirmedList;

        ListCall(String query, boolean isWatch) {
            this.query = query;
            this.isWatch = isWatch;
        }

        void start() {
            if (!isWatch) {
                fetches.add(this);
            }
            invariants.count("discovery calls");
            startedUs = loop.nowUs();
            silenceTimer = loop.schedule(listPushed.getAsBoolean() ? AGENT_RESPONSE_TIMEOUT_US : RESPONSE_TIMEOUT_US, this::handleSilence);
            connection = connector.connect(server, CONNECT_TIMEOUT_US, this);
        }

        /** Detects a list service machine that vanished, which leaves its connections open and silent. */
        private void handleSilence() {
            long partsBefore = partCount;
            // Input that has been received but not read yet, as this process was busy, is processed first.
            loop.afterIoRound(() -> {
                if (!ended && partsBefore == partCount) {
                    invariants.count("discovery silent");
                    ListCallFailure unconfirmed = connected ? ListCallFailure.UNANSWERED : ListCallFailure.REFUSED;
                    fail(confirmedList ? ListCallFailure.WATCH_SILENT : unconfirmed, partCount == 0 ? "no response" : "silent");
                }
            });
        }

        void stop() {
            ended = true;
            silenceTimer.cancel();
            connection.closeGracefully(() -> { });
            fetches.remove(this);
        }

        /** Fails the call after the list service ended it, or because the connection could not be established. */
        private void fail() {
            if (confirmedList) {
                fail(ListCallFailure.WATCH_ENDED, "ended");
                return;
            }
            boolean failedAtOnce = loop.nowUs() - startedUs < REFUSAL_WINDOW_US;
            fail(connected && !failedAtOnce ? ListCallFailure.UNANSWERED : ListCallFailure.REFUSED, connected ? "ended" : "not connected");
        }

        private void fail(ListCallFailure failure, String outcome) {
            if (ended) {
                return;
            }
            stop();
            watch = watch == this ? null : watch;
            logOutcome(failure + ", " + outcome);
            listener.listCallFailed(failure, startedUs);
        }

        private void logOutcome(String outcome) {
            long tookMs = (loop.nowUs() - startedUs) / US_PER_MS;
            events.log(() -> "list call " + (query == null ? "for the whole list" : query) + " to " + OutboundConnection.hostHeader(server)
                + ", after " + tookMs + " ms: " + outcome);
        }

        @Override
        public void connected(OutboundConnection established) {
            connected = true;
            established.sendRequest(established.requestHead("GET", "/v1/servers", query, OutboundConnection.hostHeader(server)), new byte[0], this);
        }

        @Override
        public void responsePart(OutboundConnection established, OutboundConnection.ResponsePart part) {
            if (ended) {
                return;
            }
            partCount++;
            silenceTimer.cancel();
            silenceTimer = loop.schedule(query == null ? RESPONSE_TIMEOUT_US : WATCH_SILENCE_TIMEOUT_US, this::handleSilence);
            if (part.status() != 200) {
                invariants.count("discovery status " + part.status());
                fail(part.status() == SERVICE_UNAVAILABLE ? ListCallFailure.UNANSWERED : ListCallFailure.REFUSED, "status " + part.status());
            } else if (query != null) {
                if (partCount == 1) {
                    logOutcome("watch opened");
                }
                lineSplitter.feed(part.bytes());
                if (part.isLast()) {
                    fail(); // an unfinished last line is truncated, and is requested again
                }
            } else {
                body.writeBytes(part.bytes());
                if (body.size() > MAX_LINE_BYTES) {
                    fail();
                } else if (part.isLast()) {
                    handleWholeList();
                }
            }
        }

        private void handleWholeList() {
            ListUpdate update = parser.parse(body.toByteArray());
            if (update == null) {
                fail();
                return;
            }
            stop();
            logOutcome("whole list of version " + update.version());
            version = update.version();
            listener.listReceived(new ListUpdate(update.version(), true, update.entries()), true);
            if (isWatch) {
                watch(true);
            }
        }

        @Override
        public void disconnected(OutboundConnection closed) {
            fail();
        }
    }
}
