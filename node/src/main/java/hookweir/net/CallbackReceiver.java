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
        Attempt attempt = attemptOf(callback);
        if (attempt != null) {
            server.respond(connection, HttpStatus.NO_CONTENT, null, NO_BODY);
            apply(callback, attempt);
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
        Attempt attempt = callback == null ? null : attemptOf(callback);
        if (attempt != null) {
            invariants.count("call-backs from a neighbour");
            apply(callback, attempt);
            verdict.accept(true);
        } else {
            succession.forwardCallback(body, from, verdict);
        }
    }

    /** Returns the attempt of this process to which the callback belongs, or null. */
    private Attempt attemptOf(Callback callback) {
        PendingRequest request = pending.byClientId(callback.id());
        return request == null ? null : lastAttemptAt(request, callback.workerId());
    }

    private void apply(Callback callback, Attempt attempt) {
        attempt.confirmAcceptance();
        Report report = active.loadReport().parseJson(callback.loadReport());
        switch (callback.state()) {
            case "started" -> progress(attempt, 0);
            case "running" -> progress(attempt, callback.completedShare());
            case "done" -> attempt.endByCallback(Outcome.OK, report, callback.result());
            case "failed" -> attempt.endByCallback(Outcome.ERROR, report, null);
            case "returned" -> attempt.endByCallback(Outcome.FULL, report, null);
            case "lost" -> attempt.endByCallback(Outcome.RESET, report, null);
            default -> invariants.count("call-backs of unknown state");
        }
    }

    private void progress(Attempt attempt, double share) {
        module.progressReported(loop.nowUs(), attempt.request.job.id, attempt.number, attempt.workerId, share);
    }

    /** Returns the last attempt that the named worker may know of, or null. */
    private static Attempt lastAttemptAt(PendingRequest request, String worker) {
        Attempt last = null;
        for (int i = 0; i < request.attempts.size(); i++) {
            Attempt attempt = request.attempts.get(i);
            if (attempt.isSent() && attempt.target.name.equals(worker)) {
                last = attempt;
            }
        }
        return last;
    }
}
