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

/** How many dials jobs cost under load: a count that does not depend on the machine. */
@Timeout(60)
final class ConnectCountTest {
    private static final int MOST_WAITING = 1024;

    /** A worker under load is not dialled for each job: so many jobs under way, each ended in an order that a seed forces. */
    @ParameterizedTest
    @CsvSource({"1,4", "1,256", "10,64", "100,256"})
    void busyWorkerReusesConnections(int workers, int underWay) throws Exception {
        try (LinkPool pool = new LinkPool(8192)) {
            for (int w = 2; w <= workers; w++) {
                int id = w;
                pool.bare.loop.post(() -> pool.egress.applyUpdate(id, "s-" + id, new InetSocketAddress(InetAddress.getLoopbackAddress(),
                    pool.door.getLocalPort()), Contract.WorkerState.READY));
            }
            Thread acceptor = new Thread(pool::acceptAll);
            acceptor.setDaemon(true);
            acceptor.start();
            long jobs = pool.play(workers, underWay, new Random(7));
            long dials = pool.invariants.counted("egress dials");
            assertTrue(dials < 0.05 * jobs, dials + " dials for " + jobs + " jobs");
        }
    }

    /** Two links are all that the descriptors allow: jobs share them, and neither is ended for the sake of the next job. */
    @Test
    void connectionsAreSharedAtTheDescriptorLimit() throws Exception {
        try (LinkPool pool = new LinkPool(4)) {
            Thread acceptor = new Thread(pool::acceptAll);
            acceptor.setDaemon(true);
            acceptor.start();
            pool.play(1, 2, new Random(7));
            assertEquals(2, pool.invariants.counted("egress dials"));
        }
    }

    /** No more than so many calls wait for a link: the next gets none at once. */
    @Test
    void numberOfWaitingCallsIsBounded() throws Exception {
        try (LinkPool pool = new LinkPool(4)) {
            pool.link();
            pool.link();
            pool.up.take();
            pool.up.take();
            CountDownLatch refused = new CountDownLatch(1);
            pool.bare.loop.post(() -> {
                for (int i = 0; i <= MOST_WAITING; i++) {
                    pool.egress.acquire(pool.egress.worker(1), new LinkPool.Silent() {
                        @Override
                        public void connectionUnavailable() {
                            refused.countDown();
                        }
                    }, WorkerConnectionPool.REUSE_SETTLED);
                }
            });
            refused.await();
            assertEquals(MOST_WAITING, pool.invariants.counted("egress waits for a link"));
            assertEquals(1, pool.invariants.counted("egress out of links"));
        }
    }
}
