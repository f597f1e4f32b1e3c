package hookweir.net;

import hookweir.Contract;
import hookweir.net.admin.ServingState;
import hookweir.net.server.HttpServer;
import hookweir.shutdown.ShutdownWindow;
import hookweir.timer.TimerWheel;

/**
 * Closes clients' connections between requests while an operator, a successor process or a shutdown requires it, and stops the
 * loop during a shutdown once no request is pending. Belongs to the {@link Loop}.
 */
final class Shutdown {
    /** The earliest exit after the signal, if there is that much time: clients still connect for 0.4 s. */
    private static final long MIN_DRAIN_US = 900_000;
    private static final long EXIT_POLL_US = 50_000;
    private static final long US_PER_MS = 1_000;

    private final Loop loop;
    private final Invariants invariants;
    private final ActiveSettings active;
    private final ServingState standing;
    private final HttpServer server;
    private final JobAdmission admission;
    private final PendingRequests pending;
    private final Contract.Dispatcher module;
    private boolean draining;
    private long startedUs;
    /** When every request needs its response; it only moves to earlier times. */
    private long respondByUs;
    private TimerWheel.Timer respondByTimer;
    private boolean timeOver;
    /** A successor process has taken over the clients. */
    private boolean successorServing;

    Shutdown(Loop loop, Invariants invariants, ActiveSettings active, ServingState standing, HttpServer server,
            JobAdmission admission, PendingRequests pending, Contract.Dispatcher module) {
        this.loop = loop;
        this.invariants = invariants;
        this.active = active;
        this.standing = standing;
        this.server = server;
        this.admission = admission;
        this.pending = pending;
        this.module = module;
    }

    /** Called when a successor process has taken over the clients (true) or has ended (false). */
    void setSuccessorServing(boolean serving) {
        if (serving != successorServing) {
            successorServing = serving;
            standing.setSuccessorServing(serving);
            server.setAccepting(!serving);
            updateClientDraining();
        }
    }

    /** Starts or stops draining the clients, according to operators, successor processes and signals. Does not undo a shutdown. */
    void updateClientDraining() {
        boolean drainClients = standing.isQuiesced() || draining || successorServing;
        invariants.count(drainClients ? "clients sent away" : "clients welcome");
        server.setDraining(drainClients);
    }

    /**
     * Handles SIGTERM: closes clients' connections between requests, so that clients switch to other schedulers, lets the module
     * reject the requests that it can't complete, and stops the loop once no request is pending.
     */
    void drain() {
        if (draining) {
            return;
        }
        draining = true;
        standing.startShutdown();
        int pendingBefore = pending.size();
        startedUs = loop.nowUs();
        server.setDraining(true);
        setRespondBy(startedUs + responseWindowUs());
        Log.line("draining, held=" + pendingBefore + ", of them let go at once " + pending.respondedCount() + ", the rest ends within "
            + responseWindowUs() / US_PER_MS + " ms");
        loop.schedule(Math.min(MIN_DRAIN_US, responseWindowUs()), this::exitWhenIdle);
    }

    /**
     * Called after a reload. If it shortens the longest deadline during a shutdown, less time is left. If it extends the deadline, the time
     * stays as it was: the platform may have scheduled the end of this process by the earlier settings.
     */
    void settingsChanged() {
        if (draining && startedUs + responseWindowUs() < respondByUs) {
            setRespondBy(startedUs + responseWindowUs());
            Log.line("draining, what is left ends within " + responseWindowUs() / US_PER_MS + " ms after the signal");
        }
    }

    private long responseWindowUs() {
        return ShutdownWindow.responseWindowUs(active.settings().longestDeadlineUs);
    }

    private void setRespondBy(long us) {
        respondByUs = us;
        module.shutdownStarted(loop.nowUs(), us);
        if (respondByTimer != null) {
            respondByTimer.cancel();
        }
        respondByTimer = loop.schedule(us - loop.nowUs(), this::respondByReached);
    }

    /** Every request that the module has got its response by now; what it does not know yet is refused here. */
    private void respondByReached() {
        timeOver = true;
        admission.endClaims();
        server.refuseUnfinishedJobs();
    }

    private void exitWhenIdle() {
        if (timeOver) {
            server.refuseUnfinishedJobs();
        }
        // Attempts that can't be cancelled don't keep a process whose clients have all their responses.
        boolean finished = timeOver ? pending.isEveryRequestAnswered() : pending.isEmpty();
        if (finished && server.isDrained()) {
            // Clients that connect from now on wait in the backlog of an inherited socket for the successor process.
            server.setAccepting(false);
            Log.line("idle " + (loop.nowUs() - startedUs) / US_PER_MS + " ms after the signal, leaving; " + invariants);
            loop.stop();
        } else {
            loop.schedule(EXIT_POLL_US, this::exitWhenIdle);
        }
    }
}
