package hookweir.net.upgrade;

import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** The frames that wait to be written to a peer process, bounded by what they take. Safe for several threads. */
final class FrameQueue {
    /** Maximum number of bytes queued. */
    static final int MAX_BYTES = 4 << 20;
    /** What a queued frame takes beside its bytes. */
    static final int FRAME_OVERHEAD_BYTES = 128;

    private final BlockingQueue<ByteBuffer> frames = new LinkedBlockingQueue<>();
    private final AtomicInteger queuedBytes = new AtomicInteger();

    /** Queues a frame; returns false if there is no space for it. */
    boolean offer(ByteBuffer frame) {
        int size = sizeOf(frame);
        if (queuedBytes.addAndGet(size) > MAX_BYTES) {
            queuedBytes.addAndGet(-size);
            return false;
        }
        return frames.add(frame);
    }

    /** Removes the oldest frame, waiting for one if necessary. */
    ByteBuffer take() throws InterruptedException {
        ByteBuffer frame = frames.take();
        queuedBytes.addAndGet(-sizeOf(frame));
        return frame;
    }

    private static int sizeOf(ByteBuffer frame) {
        return FRAME_OVERHEAD_BYTES + frame.capacity();
    }
}
