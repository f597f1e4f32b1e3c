package hookweir.net;

import hookweir.config.Config;
import hookweir.net.server.HttpServer;
import hookweir.net.upgrade.PeerProcesses;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.room.ResourceBudget;

/**
 * This process's share of descriptors and memory: all processes of a scheduler share one machine. Belongs to the
 * {@link Loop}.
 */
final class ProcessResources {
    /** Beside clients and links: the JVM's own, operators', discovery's, those that linger, and those let in or ended in a round. */
    private static final int MIN_RESERVED_DESCRIPTORS = 80;
    /** Of all descriptors, at least: the more there are, the more connections a crowd has ended that are not given back yet. */
    private static final int RESERVED_DIVISOR = 6;
    /** The same for one of several processes, which serve side by side for a short while only. */
    private static final int RESERVED_DESCRIPTORS_WITH_PEERS = 48;
    private static final int MIN_DESCRIPTORS = 16;

    private final ResourceBudget budget;
    private final WorkerConnectionPool egress;
    private final HttpServer ingress;
    private final PeerProcesses succession;
    private final int maxDescriptors;
    private long maxHeldBytes;
    private int maxHeldJobs;

    ProcessResources(Config config, ResourceBudget room, WorkerConnectionPool egress, HttpServer ingress, PeerProcesses succession) {
        this.budget = room;
        this.egress = egress;
        this.ingress = ingress;
        this.succession = succession;
        maxDescriptors = config.maxDescriptors();
        setLimits(config);
    }

    /** Takes over the limits of a configuration; an update is to follow. */
    void setLimits(Config config) {
        maxHeldBytes = config.maxHeldBytes();
        maxHeldJobs = config.maxHeldJobs();
    }

    private int reservedDescriptors(int processes) {
        return processes > 1 ? RESERVED_DESCRIPTORS_WITH_PEERS : Math.max(MIN_RESERVED_DESCRIPTORS, maxDescriptors / RESERVED_DIVISOR);
    }

    /** Divides the limits by the number of processes, and keeps within them. */
    void update() {
        int processes = 1 + succession.peerCount();
        budget.setLimits(maxHeldBytes / processes, maxHeldJobs / processes);
        budget.setMaxDescriptors(Math.max(MIN_DESCRIPTORS, maxDescriptors / processes - reservedDescriptors(processes)));
        egress.enforceDescriptorLimit();
        ingress.enforceDescriptorLimit();
    }
}
