package hookweir.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.room.ResourceBudget;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The hollow scheduler's connections: reuse, rest, end and bound. */
class LinkPoolTest {
    private static final int DESCRIPTORS = 100;
    private static final long SECOND_US = 1_000_000;

    private final EventQueue queue = new EventQueue();
    private final Network network = new Network();
    private final Traffic traffic = new Traffic();
    private final ResourceBudget room = new ResourceBudget(1 << 20, 16);
    private final HollowWorker worker = new HollowWorker(0);
    private final LinkPool pool = new LinkPool(queue, network, traffic, 0, room, () -> 0, () -> DESCRIPTORS);
    private final List<LinkPool.Link> got = new ArrayList<>();

    LinkPoolTest() {
        room.setMaxDescriptors(DESCRIPTORS);
    }

    private LinkPool.Link acquire(HollowWorker from) {
        pool.acquire(from, MessageKind.PROBE_CONNECTION, got::add);
        queue.runUntil(queue.nowUs() + SECOND_US);
        return got.get(got.size() - 1);
    }

    private long dials() {
        return traffic.of(Role.SCHEDULER, MessageKind.PROBE_CONNECTION).messages();
    }

    @Test
    void anIdleLinkIsUsedAgainUntilItsTimeIsUp() {
        LinkPool.Link first = acquire(worker);
        pool.release(first, 0);
        assertSame(first, acquire(worker));
        pool.release(first, 0);
        queue.runUntil(queue.nowUs() + 10 * SECOND_US);
        assertNotSame(first, acquire(worker));
        assertEquals(2, dials());
    }

    @Test
    void aLinkThatRestsIsWaitedFor() {
        LinkPool.Link first = acquire(worker);
        pool.release(first, LinkPool.SETTLE_US);
        long from = queue.nowUs();
        long[] at = new long[1];
        pool.acquire(worker, MessageKind.PROBE_CONNECTION, link -> at[0] = queue.nowUs());
        queue.runUntil(from + SECOND_US);
        assertEquals(from + LinkPool.SETTLE_US, at[0]);
        assertEquals(1, dials());
    }

    @Test
    void aRestartedWorkersLinksAreNotUsed() {
        pool.release(acquire(worker), 0);
        worker.restart();
        assertTrue(!acquire(worker).isBroken());
        assertEquals(2, dials());
    }

    @Test
    void noLinkComesUpToASilentWorker() {
        worker.silent = true;
        assertNull(acquire(worker));
        assertEquals(0, pool.open());
    }

    @Test
    void openLinksStayWithinTheirShareOfTheDescriptors() {
        for (int id = 0; id < DESCRIPTORS; id++) {
            pool.release(acquire(new HollowWorker(id)), 0);
            assertTrue(pool.open() <= DESCRIPTORS * ResourceBudget.MAX_WORKER_CONNECTION_SHARE, "open " + pool.open());
        }
        for (int id = 0; id < DESCRIPTORS; id++) {
            pool.acquire(new HollowWorker(id), MessageKind.PROBE_CONNECTION, got::add);
        }
        queue.runUntil(queue.nowUs() + SECOND_US);
        assertTrue(pool.open() <= DESCRIPTORS * ResourceBudget.MAX_WORKER_CONNECTION_SHARE, "open " + pool.open());
        assertTrue(got.contains(null), "those beyond the share get none");
    }
}
