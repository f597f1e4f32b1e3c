package hookweir.net;

import hookweir.config.Config;
import hookweir.net.server.HttpServer;
import hookweir.net.upgrade.PeerProcesses;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.room.ResourceBudget;

/**
 * This process's share of descriptors and memory, which all processes of a scheduler share on one machine. Belongs to the
 * {@link Loop}.
 */
final class ProcessResources {
    /**
     * Descriptors reserved for other uses than clients' and workers' connections: the JVM, operators, the list service, lingering
     * connections, and those accepted or closed within one round of I/O.
     */
    private static final int MIN_RESERVED_DESCRIPTORS = 80;
    /**
     * At least one in this many descriptors is reserved: the more descriptors there are, the more connections many clients can have
     * closed whose descriptors are not released yet.
     */
    private static final int RESERVED_DIVISOR = 6;
    /** The same for one of several peer processes, which serve side by side only for a short time. */
    private static final int RESERVED_DESCRIPTORS_WITH_PEERS = 48;
    private static final int MIN_DESCRIPTORS = 16;

    private final ResourceBudget budget;
    private final WorkerConnectionPool workerConnections;
    private final HttpServer server;
    private final PeerProcesses succession;
    private final int maxDescriptors;
    private long maxHeldBytes;
    private int maxHeldJobs;

    ProcessResources(Config config, ResourceBudget budget, WorkerConnectionPool workerConnections, HttpServer server, PeerProcesses succession) {
        this.budget = budget;
        this.workerConnections = workerConnections;
        this.server = server;
        this.succession = succession;
        maxDescriptors = config.maxDescriptors();
        setLimits(config);
    }

    /** Sets the limits of a configuration; {@link #update} has to follow. */
    void setLimits(Config config) {
        maxHeldBytes = config.maxHeldBytes();
        maxHeldJobs = config.maxHeldJobs();
    }

    private int reservedDescriptors(int processes) {
        return processes > 1 ? RESERVED_DESCRIPTORS_WITH_PEERS : Math.max(MIN_RESERVED_DESCRIPTORS, maxDescriptors / RESERVED_DIVISOR);
    }

    /** Divides the limits by the number of processes and enforces them. */
    void update() {
        int processes = 1 + succession.peerCount();
        budget.setLimits(maxHeldBytes / processes, maxHeldJobs / processes);
        budget.setMaxDescriptors(Math.max(MIN_DESCRIPTORS, maxDescriptors / processes - reservedDescriptors(processes)));
        workerConnections.enforceDescriptorLimit();
        server.enforceDescriptorLimit();
    }
}
