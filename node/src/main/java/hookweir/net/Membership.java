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
 * The list of workers as this process has it: reads it from the list service and passes it on to the decision module and to the
 * connections to workers. Until {@link ListLease} has a list, the module knows of no worker and holds what comes; while
 * the lease is over, it sends nothing. Belongs to the {@link Loop}.
 */
final class Membership implements WorkerListClient.Listener {
    /**
     * How long a start waits for a list service that is asked and neither answers nor refuses, in µs. A start has to be ready within
     * 6 s, of which the process itself takes 1 to 2.
     */
    private static final long POLL_START_TIMEOUT_US = 4_000_000;
    /** The same for an agent on this machine, which answers at once or is silent while it has nobody to ask itself. */
    private static final long PUSH_START_TIMEOUT_US = 500_000;

    private final Loop loop;
    private final Invariants invariants;
    private final EventLog events;
    private final WorkerConnectionPool egress;
    private final Contract.Dispatcher module;
    private final Runnable onReady;
    private final ListUpdate.Parser parser;
    private final WorkerListClient discovery;
    private final ListLease lease;
    private TimerWheel.Timer expiryTimer;
    /** As the module was told last. */
    private boolean leaseValid;
    /** The start is over: lists are passed on as they come. */
    private boolean started;
    /** What is passed on as the start ends: the list as last held, and what came before the whole list, where that is waited for. */
    private final List<ListUpdate> pendingUpdates = new ArrayList<>();
    private boolean listPushed;

    /**
     * @param onReady runs once, as requests may be sent from then on
     */
    Membership(Config config, Loop loop, Connector dialer, Invariants invariants, EventLog events, WorkerConnectionPool egress, Contract.Dispatcher module,
            Runnable onReady) {
        this.loop = loop;
        this.invariants = invariants;
        this.events = events;
        this.egress = egress;
        this.module = module;
        this.onReady = onReady;
        lease = new ListLease(!config.settings().policySettings.pollList);
        applySettings(config.settings());
        parser = new ListUpdate.Parser(config.settings().zoneNames, config.settings().kindNames, invariants, loop::nowUs);
        discovery = new WorkerListClient(loop, dialer, config.listServiceAddress(), parser, invariants, events, () -> listPushed, this);
    }

    /** Takes over what the settings say of the list. */
    void applySettings(SettingsMapping mapped) {
        listPushed = !mapped.policySettings.pollList;
        lease.setListsPushed(listPushed);
    }

    /** Begins with the list as last held, by which nothing is sent yet, and asks for the present one. */
    void start(Config config) {
        ListUpdate known = config.cachedWorkerList() == null ? null : parser.parse(config.cachedWorkerList());
        boolean usable = known != null && !known.entries().isEmpty();
        pendingUpdates.add(new ListUpdate(0, true, usable ? known.entries() : List.of()));
        // Where nothing is held, changes to it would be no list.
        discovery.setKnownVersion(listPushed || !usable ? WorkerListClient.UNKNOWN_VERSION : known.version());
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

    /** Goes over to another address of the list service. */
    void moveTo(InetSocketAddress to) {
        if (to.equals(discovery.address())) {
            return;
        }
        discovery.moveTo(to);
        lease.serviceMoved(loop.nowUs());
        updateLease();
    }

    /** An attempt may begin: what is known of the workers is not out of date. */
    boolean mayStartAttempt() {
        return lease.isValidAt(loop.nowUs());
    }

    /** How long attempts may still begin if the list service says nothing any more, in µs; 0 if they may not. */
    long leaseRemainingUs() {
        return Math.max(0, lease.expiresAtUs() - loop.nowUs());
    }

    /** Tells the module until when attempts may begin, and notes when they may not any more. */
    private void updateLease() {
        long now = loop.nowUs();
        boolean permits = lease.isValidAt(now);
        if (permits != leaseValid) {
            leaseValid = permits;
            invariants.count(permits ? "list lease renewed" : "list lease over");
            events.log(() -> permits ? "list lease renewed: attempts may begin" : "list lease over: no attempt begins");
        }
        if (expiryTimer != null) {
            expiryTimer.cancel();
        }
        if (permits) {
            expiryTimer = loop.schedule(lease.expiresAtUs() - now, this::updateLease);
        }
        module.listLeaseChanged(now, lease.expiresAtUs());
    }

    /** Starts or ends the watch. */
    void watch(boolean on) {
        discovery.watch(on);
    }

    /** Asks for the whole list once. */
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
                pendingUpdates.subList(1, pendingUpdates.size()).clear(); // the list as last held tells which starts are news
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

    /** Passes on what was held back, where the start has come to its end. */
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
            forwardUpdate(pendingUpdates.remove(0)); // it only tells which of the whole list's starts are news
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
        Set<Integer> named = new HashSet<>();
        for (ListUpdate.Entry entry : update.entries()) {
            workers.add(entry.worker());
            named.add(entry.worker().id);
            egress.applyUpdate(entry.worker().id, entry.name(), entry.address(), entry.worker().state);
        }
        if (update.full()) {
            egress.retainOnly(named);
        }
        module.workerListReceived(loop.nowUs(), !update.full(), workers);
    }
}
