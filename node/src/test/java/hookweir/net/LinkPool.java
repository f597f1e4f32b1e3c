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

/** A pool of links beside a door that the test opens, and all links that came up. */
final class LinkPool implements AutoCloseable {
    static final int JOBS = 20_000;
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();

    final Bare bare = new Bare();
    final ServerSocket door = new ServerSocket(0, 5, HERE);
    final Invariants invariants = new Invariants();
    final WorkerConnectionPool egress;
    final BlockingQueue<OutboundConnection> up = new LinkedBlockingQueue<>();
    final OutboundConnection.Handler recorder = new Silent() {
        @Override
        public void connected(OutboundConnection link) {
            up.add(link);
        }
    };

    LinkPool() throws Exception {
        this(100);
    }

    LinkPool(int descriptors) throws Exception {
        ResourceBudget room = new ResourceBudget(1 << 20, 100);
        room.setMaxDescriptors(descriptors);
        egress = new WorkerConnectionPool(bare.loop, bare.dialer, invariants, 20_000_000, 20_000_000, room, () -> 0);
        bare.loop.post(() -> egress.applyUpdate(1, "s-01", new InetSocketAddress(HERE, door.getLocalPort()), Contract.WorkerState.READY));
    }

    void link() {
        bare.loop.post(() -> egress.acquire(egress.worker(1), recorder, WorkerConnectionPool.REUSE_SETTLED));
    }

    /** Accepts whatever is dialled, until the door is closed. */
    void acceptAll() {
        List<Socket> accepted = new ArrayList<>();
        try {
            while (true) {
                accepted.add(door.accept());
            }
        } catch (IOException closed) {
            accepted.clear();
        }
    }

    /** So many jobs are under way at a time, at workers of the seed's choice; each that ends begins another. The number of jobs. */
    long play(int workers, int underWay, Random random) throws Exception {
        CountDownLatch over = new CountDownLatch(JOBS);
        bare.loop.post(() -> {
            for (int i = 0; i < underWay; i++) {
                begin(workers, random, over);
            }
        });
        over.await();
        return JOBS;
    }

    private void begin(int workers, Random random, CountDownLatch over) {
        WorkerEndpoint target = egress.worker(1 + random.nextInt(workers));
        egress.acquire(target, new Silent() {
            @Override
            public void connected(OutboundConnection link) {
                bare.loop.post(() -> {
                    egress.releaseWithReuseDelay(target, link, true);
                    over.countDown();
                    if (over.getCount() > 0) {
                        begin(workers, random, over);
                    }
                });
            }
        }, WorkerConnectionPool.REUSE_SETTLED);
    }

    /** Of two calls one waits for the link to settle, and the other dials. */
    void settlesForOne(OutboundConnection first) throws Exception {
        link();
        link();
        assertNotSame(first, up.take(), "the second, while the first waits");
        bare.clock = System::nanoTime;
        bare.loop.post(() -> { });
        assertSame(first, up.take());
    }

    @Override
    public void close() throws IOException {
        bare.close();
        door.close();
    }

    /** Loop, transport and dialer by themselves. */
    static final class Bare implements AutoCloseable {
        /** How the clock goes. */
        volatile LongSupplier clock = System::nanoTime;
        final Loop loop = new Loop(new Invariants(), () -> clock.getAsLong());
        final Transport transport = new Transport(new Invariants(), loop);
        final Connector dialer = new Connector(loop, transport);

        Bare() throws Exception {
            transport.start();
            new Thread(loop::run).start();
        }

        @Override
        public void close() throws IOException {
            loop.post(loop::stop);
            transport.stop();
        }
    }

    static class Silent implements OutboundConnection.Handler {
        @Override
        public void responsePart(OutboundConnection link, OutboundConnection.ResponsePart piece) {
        }

        @Override
        public void disconnected(OutboundConnection link) {
        }
    }
}
