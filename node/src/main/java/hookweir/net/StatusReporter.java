package hookweir.net;

import hookweir.Contract;
import hookweir.net.admin.Metrics;
import hookweir.net.server.HttpServer;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.room.ResourceBudget;

/** Periodically logs the state of the process and publishes it as metrics. Belongs to the {@link Loop}. */
final class StatusReporter {
    private static final long LOG_INTERVAL_US = 10_000_000;
    private static final long US_PER_MS = 1_000;
    private static final long PUBLISH_INTERVAL_US = 200_000;

    private final Loop loop;
    private final Invariants invariants;
    private final Metrics metrics;
    private final ResourceBudget budget;
    private final HttpServer server;
    private final WorkerConnectionPool workerConnections;
    private final PendingRequests pending;
    private final Contract.Dispatcher module;
    private final Membership membership;

    StatusReporter(Loop loop, Invariants invariants, Metrics metrics, ResourceBudget budget, HttpServer server,
            WorkerConnectionPool workerConnections, PendingRequests pending, Contract.Dispatcher module, Membership membership) {
        this.loop = loop;
        this.invariants = invariants;
        this.metrics = metrics;
        this.budget = budget;
        this.server = server;
        this.workerConnections = workerConnections;
        this.pending = pending;
        this.module = module;
        this.membership = membership;
    }

    /** Starts reporting. */
    void start() {
        loop.schedule(LOG_INTERVAL_US, this::logRegularly);
        publishRegularly();
    }

    private void logRegularly() {
        Log.line("held=" + pending.size() + " ingress=" + server.connectionCount() + " egress=" + workerConnections.connectionCount() + " bytes="
            + budget.heldBytes() + " timers=" + loop.timerCount() + " " + invariants);
        loop.schedule(LOG_INTERVAL_US, this::logRegularly);
    }

    private void publishRegularly() {
        publish();
        loop.schedule(PUBLISH_INTERVAL_US, this::publishRegularly);
    }

    /** Publishes the metrics. The module is queried here, so that serving metrics never waits for the loop. */
    void publish() {
        metrics.setHeld(budget.heldBytes(), budget.maxBytes(), budget.heldJobs(), budget.maxJobs());
        metrics.setPausedConnections(server.pausedConnectionCount());
        metrics.setListLease(membership.leaseRemainingUs() / US_PER_MS);
        metrics.setWorkers(workerConnections.workerCount(), module.excludedWorkerCount(loop.nowUs()));
    }
}
