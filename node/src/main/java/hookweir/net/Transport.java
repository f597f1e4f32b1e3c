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
    public static final int MOST_BODY_BYTES = 64 * 1024;
    /** The most bytes of a message's headers. */
    public static final int MOST_HEADER_BYTES = 16 * 1024;
    private static final float POOL_SHARE_OF_HEAP = 0.1f;
    /** What waits at a shut door waits here; beyond it the kernel drops, and peers try again only after a second. */
    private static final int BACKLOG = 4096;
    private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly");

    private final MemoryManager<? extends Buffer> pool;
    private final TCPNIOTransport tcp;
    private final Message message = new Message();
    private byte[] scratch = new byte[BUFFER_BYTES];

    public Transport(Invariants invariants, Loop loop) {
        pool = pool(invariants);
        // Peers may reset or garble any connection at any time; that is counted here, not logged there.
        GRIZZLY.setLevel(Level.SEVERE);
        tcp = TCPNIOTransportBuilder.newInstance()
            .setName("hookweir")
            .setSelectorHandler(new LoopSelector(loop))
            .setIOStrategy(SameThreadIOStrategy.getInstance())
            .setSelectorRunnersCount(1)
            .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig().copy().setPoolName("selector").setCorePoolSize(1)
                .setMaxPoolSize(1).setDaemon(true))
            .setWorkerThreadPoolConfig(null)
            .setMemoryManager(pool)
            .setReadBufferSize(BUFFER_BYTES)
            .setTcpNoDelay(true)
            .setKeepAlive(false)
            .setReuseAddress(true)
            .setServerConnectionBackLog(BACKLOG)
            .build();
    }

    private static MemoryManager<? extends Buffer> pool(Invariants invariants) {
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
    public Buffer pooled(byte[] bytes) {
        if (bytes.length == 0) {
            return Buffers.EMPTY_BUFFER;
        }
        Buffer b = pool.allocate(bytes.length);
        b.put(bytes).flip();
        b.allowBufferDispose(true);
        return b;
    }

    /** A message to be built, from its start; one at a time, on the selector's thread. */
    public Message message() {
        return message.begin();
    }

    /** A pooled copy of the message that was built and of this body behind it, to be written. */
    public Buffer pooled(Message head, byte[] body) {
        Buffer b = pool.allocate(head.length() + body.length);
        b.put(head.bytes(), 0, head.length()).put(body).flip();
        b.allowBufferDispose(true);
        return b;
    }

    /** Copies a received buffer, which goes back to the pool, to an array that the next call uses again. */
    public byte[] received(Buffer b) {
        int n = b.remaining();
        if (n > scratch.length) {
            scratch = new byte[n];
        }
        b.get(scratch, 0, n);
        b.tryDispose();
        return scratch;
    }
}
