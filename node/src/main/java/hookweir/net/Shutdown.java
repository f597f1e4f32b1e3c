package hookweir.net;

import hookweir.Contract;
import hookweir.net.admin.ServingState;
import hookweir.net.server.HttpServer;

/**
 * Closes clients' connections between requests while an operator, a successor process or a shutdown requires it, and stops the
 * loop during a shutdown once no request is pending. Belongs to the {@link Loop}.
 */
final class Shutdown {
    /** SIGKILL follows SIGTERM after 3.7 s at the earliest; jobs that can still be run elsewhere are released before that. */
    private static final long RETRY_WINDOW_US = 3_500_000;
    private static final long MIN_DRAIN_US = 900_000;
    private static final long EXIT_POLL_US = 50_000;

    private final Loop loop;
    private final Invariants invariants;
    private final ServingState standing;
    private final HttpServer server;
    private final PendingRequests pending;
    private final Contract.Dispatcher module;
    private boolean draining;
    /** A successor process has taken over the clients. */
    private boolean successorServing;

    Shutdown(Loop loop, Invariants invariants, ServingState standing, HttpServer server, PendingRequests pending, Contract.Dispatcher module) {
        this.loop = loop;
        this.invariants = invariants;
        this.standing = standing;
        this.server = server;
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
        long startedUs = loop.nowUs();
        server.setDraining(true);
        module.shutdownStarted(startedUs, startedUs + RETRY_WINDOW_US);
        Log.line("draining, held=" + pendingBefore + ", of them let go at once " + pending.respondedCount() + ", the rest ends within "
            + RETRY_WINDOW_US / 1000 + " ms");
        loop.schedule(MIN_DRAIN_US, () -> exitWhenIdle(startedUs));
    }

    private void exitWhenIdle(long startedUs) {
        if (pending.isEmpty() && server.isDrained()) {
            // Clients that connect from now on wait in the backlog of an inherited socket for the successor process.
            server.setAccepting(false);
            Log.line("idle " + (loop.nowUs() - startedUs) / 1000 + " ms after the signal, leaving; " + invariants);
            loop.stop();
        } else {
            loop.schedule(EXIT_POLL_US, () -> exitWhenIdle(startedUs));
        }
    }
}
