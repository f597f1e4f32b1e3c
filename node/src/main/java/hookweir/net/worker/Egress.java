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
public final class Egress {
    /** No kept link. */
    public static final double NONE = -1;
    /** Any kept link whose last call is surely over: a break does no harm. */
    public static final double SETTLED = 1;
    /** Any kept link: another call's answer does no harm either. */
    public static final double ANY = 2;
    private static final long SWEEP_US = 500_000;
    private static final double IDLE_SHARE = 0.9;
    private static final long IDLE_MARGIN_US = 1_000_000;
    private static final int MOST_IDLE = 8;
    private static final double BREAKS_GAIN = 0.1;
    /** A link rests for so long after an answer that could be a job's, where that is affordable. */
    private static final long REST_US = 30_000;
    /** A second answer comes within this of the first, if it comes: until then an answer on the link may be another call's. */
    private static final long SECOND_ANSWER_US = 70_000;
    /** Links to a worker that answered twice always rest, until it has not done so for this long. */
    private static final long ANSWERS_TWICE_US = 60_000_000;
    /** Calls that wait for a free link, over all workers; beyond it a call gets none. */
    private static final int MOST_WAITING = 1024;
    /** With so many that rest at one target its calls come so close that none is waited for. */
    private static final int MANY_RESTING = 4;
    /** Links that were ended and linger: their descriptors come out of the process's own. */
    private static final int MOST_LINGERING = 16;

    private final Loop loop;
    private final Connector dialer;
    private final Invariants invariants;
    private long dialLimitUs;
    private long idleLimitUs;
    private final Deque<WaitingCall> waiting = new ArrayDeque<>();
    private boolean pumping;
    private final ResourceBudget room;
    /** How many connections are accepted. */
    private final IntSupplier accepted;
    private final Map<Integer, WorkerEndpoint> targets = new HashMap<>();
    private final Set<OutboundConnection> open = new HashSet<>();
    /** A running mean: the share of kept links that broke under their next call. */
    private double keptBreaks;
    private int lingering;
    private final IdleLinks idle = new IdleLinks();
    private final RestBudget restBudget = new RestBudget();

    public Egress(Loop loop, Connector dialer, Invariants invariants, long dialLimitUs, long connIdleUs, ResourceBudget room, IntSupplier accepted) {
        this.loop = loop;
        this.dialer = dialer;
        this.invariants = invariants;
        this.room = room;
        this.accepted = accepted;
        limits(dialLimitUs, connIdleUs);
    }

    /** How long a dial may take, and when the worker's machine closes an idle link. */
    public void limits(long newDialLimitUs, long connIdleUs) {
        dialLimitUs = newDialLimitUs;
        // A link is closed here before the worker's machine does so in silence: a call would end as a reset.
        idleLimitUs = (long) Math.max(connIdleUs * IDLE_SHARE / 2, Math.min(connIdleUs * IDLE_SHARE, connIdleUs - IDLE_MARGIN_US));
    }

    /** Starts closing idle links in time. */
    public void start() {
        loop.schedule(SWEEP_US, this::sweep);
    }

    /** The target of this number, or null. */
    public WorkerEndpoint target(int id) {
        return targets.get(id);
    }

    /** What the list says of a target. */
    public void told(int id, String name, InetSocketAddress address, Contract.WorkerState state) {
        if (state == Contract.WorkerState.GONE) {
            forget(id);
        } else {
            WorkerEndpoint t = targets.computeIfAbsent(id, k -> new WorkerEndpoint(name, id));
            if (!address.equals(t.address())) {
                endIdle(t); // they lead elsewhere
            }
            t.update(address, state);
        }
    }

    /** A whole list came: targets that it does not name are gone. */
    public void keepOnly(Set<Integer> named) {
        for (Integer id : new HashSet<>(targets.keySet())) {
            if (!named.contains(id)) {
                forget(id);
            }
        }
    }

    private void forget(int id) {
        WorkerEndpoint t = targets.remove(id);
        if (t != null) {
            endIdle(t);
            t.update(t.address(), Contract.WorkerState.GONE);
        }
    }

    private void endIdle(WorkerEndpoint t) {
        while (!t.idle.isEmpty()) {
            OutboundConnection link = t.idle.peek();
            idle.take(t, link);
            end(link);
        }
    }

    /**
     * Gets a link to the target: the newest idle one on which no second answer can come any more, else the one that rested
     * longest, else by a dial. A call waits for a link to rest where that is affordable; it rides one that does not where
     * {@link OutboundConnection#duplicateResponseUntilUs} lets the caller tell whose an answer is.
     *
     * @param mostBreaks the share of kept links that may break under their next call for one to be used all the
     *     same; or {@link #NONE}, {@link #SETTLED}, {@link #ANY}
     * @return the link that is dialled or ready; null where it has to wait for one that others use, or that is yet to settle,
     *     and is told when it gets it, or that it gets none in the time that a dial may take
     */
    public OutboundConnection link(WorkerEndpoint target, OutboundConnection.Handler handler, double mostBreaks) {
        OutboundConnection rested = keptBreaks > mostBreaks ? null : mostRested(target);
        long now = loop.nowUs();
        if (rested != null && (rested.reuseAfterUs <= now || mostBreaks >= ANY)) {
            return reused(target, rested, handler);
        }
        boolean mustRest = target.answersTwice(now);
        if (rested != null) {
            boolean waits = mustRest || target.idle.size() < MANY_RESTING && restBudget.take(now);
            if (!waits) {
                return reused(target, rested, handler);
            }
            awaitRest(target, rested, handler, mostBreaks);
            return null;
        }
        boolean mayDial = mayDial();
        OutboundConnection reserved = target.idle.peekLast();
        if (!mayDial && !mustRest && keptBreaks <= mostBreaks && reserved != null && reserved.isIdle()) {
            return reused(target, reserved, handler); // whoever waits for this one looks again
        }
        if (!mayDial && !evict()) {
            awaitFree(target, handler, mostBreaks);
            return null;
        }
        invariants.count("egress dials");
        OutboundConnection link = dialer.connect(target.address(), dialLimitUs, handler);
        open.add(link);
        return link;
    }

    /** What {@link IdleLinks#mostRested} has, without what the worker ended unseen. */
    private OutboundConnection mostRested(WorkerEndpoint target) {
        OutboundConnection chosen = idle.mostRested(target, loop.nowUs());
        while (chosen != null && !chosen.isIdle()) {
            idle.take(target, chosen);
            end(chosen);
            chosen = idle.mostRested(target, loop.nowUs());
        }
        return chosen;
    }

    /** At no cost to the worker, unlike a dial. Each call waits for a link of its own, and is looked at again before it goes. */
    private void awaitRest(WorkerEndpoint target, OutboundConnection own, OutboundConnection.Handler handler, double mostBreaks) {
        invariants.count("egress waits for rest");
        own.reserved = true;
        // After a whole round of I/O, so that news that lies unread as the link has rested is heard first.
        loop.schedule(own.reuseAfterUs - loop.nowUs(), () -> loop.afterIoRound(() -> {
            own.reserved = false;
            linkLater(target, handler, mostBreaks);
        }));
    }

    /** Gets a link for a call that had to wait for one, unless it is over by now or its worker leaves. */
    private void linkLater(WorkerEndpoint target, OutboundConnection.Handler handler, double mostBreaks) {
        if (handler.needsConnection()) {
            link(target, handler, mostBreaks);
        } else {
            invariants.count("egress calls gone before their link");
            freed(); // the place that it was given goes to the next that waits
        }
    }

    private void awaitFree(WorkerEndpoint target, OutboundConnection.Handler handler, double mostBreaks) {
        if (waiting.size() >= MOST_WAITING) {
            invariants.count("egress out of links");
            loop.post(handler::connectionUnavailable);
            return;
        }
        invariants.count("egress waits for a link");
        WaitingCall w = new WaitingCall(target, handler, mostBreaks);
        waiting.add(w);
        w.limit = loop.schedule(dialLimitUs, () -> {
            waiting.remove(w);
            invariants.count("egress out of links");
            handler.connectionUnavailable();
        });
    }

    private boolean mayDial() {
        return room.mayConnectToWorker(open.size(), accepted.getAsInt());
    }

    private OutboundConnection reused(WorkerEndpoint target, OutboundConnection link, OutboundConnection.Handler handler) {
        idle.take(target, link);
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
    private void pump() {
        pumping = false;
        for (WaitingCall w : new ArrayList<>(waiting)) { // who is put back meanwhile, as its link died unseen, waits for another turn
            if (!w.target.idle.isEmpty()) {
                waiting.remove(w);
                w.limit.cancel();
                linkLater(w.target, w.handler, w.mostBreaks);
            }
        }
        for (WaitingCall w = waiting.peek(); w != null; w = waiting.peek()) {
            if (w.target.idle.isEmpty() && !mayDial() && !evict()) {
                return;
            }
            waiting.remove();
            w.limit.cancel();
            linkLater(w.target, w.handler, w.mostBreaks);
        }
    }

    private void freed() {
        if (!waiting.isEmpty() && !pumping) {
            pumping = true;
            loop.post(this::pump);
        }
    }

    /** Keeps to the descriptors that there are. */
    public void fit() {
        while (!mayDial() && evict()) {
            invariants.count("egress closed at the cap");
        }
    }

    /** Ends the idle link that is missed least, of whichever worker. */
    private boolean evict() {
        IdleLinks.Entry least = idle.leastMissed();
        if (least == null) {
            return false;
        }
        idle.take(least.target(), least.link());
        end(least.link());
        return true;
    }

    /** A call over this link came to an answer or broke: what kept links are worth is learnt by it. */
    public void used(OutboundConnection link, boolean broke) {
        if (link.reused) {
            keptBreaks += BREAKS_GAIN * ((broke ? 1 : 0) - keptBreaks);
            link.reused = false;
            if (broke) {
                invariants.count("egress kept links broke");
            }
        }
    }

    /** Takes a link back after a call; it is kept if it can carry another. */
    public void release(WorkerEndpoint target, OutboundConnection link, boolean keepAlive) {
        if (!keepAlive || !link.isIdle() || targets.get(target.id) != target) {
            end(link);
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
                answeredTwice(target, l, status);
            }

            @Override
            public void disconnected(OutboundConnection l) {
                idle.take(target, l);
                open.remove(l);
                freed();
            }
        });
        idle.add(target, link);
        freed();
        trim(target);
    }

    /** Links that a busy worker needs all the time are not worth dialling anew for each job, so its share is kept to in need only. */
    private void trim(WorkerEndpoint target) {
        int share = Math.max(MOST_IDLE, room.maxIdleWorkerConnections() / targets.size());
        if (target.idle.size() > share && !room.hasSpareDescriptors(open.size(), accepted.getAsInt())) {
            OutboundConnection oldest = target.idle.peekLast();
            idle.take(target, oldest);
            end(oldest);
        }
    }

    /**
     * A worker answered a call twice, as an outlier does: its links rest after each job for a while. What the last call of
     * this link was told by a 202 that may have been another's is in doubt, unless this answer is a 202 too.
     */
    public void answeredTwice(WorkerEndpoint target, OutboundConnection link, int status) {
        invariants.count("egress answer without a call");
        target.answeredTwice(loop.nowUs() + ANSWERS_TWICE_US);
        OutboundConnection.AcceptanceListener last = link.acceptanceListener();
        if (last != null && status != HttpStatus.ACCEPTED) {
            invariants.count("egress answers in doubt");
            link.acceptanceListener(null);
            last.acceptanceInDoubt();
        }
    }

    /** Takes a link back after an answer that could be a job's: it carries no other until a second one would have come. */
    public void settles(WorkerEndpoint target, OutboundConnection link, boolean keepAlive) {
        long now = loop.nowUs();
        link.reuseAfterUs = now + (target.answersTwice(now) ? SECOND_ANSWER_US : REST_US);
        link.duplicateResponseUntilUs = now + SECOND_ANSWER_US;
        release(target, link, keepAlive);
    }

    /** An answer came that was none to the call. */
    public void strayed() {
        invariants.count("egress answers of no call");
    }

    /** Ends a link, or forgets one that is down. */
    public void end(OutboundConnection link) {
        if (lingering < MOST_LINGERING) {
            lingering++;
            link.closeGracefully(() -> lingering--);
        } else {
            link.close();
        }
        open.remove(link);
        freed();
    }

    /** Closes a link under its call, which is given up by that. */
    public void cut(OutboundConnection link) {
        link.close();
        open.remove(link);
        freed();
    }

    private void sweep() {
        long now = loop.nowUs();
        for (WorkerEndpoint t : targets.values()) {
            OutboundConnection oldest = t.idle.peekLast();
            while (oldest != null && (now - oldest.idleSinceUs + SWEEP_US >= idleLimitUs || !oldest.isIdle())) {
                idle.take(t, oldest);
                end(oldest);
                oldest = t.idle.peekLast();
            }
        }
        loop.schedule(SWEEP_US, this::sweep);
    }

    /** Targets in the list. */
    public int targets() {
        return targets.size();
    }

    /** Open links, dials included. */
    public int size() {
        return open.size();
    }
}
