package hookweir.net.server;

import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.server.IngressConnection.Phase;
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
    private final Door door;
    private final ConnectionCloser closer;
    private final Set<IngressConnection> connections = new LinkedHashSet<>();
    /** Evicted connections that still linger. */
    private final Set<IngressConnection> lingeringEvicted = new LinkedHashSet<>();
    /** Connections that brought a job. */
    private int clients;
    private long noneIdleUntilUs;

    ConnectionTable(Loop loop, Invariants invariants, ResourceBudget room, IntSupplier workerLinks, Door door, ConnectionCloser closer) {
        this.loop = loop;
        this.invariants = invariants;
        this.room = room;
        this.workerLinks = workerLinks;
        this.door = door;
        this.closer = closer;
    }

    /** Adds an accepted connection. */
    void opened(IngressConnection c) {
        connections.add(c);
        fit();
    }

    /** Removes a closed connection. */
    void closed(IngressConnection c) {
        connections.remove(c);
        if (c.carriesJobs) {
            clients--;
        }
        lingeringEvicted.remove(c);
        if (door.isFull()) {
            fit();
        }
    }

    /** Makes a connection the most recently used one. */
    void used(IngressConnection c) {
        connections.remove(c);
        connections.add(c);
    }

    /** Counts a connection as a client's. */
    void carriesJobs(IngressConnection c) {
        if (!c.carriesJobs) {
            c.carriesJobs = true;
            clients++;
        }
    }

    /** Whether clients have as many connections as they may. */
    boolean clientLimitReached() {
        return clients >= room.maxClientConnections();
    }

    /** Whether new connections wait in the kernel for a descriptor. */
    boolean isFull() {
        return door.isFull();
    }

    /** Evicts the client's connection that has been idle longest, so that another may bring a job; false where there is none. */
    boolean evictIdleClient() {
        long now = loop.nowUs();
        if (now < noneIdleUntilUs) {
            return false;
        }
        for (IngressConnection c : connections) {
            if (c.carriesJobs && c.resting() && !c.closing() && c.cost(now) < IngressConnection.YOUNG) {
                invariants.count("ingress made way for a job");
                evict(c);
                return true;
            }
        }
        noneIdleUntilUs = now + IDLE_SEARCH_INTERVAL_US;
        return false;
    }

    /** Keeps within the limit on descriptors: evicts connections as far as that harms nobody, and else stops accepting. */
    void fit() {
        int limit = room.maxAcceptedConnections(workerLinks.getAsInt());
        for (var victim = findVictim(); connections.size() > limit && victim.isPresent(); victim = findVictim()) {
            evict(victim.get());
        }
        // Once it is shut the door opens where a connection may make way for the next: idle ones would keep everybody out.
        door.full(connections.size() > limit || connections.size() == limit && door.isFull() && cheapest().isEmpty());
    }

    /**
     * The connection that costs least to end, of several such the least recently used; empty where each would lose a job.
     * New clients then wait in the kernel: those with a job under way get their answers first.
     */
    private Optional<IngressConnection> findVictim() {
        return connections.size() <= room.maxAcceptedConnections(workerLinks.getAsInt()) ? Optional.empty() : cheapest();
    }

    private Optional<IngressConnection> cheapest() {
        long now = loop.nowUs();
        IngressConnection best = null;
        int leastCost = IngressConnection.YOUNG;
        for (IngressConnection c : connections) {
            int cost = c.cost(now);
            if (cost < leastCost) {
                leastCost = cost;
                best = c;
            }
        }
        return Optional.ofNullable(best);
    }

    private void evict(IngressConnection victim) {
        invariants.count("ingress closed at the cap");
        connections.remove(victim);
        if (victim.carriesJobs) {
            victim.carriesJobs = false;
            clients--;
        }
        if (victim.resting() && lingeringEvicted.size() < MAX_LINGERING_EVICTED) {
            lingeringEvicted.add(victim);
            closer.close(victim, CloseReason.EVICTED);
        } else {
            closer.closing(victim, CloseReason.EVICTED);
            victim.enter(Phase.CLOSED);
            victim.connection.closeSilently();
        }
    }

    /** A copy of the table, for loops that may end connections. */
    List<IngressConnection> snapshot() {
        return new ArrayList<>(connections);
    }

    /** Open connections, without those that were evicted. */
    int size() {
        return connections.size();
    }

    /** Whether all that is left are workers' connections without a request under way. */
    boolean isQuiet() {
        return lingeringEvicted.isEmpty() && connections.stream().allMatch(c -> c.isQuiet() && c.carriesCallbacks);
    }
}
