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
public final class OutboundConnection {
    /** What becomes of a dial or a call. */
    public interface Handler {
        /** Asked after a wait for a link, before one is used or dialled; where it is false nothing follows. */
        default boolean needsConnection() {
            return true;
        }

        /** The dial succeeded; nothing has been sent. */
        default void connected(OutboundConnection link) {
        }

        /** The last byte of the call is with the kernel. */
        default void requestWritten(OutboundConnection link) {
        }

        /** An answer came while no call was out; {@link #disconnected} follows. */
        default void unexpectedResponse(OutboundConnection link, int status) {
        }

        /** No link came free in time; there was none to dial by. Nothing follows. */
        default void connectionUnavailable() {
        }

        /** A piece of the answer; the last one ends it. */
        void responsePart(OutboundConnection link, ResponsePart piece);

        /** The connection failed to come up, broke or was ended by the peer. Nothing follows. */
        void disconnected(OutboundConnection link);
    }

    /**
     * A piece of an answer.
     *
     * @param status its status
     * @param declined the worker says that it turned the job away
     * @param load the load report in the header, or null
     * @param keepAlive the connection may carry another call
     * @param bytes so much of the body
     * @param isLast the answer is whole
     */
    public record ResponsePart(int status, boolean declined, String load, boolean keepAlive, byte[] bytes, boolean isLast) {
    }

    /** A call that was told that its job is taken by an answer that may have been another call's. */
    public interface AcceptanceListener {
        /** It showed that answers were mixed up. */
        void acceptanceInDoubt();
    }

    /** How far its life has come; it only ever goes on. */
    private enum Phase {
        CONNECTING,
        /** Calls are made, or it rests. */
        OPEN,
        /** Its output is shut, nobody hears of it any more, and what comes is dropped until the peer's end or a bound. */
        LINGERING,
        CLOSED
    }

    private final Loop loop;
    private final Transport transport;
    private final ResponseReader reader = new ResponseReader();
    private final TimerWheel.Timer connectTimer;
    private Handler handler;
    private Connection<?> connection;
    private Phase phase = Phase.CONNECTING;
    private boolean awaitingResponse;
    private boolean writing;
    private boolean broken;
    /** Pieces of the answer that were told before the write's end, for the same reason. */
    private final Deque<Runnable> partsBeforeWriteEnd = new ArrayDeque<>();
    private ResponsePart unframedPart;

    private Future<?> connectFuture = new CompletableFuture<>();
    private TimerWheel.Timer lingerTimer;
    private Runnable onClosed;
    private AcceptanceListener acceptanceListener;

    /** Set by its pool when it was last put aside. */
    public long idleSinceUs;
    /** Set by its pool: it rests until then where that is affordable, as a second answer may be on the way. */
    public long reuseAfterUs;
    /** Set by its pool: until then an answer may be the second one to an earlier call. */
    public long duplicateResponseUntilUs;
    /** Set by its pool: a call waits for it to settle. */
    public boolean reserved;
    /** Set by its pool: it carried a call before the present one. */
    public boolean reused;

    OutboundConnection(Loop loop, Transport transport, long dialLimitUs, Handler handler) {
        this.loop = loop;
        this.transport = transport;
        this.handler = handler;
        connectTimer = loop.schedule(dialLimitUs, this::connectTimedOut);
    }

    /** How its dial is called off, so that its descriptor is given back. */
    void setConnectFuture(Future<?> newDial) {
        connectFuture = newDial;
    }

    /** Guards against a machine that vanished: its connections never come up, and nobody says so. */
    private void connectTimedOut() {
        if (phase == Phase.CONNECTING) {
            handleDisconnect();
        }
    }

    /** From the selector: the dial succeeded. */
    void connected(Connection<?> c) {
        loop.post(() -> {
            if (phase != Phase.CONNECTING) {
                c.closeSilently(); // it came up late, as its dial was called off
                return;
            }
            connection = c;
            phase = Phase.OPEN;
            connectTimer.cancel();
            // What lies unread is heard before anything is sent: a client may have left, or a worker been announced as leaving.
            loop.afterIoRound(this::notifyConnected);
        });
    }

    private void notifyConnected() {
        if (phase == Phase.OPEN) {
            handler.connected(this);
        }
    }

    /** From the selector: the dial failed or the connection ended. */
    void connectionEnded() {
        loop.post(this::handleDisconnect);
    }

    private void handleDisconnect() {
        if (isEnded()) {
            enterClosed();
            return;
        }
        if (writing) {
            // Guards against a second copy: the selector may tell of the break before the write's end is told
            // here, and only the latter shows whether the last byte had left.
            broken = true;
            return;
        }
        close();
        if (unframedPart != null) {
            // An answer without a length ends with its connection.
            ResponsePart head = unframedPart;
            handler.responsePart(this, new ResponsePart(head.status, head.declined, head.load, false, new byte[0], true));
        }
        handler.disconnected(this);
    }

    /** From the selector: so many bytes came; false where they make no answer. */
    boolean read(byte[] bytes, int n) {
        int at = 0;
        while (at < n) {
            at = reader.feed(bytes, at, n);
            if (reader.fault() != 0) {
                return false;
            }
            ResponsePart piece = reader.takePart();
            if (piece != null) {
                boolean framed = reader.framed();
                if (writing) {
                    partsBeforeWriteEnd.add(() -> handlePart(piece, framed));
                } else {
                    handlePart(piece, framed);
                }
            }
        }
        return true;
    }

    private void handlePart(ResponsePart piece, boolean framed) {
        if (isEnded()) {
            return;
        }
        if (!awaitingResponse) {
            // An answer that nobody asked for: the next call's answer could not be told from it.
            handler.unexpectedResponse(this, piece.status);
            handleDisconnect();
            return;
        }
        unframedPart = framed ? null : piece;
        awaitingResponse = !piece.isLast;
        handler.responsePart(this, piece);
    }

    /** Starts a call: a head as {@link #requestHead} began it, which is ended here, and a body. */
    public void sendRequest(MessageBuilder head, byte[] body, Handler newHandler) {
        handler = newHandler;
        awaitingResponse = true;
        writing = true;
        unframedPart = null;
        @SuppressWarnings("unchecked")
        Connection<SocketAddress> c = (Connection<SocketAddress>) connection;
        c.write(transport.pooledCopy(head.endLine(), body), new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
            @Override
            public void completed(WriteResult<Buffer, SocketAddress> result) {
                loop.post(() -> writeEnded(true));
            }

            @Override
            public void failed(Throwable t) {
                loop.post(() -> writeEnded(false));
            }
        });
    }

    private void writeEnded(boolean whole) {
        writing = false;
        if (!isEnded() && awaitingResponse && whole) {
            handler.requestWritten(this);
        }
        for (Runnable piece = partsBeforeWriteEnd.poll(); piece != null; piece = partsBeforeWriteEnd.poll()) {
            piece.run();
        }
        if (broken || !whole) {
            handleDisconnect();
        }
    }

    /**
     * Closes it at once, without a word to the handler. A call that is not yet written whole is cut off: what a worker takes
     * later, to the last byte, would be an attempt that was given up.
     */
    public void close() {
        enterClosed();
        connectTimer.cancel();
        connectFuture.cancel(false);
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
    public void closeGracefully(Runnable closed) {
        if (phase != Phase.OPEN || writing || !HalfClose.shutdownOutput(connection)) {
            close();
            closed.run();
            return;
        }
        phase = Phase.LINGERING;
        onClosed = closed;
        lingerTimer = loop.schedule(HalfClose.LINGER_US, connection::closeSilently);
    }

    /** An answer that came was none to its call, whose own is yet to come. */
    public void expectAnotherResponse() {
        awaitingResponse = true;
    }

    /** The last call whose 202 may have been another's; null where there is none or its job is over. */
    public AcceptanceListener acceptanceListener() {
        return acceptanceListener;
    }

    /** Sets or, by null, clears the last call whose 202 may have been another's. */
    public void acceptanceListener(AcceptanceListener newTaken) {
        acceptanceListener = newTaken;
    }

    private void enterClosed() {
        boolean lingered = phase == Phase.LINGERING;
        phase = Phase.CLOSED;
        if (lingered) {
            lingerTimer.cancel();
            onClosed.run();
        }
    }

    private boolean isEnded() {
        return phase == Phase.LINGERING || phase == Phase.CLOSED;
    }

    /** It is up and carries no call. */
    public boolean isIdle() {
        return phase == Phase.OPEN && !awaitingResponse && connection.isOpen();
    }

    /** A pool takes it back: only its end matters now. */
    public void setIdleHandler(Handler newHandler) {
        handler = newHandler;
    }

    /** An address as a Host header has it. */
    public static String hostHeader(java.net.InetSocketAddress to) {
        return to.getAddress().getHostAddress() + ":" + to.getPort();
    }

    /** The head of a call, but for its end. */
    public MessageBuilder requestHead(String method, String path, String query, String host) {
        MessageBuilder m = transport.beginMessage().add(method).add(" ").add(path);
        if (query != null) {
            m.add("?").add(query);
        }
        return m.add(" HTTP/1.1").endLine().header("Host", host);
    }
}
