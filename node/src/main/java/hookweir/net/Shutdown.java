package hookweir.net;

import hookweir.Contract;
import hookweir.net.admin.ServingState;
import hookweir.net.server.HttpServer;

/**
 * Sends clients away while operators, a later process or a planned end want it, and stops the loop at a planned end once
 * nothing is held. Belongs to the {@link Loop}.
 */
final class Shutdown {
    /** SIGKILL comes no sooner than 3.7 s after SIGTERM; what can still be tried elsewhere is let go before. */
    private static final long RETRY_WINDOW_US = 3_500_000;
    private static final long MIN_DRAIN_US = 900_000;
    private static final long EXIT_POLL_US = 50_000;

    private final Loop loop;
    private final Invariants invariants;
    private final ServingState standing;
    private final HttpServer ingress;
    private final PendingRequests pending;
    private final Contract.Dispatcher module;
    private boolean draining;
    /** A later process has taken over the clients. */
    private boolean setSuccessorServing;

    Shutdown(Loop loop, Invariants invariants, ServingState standing, HttpServer ingress, PendingRequests held, Contract.Dispatcher module) {
        this.loop = loop;
        this.invariants = invariants;
        this.standing = standing;
        this.ingress = ingress;
        this.pending = held;
        this.module = module;
    }

    /** A later process takes the clients (true), or is gone again. */
    void setSuccessorServing(boolean on) {
        if (on != setSuccessorServing) {
            setSuccessorServing = on;
            standing.setSuccessorServing(on);
            ingress.setAccepting(!on);
            updateClientDraining();
        }
    }

    /** Sends clients away or keeps them, as operators, processes and signals have it by now. A planned end is not undone. */
    void updateClientDraining() {
        boolean away = standing.isQuiesced() || draining || setSuccessorServing;
        invariants.count(away ? "clients sent away" : "clients welcome");
        ingress.setDraining(away);
    }

    /**
     * After SIGTERM: ends the clients' connections between requests, so that they go to other schedulers, lets
     * the module refuse what it can't see to its end, and stops the loop once nothing is held.
     */
    void drain() {
        if (draining) {
            return;
        }
        draining = true;
        standing.startShutdown();
        int heldBefore = pending.size();
        long since = loop.nowUs();
        ingress.setDraining(true);
        module.shutdownStarted(since, since + RETRY_WINDOW_US);
        Log.line("draining, held=" + heldBefore + ", of them let go at once " + pending.respondedCount());
        loop.schedule(MIN_DRAIN_US, () -> exitWhenIdle(since));
    }

    private void exitWhenIdle(long since) {
        if (pending.isEmpty() && ingress.isDrained()) {
            // Whoever comes now waits in an inherited socket for the process that follows.
            ingress.setAccepting(false);
            Log.line("idle " + (loop.nowUs() - since) / 1000 + " ms after the signal, leaving; " + invariants);
            loop.stop();
        } else {
            loop.schedule(EXIT_POLL_US, () -> exitWhenIdle(since));
        }
    }
}
