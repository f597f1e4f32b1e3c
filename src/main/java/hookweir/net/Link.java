package hookweir.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * One outgoing connection, which carries one call at a time. Its state belongs to the {@link Loop}; its
 * handler is called there only. Nothing here sends a call twice.
 */
public final class Link {
    /** What becomes of a dial or a call. */
    public interface Handler {
        /** The dial succeeded; nothing has been sent. */
        default void up(Link link) {
        }

        /** The last byte of the call is with the kernel. */
        default void written(Link link) {
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

    private final Loop loop;
    private final Loop.Timer dialLimit;
    private Handler handler;
    private Connection<?> connection;
    private boolean isUp;
    private boolean isDown;
    private boolean calling;
    private boolean writing;
    private boolean broken;
    /** Pieces of the answer that were told before the write's end, for the same reason. */
    private final Deque<Runnable> early = new ArrayDeque<>();
    private Piece unframed;

    /** Set by its pool when it was last put aside. */
    public long idleSinceUs;
    /** Set by its pool: it carried a call before the present one. */
    public boolean kept;

    Link(Loop loop, long dialLimitUs, Handler handler) {
        this.loop = loop;
        this.handler = handler;
        dialLimit = loop.after(dialLimitUs, this::dialLate);
    }

    /** Guards against a machine that vanished: its connections never come up, and nobody says so. */
    private void dialLate() {
        if (!isUp) {
            fallDown();
        }
    }

    /** From the selector: the dial succeeded. */
    void connected(Connection<?> c) {
        loop.post(() -> {
            if (isDown) {
                c.closeSilently();
                return;
            }
            connection = c;
            isUp = true;
            dialLimit.cancel();
            handler.up(this);
        });
    }

    /** From the selector: the dial failed or the connection ended. */
    void ended() {
        loop.post(this::fallDown);
    }

    private void fallDown() {
        if (isDown) {
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

    /** From the selector: a piece of the answer. */
    void received(Piece piece, boolean framed) {
        loop.post(() -> {
            if (writing) {
                early.add(() -> take(piece, framed));
            } else {
                take(piece, framed);
            }
        });
    }

    private void take(Piece piece, boolean framed) {
        if (isDown) {
            return;
        }
        if (!calling) {
            // An answer that nobody asked for: the next call's answer could not be told from it.
            fallDown();
            return;
        }
        unframed = framed ? null : piece;
        calling = !piece.last;
        handler.piece(this, piece);
    }

    /** Starts a call; the body, which may be empty, is given away. */
    public void call(HttpRequestPacket head, Buffer body, Handler newHandler) {
        handler = newHandler;
        calling = true;
        writing = true;
        unframed = null;
        HttpContent whole = HttpContent.builder(head).content(body).last(true).build();
        CompletionHandler<WriteResult<HttpContent, java.net.SocketAddress>> done = new EmptyCompletionHandler<>() {
            @Override
            public void completed(WriteResult<HttpContent, java.net.SocketAddress> result) {
                loop.post(() -> wrote(true));
            }

            @Override
            public void failed(Throwable t) {
                loop.post(() -> wrote(false));
            }
        };
        @SuppressWarnings("unchecked")
        Connection<java.net.SocketAddress> c = (Connection<java.net.SocketAddress>) connection;
        c.write(whole, done);
    }

    private void wrote(boolean whole) {
        writing = false;
        if (!isDown && calling && whole) {
            handler.written(this);
        }
        for (Runnable piece = early.poll(); piece != null; piece = early.poll()) {
            piece.run();
        }
        if (broken || !whole) {
            fallDown();
        }
    }

    /** Closes it without a word to the handler. */
    public void close() {
        isDown = true;
        dialLimit.cancel();
        if (connection != null) {
            connection.closeSilently();
        }
    }

    /** It is up and carries no call. */
    public boolean isFree() {
        return isUp && !isDown && !calling && connection.isOpen();
    }

    /** A pool takes it back: only its end matters now. */
    public void rest(Handler newHandler) {
        handler = newHandler;
    }

    /** The head of a call. */
    public static HttpRequestPacket.Builder head(String method, String path, String query, InetSocketAddress to) {
        HttpRequestPacket.Builder b = HttpRequestPacket.builder().method(method).uri(path)
            .protocol(org.glassfish.grizzly.http.Protocol.HTTP_1_1)
            .header("Host", to.getAddress().getHostAddress() + ":" + to.getPort());
        return query == null ? b : b.query(query);
    }
}
