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
 * All accepted connections, least recently used first, within the limits on descriptors and on clients' connections. Evicts
 * connections whose end harms nobody, and stops accepting where there are none. Belongs to the loop.
 */
final class ConnectionTable {
    /** After no idle client was found, none is searched for again for so long: a burst of jobs must not scan the table for each. */
    private static final long IDLE_SEARCH_INTERVAL_US = 50_000;
    /** Evicted connections that may linger at a time. Their descriptors come on top of the limit, out of the process's own. */
    private static final int MAX_LINGERING_EVICTED = 16;

    private final Loop loop;
    private final Invariants invariants;
    private final ResourceBudget room;
    private final IntSupplier workerLinks;
    private final Acceptor door;
    private final ConnectionCloser closer;
    private final Set<InboundConnection> connections = new LinkedHashSet<>();
    /** Evicted connections that still linger. */
    private final Set<InboundConnection> lingeringEvicted = new LinkedHashSet<>();
    /** Connections that brought a job. */
    private int clientConnections;
    private long nextIdleSearchUs;

    ConnectionTable(Loop loop, Invariants invariants, ResourceBudget room, IntSupplier workerLinks, Acceptor door, ConnectionCloser closer) {
        this.loop = loop;
        this.invariants = invariants;
        this.room = room;
        this.workerLinks = workerLinks;
        this.door = door;
        this.closer = closer;
    }

    /** Adds an accepted connection. */
    void add(InboundConnection c) {
        connections.add(c);
        enforceDescriptorLimit();
    }

    /** Removes a closed connection. */
    void remove(InboundConnection c) {
        connections.remove(c);
        if (c.carriesJobs) {
            clientConnections--;
        }
        lingeringEvicted.remove(c);
        if (door.isDescriptorLimitReached()) {
            enforceDescriptorLimit();
        }
    }

    /** Makes a connection the most recently used one. */
    void markUsed(InboundConnection c) {
        connections.remove(c);
        connections.add(c);
    }

    /** Counts a connection as a client's. */
    void markClientConnection(InboundConnection c) {
        if (!c.carriesJobs) {
            c.carriesJobs = true;
            clientConnections++;
        }
    }

    /** Whether clients have as many connections as they may. */
    boolean isClientLimitReached() {
        return clientConnections >= room.maxClientConnections();
    }

    /** Whether new connections wait in the kernel for a descriptor. */
    boolean isDescriptorLimitReached() {
        return door.isDescriptorLimitReached();
    }

    /** Evicts the client's connection that has been idle longest, so that another may bring a job; false where there is none. */
    boolean evictIdleClient() {
        long now = loop.nowUs();
        if (now < nextIdleSearchUs) {
            return false;
        }
        for (InboundConnection c : connections) {
            if (c.carriesJobs && c.isIdleKeepAlive() && !c.isClosing() && c.evictionCost(now) < InboundConnection.COST_REQUEST_EXPECTED) {
                invariants.count("ingress made way for a job");
                evict(c);
                return true;
            }
        }
        nextIdleSearchUs = now + IDLE_SEARCH_INTERVAL_US;
        return false;
    }

    /** Keeps within the limit on descriptors: evicts connections as far as that harms nobody, and else stops accepting. */
    void enforceDescriptorLimit() {
        int limit = room.maxAcceptedConnections(workerLinks.getAsInt());
        for (var victim = findVictim(); connections.size() > limit && victim.isPresent(); victim = findVictim()) {
            evict(victim.get());
        }
        // Once it is shut the door opens where a connection may make way for the next: idle ones would keep everybody out.
        door.setDescriptorLimitReached(connections.size() > limit || connections.size() == limit && door.isDescriptorLimitReached() && findCheapest().isEmpty());
    }

    /**
     * The connection that costs least to end, of several such the least recently used; empty where each would lose a job.
     * New clients then wait in the kernel: those with a job under way get their answers first.
     */
    private Optional<InboundConnection> findVictim() {
        return connections.size() <= room.maxAcceptedConnections(workerLinks.getAsInt()) ? Optional.empty() : findCheapest();
    }

    private Optional<InboundConnection> findCheapest() {
        long now = loop.nowUs();
        InboundConnection best = null;
        int lowestCost = InboundConnection.COST_REQUEST_EXPECTED;
        for (InboundConnection c : connections) {
            int cost = c.evictionCost(now);
            if (cost < lowestCost) {
                lowestCost = cost;
                best = c;
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

    /** A copy of the table, for loops that may end connections. */
    List<InboundConnection> snapshot() {
        return new ArrayList<>(connections);
    }

    /** Open connections, without those that were evicted. */
    int size() {
        return connections.size();
    }

    /** Whether all that is left are workers' connections without a request under way. */
    boolean hasOnlyIdleCallbackConnections() {
        return lingeringEvicted.isEmpty() && connections.stream().allMatch(c -> c.isInactive() && c.carriesCallbacks);
    }
}
