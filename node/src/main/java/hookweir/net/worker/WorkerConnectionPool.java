package hookweir.net.worker;

import hookweir.Contract;
import hookweir.net.Connector;
import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.OutboundConnection;
import hookweir.room.ResourceBudget;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * The pool of connections to workers, bounded by the descriptor budget. Holds the endpoint of each listed worker and its
 * idle connections. Used on the loop thread only.
 */
public final class WorkerConnectionPool {
    /** Reuse no idle connection. */
    public static final double REUSE_NONE = -1;
    /** Reuse any idle connection on which no response to an earlier call can still arrive; a break under the call is harmless. */
    public static final double REUSE_SETTLED = 1;
    /** Reuse any idle connection; a response to an earlier call is harmless, too. */
    public static final double REUSE_ANY = 2;
    private static final long SWEEP_INTERVAL_US = 500_000;
    private static final double IDLE_TIMEOUT_SHARE = 0.9;
    private static final long IDLE_MARGIN_US = 1_000_000;
    private static final int MIN_IDLE_LIMIT = 8;
    private static final double BREAK_RATE_GAIN = 0.1;
    /** Delay before a connection is reused after a response that may be a job's, where the wait is affordable. */
    private static final long REUSE_DELAY_US = 30_000;
    /** A duplicate response arrives within this time of the first, if at all. Until then a response may belong to the previous call. */
    private static final long DUPLICATE_RESPONSE_WINDOW_US = 70_000;
    /** After a duplicate response, the worker's connections always wait for the full window until it has sent none for this long. */
    private static final long DUPLICATE_RESPONSE_MEMORY_US = 60_000_000;
    /** With this many idle connections to one worker, its calls follow each other too closely to wait for the reuse delay. */
    private static final int MIN_IDLE_TO_SKIP_WAIT = 4;
    /** Maximum number of connections that linger after a graceful close; their descriptors come from the process's reserve. */
    private static final int MAX_LINGERING = 16;

    private final Loop loop;
    private final Connector connector;
    private final Invariants invariants;
    private long connectTimeoutUs;
    private long idleTimeoutUs;
    private final ConnectionWaitQueue waitQueue;
    private final ResourceBudget budget;
    /** Number of connections accepted from clients and workers. */
    private final IntSupplier acceptedCount;
    private final Map<Integer, WorkerEndpoint> workers = new HashMap<>();
    private final Set<OutboundConnection> openConnections = new HashSet<>();
    /** Moving average of the share of reused connections that broke under their next call. */
    private double reusedBreakRate;
    private int lingeringCount;
    private final IdleConnections idleConnections = new IdleConnections();
    private final ReuseWaitBudget reuseWaitBudget = new ReuseWaitBudget();

    public WorkerConnectionPool(Loop loop, Connector connector, Invariants invariants, long connectTimeoutUs, long connIdleUs, ResourceBudget budget,
            IntSupplier acceptedCount) {
        this.loop = loop;
        this.connector = connector;
        this.invariants = invariants;
        this.budget = budget;
        this.acceptedCount = acceptedCount;
        waitQueue = new ConnectionWaitQueue(loop, invariants, call -> assignIdle(call).assigned(), call -> assignNew(call).assigned());
        setLimits(connectTimeoutUs, connIdleUs);
    }

    /**
     * Applies new time limits.
     *
     * @param newConnectTimeoutUs how long a connect may take
     * @param connIdleUs the idle time after which the worker's machine drops a connection
     */
    public void setLimits(long newConnectTimeoutUs, long connIdleUs) {
        connectTimeoutUs = newConnectTimeoutUs;
        // Closes before the worker's machine drops the connection silently, which would end the next call as a reset.
        idleTimeoutUs = (long) Math.max(connIdleUs * IDLE_TIMEOUT_SHARE / 2, Math.min(connIdleUs * IDLE_TIMEOUT_SHARE, connIdleUs - IDLE_MARGIN_US));
    }

    /** Starts the periodic sweep that closes connections before their idle timeout. */
    public void start() {
        loop.schedule(SWEEP_INTERVAL_US, this::sweep);
    }

    /** Returns the endpoint of the worker with this numeric id, or null. */
    public WorkerEndpoint worker(int id) {
        return workers.get(id);
    }

    /** Applies an entry of the worker list. */
    public void applyUpdate(int id, String name, InetSocketAddress address, Contract.WorkerState state) {
        if (state == Contract.WorkerState.GONE) {
            remove(id);
        } else {
            WorkerEndpoint endpoint = workers.computeIfAbsent(id, k -> new WorkerEndpoint(name, id));
            if (!address.equals(endpoint.address())) {
                closeIdle(endpoint); // they lead to the old address
            }
            endpoint.update(address, state);
        }
    }

    /** Removes all workers that a whole list doesn't name. */
    public void retainOnly(Set<Integer> listed) {
        for (Integer id : new HashSet<>(workers.keySet())) {
            if (!listed.contains(id)) {
                remove(id);
            }
        }
    }

    private void remove(int id) {
        WorkerEndpoint endpoint = workers.remove(id);
        if (endpoint != null) {
            closeIdle(endpoint);
            endpoint.update(endpoint.address(), Contract.WorkerState.GONE);
        }
    }

    private void closeIdle(WorkerEndpoint endpoint) {
        while (!endpoint.idleConnections.isEmpty()) {
            OutboundConnection connection = endpoint.idleConnections.peek();
            idleConnections.remove(endpoint, connection);
            closeGracefully(connection);
        }
    }

    /**
     * Gets a connection to the worker: the newest idle one on which no duplicate response can arrive any more, else the one
     * that has been idle longest, else a new one. The call waits for the connection's reuse delay where that is affordable. Where
     * it is not, it uses the connection at once, and the caller tells by {@link OutboundConnection#duplicateResponseUntilUs}
     * whether a response may belong to the previous call.
     *
     * @param maxBreakRate the highest share of reused connections breaking under their next call at which a connection
     *     is still reused; or {@link #REUSE_NONE}, {@link #REUSE_SETTLED}, {@link #REUSE_ANY}
     * @return the connection, ready or connecting; null if the call has to wait for a connection in use or for a reuse delay. The
     *     handler is then notified when it gets one, or when it got none within the connect timeout
     */
    public OutboundConnection acquire(WorkerEndpoint worker, OutboundConnection.Handler handler, double maxBreakRate) {
        return acquire(new ConnectionWaiter(worker, handler, maxBreakRate));
    }

    private OutboundConnection acquire(ConnectionWaiter call) {
        Assignment assignment = assignIdle(call);
        if (!assignment.assigned()) {
            assignment = assignNew(call);
        }
        if (!assignment.assigned()) {
            waitQueue.add(call, connectTimeoutUs);
        }
        return assignment.connection();
    }

    /**
     * What a call got.
     *
     * @param assigned whether it got a connection, now or after a reuse delay
     * @param connection the connection, ready or connecting; null if the call has to wait for it
     */
    private record Assignment(boolean assigned, OutboundConnection connection) {
        static final Assignment NONE = new Assignment(false, null);
        static final Assignment AFTER_REUSE_DELAY = new Assignment(true, null);

        static Assignment of(OutboundConnection connection) {
            return new Assignment(true, connection);
        }
    }

    /** Lets the call reuse an idle connection to its worker, now or after its reuse delay, if there is one that it may reuse. */
    private Assignment assignIdle(ConnectionWaiter call) {
        if (reusedBreakRate > call.maxBreakRate) {
            return Assignment.NONE;
        }
        WorkerEndpoint worker = call.worker;
        OutboundConnection candidate = chooseIdle(worker);
        long now = loop.nowUs();
        boolean mustWait = worker.sendsDuplicateResponses(now);
        if (candidate == null) {
            return mustWait || mayConnect() ? Assignment.NONE : takeOverReserved(call);
        }
        if (candidate.reuseAfterUs <= now || call.maxBreakRate >= REUSE_ANY) {
            return reuse(call, candidate);
        }
        boolean wait = mustWait || worker.idleConnections.size() < MIN_IDLE_TO_SKIP_WAIT && reuseWaitBudget.tryTake(now);
        return wait ? waitForReuse(call, candidate) : reuse(call, candidate);
    }

    /** Where no connection can be opened, uses one that is reserved: the call that reserved it chooses again after its wait. */
    private Assignment takeOverReserved(ConnectionWaiter call) {
        OutboundConnection reserved = call.worker.idleConnections.peekLast();
        return reserved != null && reserved.isIdle() ? reuse(call, reserved) : Assignment.NONE;
    }

    /** Opens a connection for the call, if need be in place of the least valuable idle one. */
    private Assignment assignNew(ConnectionWaiter call) {
        if (!mayConnect() && !evictIdle()) {
            return Assignment.NONE;
        }
        invariants.count("egress dials");
        OutboundConnection connection = connector.connect(call.worker.address(), connectTimeoutUs, call.handler);
        openConnections.add(connection);
        return Assignment.of(connection);
    }

    /** Returns the choice of {@link IdleConnections#chooseForReuse}, after closing those that the worker has already closed. */
    private OutboundConnection chooseIdle(WorkerEndpoint worker) {
        OutboundConnection chosen = idleConnections.chooseForReuse(worker, loop.nowUs());
        while (chosen != null && !chosen.isIdle()) {
            idleConnections.remove(worker, chosen);
            closeGracefully(chosen);
            chosen = idleConnections.chooseForReuse(worker, loop.nowUs());
        }
        return chosen;
    }

    /**
     * Waits for the connection's reuse delay, which costs the worker nothing, unlike a new connection. Each call reserves its
     * own connection, and chooses again after the wait.
     */
    private Assignment waitForReuse(ConnectionWaiter call, OutboundConnection connection) {
        invariants.count("egress waits for rest");
        connection.reserved = true;
        // After a full I/O round, so that input already received when the delay ends is processed first.
        loop.schedule(connection.reuseAfterUs - loop.nowUs(), () -> loop.afterIoRound(() -> reuseDelayEnded(call, connection)));
        return Assignment.AFTER_REUSE_DELAY;
    }

    private void reuseDelayEnded(ConnectionWaiter call, OutboundConnection connection) {
        connection.reserved = false;
        if (call.handler.needsConnection()) {
            acquire(call);
        } else {
            invariants.count("egress calls gone before their link");
        }
        waitQueue.connectionFreed(); // the call may have left the connection to others
    }

    private boolean mayConnect() {
        return budget.mayConnectToWorker(openConnections.size(), acceptedCount.getAsInt());
    }

    private Assignment reuse(ConnectionWaiter call, OutboundConnection connection) {
        idleConnections.remove(call.worker, connection);
        connection.reserved = false;
        connection.reused = true;
        connection.setIdleHandler(call.handler);
        call.handler.connected(connection);
        return Assignment.of(connection);
    }

    /** Closes idle connections until the descriptor limit is kept. */
    public void enforceDescriptorLimit() {
        while (!mayConnect() && evictIdle()) {
            invariants.count("egress closed at the cap");
        }
    }

    /** Closes the least valuable idle connection of any worker; returns false if there is none. */
    private boolean evictIdle() {
        IdleConnections.Entry evicted = idleConnections.chooseForEviction();
        if (evicted == null) {
            return false;
        }
        idleConnections.remove(evicted.worker(), evicted.connection());
        closeGracefully(evicted.connection());
        return true;
    }

    /** Records whether a call over this connection got a response or broke, to estimate how often reused connections break. */
    public void recordOutcome(OutboundConnection connection, boolean broke) {
        if (connection.reused) {
            reusedBreakRate += BREAK_RATE_GAIN * ((broke ? 1 : 0) - reusedBreakRate);
            connection.reused = false;
            if (broke) {
                invariants.count("egress kept links broke");
            }
        }
    }

    /** Takes a connection back after a call; it becomes idle if it can carry another call, else it is closed. */
    public void release(WorkerEndpoint worker, OutboundConnection connection, boolean keepAlive) {
        if (!keepAlive || !connection.isIdle() || workers.get(worker.id) != worker) {
            closeGracefully(connection);
            return;
        }
        connection.idleSinceUs = loop.nowUs();
        connection.setIdleHandler(new OutboundConnection.Handler() {
            @Override
            public void responsePart(OutboundConnection unused, OutboundConnection.ResponsePart part) {
                // no response part arrives without a call: see unexpectedResponse
            }

            @Override
            public void unexpectedResponse(OutboundConnection idleConnection, int status) {
                duplicateResponse(worker, idleConnection, status);
            }

            @Override
            public void disconnected(OutboundConnection ended) {
                idleConnections.remove(worker, ended);
                openConnections.remove(ended);
                waitQueue.connectionFreed();
            }
        });
        idleConnections.add(worker, connection);
        waitQueue.connectionFreed();
        trimIdle(worker);
    }

    /** Keeps a worker's idle connections to its share, but only when descriptors are scarce: a busy worker would reconnect for each job. */
    private void trimIdle(WorkerEndpoint worker) {
        int share = Math.max(MIN_IDLE_LIMIT, budget.maxIdleWorkerConnections() / workers.size());
        if (worker.idleConnections.size() > share && !budget.hasSpareDescriptors(openConnections.size(), acceptedCount.getAsInt())) {
            OutboundConnection oldest = worker.idleConnections.peekLast();
            idleConnections.remove(worker, oldest);
            closeGracefully(oldest);
        }
    }

    /**
     * Handles a duplicate response from a faulty worker: for a while its connections always wait for the reuse delay after a job.
     * A 202 that the last call on this connection received may have been another call's, so its acceptance is in doubt unless
     * this response is a 202, too.
     */
    public void duplicateResponse(WorkerEndpoint worker, OutboundConnection connection, int status) {
        invariants.count("egress answer without a call");
        worker.expectDuplicateResponses(loop.nowUs() + DUPLICATE_RESPONSE_MEMORY_US);
        OutboundConnection.AcceptanceListener last = connection.acceptanceListener();
        if (last != null && status != HttpStatus.ACCEPTED) {
            invariants.count("egress answers in doubt");
            connection.acceptanceListener(null);
            last.acceptanceInDoubt();
        }
    }

    /** Takes a connection back after a response that may be a job's; its reuse is delayed in case a duplicate response follows. */
    public void releaseWithReuseDelay(WorkerEndpoint worker, OutboundConnection connection, boolean keepAlive) {
        long now = loop.nowUs();
        connection.reuseAfterUs = now + (worker.sendsDuplicateResponses(now) ? DUPLICATE_RESPONSE_WINDOW_US : REUSE_DELAY_US);
        connection.duplicateResponseUntilUs = now + DUPLICATE_RESPONSE_WINDOW_US;
        release(worker, connection, keepAlive);
    }

    /** Counts a response that did not belong to the call. */
    public void countUnmatchedResponse() {
        invariants.count("egress answers of no call");
    }

    /** Closes a connection gracefully, or removes one that is already closed. */
    public void closeGracefully(OutboundConnection connection) {
        if (lingeringCount < MAX_LINGERING) {
            lingeringCount++;
            connection.closeGracefully(() -> lingeringCount--);
        } else {
            connection.close();
        }
        openConnections.remove(connection);
        waitQueue.connectionFreed();
    }

    /** Closes a connection at once, which abandons its call. */
    public void abort(OutboundConnection connection) {
        connection.close();
        openConnections.remove(connection);
        waitQueue.connectionFreed();
    }

    private void sweep() {
        long now = loop.nowUs();
        for (WorkerEndpoint endpoint : workers.values()) {
            OutboundConnection oldest = endpoint.idleConnections.peekLast();
            while (oldest != null && (now - oldest.idleSinceUs + SWEEP_INTERVAL_US >= idleTimeoutUs || !oldest.isIdle())) {
                idleConnections.remove(endpoint, oldest);
                closeGracefully(oldest);
                oldest = endpoint.idleConnections.peekLast();
            }
        }
        loop.schedule(SWEEP_INTERVAL_US, this::sweep);
    }

    /** Returns the number of listed workers. */
    public int workerCount() {
        return workers.size();
    }

    /** Returns the number of open connections, including those being connected. */
    public int connectionCount() {
        return openConnections.size();
    }
}
