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

/** The connection pool of a simulated scheduler: reuse, reuse delay, idle timeout and the limit on open connections. */
class ConnectionPoolTest {
    private static final int DESCRIPTORS = 100;
    private static final long SECOND_US = 1_000_000;

    private final EventQueue queue = new EventQueue();
    private final Network network = new Network();
    private final Traffic traffic = new Traffic();
    private final ResourceBudget resourceBudget = new ResourceBudget(1 << 20, 16);
    private final SimulatedWorker worker = new SimulatedWorker(0);
    private final ConnectionPool pool = new ConnectionPool(queue, network, traffic, 0, resourceBudget, () -> 0, () -> DESCRIPTORS);
    private final List<ConnectionPool.Connection> acquired = new ArrayList<>();

    ConnectionPoolTest() {
        resourceBudget.setMaxDescriptors(DESCRIPTORS);
    }

    private ConnectionPool.Connection acquire(SimulatedWorker to) {
        pool.acquire(to, MessageKind.PROBE_CONNECTION, acquired::add);
        queue.runUntil(queue.nowUs() + SECOND_US);
        return acquired.get(acquired.size() - 1);
    }

    private long openedConnections() {
        return traffic.tally(Role.SCHEDULER, MessageKind.PROBE_CONNECTION).messages();
    }

    @Test
    void reusesAnIdleConnectionUntilItsIdleTimeout() {
        ConnectionPool.Connection first = acquire(worker);
        pool.release(first, 0);
        assertSame(first, acquire(worker));
        pool.release(first, 0);
        queue.runUntil(queue.nowUs() + 10 * SECOND_US);
        assertNotSame(first, acquire(worker));
        assertEquals(2, openedConnections());
    }

    @Test
    void waitsForADelayedConnection() {
        ConnectionPool.Connection first = acquire(worker);
        pool.release(first, ConnectionPool.REUSE_DELAY_US);
        long startUs = queue.nowUs();
        long[] acquiredAtUs = new long[1];
        pool.acquire(worker, MessageKind.PROBE_CONNECTION, connection -> acquiredAtUs[0] = queue.nowUs());
        queue.runUntil(startUs + SECOND_US);
        assertEquals(startUs + ConnectionPool.REUSE_DELAY_US, acquiredAtUs[0]);
        assertEquals(1, openedConnections());
    }

    @Test
    void doesNotReuseConnectionsOfARestartedWorker() {
        pool.release(acquire(worker), 0);
        worker.restart();
        assertTrue(!acquire(worker).isBroken());
        assertEquals(2, openedConnections());
    }

    @Test
    void doesNotConnectToAnUnresponsiveWorker() {
        worker.unresponsive = true;
        assertNull(acquire(worker));
        assertEquals(0, pool.openCount());
    }

    @Test
    void keepsOpenConnectionsWithinTheirShareOfTheDescriptors() {
        for (int id = 0; id < DESCRIPTORS; id++) {
            pool.release(acquire(new SimulatedWorker(id)), 0);
            assertTrue(pool.openCount() <= DESCRIPTORS * ResourceBudget.MAX_WORKER_CONNECTION_SHARE, "open " + pool.openCount());
        }
        for (int id = 0; id < DESCRIPTORS; id++) {
            pool.acquire(new SimulatedWorker(id), MessageKind.PROBE_CONNECTION, acquired::add);
        }
        queue.runUntil(queue.nowUs() + SECOND_US);
        assertTrue(pool.openCount() <= DESCRIPTORS * ResourceBudget.MAX_WORKER_CONNECTION_SHARE, "open " + pool.openCount());
        assertTrue(acquired.contains(null), "no connection beyond the share");
    }
}
