package hookweir.net.worker;

import hookweir.net.Link;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The idle links to all workers, in the order in which they were put aside. Belongs to the loop. */
final class IdleLinks {
    /** A link and whose it is. */
    record Entry(WorkerEndpoint target, Link link) {
    }

    /** Those that carried a job, the one that was put aside longest ago first. */
    private final Map<Link, WorkerEndpoint> ofJobs = new LinkedHashMap<>();
    /** Those that never carried one, in the same order: they are the first to make room. */
    private final Map<Link, WorkerEndpoint> ofProbes = new LinkedHashMap<>();

    /** Puts a link aside. */
    void add(WorkerEndpoint target, Link link) {
        target.idle.addFirst(link);
        (link.secondAnswerUntilUs > 0 ? ofJobs : ofProbes).put(link, target);
    }

    /** Takes this link out; nothing happens where it is not idle. */
    void take(WorkerEndpoint target, Link link) {
        if (target.idle.peekLast() == link) {
            target.idle.pollLast();
        } else {
            target.idle.remove(link);
        }
        ofJobs.remove(link);
        ofProbes.remove(link);
    }

    /**
     * The newest link to this worker on which no second answer can come any more, which leaves the others to their end by age;
     * else the one that rested longest; null where there is none that nobody waits for.
     */
    Link mostRested(WorkerEndpoint target, long nowUs) {
        Link oldest = null;
        for (Iterator<Link> it = target.idle.descendingIterator(); it.hasNext() && oldest == null;) {
            Link link = it.next();
            oldest = link.reserved ? null : link;
        }
        if (oldest == null || oldest.secondAnswerUntilUs > nowUs) {
            return oldest;
        }
        for (Link link : target.idle) {
            if (!link.reserved && link.secondAnswerUntilUs <= nowUs) {
                return link;
            }
        }
        return oldest;
    }

    /** The link that was put aside longest ago and that nobody waits for, one that never carried a job first; or null. */
    Entry leastMissed() {
        Entry ofProbe = oldest(ofProbes);
        return ofProbe == null ? oldest(ofJobs) : ofProbe;
    }

    private static Entry oldest(Map<Link, WorkerEndpoint> links) {
        for (Map.Entry<Link, WorkerEndpoint> e : links.entrySet()) {
            if (!e.getKey().reserved) {
                return new Entry(e.getValue(), e.getKey());
            }
        }
        return null;
    }
}
