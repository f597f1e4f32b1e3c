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
public final class Wire {
    static final int SERVES = 1;
    static final int CALLED = 2;
    static final int VERDICT = 3;
    private static final int HEAD_BYTES = 9;
    /** Frames that wait to be written; a neighbour that reads none of so many is given up. */
    private static final int MOST_WAITING = 256;

    /** Takes frames, on the loop. */
    interface Listener {
        void heard(Wire from, int kind, int number, byte[] bytes);
    }

    final boolean predecessor;
    /** The neighbour takes clients. */
    boolean serves;
    private final SocketChannel channel;
    private final Loop loop;
    private final Listener listener;
    private final Consumer<Wire> down;
    private final BlockingQueue<ByteBuffer> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private final Map<Integer, Consumer<Boolean>> asked = new HashMap<>();
    private int lastNumber;

    Wire(SocketChannel channel, boolean predecessor, Loop loop, Listener listener, Consumer<Wire> down) {
        this.channel = channel;
        this.predecessor = predecessor;
        this.loop = loop;
        this.listener = listener;
        this.down = down;
        thread("neighbour reader", this::read);
        thread("neighbour writer", this::write);
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private void thread(String name, Work work) {
        Thread t = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                loop.post(() -> down.accept(this));
            }
        }, name);
        t.setDaemon(true);
        t.start();
    }

    private void read() throws IOException {
        ByteBuffer head = ByteBuffer.allocate(HEAD_BYTES);
        while (true) {
            fill(head.clear());
            int length = head.getInt();
            int kind = head.get();
            int number = head.getInt();
            if (length < 0 || length > Transport.MAX_BODY_BYTES) {
                throw new IOException("a frame of " + length + " bytes");
            }
            ByteBuffer bytes = ByteBuffer.allocate(length);
            fill(bytes);
            loop.post(() -> listener.heard(this, kind, number, bytes.array()));
        }
    }

    private void fill(ByteBuffer b) throws IOException {
        while (b.hasRemaining()) {
            if (channel.read(b) < 0) {
                throw new EOFException();
            }
        }
        b.flip();
    }

    private void write() throws IOException, InterruptedException {
        while (channel.isOpen()) {
            ByteBuffer b = waiting.take();
            while (b.hasRemaining()) {
                channel.write(b);
            }
        }
    }

    void send(int kind, int number, byte[] bytes) {
        ByteBuffer b = ByteBuffer.allocate(HEAD_BYTES + bytes.length).putInt(bytes.length).put((byte) kind).putInt(number).put(bytes).flip();
        if (!waiting.offer(b)) {
            loop.post(() -> down.accept(this));
        }
    }

    /** Asks whether a call-back is the neighbour's; told once, by {@link #verdict} or when the wire is down. */
    int ask(byte[] callback, Consumer<Boolean> told) {
        asked.put(++lastNumber, told);
        send(CALLED, lastNumber, callback);
        return lastNumber;
    }

    /** The verdict on what was asked; any but the first is passed over. */
    void verdict(int number, boolean known) {
        Consumer<Boolean> told = asked.remove(number);
        if (told != null) {
            told.accept(known);
        }
    }

    /** Ends it; whoever waits for a verdict hears no. */
    void close() {
        try {
            channel.close(); // the reader ends by it, and the writer with its next frame
        } catch (IOException e) {
            hookweir.net.Log.line("closing a neighbour: " + e.getMessage());
        }
        waiting.offer(ByteBuffer.allocate(1));
        Map<Integer, Consumer<Boolean>> left = new HashMap<>(asked);
        asked.clear();
        left.values().forEach(told -> told.accept(false));
    }
}
