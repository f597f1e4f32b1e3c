package hookweir.lab.lives;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** A client that sends a request and further input, reads nothing, and leaves. Runs on its own thread. */
final class LeavingClient extends Thread {
    private static final int WRITE_POLL_MS = 1;
    private static final int READ_TIMEOUT_MS = 10_000;

    private final int port;
    private final String firstId;
    private final DeparturePlan plan;
    private volatile long leftNs;
    private volatile long stayUntilNs;
    private volatile boolean sent;

    /** Creates a client; it leaves at the time that is set by {@link #stayUntil}. */
    LeavingClient(int port, String id, DeparturePlan plan) {
        super(id);
        this.port = port;
        this.firstId = id;
        this.plan = plan;
        setDaemon(true);
    }

    /** Sets when the client leaves, by {@link System#nanoTime}. */
    void stayUntil(long timeNs) {
        stayUntilNs = timeNs;
    }

    /** The id of its first request; those of further requests begin with it. */
    String firstId() {
        return firstId;
    }

    /** When the client had left; 0 before. */
    long leftNs() {
        return leftNs;
    }

    /** Whether the first request is sent. */
    boolean hasSent() {
        return sent;
    }

    @Override
    public void run() {
        try (SocketChannel channel = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))) {
            channel.write(ByteBuffer.wrap(UnreadInput.job(firstId, plan.kind(), "").getBytes(StandardCharsets.ISO_8859_1)));
            sent = true;
            channel.configureBlocking(false);
            writeUntilLeaving(channel, ByteBuffer.wrap(plan.unread().bytes(firstId, plan.kind(), plan.unreadBytes())));
            if (plan.reset()) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt(); // the scheduler ended the connection: the client has no request any more
        }
        leftNs = System.nanoTime();
    }

    private void writeUntilLeaving(SocketChannel channel, ByteBuffer input) throws IOException, InterruptedException {
        while (stayUntilNs == 0 || System.nanoTime() < stayUntilNs) {
            try {
                channel.write(input);
            } catch (IOException e) {
                input.position(input.limit()); // the scheduler ended the connection
            }
            Thread.sleep(WRITE_POLL_MS);
        }
    }

    /** Sends the first request again on a new connection and returns the status of its response; 0 without one. */
    int comeAgain() {
        try (java.net.Socket socket = new java.net.Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            BlockingHttp.write(socket, UnreadInput.job(firstId, plan.kind(), ""));
            BlockingHttp.Message response = BlockingHttp.readMessage(socket.getInputStream());
            return response == null ? 0 : Integer.parseInt(response.startLine().substring(9, 12));
        } catch (IOException e) {
            return 0;
        }
    }
}
