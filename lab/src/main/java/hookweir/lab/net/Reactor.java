package hookweir.lab.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;

/**
 * One thread that owns sockets and timers of stand-ins or clients; all their state belongs to it. Leaner than a server
 * library, as a generator must be many times faster than what it measures. Loopback only.
 */
public final class Reactor implements AutoCloseable {
    private static final int BACKLOG = 1024;
    private static final int READ_BYTES = 1 << 16;

    private final Selector selector;
    private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
    private final Thread thread;
    private long timerCount;
    private volatile boolean stopped;

    private record Timer(long atNs, long sequence, Runnable task) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer o) {
            return atNs != o.atNs ? Long.compare(atNs, o.atNs) : Long.compare(sequence, o.sequence);
        }
    }

    /** A thread of this name, started. */
    public Reactor(String name) throws IOException {
        selector = Selector.open();
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Runs the task on the thread. Any thread may call. */
    public void post(Runnable task) {
        postedTasks.add(task);
        selector.wakeup();
    }

    /** Runs the task at that time of {@link System#nanoTime}. On the thread. */
    public void schedule(long ns, Runnable task) {
        timers.add(new Timer(ns, timerCount++, task));
    }

    /** Listens on a free loopback port, or on that one; each connection gets a peer of its own. The port. */
    public int listen(int port, Supplier<HttpConnection> peers) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        server.configureBlocking(false);
        post(() -> {
            try {
                server.register(selector, SelectionKey.OP_ACCEPT, peers);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        return ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    /** Connects the peer; it hears of it by {@link HttpConnection#onClosed} where that fails. On the thread. */
    public void connect(InetSocketAddress to, HttpConnection peer) {
        try {
            SocketChannel c = SocketChannel.open();
            c.configureBlocking(false);
            c.setOption(StandardSocketOptions.TCP_NODELAY, true);
            boolean up = c.connect(to);
            SelectionKey key = c.register(selector, up ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, peer);
            peer.attach(key, c);
            if (up) {
                peer.flush();
            }
        } catch (IOException e) {
            peer.close();
        }
    }

    private void run() {
        while (!stopped) {
            try {
                runOnce();
            } catch (IOException e) {
                throw new IllegalStateException("the selector failed", e);
            }
        }
    }

    private void runOnce() throws IOException {
        for (Runnable task = postedTasks.poll(); task != null; task = postedTasks.poll()) {
            task.run();
        }
        long now = System.nanoTime();
        while (!timers.isEmpty() && timers.peek().atNs <= now) {
            timers.poll().task.run();
        }
        long waitNs = timers.isEmpty() ? 100_000_000 : timers.peek().atNs - System.nanoTime();
        if (waitNs < 1_000_000) {
            selector.selectNow(); // a schedule finer than the wait's grain is kept by turning
        } else {
            selector.select(waitNs / 1_000_000);
        }
        for (Iterator<SelectionKey> it = selector.selectedKeys().iterator(); it.hasNext();) {
            SelectionKey key = it.next();
            it.remove();
            if (key.isValid()) {
                handleReady(key);
            }
        }
    }

    private void handleReady(SelectionKey key) throws IOException {
        if (key.isAcceptable()) {
            SocketChannel c = ((ServerSocketChannel) key.channel()).accept();
            if (c != null) {
                c.configureBlocking(false);
                c.setOption(StandardSocketOptions.TCP_NODELAY, true);
                HttpConnection peer = (HttpConnection) ((Supplier<?>) key.attachment()).get();
                peer.attach(c.register(selector, SelectionKey.OP_READ, peer), c);
            }
            return;
        }
        HttpConnection peer = (HttpConnection) key.attachment();
        try {
            if (key.isConnectable() && ((SocketChannel) key.channel()).finishConnect()) {
                key.interestOps(SelectionKey.OP_READ);
                peer.flush();
            }
            if (key.isValid() && key.isWritable()) {
                peer.flush();
            }
            if (key.isValid() && key.isReadable()) {
                readBuffer.clear();
                int n = ((SocketChannel) key.channel()).read(readBuffer);
                if (n < 0) {
                    peer.close();
                } else {
                    peer.receive(readBuffer.flip());
                }
            }
        } catch (IOException e) {
            peer.close();
        }
    }

    /** Ends the thread and closes its sockets. */
    @Override
    public void close() throws IOException {
        stopped = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
