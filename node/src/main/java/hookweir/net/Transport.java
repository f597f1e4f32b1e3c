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
 * Owns the one Grizzly transport, its single selector thread and the buffer pool. Filters run on that thread (same-thread
 * strategy) and only parse and post to the {@link Loop}, which takes its turn on it too: there is no further thread.
 */
public final class Transport {
    /** The one size of all buffers; a longer message is a chain of these. */
    public static final int BUFFER_BYTES = 4096;
    /** The most bytes of a body, by the protocol. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** The most bytes of a message's headers. */
    public static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final float POOL_SHARE_OF_HEAP = 0.1f;
    /** What waits at a shut door waits here; beyond it the kernel drops, and peers try again only after a second. */
    private static final int ACCEPT_BACKLOG = 4096;
    private static final Logger GRIZZLY_LOGGER = Logger.getLogger("org.glassfish.grizzly");

    private final MemoryManager<? extends Buffer> memoryManager;
    private final TCPNIOTransport tcp;
    private final MessageBuilder beginMessage = new MessageBuilder();
    private byte[] scratch = new byte[BUFFER_BYTES];

    public Transport(Invariants invariants, Loop loop) {
        memoryManager = memoryManager(invariants);
        // Peers may reset or garble any connection at any time; that is counted here, not logged there.
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
        PooledMemoryManager made = new PooledMemoryManager(BUFFER_BYTES, 1, 0, 1, POOL_SHARE_OF_HEAP, 0, true);
        made.getMonitoringConfig().addProbes(new MemoryProbe.Adapter() {
            @Override
            public void onBufferAllocateEvent(int size) {
                invariants.count("buffers made"); // one that does not come back to the pool shows here
            }
        });
        return made;
    }

    /** Starts the selector. */
    public void start() throws IOException {
        tcp.start();
    }

    /** Closes every connection and ends the selector. */
    public void stop() throws IOException {
        tcp.shutdownNow();
    }

    /** The transport itself, for listeners and dials. */
    public TCPNIOTransport tcp() {
        return tcp;
    }

    /** A pooled copy of these bytes; whoever writes it to a connection gives it back by that. */
    public Buffer pooledCopy(byte[] bytes) {
        if (bytes.length == 0) {
            return Buffers.EMPTY_BUFFER;
        }
        Buffer b = memoryManager.allocate(bytes.length);
        b.put(bytes).flip();
        b.allowBufferDispose(true);
        return b;
    }

    /** A message to be built, from its start; one at a time, on the selector's thread. */
    public MessageBuilder beginMessage() {
        return beginMessage.reset();
    }

    /** A pooled copy of the message that was built and of this body behind it, to be written. */
    public Buffer pooledCopy(MessageBuilder head, byte[] body) {
        Buffer b = memoryManager.allocate(head.length() + body.length);
        b.put(head.bytes(), 0, head.length()).put(body).flip();
        b.allowBufferDispose(true);
        return b;
    }

    /** Copies a received buffer, which goes back to the pool, to an array that the next call uses again. */
    public byte[] copyReceived(Buffer b) {
        int n = b.remaining();
        if (n > scratch.length) {
            scratch = new byte[n];
        }
        b.get(scratch, 0, n);
        b.tryDispose();
        return scratch;
    }
}
