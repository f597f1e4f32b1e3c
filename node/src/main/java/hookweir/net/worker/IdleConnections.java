package hookweir.net.worker;

import hookweir.net.OutboundConnection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The idle connections to all workers, in the order in which they became idle. Used on the loop thread only. */
final class IdleConnections {
    /** An idle connection and its worker. */
    record Entry(WorkerEndpoint worker, OutboundConnection connection) {
    }

    /** Connections that have carried a job, longest idle first. */
    private final Map<OutboundConnection, WorkerEndpoint> usedByJobs = new LinkedHashMap<>();
    /** Connections that have never carried a job, longest idle first; these are evicted first. */
    private final Map<OutboundConnection, WorkerEndpoint> usedByProbesOnly = new LinkedHashMap<>();

    /** Adds a connection that became idle. */
    void add(WorkerEndpoint worker, OutboundConnection connection) {
        worker.idleConnections.addFirst(connection);
        (connection.duplicateResponseUntilUs > 0 ? usedByJobs : usedByProbesOnly).put(connection, worker);
    }

    /** Removes this connection; does nothing if it is not idle. */
    void remove(WorkerEndpoint worker, OutboundConnection connection) {
        if (worker.idleConnections.peekLast() == connection) {
            worker.idleConnections.pollLast();
        } else {
            worker.idleConnections.remove(connection);
        }
        usedByJobs.remove(connection);
        usedByProbesOnly.remove(connection);
    }

    /**
     * Returns the newest unreserved connection to this worker on which no duplicate response can arrive any more, so that older
     * ones reach their idle timeout; else the one that has been idle longest; null if there is no unreserved one.
     */
    OutboundConnection chooseForReuse(WorkerEndpoint worker, long nowUs) {
        OutboundConnection oldest = null;
        for (Iterator<OutboundConnection> iterator = worker.idleConnections.descendingIterator(); iterator.hasNext() && oldest == null;) {
            OutboundConnection connection = iterator.next();
            oldest = connection.reserved ? null : connection;
        }
        if (oldest == null || oldest.duplicateResponseUntilUs > nowUs) {
            return oldest;
        }
        for (OutboundConnection connection : worker.idleConnections) {
            if (!connection.reserved && connection.duplicateResponseUntilUs <= nowUs) {
                return connection;
            }
        }
        return oldest;
    }

    /** Returns the unreserved connection that has been idle longest, preferring those that never carried a job; or null. */
    Entry chooseForEviction() {
        Entry probeOnly = oldest(usedByProbesOnly);
        return probeOnly == null ? oldest(usedByJobs) : probeOnly;
    }

    private static Entry oldest(Map<OutboundConnection, WorkerEndpoint> connections) {
        for (Map.Entry<OutboundConnection, WorkerEndpoint> entry : connections.entrySet()) {
            if (!entry.getKey().reserved) {
                return new Entry(entry.getValue(), entry.getKey());
            }
        }
        return null;
    }
}
