package hookweir.lab.scale;

import hookweir.room.ResourceBudget;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * A scheduler's pool of connections to workers. The most recently used idle connection is reused first. A connection that carried a
 * job is not reused until a delay has passed. Idle connections are closed after a timeout, and the number of idle connections to each
 * worker is limited. The real scheduler also reuses some connections without the delay; that is not simulated.
 */
final class ConnectionPool {
    /** A worker closes idle connections after 10 s, so the scheduler closes them after nine tenths of that. */
    private static final long IDLE_TIMEOUT_US = 9_000_000;
    private static final long SWEEP_INTERVAL_US = 500_000;
    private static final int MIN_IDLE_LIMIT_PER_WORKER = 8;
    /** With this many delayed connections to a worker, the one whose delay ends first is reused at once. */
    private static final int MAX_DELAYED_CONNECTIONS = 4;
    /** Delay before a connection is reused after the response to a job, so that a duplicate response is not taken for the next one. */
    static final long REUSE_DELAY_US = 30_000;
    static final long CONNECT_TIMEOUT_US = 250_000;

    /** A connection to one worker process. */
    static final class Connection {
        private final SimulatedWorker worker;
        private final int incarnation;
        private long idleSinceUs;
        private long reusableAtUs;
        private boolean reserved;

        private Connection(SimulatedWorker worker) {
            this.worker = worker;
            incarnation = worker.incarnation;
        }

        /** Returns whether the worker process at the other end has been replaced. */
        boolean isBroken() {
            return incarnation != worker.incarnation;
        }
    }

    private final EventQueue queue;
    private final Network network;
    private final Traffic traffic;
    private final int zone;
    private final ResourceBudget resourceBudget;
    private final IntSupplier acceptedConnections;
    private final IntSupplier listedWorkers;
    private final Map<Integer, Deque<Connection>> idleConnections = new TreeMap<>();
    private int openCount;
    private boolean closed;

    ConnectionPool(EventQueue queue, Network network, Traffic traffic, int zone, ResourceBudget resourceBudget, IntSupplier acceptedConnections,
            IntSupplier listedWorkers) {
        this.queue = queue;
        this.network = network;
        this.traffic = traffic;
        this.zone = zone;
        this.resourceBudget = resourceBudget;
        this.acceptedConnections = acceptedConnections;
        this.listedWorkers = listedWorkers;
        queue.schedule(SWEEP_INTERVAL_US, this::closeExpired);
    }

    /**
     * Gets a connection: an idle one if possible, otherwise a new one.
     *
     * @param kind message kind under which a new connection is counted
     * @param onReady receives the connection, or null if none could be opened
     */
    void acquire(SimulatedWorker worker, MessageKind kind, Consumer<Connection> onReady) {
        Deque<Connection> connections = idleConnections.computeIfAbsent(worker.id, id -> new ArrayDeque<>());
        removeBroken(connections);
        Connection soonest = null;
        int delayed = 0;
        for (Iterator<Connection> it = connections.iterator(); it.hasNext();) {
            Connection connection = it.next();
            if (connection.reserved) {
                continue;
            }
            if (connection.reusableAtUs <= queue.nowUs()) {
                it.remove();
                onReady.accept(connection);
                return;
            }
            delayed++;
            soonest = soonest == null || connection.reusableAtUs < soonest.reusableAtUs ? connection : soonest;
        }
        if (delayed >= MAX_DELAYED_CONNECTIONS) {
            connections.remove(soonest);
            onReady.accept(soonest);
        } else if (soonest != null) {
            awaitReuse(soonest, kind, onReady);
        } else {
            connect(worker, kind, onReady);
        }
    }

    private void awaitReuse(Connection connection, MessageKind kind, Consumer<Connection> onReady) {
        connection.reserved = true;
        queue.schedule(connection.reusableAtUs - queue.nowUs(), () -> {
            connection.reserved = false;
            acquire(connection.worker, kind, onReady);
        });
    }

    private void connect(SimulatedWorker worker, MessageKind kind, Consumer<Connection> onReady) {
        if (closed || !network.canReach(zone, worker) || !resourceBudget.mayConnectToWorker(openCount, acceptedConnections.getAsInt()) && !evictOne()) {
            queue.schedule(CONNECT_TIMEOUT_US, () -> onReady.accept(null));
            return;
        }
        openCount++;
        traffic.recordConnection(Role.SCHEDULER, Role.WORKER, kind);
        queue.schedule(2 * network.oneWayUs(zone, worker.zone), () -> onReady.accept(new Connection(worker)));
    }

    private boolean evictOne() {
        for (Deque<Connection> connections : idleConnections.values()) {
            if (connections.pollLast() != null) {
                openCount--;
                return true;
            }
        }
        return false;
    }

    /** Returns a connection to the pool; it is not reused before the delay has passed. */
    void release(Connection connection, long reuseDelayUs) {
        Deque<Connection> connections = idleConnections.get(connection.worker.id);
        if (connection.isBroken() || connections == null) {
            discard(connection);
            return;
        }
        connection.idleSinceUs = queue.nowUs();
        connection.reusableAtUs = queue.nowUs() + reuseDelayUs;
        connections.addFirst(connection);
        if (connections.size() > Math.max(MIN_IDLE_LIMIT_PER_WORKER, resourceBudget.maxIdleWorkerConnections() / Math.max(1, listedWorkers.getAsInt()))) {
            connections.pollLast();
            openCount--;
        }
    }

    /** Closes a connection that cannot be reused. */
    void discard(Connection connection) {
        openCount--;
    }

    private void removeBroken(Deque<Connection> connections) {
        int before = connections.size();
        connections.removeIf(Connection::isBroken);
        openCount -= before - connections.size();
    }

    private void closeExpired() {
        for (Deque<Connection> connections : idleConnections.values()) {
            int before = connections.size();
            connections.removeIf(connection -> !connection.reserved && queue.nowUs() - connection.idleSinceUs + SWEEP_INTERVAL_US >= IDLE_TIMEOUT_US);
            openCount -= before - connections.size();
        }
        if (!closed) {
            queue.schedule(SWEEP_INTERVAL_US, this::closeExpired);
        }
    }

    /** Closes the pool because the scheduler process ended. */
    void close() {
        closed = true;
        idleConnections.clear();
    }

    /** Returns the number of open connections. */
    int openCount() {
        return openCount;
    }
}
