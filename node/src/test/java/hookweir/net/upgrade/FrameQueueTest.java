package hookweir.net.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** The bound of what waits for a peer process that does not read. */
class FrameQueueTest {
    private static int framesUntilFull(FrameQueue queue, int frameBytes) {
        int count = 0;
        while (queue.offer(ByteBuffer.allocate(frameBytes))) {
            count++;
        }
        return count;
    }

    /** Many short frames, one for each request of a burst, used to end the connection at 256; large ones could fill the heap. */
    @Test
    void queueIsBoundedByBytes() throws Exception {
        FrameQueue queue = new FrameQueue();
        assertTrue(framesUntilFull(queue, 32) > 20_000);
        assertEquals(32, queue.take().capacity());
        assertTrue(queue.offer(ByteBuffer.allocate(32)), "the taken frame made space");
        assertFalse(queue.offer(ByteBuffer.allocate(32)));
        int large = 64 * 1024;
        assertEquals(FrameQueue.MAX_BYTES / (large + FrameQueue.FRAME_OVERHEAD_BYTES), framesUntilFull(new FrameQueue(), large));
    }
}
