package hookweir.net;

import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.memory.MemoryProbe;
import org.glassfish.grizzly.memory.PooledMemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Owns the Grizzly transport, its single selector thread and the buffer pool. Filters run on that thread (same-thread strategy);
 * they only parse, and post to the {@link Loop}, which runs on the same thread.
 */
public final class Transport {
    /** The size of all buffers; a longer message is a chain of buffers. */
    public static final int BUFFER_BYTES = 4096;
    /** The maximum size of a body, as defined by the protocol. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** The maximum size of the head of a message. */
    public static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final float POOL_SHARE_OF_HEAP = 0.1f;
    /** Holds connections while accepting is paused. The kernel drops those beyond it, and peers retry only after a second. */
    private static final int ACCEPT_BACKLOG = 4096;
    private static final Logger GRIZZLY_LOGGER = Logger.getLogger("org.glassfish.grizzly");

    private final MemoryManager<? extends Buffer> memoryManager;
    private final TCPNIOTransport tcp;
    private final MessageBuilder beginMessage = new MessageBuilder();
    private byte[] scratch = new byte[BUFFER_BYTES];

    public Transport(Invariants invariants, Loop loop) {
        memoryManager = memoryManager(invariants);
        // Peers may reset any connection or send garbage at any time; that is counted by this project and not logged by Grizzly.
        GRIZZLY_LOGGER.setLevel(Level.SEVERE);
        tcp = TCPNIOTransportBuilder.newInstance()
            .setName("hookweir")
            .setSelectorHandler(new LoopSelector(loop))
            .setIOStrategy(SameThreadIOStrategy.getInstance())
            .setSelectorRunnersCount(1)
            .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig().copy().setPoolName("selector").setCorePoolSize(1)
                .setMaxPoolSize(1).setDaemon(true))
            .setWorkerThreadPoolConfig(null)
            .setMemoryManager(memoryManager)
            .setReadBufferSize(BUFFER_BYTES)
            .setTcpNoDelay(true)
            .setKeepAlive(false)
            .setReuseAddress(true)
            .setServerConnectionBackLog(ACCEPT_BACKLOG)
            .build();
    }

    private static MemoryManager<? extends Buffer> memoryManager(Invariants invariants) {
        PooledMemoryManager manager = new PooledMemoryManager(BUFFER_BYTES, 1, 0, 1, POOL_SHARE_OF_HEAP, 0, true);
        manager.getMonitoringConfig().addProbes(new MemoryProbe.Adapter() {
            @Override
            public void onBufferAllocateEvent(int size) {
                invariants.count("buffers made"); // shows buffers that are not returned to the pool
            }
        });
        return manager;
    }

    /** Starts the selector. */
    public void start() throws IOException {
        tcp.start();
    }

    /** Closes all connections and stops the selector. */
    public void stop() throws IOException {
        tcp.shutdownNow();
    }

    /** Returns the Grizzly transport, for listeners and connectors. */
    public TCPNIOTransport tcp() {
        return tcp;
    }

    /** Copies the bytes to a pooled buffer, which returns to the pool once written to a connection. */
    public Buffer pooledCopy(byte[] bytes) {
        if (bytes.length == 0) {
            return Buffers.EMPTY_BUFFER;
        }
        Buffer buffer = memoryManager.allocate(bytes.length);
        buffer.put(bytes).flip();
        buffer.allowBufferDispose(true);
        return buffer;
    }

    /** Returns the shared builder for a new message. One message at a time, on the selector thread. */
    public MessageBuilder beginMessage() {
        return beginMessage.reset();
    }

    /** Copies a built head and a body to a pooled buffer, which returns to the pool once written to a connection. */
    public Buffer pooledCopy(MessageBuilder head, byte[] body) {
        Buffer buffer = memoryManager.allocate(head.length() + body.length);
        buffer.put(head.bytes(), 0, head.length()).put(body).flip();
        buffer.allowBufferDispose(true);
        return buffer;
    }

    /** Copies a received buffer to an array that the next call reuses, and returns the buffer to the pool. */
    public byte[] copyReceived(Buffer buffer) {
        int length = buffer.remaining();
        if (length > scratch.length) {
            scratch = new byte[length];
        }
        buffer.get(scratch, 0, length);
        buffer.tryDispose();
        return scratch;
    }
}
