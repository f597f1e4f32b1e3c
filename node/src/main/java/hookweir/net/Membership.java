package hookweir.net;

import hookweir.Contract;
import hookweir.config.Config;
import hookweir.config.SettingsMapping;
import hookweir.membership.ListCallFailure;
import hookweir.membership.ListLease;
import hookweir.net.discovery.ListUpdate;
import hookweir.net.discovery.WorkerListClient;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.timer.TimerWheel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The worker list of this process. Receives it from the list service and forwards it to the decision module and to the
 * connections to workers. Until {@link ListLease} has a list, the module knows no worker and queues all requests; while
 * the lease has expired, it sends nothing to workers. Belongs to the {@link Loop}.
 */
final class Membership implements WorkerListClient.Listener {
    /**
     * How long a start waits for a polled list service that neither responds nor refuses the connection, in µs. A start has to be
     * ready within 6 s, of which the process itself takes 1 to 2.
     */
    private static final long POLL_START_TIMEOUT_US = 4_000_000;
    /** The same for a local agent that pushes the list; it responds at once, or not at all while its own source is unreachable. */
    private static final long PUSH_START_TIMEOUT_US = 500_000;

    private final Loop loop;
    private final Invariants invariants;
    private final EventLog events;
    private final WorkerConnectionPool workerConnections;
    private final Contract.Dispatcher module;
    private final Runnable onReady;
    private final ListUpdate.Parser parser;
    private final WorkerListClient discovery;
    private final ListLease lease;
    private TimerWheel.Timer expiryTimer;
    /** Whether the lease was valid when the module was last notified. */
    private boolean leaseValid;
    /** The start is complete: updates are applied as they arrive. */
    private boolean started;
    /** Updates applied when the start completes: the cached worker list, then those received before the full list. */
    private final List<ListUpdate> pendingUpdates = new ArrayList<>();
    private boolean listPushed;

    /**
     * @param onReady runs once, when requests may be sent
     */
    Membership(Config config, Loop loop, Connector connector, Invariants invariants, EventLog events, WorkerConnectionPool workerConnections,
            Contract.Dispatcher module, Runnable onReady) {
        this.loop = loop;
        this.invariants = invariants;
        this.events = events;
        this.workerConnections = workerConnections;
        this.module = module;
        this.onReady = onReady;
        lease = new ListLease(!config.settings().policySettings.pollList);
        applySettings(config.settings());
        parser = new ListUpdate.Parser(config.settings().zoneNames, config.settings().kindNames, invariants, loop::nowUs);
        discovery = new WorkerListClient(loop, connector, config.listServiceAddress(), parser, invariants, events, () -> listPushed, this);
    }

    /** Applies the settings of the worker list. */
    void applySettings(SettingsMapping mapped) {
        listPushed = !mapped.policySettings.pollList;
        lease.setListsPushed(listPushed);
    }

    /** Loads the cached worker list, which is not used for sending yet, and requests the current one. */
    void start(Config config) {
        ListUpdate cached = config.cachedWorkerList() == null ? null : parser.parse(config.cachedWorkerList());
        boolean usable = cached != null && !cached.entries().isEmpty();
        pendingUpdates.add(new ListUpdate(0, true, usable ? cached.entries() : List.of()));
        // Without a cached list, changes alone would not make up a list.
        discovery.setKnownVersion(listPushed || !usable ? WorkerListClient.UNKNOWN_VERSION : cached.version());
        updateLease();
        module.workerListReceived(loop.nowUs(), false, List.of());
        if (listPushed) {
            discovery.watch(true);
        }
        loop.schedule(listPushed ? PUSH_START_TIMEOUT_US : POLL_START_TIMEOUT_US, () -> {
            lease.startTimeoutReached(loop.nowUs());
            updateLease();
            finishStart();
        });
    }

    /** Switches to another address of the list service. */
    void moveTo(InetSocketAddress to) {
        if (to.equals(discovery.address())) {
            return;
        }
        discovery.moveTo(to);
        lease.serviceMoved(loop.nowUs());
        updateLease();
    }

    /** Returns whether the worker list is fresh enough to start an attempt. */
    boolean mayStartAttempt() {
        return lease.isValidAt(loop.nowUs());
    }

    /** Returns the time until the lease on the list expires, in µs; 0 if it has expired. */
    long leaseRemainingUs() {
        return Math.max(0, lease.expiresAtUs() - loop.nowUs());
    }

    /** Notifies the module of the expiry of the lease, and logs when the lease is renewed or expires. */
    private void updateLease() {
        long now = loop.nowUs();
        boolean valid = lease.isValidAt(now);
        if (valid != leaseValid) {
            leaseValid = valid;
            invariants.count(valid ? "list lease renewed" : "list lease over");
            events.log(() -> valid ? "list lease renewed: attempts may begin" : "list lease over: no attempt begins");
        }
        if (expiryTimer != null) {
            expiryTimer.cancel();
        }
        if (valid) {
            expiryTimer = loop.schedule(lease.expiresAtUs() - now, this::updateLease);
        }
        module.listLeaseChanged(now, lease.expiresAtUs());
    }

    /** Starts or stops the watch. */
    void watch(boolean on) {
        discovery.watch(on);
    }

    /** Requests the full list once. */
    void fetch() {
        discovery.fetchWholeList();
    }

    @Override
    public void listReceived(ListUpdate update, boolean complete) {
        if (complete) {
            renewLease();
        }
        if (!started) {
            if (update.full()) {
                pendingUpdates.subList(1, pendingUpdates.size()).clear(); // keep the cached list, which shows which worker starts are new
            }
            pendingUpdates.add(update);
        } else {
            applyUpdate(update);
        }
        finishStart();
    }

    @Override
    public void upToDate() {
        renewLease();
        finishStart();
    }

    private void renewLease() {
        lease.confirmed(loop.earliestArrivalUs());
        updateLease();
    }

    @Override
    public void listCallFailed(ListCallFailure failure, long startedUs) {
        invariants.count("list calls failed " + failure);
        lease.callFailed(failure, startedUs);
        updateLease();
        finishStart();
        loop.post(() -> module.workerListFailed(loop.nowUs(), failure));
    }

    /** Applies the pending updates, unless the lease still waits for a list. */
    private void finishStart() {
        if (started || lease.isPending()) {
            return;
        }
        started = true;
        if (lease.phase() == ListLease.Phase.CACHED) {
            invariants.count("starts by the list as last held");
            Log.line(mayStartAttempt() ? "the list service can't be reached: serving by the list as last held"
                : "the list service does not answer: taking requests, but sending none to workers before it has");
        }
        if (pendingUpdates.size() > 1 && pendingUpdates.get(1).full()) {
            forwardUpdate(pendingUpdates.remove(0)); // it only shows which worker starts in the full list are new
        }
        pendingUpdates.forEach(this::applyUpdate);
        pendingUpdates.clear();
        onReady.run();
    }

    private void applyUpdate(ListUpdate update) {
        invariants.count("list updates");
        events.log(() -> "list version " + update.version() + (update.full() ? ", whole, " : ", changes, ") + update.entries().size() + " entries");
        forwardUpdate(update);
    }

    private void forwardUpdate(ListUpdate update) {
        List<Contract.Worker> workers = new ArrayList<>();
        Set<Integer> listedIds = new HashSet<>();
        for (ListUpdate.Entry entry : update.entries()) {
            workers.add(entry.worker());
            listedIds.add(entry.worker().id);
            workerConnections.applyUpdate(entry.worker().id, entry.name(), entry.address(), entry.worker().state);
        }
        if (update.full()) {
            workerConnections.retainOnly(listedIds);
        }
        module.workerListReceived(loop.nowUs(), !update.full(), workers);
    }
}
