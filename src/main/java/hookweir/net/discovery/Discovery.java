package hookweir.net.discovery;

import hookweir.net.Dialer;
import hookweir.net.Invariants;
import hookweir.net.Link;
import hookweir.net.Loop;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import org.glassfish.grizzly.memory.Buffers;

/** The list's side: one watch at most, and single fetches, each on a link of its own. Belongs to the loop. */
public final class Discovery {
    /** Told of what discovery says, on the loop. */
    public interface Listener {
        /** News of the list. */
        void listed(ListUpdate update);

        /** A call failed or the watch ended. */
        void listFailed();
    }

    private static final long DIAL_US = 1_000_000;
    private static final long FETCH_US = 5_000_000;
    /** An empty line comes every 2 s; three missing ones are silence. */
    private static final long SILENCE_US = 6_500_000;
    private static final int MOST_LINE_BYTES = 4 * 1024 * 1024;

    private final Loop loop;
    private final Dialer dialer;
    private final InetSocketAddress address;
    private final ListUpdate.Parser parser;
    private final Invariants invariants;
    private final Listener listener;
    private Call watch;
    private long version;

    public Discovery(Loop loop, Dialer dialer, InetSocketAddress address, ListUpdate.Parser parser,
            Invariants invariants, Listener listener) {
        this.loop = loop;
        this.dialer = dialer;
        this.address = address;
        this.parser = parser;
        this.invariants = invariants;
        this.listener = listener;
    }

    /** The list as it was last held. */
    public void seeded(long knownVersion) {
        version = knownVersion;
    }

    /** Starts or ends the watch. A second start asks anew: the old watch goes. */
    public void watch(boolean on) {
        if (watch != null) {
            watch.stop();
            watch = null;
        }
        if (on) {
            watch = new Call("watch=1&after=" + version, SILENCE_US, true);
            watch.start();
        }
    }

    /** Fetches the whole list once. */
    public void fetch() {
        new Call(null, FETCH_US, false).start();
    }

    private void line(byte[] line) {
        if (line != null && line.length <= 1) {
            return; // the empty line of a quiet watch
        }
        ListUpdate update = line == null ? null : parser.parse(line);
        if (line == null) {
            invariants.count("discovery line too long");
        }
        if (update != null) {
            version = update.version();
            listener.listed(update);
        }
    }

    /** One call: ends by its answer, by a failure, or by silence. */
    private final class Call implements Link.Handler {
        private final String query;
        private final long silenceUs;
        private final boolean streams;
        private final Lines lines = new Lines(MOST_LINE_BYTES, Discovery.this::line);
        private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
        private Link link;
        private Loop.Timer silence;
        private boolean over;

        Call(String query, long silenceUs, boolean streams) {
            this.query = query;
            this.silenceUs = silenceUs;
            this.streams = streams;
        }

        void start() {
            silence = loop.after(silenceUs, this::silent);
            link = dialer.dial(address, DIAL_US, this);
        }

        /** Guards against a discovery machine that vanished: it leaves its connections open and mute. */
        private void silent() {
            invariants.count("discovery silent");
            fail();
        }

        void stop() {
            over = true;
            silence.cancel();
            link.close();
        }

        private void fail() {
            if (over) {
                return;
            }
            stop();
            watch = watch == this ? null : watch;
            listener.listFailed();
        }

        @Override
        public void up(Link l) {
            l.call(Link.head("GET", "/v1/servers", query, address).build(), Buffers.EMPTY_BUFFER, this);
        }

        @Override
        public void piece(Link l, Link.Piece piece) {
            if (over) {
                return;
            }
            silence.cancel();
            silence = loop.after(silenceUs, this::silent);
            if (piece.status() != 200) {
                invariants.count("discovery status " + piece.status());
                fail();
            } else if (streams) {
                lines.feed(piece.bytes());
                if (piece.last()) {
                    fail();
                }
            } else {
                whole.writeBytes(piece.bytes());
                if (whole.size() > MOST_LINE_BYTES) {
                    fail();
                } else if (piece.last()) {
                    stop();
                    ListUpdate update = parser.parse(whole.toByteArray());
                    if (update == null) {
                        listener.listFailed();
                    } else {
                        version = update.version();
                        listener.listed(new ListUpdate(update.version(), true, update.entries()));
                    }
                }
            }
        }

        @Override
        public void down(Link l) {
            fail();
        }
    }
}
