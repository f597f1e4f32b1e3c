package hookweir.net;

import hookweir.Contract;
import hookweir.net.admin.Metrics;
import hookweir.net.server.HttpServer;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.room.ResourceBudget;

/** Reports at intervals what the process holds: to the log, and to operators' figures. Belongs to the {@link Loop}. */
final class StatusReporter {
    private static final long LOG_INTERVAL_US = 10_000_000;
    private static final long US_PER_MS = 1_000;
    private static final long PUBLISH_INTERVAL_US = 200_000;

    private final Loop loop;
    private final Invariants invariants;
    private final Metrics figures;
    private final ResourceBudget budget;
    private final HttpServer ingress;
    private final WorkerConnectionPool egress;
    private final PendingRequests pending;
    private final Contract.Dispatcher module;
    private final Membership membership;

    StatusReporter(Loop loop, Invariants invariants, Metrics figures, ResourceBudget room, HttpServer ingress, WorkerConnectionPool egress, PendingRequests held,
            Contract.Dispatcher module, Membership membership) {
        this.loop = loop;
        this.invariants = invariants;
        this.figures = figures;
        this.budget = room;
        this.ingress = ingress;
        this.egress = egress;
        this.pending = held;
        this.module = module;
        this.membership = membership;
    }

    /** Begins to report. */
    void start() {
        loop.schedule(LOG_INTERVAL_US, this::logRegularly);
        publishRegularly();
    }

    private void logRegularly() {
        Log.line("held=" + pending.size() + " ingress=" + ingress.connectionCount() + " egress=" + egress.connectionCount() + " bytes=" + budget.heldBytes()
            + " timers=" + loop.timerCount() + " " + invariants);
        loop.schedule(LOG_INTERVAL_US, this::logRegularly);
    }

    private void publishRegularly() {
        publish();
        loop.schedule(PUBLISH_INTERVAL_US, this::publishRegularly);
    }

    /** Publishes the figures. The module is asked here, so that no operator waits for the loop. */
    void publish() {
        figures.setHeld(budget.heldBytes(), budget.maxBytes(), budget.heldJobs(), budget.maxJobs());
        figures.setListLease(membership.leaseRemainingUs() / US_PER_MS);
        figures.setWorkers(egress.workerCount(), module.excludedWorkerCount(loop.nowUs()));
    }
}
