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
public final class Discovery {
    /** Told of what discovery says, on the loop. */
    public interface Listener {
        /**
         * News of the list.
         *
         * @param complete nothing before it was missed; else the whole list has been asked for and is yet to come
         */
        void listed(ListUpdate update, boolean complete);

        /** The list as held is the present one. */
        void upToDate();

        /** A call that was begun then failed, or the watch ended. */
        void listFailed(ListCallFailure failure, long startedUs);
    }

    private static final long DIAL_US = 1_000_000;
    /**
     * A call that is not answered by then is made again: all that is listed counts as told some seconds later. Services give up
     * calls that wait for 1 to 2 s; one that is given up here before that still takes its turn there, for nobody.
     */
    private static final long ANSWER_US = 2_200_000;
    /** An agent on this machine answers at once or is silent; what it hears at its return counts as told at once. */
    private static final long AGENT_ANSWER_US = 100_000;
    /** An empty line comes every 2 s. What a silent watch misses counts as told 6 s later, which has to do for two tries. */
    private static final long SILENCE_US = 2_600_000;
    /** No list is held: the whole one is asked for. */
    public static final long UNKNOWN = -1;
    /** The list service has too many callers, or nothing to say yet: it may have news all the same. */
    private static final int BUSY = 503;
    /** A call that waited in the list service's queue for a while was not refused, however it ended. */
    private static final long REFUSED_WITHIN_US = 200_000;
    private static final long MS = 1_000;
    private static final int MOST_LINE_BYTES = 4 * 1024 * 1024;

    private final Loop loop;
    private final Connector dialer;
    private final ListUpdate.Parser parser;
    private final Invariants invariants;
    private final EventLog events;
    private final Listener listener;
    /** Lists are pushed: the address is that of an agent. */
    private final BooleanSupplier pushed;
    private final Set<Call> fetches = new HashSet<>();
    private InetSocketAddress address;
    private Call watch;
    /** Of the list as held, by the present address's count; unknown until it has sent a whole list. */
    private long version = UNKNOWN;
    /** A line of the watch could not be read: what it told is yet to be asked for. */
    private boolean missed;

    public Discovery(Loop loop, Connector dialer, InetSocketAddress address, ListUpdate.Parser parser,
            Invariants invariants, EventLog events, BooleanSupplier pushed, Listener listener) {
        this.pushed = pushed;
        this.loop = loop;
        this.dialer = dialer;
        this.address = address;
        this.parser = parser;
        this.invariants = invariants;
        this.events = events;
        this.listener = listener;
    }

    /** The list as it was last held. */
    public void seeded(long knownVersion) {
        version = knownVersion;
    }

    /**
     * Goes over to another address, if it is one, whatever the old one may still say. The list as held stands until the new one
     * has sent a whole one; versions may be counted differently there.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        version = UNKNOWN;
        new ArrayList<>(fetches).forEach(Call::stop);
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
        if (on && version == UNKNOWN) {
            watch = new Call(null, true);
        } else if (on) {
            watch = new Call("watch=1&after=" + version, true);
        }
        if (on) {
            watch.start();
        }
    }

    /** Fetches the whole list once. */
    public void fetch() {
        new Call(null, false).start();
    }

    /** An empty line: nothing has changed since the line before. */
    private void heartbeat() {
        boolean complete = isComplete();
        askForMissed();
        if (complete) {
            watch.brought = true;
            listener.upToDate();
        }
    }

    /** All changes up to the version held have been read. */
    private boolean isComplete() {
        return !missed && version != UNKNOWN;
    }

    private void line(byte[] line) {
        if (line != null && line.length <= 1) {
            heartbeat();
            return;
        }
        ListUpdate update = line == null ? null : parser.parse(line);
        if (line == null) {
            invariants.count("discovery line too long");
        }
        missed |= update == null;
        if (update != null && update.full()) {
            missed = false;
        }
        if (update != null) {
            boolean back = update.version() < version;
            version = back && !update.full() ? UNKNOWN : update.version();
            if (isComplete()) {
                watch.brought = true;
            }
            listener.listed(update, isComplete());
            if (back) {
                wentBack(update);
            }
            askForMissed();
        }
    }

    /** A line that could not be read told of something that no later change repeats: the whole list is asked for. */
    private void askForMissed() {
        if (missed) {
            missed = false;
            invariants.count("discovery asked for what it missed");
            version = UNKNOWN;
            watch(true);
        }
    }

    /** What it says was told and holds, but what it left out on its way back may be lost: the whole list is asked for. */
    private void wentBack(ListUpdate update) {
        parser.complaints().about("discovery version went back", "to " + update.version(), "; the whole list is asked for");
        if (version == UNKNOWN) {
            watch(true);
        }
    }

    /** One call: ends by its answer, by a failure, or by silence. */
    private final class Call implements OutboundConnection.Handler {
        private final InetSocketAddress to = address;
        /** Null for the whole list. */
        private final String query;
        /** A watch, or the whole list that one begins with. */
        private final boolean watches;
        private final Lines lines = new Lines(MOST_LINE_BYTES, Discovery.this::line);
        private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
        private OutboundConnection link;
        private TimerWheel.Timer silence;
        private boolean over;
        private long pieces;
        private long startedUs;
        private boolean connected;
        /** It is a watch that has brought the list, or said that it has not changed. */
        private boolean brought;

        Call(String query, boolean watches) {
            this.query = query;
            this.watches = watches;
        }

        void start() {
            if (!watches) {
                fetches.add(this);
            }
            invariants.count("discovery calls");
            startedUs = loop.nowUs();
            silence = loop.schedule(pushed.getAsBoolean() ? AGENT_ANSWER_US : ANSWER_US, this::silent);
            link = dialer.connect(to, DIAL_US, this);
        }

        /** Guards against a discovery machine that vanished: it leaves its connections open and mute. */
        private void silent() {
            long heard = pieces;
            // What lies unread, as this process had other things to do, is heard first.
            loop.afterIoRound(() -> {
                if (!over && heard == pieces) {
                    invariants.count("discovery silent");
                    ListCallFailure notBrought = connected ? ListCallFailure.UNANSWERED : ListCallFailure.REFUSED;
                    fail(brought ? ListCallFailure.WATCH_SILENT : notBrought, pieces == 0 ? "no answer" : "silent");
                }
            });
        }

        void stop() {
            over = true;
            silence.cancel();
            link.closeGracefully(() -> { });
            fetches.remove(this);
        }

        /** The list service ended it, or no connection came up. */
        private void fail() {
            if (brought) {
                fail(ListCallFailure.WATCH_ENDED, "ended");
                return;
            }
            boolean atOnce = loop.nowUs() - startedUs < REFUSED_WITHIN_US;
            fail(connected && !atOnce ? ListCallFailure.UNANSWERED : ListCallFailure.REFUSED, connected ? "ended" : "not connected");
        }

        private void fail(ListCallFailure failure, String how) {
            if (over) {
                return;
            }
            stop();
            watch = watch == this ? null : watch;
            logEnd(failure + ", " + how);
            listener.listFailed(failure, startedUs);
        }

        private void logEnd(String how) {
            long tookMs = (loop.nowUs() - startedUs) / MS;
            events.log(() -> "list call " + (query == null ? "for the whole list" : query) + " to " + OutboundConnection.hostHeader(to) + " over after " + tookMs
                + " ms: " + how);
        }

        @Override
        public void connected(OutboundConnection l) {
            connected = true;
            l.sendRequest(l.requestHead("GET", "/v1/servers", query, OutboundConnection.hostHeader(to)), new byte[0], this);
        }

        @Override
        public void responsePart(OutboundConnection l, OutboundConnection.ResponsePart piece) {
            if (over) {
                return;
            }
            pieces++;
            silence.cancel();
            silence = loop.schedule(query == null ? ANSWER_US : SILENCE_US, this::silent);
            if (piece.status() != 200) {
                invariants.count("discovery status " + piece.status());
                fail(piece.status() == BUSY ? ListCallFailure.UNANSWERED : ListCallFailure.REFUSED, "status " + piece.status());
            } else if (query != null) {
                if (pieces == 1) {
                    logEnd("watch opened");
                }
                lines.feed(piece.bytes());
                if (piece.isLast()) {
                    fail(); // the line that it ends in, if any, was cut and is asked for again
                }
            } else {
                whole.writeBytes(piece.bytes());
                if (whole.size() > MOST_LINE_BYTES) {
                    fail();
                } else if (piece.isLast()) {
                    wholeList();
                }
            }
        }

        private void wholeList() {
            ListUpdate update = parser.parse(whole.toByteArray());
            if (update == null) {
                fail();
                return;
            }
            stop();
            logEnd("whole list of version " + update.version());
            version = update.version();
            listener.listed(new ListUpdate(update.version(), true, update.entries()), true);
            if (watches) {
                watch(true);
            }
        }

        @Override
        public void disconnected(OutboundConnection l) {
            fail();
        }
    }
}
