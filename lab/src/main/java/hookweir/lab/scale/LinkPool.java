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
 * A scheduler's connections to workers, kept as the real one kept them before it used some without rest: the newest idle one is used
 * first, one that carried a job rests before its next call, idle ones end after a while, and no worker keeps more than a few.
 */
final class LinkPool {
    /** A worker's machine closes idle connections after 10 s; the scheduler does so at nine tenths of it. */
    private static final long IDLE_US = 9_000_000;
    private static final long SWEEP_US = 500_000;
    private static final int MOST_IDLE = 8;
    private static final int MANY_RESTING = 4;
    /** How long a link rests after an answer to a job. */
    static final long SETTLE_US = 30_000;
    static final long DIAL_LIMIT_US = 250_000;

    /** One connection. */
    static final class Link {
        private final HollowWorker worker;
        private final int process;
        private long idleSinceUs;
        private long settledUs;
        private boolean reserved;

        private Link(HollowWorker worker) {
            this.worker = worker;
            process = worker.process;
        }

        /** The process at its other end is gone. */
        boolean isBroken() {
            return process != worker.process;
        }
    }

    private final EventQueue queue;
    private final Network network;
    private final Traffic traffic;
    private final int zone;
    private final ResourceBudget room;
    private final IntSupplier accepted;
    private final IntSupplier listed;
    private final Map<Integer, Deque<Link>> idle = new TreeMap<>();
    private int open;
    private boolean closed;

    LinkPool(EventQueue queue, Network network, Traffic traffic, int zone, ResourceBudget room, IntSupplier accepted, IntSupplier listed) {
        this.queue = queue;
        this.network = network;
        this.traffic = traffic;
        this.zone = zone;
        this.room = room;
        this.accepted = accepted;
        this.listed = listed;
        queue.after(SWEEP_US, this::sweep);
    }

    /**
     * Gets a link.
     *
     * @param kind of the connection, where a new one is needed
     * @param up gets the link, or null where none came up
     */
    void acquire(HollowWorker worker, MessageKind kind, Consumer<Link> up) {
        Deque<Link> links = idle.computeIfAbsent(worker.id, id -> new ArrayDeque<>());
        drop(links);
        Link resting = null;
        int many = 0;
        for (Iterator<Link> it = links.iterator(); it.hasNext();) {
            Link link = it.next();
            if (link.reserved) {
                continue;
            }
            if (link.settledUs <= queue.nowUs()) {
                it.remove();
                up.accept(link);
                return;
            }
            many++;
            resting = resting == null || link.settledUs < resting.settledUs ? link : resting;
        }
        if (many >= MANY_RESTING) {
            links.remove(resting);
            up.accept(resting);
        } else if (resting != null) {
            await(resting, kind, up);
        } else {
            dial(worker, kind, up);
        }
    }

    private void await(Link link, MessageKind kind, Consumer<Link> up) {
        link.reserved = true;
        queue.after(link.settledUs - queue.nowUs(), () -> {
            link.reserved = false;
            acquire(link.worker, kind, up);
        });
    }

    private void dial(HollowWorker worker, MessageKind kind, Consumer<Link> up) {
        if (closed || !network.reaches(zone, worker) || !room.mayConnectToWorker(open, accepted.getAsInt()) && !evict()) {
            queue.after(DIAL_LIMIT_US, () -> up.accept(null));
            return;
        }
        open++;
        traffic.connection(Role.SCHEDULER, Role.WORKER, kind);
        queue.after(2 * network.oneWayUs(zone, worker.zone), () -> up.accept(new Link(worker)));
    }

    private boolean evict() {
        for (Deque<Link> links : idle.values()) {
            if (links.pollLast() != null) {
                open--;
                return true;
            }
        }
        return false;
    }

    /** Takes a link back. */
    void release(Link link, long settleUs) {
        Deque<Link> links = idle.get(link.worker.id);
        if (link.isBroken() || links == null) {
            end(link);
            return;
        }
        link.idleSinceUs = queue.nowUs();
        link.settledUs = queue.nowUs() + settleUs;
        links.addFirst(link);
        if (links.size() > Math.max(MOST_IDLE, room.maxIdleWorkerConnections() / Math.max(1, listed.getAsInt()))) {
            links.pollLast();
            open--;
        }
    }

    /** A link that carries nothing any more. */
    void end(Link link) {
        open--;
    }

    private void drop(Deque<Link> links) {
        int before = links.size();
        links.removeIf(Link::isBroken);
        open -= before - links.size();
    }

    private void sweep() {
        for (Deque<Link> links : idle.values()) {
            int before = links.size();
            links.removeIf(link -> !link.reserved && queue.nowUs() - link.idleSinceUs + SWEEP_US >= IDLE_US);
            open -= before - links.size();
        }
        if (!closed) {
            queue.after(SWEEP_US, this::sweep);
        }
    }

    /** Its process ended. */
    void close() {
        closed = true;
        idle.clear();
    }

    /** Links that are open now. */
    int open() {
        return open;
    }
}
