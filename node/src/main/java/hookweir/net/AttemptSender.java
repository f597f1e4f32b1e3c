package hookweir.net;

import hookweir.Contract;
import hookweir.Contract.Outcome;
import hookweir.Contract.Report;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.net.worker.WorkerEndpoint;

/** Sends attempts to workers, cancels them, and tells the decision module how each ended. Belongs to the {@link Loop}. */
final class AttemptSender {
    private static final long US_PER_MS = 1_000;

    private final SocketHost host;
    private final Loop loop;
    private final Invariants invariants;
    private final EventLog events;
    private final ActiveSettings active;
    private final WorkerConnectionPool egress;
    private final PendingRequests pending;
    private final Contract.Dispatcher module;

    AttemptSender(SocketHost host, Loop loop, Invariants invariants, EventLog events, ActiveSettings active, WorkerConnectionPool egress, PendingRequests held,
            Contract.Dispatcher module) {
        this.host = host;
        this.loop = loop;
        this.invariants = invariants;
        this.events = events;
        this.active = active;
        this.egress = egress;
        this.pending = held;
        this.module = module;
    }

    /** Sends a request to a worker, and gives the attempt up after so long; 0 means at the request's deadline. */
    void send(int requestId, int workerId, long withinUs) {
        PendingRequest request = pending.byNumber(requestId);
        if (!invariants.check(request != null, "send for an unknown request")) {
            loop.post(() -> module.attemptEnded(loop.nowUs(), requestId, 0, workerId, Outcome.MOOT, 0, true, null));
            return;
        }
        long now = loop.nowUs();
        long leftUs = request.job.deadlineAtUs - now;
        int number = request.attempts.size();
        WorkerEndpoint worker = egress.worker(workerId);
        boolean moot = request.closed || leftUs <= 0 || number >= active.settings().maxAttempts
            || !invariants.check(active.settings().concurrentAttemptsAllowed || request.outstandingAttempt() == null, "two attempts out at once");
        Attempt attempt = new Attempt(host, egress, request, workerId, moot ? null : worker, number, now);
        request.attempts.add(attempt);
        if (number > 0) {
            events.log(() -> "request " + request.clientId() + " retry: attempt " + number + " to " + workerName(worker, workerId));
        }
        if (moot) {
            attempt.endUnsent(Outcome.MOOT);
        } else if (worker == null) {
            attempt.endUnsent(Outcome.CONNECT_FAILED);
        } else {
            attempt.start(withinUs > 0 ? Math.min(withinUs, leftUs) : leftUs);
        }
    }

    private static String workerName(WorkerEndpoint worker, int workerId) {
        return worker == null ? "unlisted worker " + Integer.toHexString(workerId) : worker.name;
    }

    /** Cancels an attempt, if it is still out. */
    void cancel(int requestId, int number) {
        PendingRequest request = pending.byNumber(requestId);
        if (request != null && number >= 0 && number < request.attempts.size()) {
            request.attempts.get(number).abandon(Outcome.CANCELLED);
        }
    }

    /** The one end of every attempt: answers the client if the job was done, then tells the decision module. */
    void attemptEnded(Attempt attempt, Outcome outcome, long elapsedUs, Report report, byte[] result) {
        PendingRequest request = attempt.request;
        invariants.count("attempts " + outcome);
        if (outcome != Outcome.OK) {
            events.log(() -> "request " + request.clientId() + " attempt " + attempt.number + " at " + workerName(attempt.target, attempt.workerId)
                + " ended " + outcome + " after " + elapsedUs / US_PER_MS + " ms");
        }
        Runnable tell = () -> {
            module.attemptEnded(loop.nowUs(), request.job.id, attempt.number, attempt.workerId, outcome, elapsedUs, request.closed, report);
            pending.removeIfFinished(request);
        };
        if (outcome == Outcome.OK) {
            // Only a call-back ends an attempt so, and no call-back comes inside a call of the module: it is told at once, or it
            // could decide on a job that was done a moment ago.
            pending.respond(request, HttpStatus.OK, null, result);
            tell.run();
        } else {
            loop.post(tell);
        }
    }

    /** Tells a worker that an attempt that it took is given up; runs the task once that is on its way, or can't be. */
    void notifyCancelled(Attempt attempt, Runnable after) {
        String path = "/jobs/" + attempt.request.httpRequest.headers().id();
        new HttpCall(loop, egress, invariants, active.probeTimeoutUs(), attempt.target, "DELETE", path, WorkerConnectionPool.REUSE_ANY) {
            @Override
            void onWritten() {
                after.run();
            }

            @Override
            void onEnd(Outcome outcome, OutboundConnection.ResponsePart last, byte[] body) {
                after.run();
            }
        }.start();
    }
}
