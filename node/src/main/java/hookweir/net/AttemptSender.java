package hookweir.net;

import hookweir.Contract;
import hookweir.Contract.Outcome;
import hookweir.Contract.Report;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.net.worker.WorkerEndpoint;

/** Sends attempts to workers, cancels them, and reports their outcomes to the decision module. Belongs to the {@link Loop}. */
final class AttemptSender {
    private static final long US_PER_MS = 1_000;
    /** A first attempt that begins later than this after its request was accepted is logged. */
    private static final long LATE_FIRST_ATTEMPT_US = 100_000;

    private final SocketHost host;
    private final Loop loop;
    private final Invariants invariants;
    private final EventLog events;
    private final ActiveSettings active;
    private final WorkerConnectionPool workerConnections;
    private final PendingRequests pending;
    private final Contract.Dispatcher module;

    AttemptSender(SocketHost host, Loop loop, Invariants invariants, EventLog events, ActiveSettings active, WorkerConnectionPool workerConnections,
            PendingRequests pending, Contract.Dispatcher module) {
        this.host = host;
        this.loop = loop;
        this.invariants = invariants;
        this.events = events;
        this.active = active;
        this.workerConnections = workerConnections;
        this.pending = pending;
        this.module = module;
    }

    /** Sends a request to a worker and abandons the attempt after the timeout; 0 stands for the request's deadline. */
    void send(int requestId, int workerId, long timeoutUs) {
        PendingRequest request = pending.byNumber(requestId);
        if (!invariants.check(request != null, "send for an unknown request")) {
            loop.post(() -> module.attemptEnded(loop.nowUs(), requestId, 0, workerId, Outcome.MOOT, 0, true, null));
            return;
        }
        long now = loop.nowUs();
        long remainingUs = request.job.deadlineAtUs - now;
        int number = request.attempts.size();
        WorkerEndpoint worker = workerConnections.worker(workerId);
        boolean moot = request.closed || remainingUs <= 0 || number >= active.settings().maxAttempts
            || !invariants.check(active.settings().concurrentAttemptsAllowed || request.outstandingAttempt() == null, "two attempts out at once");
        Attempt attempt = new Attempt(host, workerConnections, request, workerId, moot ? null : worker, number, now);
        request.attempts.add(attempt);
        if (number > 0) {
            events.log(() -> "request " + request.clientId() + " retry: attempt " + number + " to " + workerName(worker, workerId));
        } else if (now - request.acceptedUs > LATE_FIRST_ATTEMPT_US) {
            events.log(() -> "request " + request.clientId() + " attempt 0 to " + workerName(worker, workerId) + ", "
                + (now - request.acceptedUs) / US_PER_MS + " ms after it was accepted");
        }
        if (moot) {
            attempt.endUnsent(Outcome.MOOT);
        } else if (worker == null) {
            attempt.endUnsent(Outcome.CONNECT_FAILED);
        } else {
            attempt.start(timeoutUs > 0 ? Math.min(timeoutUs, remainingUs) : remainingUs);
        }
    }

    private static String workerName(WorkerEndpoint worker, int workerId) {
        return worker == null ? "unlisted worker " + Integer.toHexString(workerId) : worker.name;
    }

    /** Cancels an attempt that has not ended yet. */
    void cancel(int requestId, int number) {
        PendingRequest request = pending.byNumber(requestId);
        if (request != null && number >= 0 && number < request.attempts.size()) {
            request.attempts.get(number).abandon(Outcome.CANCELLED);
        }
    }

    /** Called once when an attempt ends: responds to the client if the job is done, then notifies the decision module. */
    void attemptEnded(Attempt attempt, Outcome outcome, long elapsedUs, Report report, byte[] result) {
        PendingRequest request = attempt.request;
        invariants.count("attempts " + outcome);
        if (outcome != Outcome.OK) {
            events.log(() -> "request " + request.clientId() + " attempt " + attempt.number + " at " + workerName(attempt.target, attempt.workerId)
                + " ended " + outcome + " after " + elapsedUs / US_PER_MS + " ms");
        }
        Runnable notifyModule = () -> {
            module.attemptEnded(loop.nowUs(), request.job.id, attempt.number, attempt.workerId, outcome, elapsedUs, request.closed, report);
            pending.removeIfFinished(request);
        };
        if (outcome == Outcome.OK) {
            // Only a callback ends an attempt with OK, and no callback is handled inside a call of the module. The module is notified
            // at once; otherwise it could make a decision about a job that has just been done.
            pending.respond(request, HttpStatus.OK, null, result);
            notifyModule.run();
        } else {
            loop.post(notifyModule);
        }
    }

    /** Notifies a worker that an attempt it accepted is cancelled; runs the task once the notice is sent or can't be sent. */
    void notifyCancelled(Attempt attempt, Runnable after) {
        String path = "/jobs/" + attempt.request.httpRequest.headers().id();
        new HttpCall(loop, workerConnections, invariants, active.probeTimeoutUs(), attempt.target, "DELETE", path, WorkerConnectionPool.REUSE_ANY) {
            @Override
            void onWritten() {
                after.run();
            }

            @Override
            void onEnd(Outcome outcome, OutboundConnection.ResponsePart lastPart, byte[] body) {
                after.run();
            }
        }.start();
    }
}
