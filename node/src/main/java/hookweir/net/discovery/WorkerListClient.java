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

/** The list's side: one watch at most, and single fetches, each on a link of its own. Belongs to the loop. */
public final class WorkerListClient {
    /** Told of what discovery says, on the loop. */
    public interface Listener {
        /**
         * News of the list.
         *
         * @param complete nothing before it was missed; else the whole list has been asked for and is yet to come
         */
        void listReceived(ListUpdate update, boolean complete);

        /** The list as held is the present one. */
        void upToDate();

        /** A call that was begun then failed, or the watch ended. */
        void listCallFailed(ListCallFailure failure, long startedUs);
    }

    private static final long CONNECT_TIMEOUT_US = 1_000_000;
    /**
     * A call that is not answered by then is made again: all that is listed counts as told some seconds later. Services give up
     * calls that wait for 1 to 2 s; one that is given up here before that still takes its turn there, for nobody.
     */
    private static final long RESPONSE_TIMEOUT_US = 2_200_000;
    /** An agent on this machine answers at once or is silent; what it hears at its return counts as told at once. */
    private static final long AGENT_RESPONSE_TIMEOUT_US = 100_000;
    /** An empty line comes every 2 s. What a silent watch misses counts as told 6 s later, which has to do for two tries. */
    private static final long WATCH_SILENCE_TIMEOUT_US = 2_600_000;
    /** No list is held: the whole one is asked for. */
    public static final long UNKNOWN_VERSION = -1;
    /** The list service has too many callers, or nothing to say yet: it may have news all the same. */
    private static final int SERVICE_UNAVAILABLE = 503;
    /** A call that waited in the list service's queue for a while was not refused, however it ended. */
    private static final long REFUSAL_WINDOW_US = 200_000;
    private static final long US_PER_MS = 1_000;
    private static final int MAX_LINE_BYTES = 4 * 1024 * 1024;

    private final Loop loop;
    private final Connector connector;
    private final ListUpdate.Parser parser;
    private final Invariants invariants;
    private final EventLog events;
    private final Listener listener;
    /** Lists are pushed: the address is that of an agent. */
    private final BooleanSupplier listPushed;
    private final Set<ListCall> fetches = new HashSet<>();
    private InetSocketAddress address;
    private ListCall watch;
    /** Of the list as held, by the present address's count; unknown until it has sent a whole list. */
    private long version = UNKNOWN_VERSION;
    /** A line of the watch could not be read: what it told is yet to be asked for. */
    private boolean missedUpdate;

    public WorkerListClient(Loop loop, Connector dialer, InetSocketAddress address, ListUpdate.Parser parser,
            Invariants invariants, EventLog events, BooleanSupplier pushed, Listener listener) {
        this.listPushed = pushed;
        this.loop = loop;
        this.connector = dialer;
        this.address = address;
        this.parser = parser;
        this.invariants = invariants;
        this.events = events;
        this.listener = listener;
    }

    /** The list as it was last held. */
    public void setKnownVersion(long knownVersion) {
        version = knownVersion;
    }

    /**
     * Goes over to another address, if it is one, whatever the old one may still say. The list as held stands until the new one
     * has sent a whole one; versions may be counted differently there.
     */
    public void moveTo(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        version = UNKNOWN_VERSION;
        new ArrayList<>(fetches).forEach(ListCall::stop);
        watch(true);
    }

    /** Where the list is asked for. */
    public InetSocketAddress address() {
        return address;
    }

    /** Starts or ends the watch. A second start asks anew: the old watch goes. */
    public void watch(boolean on) {
        if (watch != null) {
            watch.stop();
            watch = null;
        }
        if (on && version == UNKNOWN_VERSION) {
            watch = new ListCall(null, true);
        } else if (on) {
            watch = new ListCall("watch=1&after=" + version, true);
        }
        if (on) {
            watch.start();
        }
    }

    /** Fetches the whole list once. */
    public void fetchWholeList() {
        new ListCall(null, false).start();
    }

    /** An empty line: nothing has changed since the line before. */
    private void handleHeartbeat() {
        boolean complete = isComplete();
        fetchIfMissed();
        if (complete) {
            watch.confirmedList = true;
            listener.upToDate();
        }
    }

    /** All changes up to the version held have been read. */
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
            boolean back = update.version() < version;
            version = back && !update.full() ? UNKNOWN_VERSION : update.version();
            if (isComplete()) {
                watch.confirmedList = true;
            }
            listener.listReceived(update, isComplete());
            if (back) {
                handleVersionRegression(update);
            }
            fetchIfMissed();
        }
    }

    /** A line that could not be read told of something that no later change repeats: the whole list is asked for. */
    private void fetchIfMissed() {
        if (missedUpdate) {
            missedUpdate = false;
            invariants.count("discovery asked for what it missed");
            version = UNKNOWN_VERSION;
            watch(true);
        }
    }

    /** What it says was told and holds, but what it left out on its way back may be lost: the whole list is asked for. */
    private void handleVersionRegression(ListUpdate update) {
        parser.errorLog().report("discovery version went back", "to " + update.version(), "; the whole list is asked for");
        if (version == UNKNOWN_VERSION) {
            watch(true);
        }
    }

    /** One call: ends by its answer, by a failure, or by silence. */
    private final class ListCall implements OutboundConnection.Handler {
        private final InetSocketAddress server = address;
        /** Null for the whole list. */
        private final String query;
        /** A watch, or the whole list that one begins with. */
        private final boolean isWatch;
        private final LineSplitter lineSplitter = new LineSplitter(MAX_LINE_BYTES, WorkerListClient.this::handleLine);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private OutboundConnection connection;
        private TimerWheel.Timer silenceTimer;
        private boolean ended;
        private long partCount;
        private long startedUs;
        private boolean connected;
        /** It is a watch that has brought the list, or said that it has not changed. */
        private boolean confirmedList;

        ListCall(String query, boolean watches) {
            this.query = query;
            this.isWatch = watches;
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

        /** Guards against a discovery machine that vanished: it leaves its connections open and mute. */
        private void handleSilence() {
            long heard = partCount;
            // What lies unread, as this process had other things to do, is heard first.
            loop.afterIoRound(() -> {
                if (!ended && heard == partCount) {
                    invariants.count("discovery silent");
                    ListCallFailure notBrought = connected ? ListCallFailure.UNANSWERED : ListCallFailure.REFUSED;
                    fail(confirmedList ? ListCallFailure.WATCH_SILENT : notBrought, partCount == 0 ? "no answer" : "silent");
                }
            });
        }

        void stop() {
            ended = true;
            silenceTimer.cancel();
            connection.closeGracefully(() -> { });
            fetches.remove(this);
        }

        /** The list service ended it, or no connection came up. */
        private void fail() {
            if (confirmedList) {
                fail(ListCallFailure.WATCH_ENDED, "ended");
                return;
            }
            boolean atOnce = loop.nowUs() - startedUs < REFUSAL_WINDOW_US;
            fail(connected && !atOnce ? ListCallFailure.UNANSWERED : ListCallFailure.REFUSED, connected ? "ended" : "not connected");
        }

        private void fail(ListCallFailure failure, String how) {
            if (ended) {
                return;
            }
            stop();
            watch = watch == this ? null : watch;
            logOutcome(failure + ", " + how);
            listener.listCallFailed(failure, startedUs);
        }

        private void logOutcome(String how) {
            long tookMs = (loop.nowUs() - startedUs) / US_PER_MS;
            events.log(() -> "list call " + (query == null ? "for the whole list" : query) + " to " + OutboundConnection.hostHeader(server) + " over after " + tookMs
                + " ms: " + how);
        }

        @Override
        public void connected(OutboundConnection l) {
            connected = true;
            l.sendRequest(l.requestHead("GET", "/v1/servers", query, OutboundConnection.hostHeader(server)), new byte[0], this);
        }

        @Override
        public void responsePart(OutboundConnection l, OutboundConnection.ResponsePart piece) {
            if (ended) {
                return;
            }
            partCount++;
            silenceTimer.cancel();
            silenceTimer = loop.schedule(query == null ? RESPONSE_TIMEOUT_US : WATCH_SILENCE_TIMEOUT_US, this::handleSilence);
            if (piece.status() != 200) {
                invariants.count("discovery status " + piece.status());
                fail(piece.status() == SERVICE_UNAVAILABLE ? ListCallFailure.UNANSWERED : ListCallFailure.REFUSED, "status " + piece.status());
            } else if (query != null) {
                if (partCount == 1) {
                    logOutcome("watch opened");
                }
                lineSplitter.feed(piece.bytes());
                if (piece.isLast()) {
                    fail(); // the line that it ends in, if any, was cut and is asked for again
                }
            } else {
                body.writeBytes(piece.bytes());
                if (body.size() > MAX_LINE_BYTES) {
                    fail();
                } else if (piece.isLast()) {
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
        public void disconnected(OutboundConnection l) {
            fail();
        }
    }
}
