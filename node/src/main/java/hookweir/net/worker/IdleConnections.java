package hookweir.net.worker;

import hookweir.net.OutboundConnection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The idle links to all workers, in the order in which they were put aside. Belongs to the loop. */
final class IdleConnections {
    /** A link and whose it is. */
    record Entry(WorkerEndpoint worker, OutboundConnection connection) {
    }

    /** Those that carried a job, the one that was put aside longest ago first. */
    private final Map<OutboundConnection, WorkerEndpoint> usedByJobs = new LinkedHashMap<>();
    /** Those that never carried one, in the same order: they are the first to make room. */
    private final Map<OutboundConnection, WorkerEndpoint> usedByProbesOnly = new LinkedHashMap<>();

    /** Puts a link aside. */
    void add(WorkerEndpoint target, OutboundConnection link) {
        target.idleConnections.addFirst(link);
        (link.duplicateResponseUntilUs > 0 ? usedByJobs : usedByProbesOnly).put(link, target);
    }

    /** Takes this link out; nothing happens where it is not idle. */
    void remove(WorkerEndpoint target, OutboundConnection link) {
        if (target.idleConnections.peekLast() == link) {
            target.idleConnections.pollLast();
        } else {
            target.idleConnections.remove(link);
        }
        usedByJobs.remove(link);
        usedByProbesOnly.remove(link);
    }

    /**
     * The newest link to this worker on which no second answer can come any more, which leaves the others to their end by age;
     * else the one that rested longest; null where there is none that nobody waits for.
     */
    OutboundConnection chooseForReuse(WorkerEndpoint target, long nowUs) {
        OutboundConnection oldest = null;
        for (Iterator<OutboundConnection> it = target.idleConnections.descendingIterator(); it.hasNext() && oldest == null;) {
            OutboundConnection link = it.next();
            oldest = link.reserved ? null : link;
        }
        if (oldest == null || oldest.duplicateResponseUntilUs > nowUs) {
            return oldest;
        }
        for (OutboundConnection link : target.idleConnections) {
            if (!link.reserved && link.duplicateResponseUntilUs <= nowUs) {
                return link;
            }
        }
        return oldest;
    }

    /** The link that was put aside longest ago and that nobody waits for, one that never carried a job first; or null. */
    Entry chooseForEviction() {
        Entry ofProbe = oldest(usedByProbesOnly);
        return ofProbe == null ? oldest(usedByJobs) : ofProbe;
    }

    private static Entry oldest(Map<OutboundConnection, WorkerEndpoint> links) {
        for (Map.Entry<OutboundConnection, WorkerEndpoint> e : links.entrySet()) {
            if (!e.getKey().reserved) {
                return new Entry(e.getValue(), e.getKey());
            }
        }
        return null;
    }
}
