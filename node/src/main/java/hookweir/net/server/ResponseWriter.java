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

/** Writes responses and counts the bytes that clients have not read yet. Belongs to the loop. */
final class ResponseWriter {
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Loop loop;
    private final Transport transport;
    private final ResourceBudget budget;
    private int pendingWrites;

    ResponseWriter(Loop loop, Transport transport, ResourceBudget budget) {
        this.loop = loop;
        this.transport = transport;
        this.budget = budget;
    }

    /** Whether some response is not completely written yet. */
    boolean isWriting() {
        return pendingWrites > 0;
    }

    /** Starts a response's head, to which further headers may be added; retryAfter may be null. */
    MessageBuilder head(int status, int bodyBytes, String retryAfter) {
        MessageBuilder head = transport.beginMessage().add(StatusLine.of(status));
        if (status != HttpStatus.NO_CONTENT) {
            head.add("Content-Length: ").add(bodyBytes).endLine();
        }
        return head.header("Retry-After", retryAfter);
    }

    /**
     * Ends the head and writes the response. The task runs in the loop's next turn after the response was written to the
     * socket.
     */
    void write(InboundConnection connection, MessageBuilder head, byte[] body, Runnable onWritten) {
        write(connection, transport.pooledCopy(head.endLine(), body), onWritten);
    }

    /** Tells the client to send the body that it announced. */
    void writeContinue(InboundConnection connection) {
        write(connection, transport.pooledCopy(CONTINUE), () -> { });
    }

    private void write(InboundConnection connection, Buffer message, Runnable onWritten) {
        int bytes = message.remaining();
        budget.addOutput(bytes);
        pendingWrites++;
        if (connection.unwrittenSinceUs == 0) {
            connection.unwrittenSinceUs = loop.nowUs();
        }
        connection.unwrittenBytes += bytes;
        @SuppressWarnings("unchecked")
        Connection<SocketAddress> out = (Connection<SocketAddress>) connection.transportConnection;
        out.write(message, new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
            @Override
            public void completed(WriteResult<Buffer, SocketAddress> result) {
                loop.post(() -> {
                    writeEnded(connection, bytes);
                    onWritten.run();
                });
            }

            @Override
            public void failed(Throwable t) {
                connection.transportConnection.closeSilently();
                loop.post(() -> writeEnded(connection, bytes));
            }
        });
    }

    private void writeEnded(InboundConnection connection, int bytes) {
        pendingWrites--;
        budget.releaseOutput(bytes);
        connection.unwrittenBytes -= bytes;
        connection.unwrittenSinceUs = connection.unwrittenBytes == 0 ? 0 : loop.nowUs();
    }
}
