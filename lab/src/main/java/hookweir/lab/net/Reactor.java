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
 * A selector thread that owns the sockets, timers and all state of stubs or clients. It does less than a server library, as a
 * load generator must be many times faster than what it measures. Loopback only.
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

    /** Starts a thread of this name. */
    public Reactor(String name) throws IOException {
        selector = Selector.open();
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Runs the task on the reactor's thread. May be called from any thread. */
    public void post(Runnable task) {
        postedTasks.add(task);
        selector.wakeup();
    }

    /** Runs the task at the given {@link System#nanoTime}. Must be called on the reactor's thread. */
    public void schedule(long atNs, Runnable task) {
        timers.add(new Timer(atNs, timerCount++, task));
    }

    /** Listens on the loopback port, or on any free one for 0, with a new connection object per connection; returns the port. */
    public int listen(int port, Supplier<HttpConnection> connections) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        server.configureBlocking(false);
        post(() -> {
            try {
                server.register(selector, SelectionKey.OP_ACCEPT, connections);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        return ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    /** Connects; {@link HttpConnection#onClosed} is called if that fails. Must be called on the reactor's thread. */
    public void connect(InetSocketAddress to, HttpConnection connection) {
        try {
            SocketChannel c = SocketChannel.open();
            c.configureBlocking(false);
            c.setOption(StandardSocketOptions.TCP_NODELAY, true);
            boolean up = c.connect(to);
            SelectionKey key = c.register(selector, up ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, connection);
            connection.attach(key, c);
            if (up) {
                connection.flush();
            }
        } catch (IOException e) {
            connection.close();
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
            selector.selectNow(); // polls, as select() can only wait for whole milliseconds
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
                HttpConnection connection = (HttpConnection) ((Supplier<?>) key.attachment()).get();
                connection.attach(c.register(selector, SelectionKey.OP_READ, connection), c);
            }
            return;
        }
        HttpConnection connection = (HttpConnection) key.attachment();
        try {
            if (key.isConnectable() && ((SocketChannel) key.channel()).finishConnect()) {
                key.interestOps(SelectionKey.OP_READ);
                connection.flush();
            }
            if (key.isValid() && key.isWritable()) {
                connection.flush();
            }
            if (key.isValid() && key.isReadable()) {
                readBuffer.clear();
                int n = ((SocketChannel) key.channel()).read(readBuffer);
                if (n < 0) {
                    connection.close();
                } else {
                    connection.receive(readBuffer.flip());
                }
            }
        } catch (IOException e) {
            connection.close();
        }
    }

    /** Stops the thread and closes its sockets. */
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
