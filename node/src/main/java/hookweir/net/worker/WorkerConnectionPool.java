package hookweir.net.worker;

import hookweir.Contract;
import hookweir.net.Connector;
import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.OutboundConnection;
import hookweir.room.ResourceBudget;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;

/** The workers' side: owns the egress targets and the links to them, at most so many. Belongs to the loop. */
public final class WorkerConnectionPool {
    /** No kept link. */
    public static final double REUSE_NONE = -1;
    /** Any kept link whose last call is surely over: a break does no harm. */
    public static final double REUSE_SETTLED = 1;
    /** Any kept link: another call's answer does no harm either. */
    public static final double REUSE_ANY = 2;
    private static final long SWEEP_INTERVAL_US = 500_000;
    private static final double IDLE_TIMEOUT_SHARE = 0.9;
    private static final long IDLE_MARGIN_US = 1_000_000;
    private static final int MIN_IDLE_LIMIT = 8;
    private static final double BREAK_RATE_GAIN = 0.1;
    /** A link rests for so long after an answer that could be a job's, where that is affordable. */
    private static final long REUSE_DELAY_US = 30_000;
    /** A second answer comes within this of the first, if it comes: until then an answer on the link may be another call's. */
    private static final long DUPLICATE_RESPONSE_WINDOW_US = 70_000;
    /** Links to a worker that answered twice always rest, until it has not done so for this long. */
    private static final long DUPLICATE_RESPONSE_MEMORY_US = 60_000_000;
    /** Calls that wait for a free link, over all workers; beyond it a call gets none. */
    private static final int MAX_WAITING = 1024;
    /** With so many that rest at one target its calls come so close that none is waited for. */
    private static final int MIN_IDLE_TO_SKIP_WAIT = 4;
    /** Links that were ended and linger: their descriptors come out of the process's own. */
    private static final int MAX_LINGERING = 16;

    private final Loop loop;
    private final Connector connector;
    private final Invariants invariants;
    private long connectTimeoutUs;
    private long idleTimeoutUs;
    private final Deque<ConnectionWaiter> waiting = new ArrayDeque<>();
    private boolean assignmentScheduled;
    private final ResourceBudget budget;
    /** How many connections are accepted. */
    private final IntSupplier acceptedCount;
    private final Map<Integer, WorkerEndpoint> workerCount = new HashMap<>();
    private final Set<OutboundConnection> open = new HashSet<>();
    /** A running mean: the share of kept links that broke under their next call. */
    private double reusedBreakRate;
    private int lingering;
    private final IdleConnections idle = new IdleConnections();
    private final ReuseWaitBudget reuseWaitBudget = new ReuseWaitBudget();

    public WorkerConnectionPool(Loop loop, Connector dialer, Invariants invariants, long dialLimitUs, long connIdleUs, ResourceBudget room, IntSupplier accepted) {
        this.loop = loop;
        this.connector = dialer;
        this.invariants = invariants;
        this.budget = room;
        this.acceptedCount = accepted;
        setLimits(dialLimitUs, connIdleUs);
    }

    /** How long a dial may take, and when the worker's machine closes an idle link. */
    public void setLimits(long newDialLimitUs, long connIdleUs) {
        connectTimeoutUs = newDialLimitUs;
        // A link is closed here before the worker's machine does so in silence: a call would end as a reset.
        idleTimeoutUs = (long) Math.max(connIdleUs * IDLE_TIMEOUT_SHARE / 2, Math.min(connIdleUs * IDLE_TIMEOUT_SHARE, connIdleUs - IDLE_MARGIN_US));
    }

    /** Starts closing idle links in time. */
    public void start() {
        loop.schedule(SWEEP_INTERVAL_US, this::sweep);
    }

    /** The target of this number, or null. */
    public WorkerEndpoint worker(int id) {
        return workerCount.get(id);
    }

    /** What the list says of a target. */
    public void applyUpdate(int id, String name, InetSocketAddress address, Contract.WorkerState state) {
        if (state == Contract.WorkerState.GONE) {
            remove(id);
        } else {
            WorkerEndpoint t = workerCount.computeIfAbsent(id, k -> new WorkerEndpoint(name, id));
            if (!address.equals(t.address())) {
                closeIdle(t); // they lead elsewhere
            }
            t.update(address, state);
        }
    }

    /** A whole list came: targets that it does not name are gone. */
    public void retainOnly(Set<Integer> named) {
        for (Integer id : new HashSet<>(workerCount.keySet())) {
            if (!named.contains(id)) {
                remove(id);
            }
        }
    }

    private void remove(int id) {
        WorkerEndpoint t = workerCount.remove(id);
        if (t != null) {
            closeIdle(t);
            t.update(t.address(), Contract.WorkerState.GONE);
        }
    }

    private void closeIdle(WorkerEndpoint t) {
        while (!t.idleConnections.isEmpty()) {
            OutboundConnection link = t.idleConnections.peek();
            idle.remove(t, link);
            closeGracefully(link);
        }
    }

    /**
     * Gets a link to the target: the newest idle one on which no second answer can come any more, else the one that rested
     * longest, else by a dial. A call waits for a link to rest where that is affordable; it rides one that does not where
     * {@link OutboundConnection#duplicateResponseUntilUs} lets the caller tell whose an answer is.
     *
     * @param mostBreaks the share of kept links that may break under their next call for one to be used all the
     *     same; or {@link #REUSE_NONE}, {@link #REUSE_SETTLED}, {@link #REUSE_ANY}
     * @return the link that is dialled or ready; null where it has to wait for one that others use, or that is yet to settle,
     *     and is told when it gets it, or that it gets none in the time that a dial may take
     */
    public OutboundConnection acquire(WorkerEndpoint target, OutboundConnection.Handler handler, double mostBreaks) {
        OutboundConnection rested = reusedBreakRate > mostBreaks ? null : chooseIdle(target);
        long now = loop.nowUs();
        if (rested != null && (rested.reuseAfterUs <= now || mostBreaks >= REUSE_ANY)) {
            return reuse(target, rested, handler);
        }
        boolean mustRest = target.sendsDuplicateResponses(now);
        if (rested != null) {
            boolean waits = mustRest || target.idleConnections.size() < MIN_IDLE_TO_SKIP_WAIT && reuseWaitBudget.tryTake(now);
            if (!waits) {
                return reuse(target, rested, handler);
            }
            waitForReuse(target, rested, handler, mostBreaks);
            return null;
        }
        boolean mayDial = mayConnect();
        OutboundConnection reserved = target.idleConnections.peekLast();
        if (!mayDial && !mustRest && reusedBreakRate <= mostBreaks && reserved != null && reserved.isIdle()) {
            return reuse(target, reserved, handler); // whoever waits for this one looks again
        }
        if (!mayDial && !evictIdle()) {
            waitForFreeConnection(target, handler, mostBreaks);
            return null;
        }
        invariants.count("egress dials");
        OutboundConnection link = connector.connect(target.address(), connectTimeoutUs, handler);
        open.add(link);
        return link;
    }

    /** What {@link IdleConnections#chooseForReuse} has, without what the worker ended unseen. */
    private OutboundConnection chooseIdle(WorkerEndpoint target) {
        OutboundConnection chosen = idle.chooseForReuse(target, loop.nowUs());
        while (chosen != null && !chosen.isIdle()) {
            idle.remove(target, chosen);
            closeGracefully(chosen);
            chosen = idle.chooseForReuse(target, loop.nowUs());
        }
        return chosen;
    }

    /** At no cost to the worker, unlike a dial. Each call waits for a link of its own, and is looked at again before it goes. */
    private void waitForReuse(WorkerEndpoint target, OutboundConnection own, OutboundConnection.Handler handler, double mostBreaks) {
        invariants.count("egress waits for rest");
        own.reserved = true;
        // After a whole round of I/O, so that news that lies unread as the link has rested is heard first.
        loop.schedule(own.reuseAfterUs - loop.nowUs(), () -> loop.afterIoRound(() -> {
            own.reserved = false;
            acquireAfterWait(target, handler, mostBreaks);
        }));
    }

    /** Gets a link for a call that had to wait for one, unless it is over by now or its worker leaves. */
    private void acquireAfterWait(WorkerEndpoint target, OutboundConnection.Handler handler, double mostBreaks) {
        if (handler.needsConnection()) {
            acquire(target, handler, mostBreaks);
        } else {
            invariants.count("egress calls gone before their link");
            connectionFreed(); // the place that it was given goes to the next that waits
        }
    }

    private void waitForFreeConnection(WorkerEndpoint target, OutboundConnection.Handler handler, double mostBreaks) {
        if (waiting.size() >= MAX_WAITING) {
            invariants.count("egress out of links");
            loop.post(handler::connectionUnavailable);
            return;
        }
        invariants.count("egress waits for a link");
        ConnectionWaiter w = new ConnectionWaiter(target, handler, mostBreaks);
        waiting.add(w);
        w.timeoutTimer = loop.schedule(connectTimeoutUs, () -> {
            waiting.remove(w);
            invariants.count("egress out of links");
            handler.connectionUnavailable();
        });
    }

    private boolean mayConnect() {
        return budget.mayConnectToWorker(open.size(), acceptedCount.getAsInt());
    }

    private OutboundConnection reuse(WorkerEndpoint target, OutboundConnection link, OutboundConnection.Handler handler) {
        idle.remove(target, link);
        link.reserved = false;
        link.reused = true;
        link.setIdleHandler(handler);
        handler.connected(link);
        return link;
    }

    /**
     * A link or its place came free: those who wait have it, the first to come first; but a link goes to whoever waits for
     * its own target, as to end it for the sake of another's would cost a dial.
     */
    private void assignToWaiting() {
        assignmentScheduled = false;
        for (ConnectionWaiter w : new ArrayList<>(waiting)) { // who is put back meanwhile, as its link died unseen, waits for another turn
            if (!w.worker.idleConnections.isEmpty()) {
                waiting.remove(w);
                w.timeoutTimer.cancel();
                acquireAfterWait(w.worker, w.handler, w.maxBreakRate);
            }
        }
        for (ConnectionWaiter w = waiting.peek(); w != null; w = waiting.peek()) {
            if (w.worker.idleConnections.isEmpty() && !mayConnect() && !evictIdle()) {
                return;
            }
            waiting.remove();
            w.timeoutTimer.cancel();
            acquireAfterWait(w.worker, w.handler, w.maxBreakRate);
        }
    }

    private void connectionFreed() {
        if (!waiting.isEmpty() && !assignmentScheduled) {
            assignmentScheduled = true;
            loop.post(this::assignToWaiting);
        }
    }

    /** Keeps to the descriptors that there are. */
    public void enforceDescriptorLimit() {
        while (!mayConnect() && evictIdle()) {
            invariants.count("egress closed at the cap");
        }
    }

    /** Ends the idle link that is missed least, of whichever worker. */
    private boolean evictIdle() {
        IdleConnections.Entry least = idle.chooseForEviction();
        if (least == null) {
            return false;
        }
        idle.remove(least.worker(), least.connection());
        closeGracefully(least.connection());
        return true;
    }

    /** A call over this link came to an answer or broke: what kept links are worth is learnt by it. */
    public void recordOutcome(OutboundConnection link, boolean broke) {
        if (link.reused) {
            reusedBreakRate += BREAK_RATE_GAIN * ((broke ? 1 : 0) - reusedBreakRate);
            link.reused = false;
            if (broke) {
                invariants.count("egress kept links broke");
            }
        }
    }

    /** Takes a link back after a call; it is kept if it can carry another. */
    public void release(WorkerEndpoint target, OutboundConnection link, boolean keepAlive) {
        if (!keepAlive || !link.isIdle() || workerCount.get(target.id) != target) {
            closeGracefully(link);
            return;
        }
        link.idleSinceUs = loop.nowUs();
        link.setIdleHandler(new OutboundConnection.Handler() {
            @Override
            public void responsePart(OutboundConnection l, OutboundConnection.ResponsePart piece) {
                // none comes without a call: see unasked
            }

            @Override
            public void unexpectedResponse(OutboundConnection l, int status) {
                duplicateResponse(target, l, status);
            }

            @Override
            public void disconnected(OutboundConnection l) {
                idle.remove(target, l);
                open.remove(l);
                connectionFreed();
            }
        });
        idle.add(target, link);
        connectionFreed();
        trimIdle(target);
    }

    /** Links that a busy worker needs all the time are not worth dialling anew for each job, so its share is kept to in need only. */
    private void trimIdle(WorkerEndpoint target) {
        int share = Math.max(MIN_IDLE_LIMIT, budget.maxIdleWorkerConnections() / workerCount.size());
        if (target.idleConnections.size() > share && !budget.hasSpareDescriptors(open.size(), acceptedCount.getAsInt())) {
            OutboundConnection oldest = target.idleConnections.peekLast();
            idle.remove(target, oldest);
            closeGracefully(oldest);
        }
    }

    /**
     * A worker answered a call twice, as an outlier does: its links rest after each job for a while. What the last call of
     * this link was told by a 202 that may have been another's is in doubt, unless this answer is a 202 too.
     */
    public void duplicateResponse(WorkerEndpoint target, OutboundConnection link, int status) {
        invariants.count("egress answer without a call");
        target.expectDuplicateResponses(loop.nowUs() + DUPLICATE_RESPONSE_MEMORY_US);
        OutboundConnection.AcceptanceListener last = link.acceptanceListener();
        if (last != null && status != HttpStatus.ACCEPTED) {
            invariants.count("egress answers in doubt");
            link.acceptanceListener(null);
            last.acceptanceInDoubt();
        }
    }

    /** Takes a link back after an answer that could be a job's: it carries no other until a second one would have come. */
    public void releaseWithReuseDelay(WorkerEndpoint target, OutboundConnection link, boolean keepAlive) {
        long now = loop.nowUs();
        link.reuseAfterUs = now + (target.sendsDuplicateResponses(now) ? DUPLICATE_RESPONSE_WINDOW_US : REUSE_DELAY_US);
        link.duplicateResponseUntilUs = now + DUPLICATE_RESPONSE_WINDOW_US;
        release(target, link, keepAlive);
    }

    /** An answer came that was none to the call. */
    public void countUnmatchedResponse() {
        invariants.count("egress answers of no call");
    }

    /** Ends a link, or forgets one that is down. */
    public void closeGracefully(OutboundConnection link) {
        if (lingering < MAX_LINGERING) {
            lingering++;
            link.closeGracefully(() -> lingering--);
        } else {
            link.close();
        }
        open.remove(link);
        connectionFreed();
    }

    /** Closes a link under its call, which is given up by that. */
    public void abort(OutboundConnection link) {
        link.close();
        open.remove(link);
        connectionFreed();
    }

    private void sweep() {
        long now = loop.nowUs();
        for (WorkerEndpoint t : workerCount.values()) {
            OutboundConnection oldest = t.idleConnections.peekLast();
            while (oldest != null && (now - oldest.idleSinceUs + SWEEP_INTERVAL_US >= idleTimeoutUs || !oldest.isIdle())) {
                idle.remove(t, oldest);
                closeGracefully(oldest);
                oldest = t.idleConnections.peekLast();
            }
        }
        loop.schedule(SWEEP_INTERVAL_US, this::sweep);
    }

    /** Targets in the list. */
    public int workerCount() {
        return workerCount.size();
    }

    /** Open links, dials included. */
    public int connectionCount() {
        return open.size();
    }
}
