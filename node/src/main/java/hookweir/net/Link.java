package hookweir.net;

import hookweir.timer.TimerWheel;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;

/**
 * One outgoing connection, which carries one call at a time. Its state belongs to the {@link Loop}; its
 * handler is called there only. Nothing here sends a call twice.
 */
public final class Link {
    /** What becomes of a dial or a call. */
    public interface Handler {
        /** Asked after a wait for a link, before one is used or dialled; where it is false nothing follows. */
        default boolean wantsLink() {
            return true;
        }

        /** The dial succeeded; nothing has been sent. */
        default void up(Link link) {
        }

        /** The last byte of the call is with the kernel. */
        default void written(Link link) {
        }

        /** An answer came while no call was out; {@link #down} follows. */
        default void unasked(Link link, int status) {
        }

        /** No link came free in time; there was none to dial by. Nothing follows. */
        default void noLink() {
        }

        /** A piece of the answer; the last one ends it. */
        void piece(Link link, Piece piece);

        /** The connection failed to come up, broke or was ended by the peer. Nothing follows. */
        void down(Link link);
    }

    /**
     * A piece of an answer.
     *
     * @param status its status
     * @param declined the worker says that it turned the job away
     * @param load the load report in the header, or null
     * @param keepAlive the connection may carry another call
     * @param bytes so much of the body
     * @param last the answer is whole
     */
    public record Piece(int status, boolean declined, String load, boolean keepAlive, byte[] bytes, boolean last) {
    }

    /** A call that was told that its job is taken by an answer that may have been another call's. */
    public interface Taken {
        /** It showed that answers were mixed up. */
        void inDoubt();
    }

    /** How far its life has come; it only ever goes on. */
    private enum Phase {
        DIALLING,
        /** Calls are made, or it rests. */
        UP,
        /** Its output is shut, nobody hears of it any more, and what comes is dropped until the peer's end or a bound. */
        LINGERING,
        DOWN
    }

    private final Loop loop;
    private final Transport transport;
    private final AnswerReader reader = new AnswerReader();
    private final TimerWheel.Timer dialLimit;
    private Handler handler;
    private Connection<?> connection;
    private Phase phase = Phase.DIALLING;
    private boolean calling;
    private boolean writing;
    private boolean broken;
    /** Pieces of the answer that were told before the write's end, for the same reason. */
    private final Deque<Runnable> early = new ArrayDeque<>();
    private Piece unframed;

    private Future<?> dial = new CompletableFuture<>();
    private TimerWheel.Timer linger;
    private Runnable onClosed;
    private Taken taken;

    /** Set by its pool when it was last put aside. */
    public long idleSinceUs;
    /** Set by its pool: it rests until then where that is affordable, as a second answer may be on the way. */
    public long settledUs;
    /** Set by its pool: until then an answer may be the second one to an earlier call. */
    public long secondAnswerUntilUs;
    /** Set by its pool: a call waits for it to settle. */
    public boolean reserved;
    /** Set by its pool: it carried a call before the present one. */
    public boolean kept;

    Link(Loop loop, Transport transport, long dialLimitUs, Handler handler) {
        this.loop = loop;
        this.transport = transport;
        this.handler = handler;
        dialLimit = loop.after(dialLimitUs, this::dialLate);
    }

    /** How its dial is called off, so that its descriptor is given back. */
    void dialled(Future<?> newDial) {
        dial = newDial;
    }

    /** Guards against a machine that vanished: its connections never come up, and nobody says so. */
    private void dialLate() {
        if (phase == Phase.DIALLING) {
            fallDown();
        }
    }

    /** From the selector: the dial succeeded. */
    void connected(Connection<?> c) {
        loop.post(() -> {
            if (phase != Phase.DIALLING) {
                c.closeSilently(); // it came up late, as its dial was called off
                return;
            }
            connection = c;
            phase = Phase.UP;
            dialLimit.cancel();
            // What lies unread is heard before anything is sent: a client may have left, or a worker been announced as leaving.
            loop.afterRound(this::tellUp);
        });
    }

    private void tellUp() {
        if (phase == Phase.UP) {
            handler.up(this);
        }
    }

    /** From the selector: the dial failed or the connection ended. */
    void ended() {
        loop.post(this::fallDown);
    }

    private void fallDown() {
        if (isEnded()) {
            enterDown();
            return;
        }
        if (writing) {
            // Guards against a second copy: the selector may tell of the break before the write's end is told
            // here, and only the latter shows whether the last byte had left.
            broken = true;
            return;
        }
        close();
        if (unframed != null) {
            // An answer without a length ends with its connection.
            Piece head = unframed;
            handler.piece(this, new Piece(head.status, head.declined, head.load, false, new byte[0], true));
        }
        handler.down(this);
    }

    /** From the selector: so many bytes came; false where they make no answer. */
    boolean read(byte[] bytes, int n) {
        int at = 0;
        while (at < n) {
            at = reader.feed(bytes, at, n);
            if (reader.fault() != 0) {
                return false;
            }
            Piece piece = reader.piece();
            if (piece != null) {
                boolean framed = reader.framed();
                if (writing) {
                    early.add(() -> take(piece, framed));
                } else {
                    take(piece, framed);
                }
            }
        }
        return true;
    }

    private void take(Piece piece, boolean framed) {
        if (isEnded()) {
            return;
        }
        if (!calling) {
            // An answer that nobody asked for: the next call's answer could not be told from it.
            handler.unasked(this, piece.status);
            fallDown();
            return;
        }
        unframed = framed ? null : piece;
        calling = !piece.last;
        handler.piece(this, piece);
    }

    /** Starts a call: a head as {@link #head} began it, which is ended here, and a body. */
    public void call(Message head, byte[] body, Handler newHandler) {
        handler = newHandler;
        calling = true;
        writing = true;
        unframed = null;
        @SuppressWarnings("unchecked")
        Connection<SocketAddress> c = (Connection<SocketAddress>) connection;
        c.write(transport.pooled(head.line(), body), new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
            @Override
            public void completed(WriteResult<Buffer, SocketAddress> result) {
                loop.post(() -> wrote(true));
            }

            @Override
            public void failed(Throwable t) {
                loop.post(() -> wrote(false));
            }
        });
    }

    private void wrote(boolean whole) {
        writing = false;
        if (!isEnded() && calling && whole) {
            handler.written(this);
        }
        for (Runnable piece = early.poll(); piece != null; piece = early.poll()) {
            piece.run();
        }
        if (broken || !whole) {
            fallDown();
        }
    }

    /**
     * Closes it at once, without a word to the handler. A call that is not yet written whole is cut off: what a worker takes
     * later, to the last byte, would be an attempt that was given up.
     */
    public void close() {
        enterDown();
        dialLimit.cancel();
        dial.cancel(false);
        if (connection != null && writing) {
            connection.terminateSilently();
        } else if (connection != null) {
            connection.closeSilently();
        }
    }

    /**
     * Ends it without a word to the handler, such that nothing that was written is lost to a reset: its output is shut, and
     * what comes is dropped until the peer's end or a bound.
     *
     * @param closed runs once it is closed
     */
    public void end(Runnable closed) {
        if (phase != Phase.UP || writing || !HalfClose.shutOutput(connection)) {
            close();
            closed.run();
            return;
        }
        phase = Phase.LINGERING;
        onClosed = closed;
        linger = loop.after(HalfClose.LINGER_US, connection::closeSilently);
    }

    /** An answer that came was none to its call, whose own is yet to come. */
    public void goesOn() {
        calling = true;
    }

    /** The last call whose 202 may have been another's; null where there is none or its job is over. */
    public Taken taken() {
        return taken;
    }

    /** Sets or, by null, clears the last call whose 202 may have been another's. */
    public void taken(Taken newTaken) {
        taken = newTaken;
    }

    private void enterDown() {
        boolean lingered = phase == Phase.LINGERING;
        phase = Phase.DOWN;
        if (lingered) {
            linger.cancel();
            onClosed.run();
        }
    }

    private boolean isEnded() {
        return phase == Phase.LINGERING || phase == Phase.DOWN;
    }

    /** It is up and carries no call. */
    public boolean isFree() {
        return phase == Phase.UP && !calling && connection.isOpen();
    }

    /** A pool takes it back: only its end matters now. */
    public void rest(Handler newHandler) {
        handler = newHandler;
    }

    /** An address as a Host header has it. */
    public static String host(java.net.InetSocketAddress to) {
        return to.getAddress().getHostAddress() + ":" + to.getPort();
    }

    /** The head of a call, but for its end. */
    public Message head(String method, String path, String query, String host) {
        Message m = transport.message().add(method).add(" ").add(path);
        if (query != null) {
            m.add("?").add(query);
        }
        return m.add(" HTTP/1.1").line().header("Host", host);
    }
}
