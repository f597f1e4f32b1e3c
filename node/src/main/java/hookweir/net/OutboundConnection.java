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
 * One outbound connection, which carries one HTTP request at a time. Its state belongs to the {@link Loop}, and its handler is
 * called only there. Requests are never retried here.
 */
public final class OutboundConnection {
    /** Receives the events of a connection attempt and of a request. */
    public interface Handler {
        /** Called after a wait for a connection, before one is reused or opened. If false, nothing else is called. */
        default boolean needsConnection() {
            return true;
        }

        /** The connection is open; nothing has been sent. */
        default void connected(OutboundConnection connection) {
        }

        /** The last byte of the request has been passed to the kernel. */
        default void requestWritten(OutboundConnection connection) {
        }

        /** A response arrived while no request was outstanding; {@link #disconnected} follows. */
        default void unexpectedResponse(OutboundConnection connection, int status) {
        }

        /** No connection became available in time, and none could be opened. Nothing else is called. */
        default void connectionUnavailable() {
        }

        /** Part of the response arrived; the last part completes it. */
        void responsePart(OutboundConnection connection, ResponsePart part);

        /** The connection failed to open, broke or was closed by the peer. Nothing else is called. */
        void disconnected(OutboundConnection connection);
    }

    /**
     * A part of a response.
     *
     * @param status the HTTP status
     * @param declined whether the worker states that it rejected the job
     * @param load the load report in the header, or null
     * @param keepAlive whether the connection may carry another request
     * @param bytes the part of the body
     * @param isLast whether the response is complete
     */
    public record ResponsePart(int status, boolean declined, String load, boolean keepAlive, byte[] bytes, boolean isLast) {
    }

    /** An attempt whose job was accepted by a 202 that may belong to another request. */
    public interface AcceptanceListener {
        /** Called when responses turned out to be mixed up. */
        void acceptanceInDoubt();
    }

    /** The phases of a connection, in order; a connection never returns to an earlier one. */
    private enum Phase {
        CONNECTING,
        /** Carries a request or is idle. */
        OPEN,
        /** The output is shut down, the handler is no longer called, and input is discarded until the peer closes or a time limit. */
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
    /** Parts of the response that arrived before the end of the write was reported; the handler receives them after it. */
    private final Deque<Runnable> partsBeforeWriteEnd = new ArrayDeque<>();
    private ResponsePart unframedPart;

    private Future<?> connectFuture = new CompletableFuture<>();
    private TimerWheel.Timer lingerTimer;
    private Runnable onClosed;
    private AcceptanceListener acceptanceListener;

    /** Set by the pool when the connection last became idle. */
    public long idleSinceUs;
    /** Set by the pool: if possible not reused before this time, as a duplicate response may be on its way. */
    public long reuseAfterUs;
    /** Set by the pool: a response before this time may be a duplicate response to an earlier request. */
    public long duplicateResponseUntilUs;
    /** Set by the pool: a request waits until this connection may be reused. */
    public boolean reserved;
    /** Set by the pool: the connection carried a request before the current one. */
    public boolean reused;

    OutboundConnection(Loop loop, Transport transport, long connectTimeoutUs, Handler handler) {
        this.loop = loop;
        this.transport = transport;
        this.handler = handler;
        connectTimer = loop.schedule(connectTimeoutUs, this::connectTimedOut);
    }

    /** Sets the future that is cancelled to abort connecting, which releases the descriptor. */
    void setConnectFuture(Future<?> newFuture) {
        connectFuture = newFuture;
    }

    /** Handles a host that is gone: connections to it never open, and no error is reported. */
    private void connectTimedOut() {
        if (phase == Phase.CONNECTING) {
            handleDisconnect();
        }
    }

    /** Called by the selector when the connection is open. */
    void connected(Connection<?> opened) {
        loop.post(() -> {
            if (phase != Phase.CONNECTING) {
                opened.closeSilently(); // opened after connecting was aborted
                return;
            }
            connection = opened;
            phase = Phase.OPEN;
            connectTimer.cancel();
            // Unread data is processed before anything is sent: a client may have disconnected, or a worker may be draining.
            loop.afterIoRound(this::notifyConnected);
        });
    }

    private void notifyConnected() {
        if (phase == Phase.OPEN) {
            handler.connected(this);
        }
    }

    /** Called by the selector when connecting failed or the connection was closed. */
    void connectionEnded() {
        loop.post(this::handleDisconnect);
    }

    private void handleDisconnect() {
        if (isEnded()) {
            enterClosed();
            return;
        }
        if (writing) {
            // The selector may report the close before the end of the write, and only the latter shows whether the last byte was
            // sent. Without that knowledge the job could be sent twice.
            broken = true;
            return;
        }
        close();
        if (unframedPart != null) {
            // A response without a length ends when its connection closes.
            ResponsePart head = unframedPart;
            handler.responsePart(this, new ResponsePart(head.status, head.declined, head.load, false, new byte[0], true));
        }
        handler.disconnected(this);
    }

    /** Called by the selector with received bytes, from the start of the array; false if they are not a valid response. */
    boolean read(byte[] bytes, int length) {
        int at = 0;
        while (at < length) {
            at = reader.feed(bytes, at, length);
            if (reader.fault() != 0) {
                return false;
            }
            ResponsePart part = reader.takePart();
            if (part != null) {
                boolean framed = reader.framed();
                if (writing) {
                    partsBeforeWriteEnd.add(() -> handlePart(part, framed));
                } else {
                    handlePart(part, framed);
                }
            }
        }
        return true;
    }

    private void handlePart(ResponsePart part, boolean framed) {
        if (isEnded()) {
            return;
        }
        if (!awaitingResponse) {
            // A response without a request: the response to the next request could not be distinguished from it.
            handler.unexpectedResponse(this, part.status);
            handleDisconnect();
            return;
        }
        unframedPart = framed ? null : part;
        awaitingResponse = !part.isLast;
        handler.responsePart(this, part);
    }

    /** Sends a request: a head started by {@link #requestHead}, which is completed here, and a body. */
    public void sendRequest(MessageBuilder head, byte[] body, Handler newHandler) {
        handler = newHandler;
        awaitingResponse = true;
        writing = true;
        unframedPart = null;
        @SuppressWarnings("unchecked")
        Connection<SocketAddress> writable = (Connection<SocketAddress>) connection;
        writable.write(transport.pooledCopy(head.endLine(), body), new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
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

    private void writeEnded(boolean complete) {
        writing = false;
        if (!isEnded() && awaitingResponse && complete) {
            handler.requestWritten(this);
        }
        for (Runnable part = partsBeforeWriteEnd.poll(); part != null; part = partsBeforeWriteEnd.poll()) {
            part.run();
        }
        if (broken || !complete) {
            handleDisconnect();
        }
    }

    /**
     * Closes the connection at once, without calling the handler. A request that is not completely written is cut off: otherwise a
     * worker could still receive all of it and run an attempt that was abandoned.
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
     * Closes the connection without calling the handler and without a reset that could discard written data: shuts down the
     * output, and discards input until the peer closes or a time limit.
     *
     * @param closed runs once the connection is closed
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

    /** Keeps waiting: the response received does not belong to the outstanding request. */
    public void expectAnotherResponse() {
        awaitingResponse = true;
    }

    /** Returns the last attempt whose 202 may belong to another request; null if there is none or its job has ended. */
    public AcceptanceListener acceptanceListener() {
        return acceptanceListener;
    }

    /** Sets the last attempt whose 202 may belong to another request; null clears it. */
    public void acceptanceListener(AcceptanceListener newListener) {
        acceptanceListener = newListener;
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

    /** Returns whether the connection is open and carries no request. */
    public boolean isIdle() {
        return phase == Phase.OPEN && !awaitingResponse && connection.isOpen();
    }

    /** Sets the handler of the pool, which only has to know when the idle connection closes. */
    public void setIdleHandler(Handler newHandler) {
        handler = newHandler;
    }

    /** Formats an address for the Host header. */
    public static String hostHeader(java.net.InetSocketAddress to) {
        return to.getAddress().getHostAddress() + ":" + to.getPort();
    }

    /** Starts the head of a request, without the empty line at its end. */
    public MessageBuilder requestHead(String method, String path, String query, String host) {
        MessageBuilder head = transport.beginMessage().add(method).add(" ").add(path);
        if (query != null) {
            head.add("?").add(query);
        }
        return head.add(" HTTP/1.1").endLine().header("Host", host);
    }
}
