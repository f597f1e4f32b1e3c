package hookweir.net.upgrade;

import hookweir.net.Loop;
import hookweir.net.Transport;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;

/**
 * One connection between two processes of a scheduler: frames of a length, a kind, a number and bytes. Two threads of
 * its own read and write, so that a neighbour that hangs blocks neither the loop nor the selector; all else belongs to
 * the loop.
 */
public final class PeerConnection {
    static final int SERVING_FRAME = 1;
    static final int CALLBACK_FRAME = 2;
    static final int VERDICT_FRAME = 3;
    private static final int HEADER_BYTES = 9;
    /** Frames that wait to be written; a neighbour that reads none of so many is given up. */
    private static final int MAX_QUEUED_FRAMES = 256;

    /** Takes frames, on the loop. */
    interface FrameListener {
        void frameReceived(PeerConnection from, int kind, int number, byte[] bytes);
    }

    final boolean predecessor;
    /** The neighbour takes clients. */
    boolean serving;
    private final SocketChannel channel;
    private final Loop loop;
    private final FrameListener listener;
    private final Consumer<PeerConnection> onLost;
    private final BlockingQueue<ByteBuffer> outgoing = new ArrayBlockingQueue<>(MAX_QUEUED_FRAMES);
    private final Map<Integer, Consumer<Boolean>> pendingVerdicts = new HashMap<>();
    private int lastCallbackNumber;

    PeerConnection(SocketChannel channel, boolean predecessor, Loop loop, FrameListener listener, Consumer<PeerConnection> onLost) {
        this.channel = channel;
        this.predecessor = predecessor;
        this.loop = loop;
        this.listener = listener;
        this.onLost = onLost;
        startThread("neighbour reader", this::read);
        startThread("neighbour writer", this::write);
    }

    private interface IoTask {
        void run() throws IOException, InterruptedException;
    }

    private void startThread(String name, IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                loop.post(() -> onLost.accept(this));
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void read() throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        while (true) {
            readFully(header.clear());
            int length = header.getInt();
            int kind = header.get();
            int number = header.getInt();
            if (length < 0 || length > Transport.MAX_BODY_BYTES) {
                throw new IOException("a frame of " + length + " bytes");
            }
            ByteBuffer bytes = ByteBuffer.allocate(length);
            readFully(bytes);
            loop.post(() -> listener.frameReceived(this, kind, number, bytes.array()));
        }
    }

    private void readFully(ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            if (channel.read(buffer) < 0) {
                throw new EOFException();
            }
        }
        buffer.flip();
    }

    private void write() throws IOException, InterruptedException {
        while (channel.isOpen()) {
            ByteBuffer frame = outgoing.take();
            while (frame.hasRemaining()) {
                channel.write(frame);
            }
        }
    }

    void send(int kind, int number, byte[] bytes) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + bytes.length).putInt(bytes.length).put((byte) kind).putInt(number).put(bytes).flip();
        if (!outgoing.offer(frame)) {
            loop.post(() -> onLost.accept(this));
        }
    }

    /** Asks whether a call-back is the neighbour's; told once, by {@link #completeVerdict} or when the wire is down. */
    int forwardCallback(byte[] callback, Consumer<Boolean> onVerdict) {
        pendingVerdicts.put(++lastCallbackNumber, onVerdict);
        send(CALLBACK_FRAME, lastCallbackNumber, callback);
        return lastCallbackNumber;
    }

    /** The verdict on what was asked; any but the first is passed over. */
    void completeVerdict(int number, boolean known) {
        Consumer<Boolean> onVerdict = pendingVerdicts.remove(number);
        if (onVerdict != null) {
            onVerdict.accept(known);
        }
    }

    /** Ends it; whoever waits for a verdict hears no. */
    void close() {
        try {
            channel.close(); // the reader ends by it, and the writer with its next frame
        } catch (IOException e) {
            hookweir.net.Log.line("closing a neighbour: " + e.getMessage());
        }
        outgoing.offer(ByteBuffer.allocate(1));
        Map<Integer, Consumer<Boolean>> unanswered = new HashMap<>(pendingVerdicts);
        pendingVerdicts.clear();
        unanswered.values().forEach(onVerdict -> onVerdict.accept(false));
    }
}
