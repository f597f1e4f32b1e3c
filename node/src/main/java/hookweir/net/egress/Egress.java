package hookweir.net.egress;

import hookweir.Contract;
import hookweir.net.Dialer;
import hookweir.net.Invariants;
import hookweir.net.Link;
import hookweir.net.Loop;
import hookweir.room.Room;
import hookweir.timer.TimerWheel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
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
    /** A worker's second answer to a job comes within this of its first, if it comes. */
    private static final long SETTLE_US = 30_000;
    /** With so many that rest at one target its calls come so close that none is waited for. */
    private static final int MANY_RESTING = 4;
    /** Links that were ended and linger: their descriptors come out of the process's own. */
    private static final int MOST_LINGERING = 16;

    private final Loop loop;
    private final Dialer dialer;
    private final Invariants invariants;
    private long dialLimitUs;
    private long idleLimitUs;
    private final Deque<Waiter> waiting = new ArrayDeque<>();
    private boolean pumping;
    private final Room room;
    /** How many connections are accepted. */
    private final IntSupplier accepted;
    private final Map<Integer, EgressTarget> targets = new HashMap<>();
    private final Set<Link> open = new HashSet<>();
    /** A running mean: the share of kept links that broke under their next call. */
    private double keptBreaks;
    private int lingering;

    /** A call that waits for a link. */
    private static final class Waiter {
        private final EgressTarget target;
        private final Link.Handler handler;
        private final double mostBreaks;
        private TimerWheel.Timer limit;

        Waiter(EgressTarget target, Link.Handler handler, double mostBreaks) {
            this.target = target;
            this.handler = handler;
            this.mostBreaks = mostBreaks;
        }
    }

    public Egress(Loop loop, Dialer dialer, Invariants invariants, long dialLimitUs, long connIdleUs, Room room, IntSupplier accepted) {
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
        loop.after(SWEEP_US, this::sweep);
    }

    /** The target of this number, or null. */
    public EgressTarget target(int id) {
        return targets.get(id);
    }

    /** What the list says of a target. */
    public void told(int id, String name, InetSocketAddress address, Contract.State state) {
        if (state == Contract.State.GONE) {
            forget(id);
        } else {
            EgressTarget t = targets.computeIfAbsent(id, k -> new EgressTarget(name, id));
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
        EgressTarget t = targets.remove(id);
        if (t != null) {
            endIdle(t);
            t.update(t.address(), Contract.State.GONE);
        }
    }

    private void endIdle(EgressTarget t) {
        for (Link link = t.idle.poll(); link != null; link = t.idle.poll()) {
            end(link);
        }
    }

    /**
     * Gets a link to the target: the newest idle one at once, else by a dial.
     *
     * @param mostBreaks the share of kept links that may break under their next call for one to be used all the
     *     same; or {@link #NONE}, {@link #SETTLED}, {@link #ANY}
     * @return the link that is dialled or ready; null where it has to wait for one that others use, or that is yet to settle,
     *     and is told when it gets it, or that it gets none in the time that a dial may take
     */
    public Link link(EgressTarget target, Link.Handler handler, double mostBreaks) {
        long now = loop.nowUs();
        Link settling = null;
        int resting = 0;
        for (Iterator<Link> it = target.idle.iterator(); it.hasNext() && keptBreaks <= mostBreaks;) {
            Link link = it.next();
            if (link.reserved) {
                continue;
            }
            if (mostBreaks < ANY && link.settledUs > now && link.isFree()) {
                resting++;
                settling = settling == null || link.settledUs < settling.settledUs ? link : settling;
                continue;
            }
            it.remove();
            if (link.isFree()) {
                return reused(link, handler);
            }
            end(link);
        }
        if (resting >= MANY_RESTING) {
            // So busy a worker would need dials without end: the one that rested longest has to do.
            target.idle.remove(settling);
            return reused(settling, handler);
        }
        if (settling != null) {
            // At no cost to the worker, unlike a dial. Each waits for one of its own: who finds none dials.
            Link own = settling;
            own.reserved = true;
            // After a whole round of I/O, so that news that lies unread as the link settles is heard first.
            loop.after(own.settledUs - now, () -> loop.afterRound(() -> {
                own.reserved = false;
                linkAfterWait(target, handler, mostBreaks);
            }));
            return null;
        }
        if (!room.mayDial(open.size(), accepted.getAsInt()) && !evict()) {
            invariants.count("egress waits for a link");
            Waiter w = new Waiter(target, handler, mostBreaks);
            waiting.add(w);
            w.limit = loop.after(dialLimitUs, () -> {
                waiting.remove(w);
                invariants.count("egress out of links");
                handler.noLink();
            });
            return null;
        }
        invariants.count("egress dials");
        Link link = dialer.dial(target.address(), dialLimitUs, handler);
        open.add(link);
        return link;
    }

    /** Gets a link for a call that had to wait for one, unless it is over by now or its worker leaves. */
    private void linkAfterWait(EgressTarget target, Link.Handler handler, double mostBreaks) {
        if (handler.wantsLink()) {
            link(target, handler, mostBreaks);
        } else {
            freed(); // the place that it was given goes to the next that waits
        }
    }

    private static Link reused(Link link, Link.Handler handler) {
        link.kept = true;
        link.rest(handler);
        handler.up(link);
        return link;
    }

    /**
     * A link or its place came free: those who wait have it, the first to come first; but a link goes to whoever waits for
     * its own target, as to end it for the sake of another's would cost a dial.
     */
    private void pump() {
        pumping = false;
        for (Waiter w : new ArrayList<>(waiting)) { // who is put back meanwhile, as its link died unseen, waits for another turn
            if (!w.target.idle.isEmpty()) {
                waiting.remove(w);
                w.limit.cancel();
                linkAfterWait(w.target, w.handler, w.mostBreaks);
            }
        }
        for (Waiter w = waiting.peek(); w != null; w = waiting.peek()) {
            if (w.target.idle.isEmpty() && !room.mayDial(open.size(), accepted.getAsInt()) && !evict()) {
                return;
            }
            waiting.remove();
            w.limit.cancel();
            linkAfterWait(w.target, w.handler, w.mostBreaks);
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
        while (!room.mayDial(open.size(), accepted.getAsInt()) && evict()) {
            invariants.count("egress closed at the cap");
        }
    }

    private boolean evict() {
        for (EgressTarget t : targets.values()) {
            Link oldest = t.idle.pollLast();
            if (oldest != null) {
                end(oldest);
                return true;
            }
        }
        return false;
    }

    /** A call over this link came to an answer or broke: what kept links are worth is learnt by it. */
    public void used(Link link, boolean broke) {
        if (link.kept) {
            keptBreaks += BREAKS_GAIN * ((broke ? 1 : 0) - keptBreaks);
            link.kept = false;
            if (broke) {
                invariants.count("egress kept links broke");
            }
        }
    }

    /** Takes a link back after a call; it is kept if it can carry another. */
    public void release(EgressTarget target, Link link, boolean keepAlive) {
        if (!keepAlive || !link.isFree() || targets.get(target.id) != target) {
            end(link);
            return;
        }
        link.idleSinceUs = loop.nowUs();
        link.rest(new Link.Handler() {
            @Override
            public void piece(Link l, Link.Piece piece) {
                invariants.count("egress answer without a call");
                target.idle.remove(l);
                end(l);
            }

            @Override
            public void down(Link l) {
                target.idle.remove(l);
                open.remove(l);
            }
        });
        target.idle.addFirst(link);
        freed();
        // Links that a busy worker needs all the time are not worth dialling anew for each job.
        if (target.idle.size() > Math.max(MOST_IDLE, room.mostIdleLinks() / targets.size())) {
            end(target.idle.pollLast());
        }
    }

    /** Takes a link back after an answer that could be a job's: it carries no other until a second one would have come. */
    public void settles(EgressTarget target, Link link, boolean keepAlive) {
        link.settledUs = loop.nowUs() + SETTLE_US;
        release(target, link, keepAlive);
    }

    /** An answer came that was none to the call. */
    public void strayed() {
        invariants.count("egress answers of no call");
    }

    /** Ends a link, or forgets one that is down. */
    public void end(Link link) {
        if (lingering < MOST_LINGERING) {
            lingering++;
            link.end(() -> lingering--);
        } else {
            link.close();
        }
        open.remove(link);
        freed();
    }

    /** Closes a link under its call, which is given up by that. */
    public void cut(Link link) {
        link.close();
        open.remove(link);
        freed();
    }

    private void sweep() {
        long now = loop.nowUs();
        for (EgressTarget t : targets.values()) {
            for (Iterator<Link> it = t.idle.descendingIterator(); it.hasNext();) {
                Link link = it.next();
                if (now - link.idleSinceUs + SWEEP_US < idleLimitUs && link.isFree()) {
                    break;
                }
                it.remove();
                end(link);
            }
        }
        loop.after(SWEEP_US, this::sweep);
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
