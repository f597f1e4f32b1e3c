package hookweir.net;

import hookweir.Contract;
import hookweir.Contract.Outcome;
import hookweir.Contract.Report;
import hookweir.net.server.Callback;
import hookweir.net.server.HttpServer;
import hookweir.net.server.InboundConnection;
import hookweir.net.upgrade.PeerConnection;
import hookweir.net.upgrade.PeerProcesses;
import java.util.function.Consumer;

/**
 * Receives callbacks about jobs from workers, and forwards those that belong to a peer process of this scheduler. Belongs to
 * the {@link Loop}.
 */
final class CallbackReceiver {
    private static final byte[] NO_BODY = new byte[0];

    private final Loop loop;
    private final Invariants invariants;
    private final ActiveSettings active;
    private final HttpServer server;
    private final PendingRequests pending;
    private final Contract.Dispatcher module;
    private final PeerProcesses succession;

    CallbackReceiver(Loop loop, Invariants invariants, ActiveSettings active, HttpServer server, PendingRequests pending,
            Contract.Dispatcher module, PeerProcesses succession) {
        this.loop = loop;
        this.invariants = invariants;
        this.active = active;
        this.server = server;
        this.pending = pending;
        this.module = module;
        this.succession = succession;
    }

    /**
     * Handles a callback and responds to it. One that belongs to no attempt of this process is forwarded to the peer processes, and the
     * response is sent once they have received it.
     */
    void receive(InboundConnection connection, byte[] body) {
        Callback callback = Callback.parse(body);
        if (callback == null) {
            invariants.count("ingress bad call-back");
            server.respond(connection, HttpStatus.BAD_REQUEST, null, NO_BODY);
            return;
        }
        CallbackAttribution attribution = attribute(callback);
        if (attribution.attempt() != null) {
            server.respond(connection, HttpStatus.NO_CONTENT, null, NO_BODY);
            apply(callback, attribution);
            return;
        }
        succession.forwardCallback(body, null, known -> {
            // If no process has the attempt, the callback is repeated, late, or not from the worker that has the job: it is ignored.
            invariants.count(known ? "call-backs for a neighbour" : "call-backs for nothing");
            server.respond(connection, HttpStatus.NO_CONTENT, null, NO_BODY);
        });
    }

    /** Handles a callback forwarded by a peer process; the verdict is whether it belongs to an attempt of this or a further process. */
    void receiveForwarded(byte[] body, PeerConnection from, Consumer<Boolean> verdict) {
        Callback callback = Callback.parse(body);
        CallbackAttribution attribution = callback == null ? null : attribute(callback);
        if (attribution != null && attribution.attempt() != null) {
            invariants.count("call-backs from a neighbour");
            apply(callback, attribution);
            verdict.accept(true);
        } else {
            succession.forwardCallback(body, from, verdict);
        }
    }

    private CallbackAttribution attribute(Callback callback) {
        return CallbackAttribution.of(pending.byClientId(callback.id()), callback.workerId(), callback.state());
    }

    private void apply(Callback callback, CallbackAttribution attribution) {
        Attempt attempt = attribution.attempt();
        switch (attribution.certainty()) {
            case CERTAIN -> apply(callback, attempt);
            case DOUBTFUL -> {
                invariants.count("call-backs in doubt");
                attempt.recordCallback(callback.state(), false);
                if (!callback.state().isProgress()) {
                    attempt.endInDoubt();
                }
            }
            case EXCLUDED -> invariants.count("call-backs for nothing");
        }
    }

    private void apply(Callback callback, Attempt attempt) {
        attempt.confirmAcceptance();
        boolean returnedAfterStart = callback.state() == Callback.State.RETURNED && attempt.hasStarted();
        attempt.recordCallback(callback.state(), true);
        Report report = active.loadReport().parseJson(callback.loadReport());
        switch (callback.state()) {
            case STARTED -> progress(attempt, 0);
            case RUNNING -> progress(attempt, callback.completedShare());
            case DONE -> attempt.endByCallback(Outcome.OK, report, callback.result());
            case FAILED -> attempt.endByCallback(Outcome.ERROR, report, null);
            // A worker that hands back a job after it began contradicts itself: the job may have run.
            case RETURNED -> attempt.endByCallback(returnedAfterStart ? Outcome.RESET : Outcome.FULL, report, null);
            case LOST -> attempt.endByCallback(Outcome.RESET, report, null);
            default -> invariants.count("call-backs of unknown state");
        }
    }

    private void progress(Attempt attempt, double share) {
        module.progressReported(loop.nowUs(), attempt.request.job.id, attempt.number, attempt.workerId, share);
    }
}
