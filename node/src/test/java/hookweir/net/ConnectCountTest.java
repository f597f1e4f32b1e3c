package hookweir.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract;
import hookweir.net.worker.WorkerConnectionPool;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a new connection per job under load: the pool must reuse connections to busy workers. Counts connects, which
 * does not depend on the machine's speed.
 */
@Timeout(60)
final class ConnectCountTest {
    private static final int MAX_WAITING = 1024;

    /** Runs many concurrent jobs, completed in a seeded random order: few of them may need a new connection. */
    @ParameterizedTest
    @CsvSource({"1,4", "1,256", "10,64", "100,256"})
    void busyWorkerReusesConnections(int workers, int concurrentJobs) throws Exception {
        try (ConnectionPoolFixture pool = new ConnectionPoolFixture(8192)) {
            for (int worker = 2; worker <= workers; worker++) {
                int id = worker;
                pool.io.loop.post(() -> pool.pool.applyUpdate(id, "s-" + id, new InetSocketAddress(InetAddress.getLoopbackAddress(),
                    pool.workerListener.getLocalPort()), Contract.WorkerState.READY));
            }
            Thread acceptor = new Thread(pool::acceptAll);
            acceptor.setDaemon(true);
            acceptor.start();
            long jobs = pool.runJobs(workers, concurrentJobs, new Random(7));
            long connects = pool.invariants.counted("egress dials");
            assertTrue(connects < 0.05 * jobs, connects + " connects for " + jobs + " jobs");
        }
    }

    /** The descriptor limit allows two connections: jobs share them, and neither is closed to make way for the next job. */
    @Test
    void connectionsAreSharedAtTheDescriptorLimit() throws Exception {
        try (ConnectionPoolFixture pool = new ConnectionPoolFixture(4)) {
            Thread acceptor = new Thread(pool::acceptAll);
            acceptor.setDaemon(true);
            acceptor.start();
            pool.runJobs(1, 2, new Random(7));
            assertEquals(2, pool.invariants.counted("egress dials"));
        }
    }

    /** At the maximum number of waiting calls, the next call fails at once. */
    @Test
    void numberOfWaitingCallsIsBounded() throws Exception {
        try (ConnectionPoolFixture pool = new ConnectionPoolFixture(4)) {
            pool.acquire();
            pool.acquire();
            pool.acquired.take();
            pool.acquired.take();
            CountDownLatch rejected = new CountDownLatch(1);
            pool.io.loop.post(() -> {
                for (int i = 0; i <= MAX_WAITING; i++) {
                    pool.pool.acquire(pool.pool.worker(1), new ConnectionPoolFixture.IgnoringHandler() {
                        @Override
                        public void connectionUnavailable() {
                            rejected.countDown();
                        }
                    }, WorkerConnectionPool.REUSE_SETTLED);
                }
            });
            rejected.await();
            assertEquals(MAX_WAITING, pool.invariants.counted("egress waits for a link"));
            assertEquals(1, pool.invariants.counted("egress out of links"));
        }
    }
}
