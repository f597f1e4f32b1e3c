package hookweir.net.upgrade;

import hookweir.net.Loop;
import hookweir.net.Transport;
import hookweir.timer.TimerWheel;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A connection between two processes of one scheduler. It carries frames, each with a length, a kind, a number and a
 * payload. Two dedicated threads read and write, so that a peer that hangs blocks neither the loop nor the selector;
 * everything else belongs to the loop.
 */
public final class PeerConnection {
    /** The sender serves clients from now on. */
    static final int SERVING_FRAME = 1;
    /** A worker's callback that the sender does not know; the receiver sends a verdict with the same number. */
    static final int CALLBACK_FRAME = 2;
    /** Whether the question with this number, a callback or a claim, concerns a known job: one byte, 1 for yes. */
    static final int VERDICT_FRAME = 3;
    /** The id of a new request of the sender; the receiver sends a verdict with the same number. */
    static final int CLAIM_FRAME = 4;
    /** Ids of requests that the sender knows, separated by line feeds. */
    static final int KNOWN_IDS_FRAME = 5;
    private static final int HEADER_BYTES = 9;

    /** Receives frames, on the loop. */
    interface FrameListener {
        void frameReceived(PeerConnection from, int kind, int number, byte[] bytes);
    }

    final boolean predecessor;
    /** Whether the peer process serves clients. */
    boolean serving;
    /** Whether the peer process left a question without a verdict and has sent none since. */
    private boolean unresponsive;
    private final SocketChannel channel;
    private final Loop loop;
    private final FrameListener listener;
    private final Consumer<PeerConnection> onLost;
    /** The frames to write. A peer that lets the queue fill up is disconnected. */
    private final FrameQueue outgoing = new FrameQueue();
    private final Map<Integer, Question> openQuestions = new HashMap<>();
    private int lastQuestionNumber;

    /** A question to the peer that has no verdict yet. */
    private record Question(Consumer<Boolean> onVerdict, TimerWheel.Timer timeoutTimer) {
    }

    PeerConnection(SocketChannel channel, boolean predecessor, Loop loop, FrameListener listener, Consumer<PeerConnection> onLost) {
        this.channel = channel;
        this.predecessor = predecessor;
        this.loop = loop;
        this.listener = listener;
        this.onLost = onLost;
        startThread("peer reader", this::read);
        startThread("peer writer", this::write);
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
                throw new IOException("invalid frame length: " + length);
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

    /** Returns whether the peer process is older than this one. */
    public boolean isPredecessor() {
        return predecessor;
    }

    /**
     * Asks the peer whether a callback or a claim concerns one of its jobs. The verdict arrives once, by {@link #verdictReceived}, or as
     * false after the timeout or when the connection is closed.
     */
    void ask(int kind, byte[] payload, long timeoutUs, Consumer<Boolean> onVerdict) {
        int number = ++lastQuestionNumber;
        TimerWheel.Timer timer = loop.schedule(timeoutUs, () -> {
            unresponsive = true;
            completeVerdict(number, false);
        });
        openQuestions.put(number, new Question(onVerdict, timer));
        send(kind, number, payload);
    }

    /** Returns whether the peer process may accept requests and responds to questions. */
    boolean mayAcceptRequests() {
        return !unresponsive && (predecessor || serving);
    }

    /** Handles a verdict that the peer has sent; later ones for the same number are ignored. */
    void verdictReceived(int number, boolean known) {
        unresponsive = false;
        completeVerdict(number, known);
    }

    private void completeVerdict(int number, boolean known) {
        Question question = openQuestions.remove(number);
        if (question != null) {
            question.timeoutTimer.cancel();
            question.onVerdict.accept(known);
        }
    }

    /** Closes the connection; all verdicts that are missing become false. */
    void close() {
        try {
            channel.close(); // ends the reader now, and the writer at its next frame
        } catch (IOException e) {
            hookweir.net.Log.line("failed to close a peer connection: " + e.getMessage());
        }
        outgoing.offer(ByteBuffer.allocate(1)); // wakes the writer
        List.copyOf(openQuestions.keySet()).forEach(number -> completeVerdict(number, false));
    }
}
