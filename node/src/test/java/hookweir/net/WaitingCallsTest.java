package hookweir.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.net.worker.WorkerConnectionPool;
import hookweir.timer.TimerWheel;
import java.io.IOException;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls that wait for a connection while all connections to workers are in use or reserved. */
@Timeout(30)
final class WaitingCallsTest {
    /** So many descriptors allow three connections to workers. */
    private static final int DESCRIPTORS = 5;
    private static final double BREAK_RATE_ONCE = 0.02;
    /** The fixture's connect timeout, which also limits the wait for a free connection. */
    private static final long WAIT_LIMIT_US = 20_000_000;

    /** A pool whose three connections are open and in use. Its clock stands still from then on. */
    private static final class ExhaustedPool implements AutoCloseable {
        final ConnectionPoolFixture fixture = new ConnectionPoolFixture(DESCRIPTORS);
        final OutboundConnection first;
        final OutboundConnection second;
        final OutboundConnection third;
        private final long frozenNs;

        ExhaustedPool() throws Exception {
            fixture.acquire();
            first = fixture.acquired.take();
            fixture.acquire();
            second = fixture.acquired.take();
            fixture.acquire();
            third = fixture.acquired.take();
            frozenNs = System.nanoTime();
            advanceClock(0);
        }

        /** Sets the clock to this time after it was stopped. */
        void advanceClock(long us) {
            fixture.io.clock = () -> frozenNs + us * 1000;
            fixture.io.loop.post(() -> { });
        }

        /** The worker sent a duplicate response: each call waits for the reuse delay of its connection. */
        void reportDuplicateResponse() {
            fixture.io.loop.post(() -> fixture.pool.duplicateResponse(fixture.pool.worker(1), second, HttpStatus.ACCEPTED));
        }

        /** A call reserves the first connection, which is in its reuse delay; two further calls find no connection. */
        void queueTwoCalls(double maxBreakRate) throws Exception {
            fixture.releaseWithReuseDelay(first);
            fixture.acquire();
            fixture.acquire(maxBreakRate);
            fixture.acquire(maxBreakRate);
            fixture.awaitLoop();
            assertEquals(2, count("egress waits for a link"));
        }

        long count(String name) {
            return fixture.invariants.counted(name);
        }

        @Override
        public void close() throws IOException {
            fixture.close();
        }
    }

    /**
     * A connection became free while two calls waited and the worker's only idle connection was reserved: the second call was taken
     * from the queue and put back without end, and the scheduler responded to nobody for up to a minute.
     */
    @Test
    void callThatCanNotUseTheIdleConnectionDoesNotBlockTheLoop() throws Exception {
        try (ExhaustedPool pool = new ExhaustedPool()) {
            pool.reportDuplicateResponse();
            pool.queueTwoCalls(WorkerConnectionPool.REUSE_SETTLED);
            pool.fixture.io.loop.post(() -> pool.fixture.pool.abort(pool.second));
            pool.fixture.awaitLoop();
            OutboundConnection opened = pool.fixture.acquired.take();
            assertEquals(4, pool.count("egress dials"), "the first call in the queue opened a connection");
            pool.fixture.releaseWithReuseDelay(opened);
            pool.fixture.awaitLoop();
            pool.advanceClock(WAIT_LIMIT_US / 2);
            Set<OutboundConnection> others = new HashSet<>(Set.of(pool.fixture.acquired.take(), pool.fixture.acquired.take()));
            assertEquals(Set.of(pool.first, opened), others);
            assertEquals(2, pool.count("egress waits for a link"), "the second call was not queued again");
        }
    }

    /** As above, but the idle connection may not be reused because too many reused connections broke under their call. */
    @Test
    void callThatMayNotReuseConnectionsDoesNotBlockTheLoop() throws Exception {
        try (ExhaustedPool pool = new ExhaustedPool()) {
            pool.third.reused = true;
            pool.fixture.io.loop.post(() -> pool.fixture.pool.recordOutcome(pool.third, true));
            pool.queueTwoCalls(BREAK_RATE_ONCE);
            pool.fixture.io.loop.post(() -> pool.fixture.pool.abort(pool.third));
            pool.fixture.acquired.take();
            pool.fixture.awaitLoop();
            pool.fixture.io.loop.post(() -> pool.fixture.pool.abort(pool.second));
            pool.fixture.acquired.take();
            assertEquals(5, pool.count("egress dials"));
        }
    }

    /**
     * A call that lost the connection that it had reserved returned to the queue, and its time limit started anew each time. In the
     * second case the wait for that connection ends when the limit has passed.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void timeLimitOfWaitingCallStartsOnce(boolean returnsInTime) throws Exception {
        try (ExhaustedPool pool = new ExhaustedPool(); Socket ended = pool.fixture.workerListener.accept()) {
            pool.reportDuplicateResponse();
            pool.fixture.acquire();
            pool.fixture.awaitLoop();
            pool.advanceClock(WAIT_LIMIT_US / 2);
            pool.fixture.releaseWithReuseDelay(pool.first);
            pool.fixture.awaitLoop();
            ended.shutdownOutput(); // the call has reserved this connection
            while (pool.fixture.acquired.isEmpty()) { // another call gets its place as soon as the end was noticed
                pool.fixture.acquire(WorkerConnectionPool.REUSE_NONE);
                pool.fixture.awaitLoop();
            }
            if (returnsInTime) {
                long waits = pool.count("egress waits for a link");
                pool.advanceClock(WAIT_LIMIT_US * 3 / 4);
                while (pool.count("egress waits for a link") == waits) {
                    pool.fixture.awaitLoop();
                }
            }
            pool.advanceClock(WAIT_LIMIT_US + TimerWheel.TICK_US);
            while (pool.count("calls without a connection") == 0) {
                pool.fixture.awaitLoop();
            }
            assertTrue(pool.count("egress waits for rest") > 0);
        }
    }
}
