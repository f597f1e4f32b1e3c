package hookweir.net;

import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

import hookweir.Contract;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.net.worker.WorkerEndpoint;
import hookweir.room.ResourceBudget;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.LongSupplier;

/** A worker connection pool, a listening socket that stands for a worker, and all connections that the pool has handed out. */
final class ConnectionPoolFixture implements AutoCloseable {
    static final int JOB_COUNT = 20_000;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final IoFixture io = new IoFixture();
    final ServerSocket workerListener = new ServerSocket(0, 5, LOOPBACK);
    final Invariants invariants = new Invariants();
    final WorkerConnectionPool pool;
    final BlockingQueue<OutboundConnection> acquired = new LinkedBlockingQueue<>();
    final OutboundConnection.Handler recorder = new IgnoringHandler() {
        @Override
        public void connected(OutboundConnection connection) {
            acquired.add(connection);
        }

        @Override
        public void connectionUnavailable() {
            invariants.count("calls without a connection");
        }
    };

    ConnectionPoolFixture() throws Exception {
        this(100);
    }

    ConnectionPoolFixture(int descriptors) throws Exception {
        ResourceBudget budget = new ResourceBudget(1 << 20, 100);
        budget.setMaxDescriptors(descriptors);
        pool = new WorkerConnectionPool(io.loop, io.connector, invariants, 20_000_000, 20_000_000, budget, () -> 0);
        io.loop.post(() -> pool.applyUpdate(1, "s-01", new InetSocketAddress(LOOPBACK, workerListener.getLocalPort()), Contract.WorkerState.READY));
    }

    void acquire() {
        acquire(WorkerConnectionPool.REUSE_SETTLED);
    }

    void acquire(double maxBreakRate) {
        io.loop.post(() -> pool.acquire(pool.worker(1), recorder, maxBreakRate));
    }

    /** Releases a connection after a response that may be a job's. */
    void releaseWithReuseDelay(OutboundConnection connection) {
        io.loop.post(() -> pool.releaseWithReuseDelay(pool.worker(1), connection, true));
    }

    /**
     * Waits until the loop has run all tasks that it has by now, and those that they posted. The last task is posted on the loop: the loop
     * runs those of other threads first.
     */
    void awaitLoop() throws InterruptedException {
        for (int i = 0; i < 2; i++) {
            CountDownLatch done = new CountDownLatch(1);
            io.loop.post(() -> io.loop.post(done::countDown));
            done.await();
        }
    }

    /** Accepts every connection until the listening socket is closed. */
    void acceptAll() {
        List<Socket> accepted = new ArrayList<>();
        try {
            while (true) {
                accepted.add(workerListener.accept());
            }
        } catch (IOException closed) {
            accepted.clear();
        }
    }

    /**
     * Runs {@link #JOB_COUNT} jobs, this many at a time, at randomly chosen workers; each job that ends starts the next.
     *
     * @return the number of jobs
     */
    long runJobs(int workers, int concurrentJobs, Random random) throws Exception {
        CountDownLatch remaining = new CountDownLatch(JOB_COUNT);
        io.loop.post(() -> {
            for (int i = 0; i < concurrentJobs; i++) {
                startJob(workers, random, remaining);
            }
        });
        remaining.await();
        return JOB_COUNT;
    }

    private void startJob(int workers, Random random, CountDownLatch remaining) {
        WorkerEndpoint worker = pool.worker(1 + random.nextInt(workers));
        pool.acquire(worker, new IgnoringHandler() {
            @Override
            public void connected(OutboundConnection connection) {
                io.loop.post(() -> {
                    pool.releaseWithReuseDelay(worker, connection, true);
                    remaining.countDown();
                    if (remaining.getCount() > 0) {
                        startJob(workers, random, remaining);
                    }
                });
            }
        }, WorkerConnectionPool.REUSE_SETTLED);
    }

    /** Starts two calls: one has to wait until the first connection may be reused, and the other has to open a new connection. */
    void assertOneCallWaitsForReuse(OutboundConnection first) throws Exception {
        acquire();
        acquire();
        assertNotSame(first, acquired.take(), "the second call connects while the first waits");
        io.clock = System::nanoTime;
        io.loop.post(() -> { });
        assertSame(first, acquired.take());
    }

    @Override
    public void close() throws IOException {
        io.close();
        workerListener.close();
    }

    /** A loop, a transport and a connector without a scheduler. */
    static final class IoFixture implements AutoCloseable {
        /** The loop's clock, in nanoseconds. */
        volatile LongSupplier clock = System::nanoTime;
        final Loop loop = new Loop(new Invariants(), () -> clock.getAsLong());
        final Transport transport = new Transport(new Invariants(), loop);
        final Connector connector = new Connector(loop, transport);

        IoFixture() throws Exception {
            transport.start();
            new Thread(loop::run).start();
        }

        @Override
        public void close() throws IOException {
            loop.post(loop::stop);
            transport.stop();
        }
    }

    static class IgnoringHandler implements OutboundConnection.Handler {
        @Override
        public void responsePart(OutboundConnection connection, OutboundConnection.ResponsePart part) {
        }

        @Override
        public void disconnected(OutboundConnection connection) {
        }
    }
}
