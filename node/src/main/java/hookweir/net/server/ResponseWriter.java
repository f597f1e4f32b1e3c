package hookweir.net.server;

import hookweir.net.HttpStatus;
import hookweir.net.Loop;
import hookweir.net.MessageBuilder;
import hookweir.net.Transport;
import hookweir.room.ResourceBudget;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;

/** Writes responses, and counts the bytes that clients have not taken yet. Belongs to the loop. */
final class ResponseWriter {
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Loop loop;
    private final Transport transport;
    private final ResourceBudget room;
    private int pendingWrites;

    ResponseWriter(Loop loop, Transport transport, ResourceBudget room) {
        this.loop = loop;
        this.transport = transport;
        this.room = room;
    }

    /** Whether some response is not wholly written yet. */
    boolean isWriting() {
        return pendingWrites > 0;
    }

    /** Begins a response's head, to which further headers may be added; retryAfter may be null. */
    MessageBuilder head(int status, int bodyBytes, String retryAfter) {
        MessageBuilder head = transport.beginMessage().add(StatusLine.of(status));
        if (status != HttpStatus.NO_CONTENT) {
            head.add("Content-Length: ").add(bodyBytes).endLine();
        }
        return head.header("Retry-After", retryAfter);
    }

    /** Ends the head and writes the response; the task runs, in the loop's next turn, once the client has taken it. */
    void write(InboundConnection c, MessageBuilder head, byte[] body, Runnable onWritten) {
        write(c, transport.pooledCopy(head.endLine(), body), onWritten);
    }

    /** Asks the client to send the body that it announced. */
    void writeContinue(InboundConnection c) {
        write(c, transport.pooledCopy(CONTINUE), () -> { });
    }

    private void write(InboundConnection c, Buffer message, Runnable onWritten) {
        int bytes = message.remaining();
        room.addOutput(bytes);
        pendingWrites++;
        if (c.unwrittenSinceUs == 0) {
            c.unwrittenSinceUs = loop.nowUs();
        }
        c.unwrittenBytes += bytes;
        @SuppressWarnings("unchecked")
        Connection<SocketAddress> out = (Connection<SocketAddress>) c.transportConnection;
        out.write(message, new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
            @Override
            public void completed(WriteResult<Buffer, SocketAddress> result) {
                loop.post(() -> {
                    writeEnded(c, bytes);
                    onWritten.run();
                });
            }

            @Override
            public void failed(Throwable t) {
                c.transportConnection.closeSilently();
                loop.post(() -> writeEnded(c, bytes));
            }
        });
    }

    private void writeEnded(InboundConnection c, int bytes) {
        pendingWrites--;
        room.releaseOutput(bytes);
        c.unwrittenBytes -= bytes;
        c.unwrittenSinceUs = c.unwrittenBytes == 0 ? 0 : loop.nowUs();
    }
}
