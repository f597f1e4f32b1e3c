package hookweir.net.server;

import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.server.InboundConnection.Phase;
import hookweir.room.ResourceBudget;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * All accepted connections, least recently used first, within the limits on descriptors and on client connections. Evicts
 * connections that can be closed without losing a job, and suspends accepting if there are none. Belongs to the loop.
 */
final class ConnectionTable {
    /**
     * Minimum time between a search that found no idle client connection and the next search, so that a burst of jobs does
     * not scan the table for each job.
     */
    private static final long IDLE_SEARCH_INTERVAL_US = 50_000;
    /**
     * Evicted connections that may linger at a time. Their descriptors come on top of the limit, from the process's own
     * reserve.
     */
    private static final int MAX_LINGERING_EVICTED = 16;

    private final Loop loop;
    private final Invariants invariants;
    private final ResourceBudget budget;
    private final IntSupplier workerConnections;
    private final Acceptor acceptor;
    private final ConnectionCloser closer;
    private final Set<InboundConnection> connections = new LinkedHashSet<>();
    /** Evicted connections that are still lingering. */
    private final Set<InboundConnection> lingeringEvicted = new LinkedHashSet<>();
    /** The number of connections that carried a job. */
    private int clientConnections;
    private long nextIdleSearchUs;

    ConnectionTable(Loop loop, Invariants invariants, ResourceBudget budget, IntSupplier workerConnections, Acceptor acceptor, ConnectionCloser closer) {
        this.loop = loop;
        this.invariants = invariants;
        this.budget = budget;
        this.workerConnections = workerConnections;
        this.acceptor = acceptor;
        this.closer = closer;
    }

    /** Adds an accepted connection. */
    void add(InboundConnection connection) {
        connections.add(connection);
        enforceDescriptorLimit();
    }

    /** Removes a closed connection. */
    void remove(InboundConnection connection) {
        connections.remove(connection);
        if (connection.carriesJobs) {
            clientConnections--;
        }
        lingeringEvicted.remove(connection);
        if (acceptor.isDescriptorLimitReached()) {
            enforceDescriptorLimit();
        }
    }

    /** Moves a connection to the most recently used end. */
    void markUsed(InboundConnection connection) {
        connections.remove(connection);
        connections.add(connection);
    }

    /** Counts a connection as a client connection. */
    void markClientConnection(InboundConnection connection) {
        if (!connection.carriesJobs) {
            connection.carriesJobs = true;
            clientConnections++;
        }
    }

    /** Whether clients hold as many connections as they may. */
    boolean isClientLimitReached() {
        return clientConnections >= budget.maxClientConnections();
    }

    /** Whether new connections are left in the kernel's backlog for lack of descriptors. */
    boolean isDescriptorLimitReached() {
        return acceptor.isDescriptorLimitReached();
    }

    /** Evicts the least recently used idle client connection to make a place for a new job; returns false if there is none. */
    boolean evictIdleClient() {
        long now = loop.nowUs();
        if (now < nextIdleSearchUs) {
            return false;
        }
        for (InboundConnection connection : connections) {
            if (connection.carriesJobs && connection.isIdleKeepAlive() && !connection.isClosing()
                    && connection.evictionCost(now) < InboundConnection.COST_REQUEST_EXPECTED) {
                invariants.count("ingress made way for a job");
                evict(connection);
                return true;
            }
        }
        nextIdleSearchUs = now + IDLE_SEARCH_INTERVAL_US;
        return false;
    }

    /** Enforces the limit on descriptors: evicts connections that can be closed without losing a job, or suspends accepting. */
    void enforceDescriptorLimit() {
        int limit = budget.maxAcceptedConnections(workerConnections.getAsInt());
        for (var victim = findVictim(); connections.size() > limit && victim.isPresent(); victim = findVictim()) {
            evict(victim.get());
        }
        // Once suspended, accepting resumes as soon as one connection can be evicted for the next. Otherwise idle
        // connections would keep every new one out.
        acceptor.setDescriptorLimitReached(connections.size() > limit
            || connections.size() == limit && acceptor.isDescriptorLimitReached() && findCheapest().isEmpty());
    }

    /**
     * The connection with the lowest eviction cost, the least recently used one among equals; empty if every eviction would
     * lose a job. New clients then wait in the kernel's backlog until jobs in progress get their responses.
     */
    private Optional<InboundConnection> findVictim() {
        return connections.size() <= budget.maxAcceptedConnections(workerConnections.getAsInt()) ? Optional.empty() : findCheapest();
    }

    private Optional<InboundConnection> findCheapest() {
        long now = loop.nowUs();
        InboundConnection best = null;
        int lowestCost = InboundConnection.COST_REQUEST_EXPECTED;
        for (InboundConnection connection : connections) {
            int cost = connection.evictionCost(now);
            if (cost < lowestCost) {
                lowestCost = cost;
                best = connection;
            }
        }
        return Optional.ofNullable(best);
    }

    private void evict(InboundConnection victim) {
        invariants.count("ingress closed at the cap");
        connections.remove(victim);
        if (victim.carriesJobs) {
            victim.carriesJobs = false;
            clientConnections--;
        }
        if (victim.isIdleKeepAlive() && lingeringEvicted.size() < MAX_LINGERING_EVICTED) {
            lingeringEvicted.add(victim);
            closer.close(victim, CloseReason.EVICTED);
        } else {
            closer.recordClose(victim, CloseReason.EVICTED);
            victim.advanceTo(Phase.CLOSED);
            victim.transportConnection.closeSilently();
        }
    }

    /** A copy of the table, for loops that may close connections. */
    List<InboundConnection> snapshot() {
        return new ArrayList<>(connections);
    }

    /** The number of open connections, excluding evicted ones. */
    int size() {
        return connections.size();
    }

    /** Whether the only connections left are workers' callback connections without a request in progress. */
    boolean hasOnlyIdleCallbackConnections() {
        return lingeringEvicted.isEmpty() && connections.stream().allMatch(connection -> connection.isInactive() && connection.carriesCallbacks);
    }
}
