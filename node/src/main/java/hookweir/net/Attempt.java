package hookweir.net;

import hookweir.Contract.Outcome;
import hookweir.Contract.Report;
import hookweir.net.server.Callback;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.net.worker.WorkerEndpoint;
import hookweir.timer.TimerWheel;
import java.util.EnumSet;
import java.util.Set;

/**
 * One attempt: from {@link SocketHost#send} to its single outcome. Owns the connection that it is sent on until the worker's
 * response is complete. Belongs to the loop.
 */
final class Attempt implements OutboundConnection.Handler, OutboundConnection.AcceptanceListener {
    /** How long a response that is no longer needed is still read, so that the connection can be reused. */
    private static final long LATE_RESPONSE_TIMEOUT_US = 5_000_000;

    /** How long an attempt waits for the end of its client's input; a client that is still sending after that has not disconnected. */
    private static final long MAX_INPUT_WAIT_US = 100_000;
    /** An attempt that fails this close to the deadline is not followed by another one. */
    private static final long DEADLINE_MARGIN_US = 1_000;
    private static final int ACCEPTED = 202;
    private static final int MIN_REDIRECT_STATUS = 300;
    /** The highest break rate of reused connections for repeatable jobs: a broken connection costs such a job one more attempt. */
    private static final double MAX_BREAK_RATE_REPEATABLE = 0.2;
    /** The same for other jobs, which fail when the connection breaks. */
    private static final double MAX_BREAK_RATE_ONCE = 0.02;

    private enum Stage { CONNECTING, SENDING, SENT, ACCEPTED, CANCELLING, ENDED }

    /** The callbacks that the worker may still send for an attempt that has ended. */
    private enum LateCallbacks {
        /** None: the attempt never reached the worker, or the worker did not accept it. */
        NONE,
        /** Those that it has sent, if their responses were lost. */
        REPEATED,
        /** Any: the worker may have the job. */
        ANY
    }

    final PendingRequest request;
    final int workerId;
    /** Null if the worker is not on the list; nothing is sent then. */
    final WorkerEndpoint target;
    final int number;
    private final SocketHost host;
    private final WorkerConnectionPool workerConnections;
    private final long startUs;
    private Stage stage = Stage.CONNECTING;
    private OutboundConnection connection;
    private TimerWheel.Timer timeoutTimer;
    /** Limits the wait for a 202, then the wait for the end of a response that is no longer needed. */
    private TimerWheel.Timer responseTimer;
    /** A response before this time may be a duplicate response to an earlier request on the connection. */
    private long ambiguousUntilUs;
    /** A rejection or error that may belong to an earlier request; it is held back until it can be attributed. */
    private OutboundConnection.ResponsePart ambiguousResponse;
    /** The connection whose 202 may belong to an earlier request, until a callback shows that the worker has the job. */
    private OutboundConnection ambiguousConnection;
    /** What the worker has reported about this attempt, including what it may have reported about an earlier one. */
    private final Set<Callback.State> reported = EnumSet.noneOf(Callback.State.class);
    private boolean started;
    private LateCallbacks lateCallbacks = LateCallbacks.NONE;

    Attempt(SocketHost host, WorkerConnectionPool workerConnections, PendingRequest request, int workerId, WorkerEndpoint target, int number,
            long startUs) {
        this.host = host;
        this.workerConnections = workerConnections;
        this.request = request;
        this.workerId = workerId;
        this.target = target;
        this.number = number;
        this.startUs = startUs;
    }

    /** Sends the attempt, and abandons it after the timeout. */
    void start(long timeoutUs) {
        timeoutTimer = host.loop().schedule(timeoutUs, () -> abandon(Outcome.TIMEOUT));
        if (number == 0) {
            host.loop().post(this::requestConnectionOnceInputIsRead);
        } else {
            // Unread data is processed before a further attempt: the client may have disconnected, or the worker may be draining.
            host.loop().afterIoRound(this::requestConnectionOnceInputIsRead);
        }
    }

    /** Requests a connection once all input of the client that has arrived was read: its end, behind the rest, would be a disconnect. */
    private void requestConnectionOnceInputIsRead() {
        boolean allRead = host.readArrivedInput(request);
        if (!needsConnection()) {
            return;
        }
        if (allRead || host.loop().nowUs() - startUs > MAX_INPUT_WAIT_US) {
            requestConnection();
        } else {
            host.loop().afterIoRound(this::requestConnectionOnceInputIsRead);
        }
    }

    private void requestConnection() {
        OutboundConnection assigned = workerConnections.acquire(target, this, host.isRepeatable(request) ? MAX_BREAK_RATE_REPEATABLE : MAX_BREAK_RATE_ONCE);
        if (assigned != null && !isEnded()) {
            connection = assigned;
        }
    }

    /** Returns whether the unsent attempt may still be sent; ends it otherwise. */
    @Override
    public boolean needsConnection() {
        if (stage == Stage.CONNECTING && !target.isReady()) {
            // Rule 3, no new work for a draining worker, applies to the first byte sent, and the worker may have started to drain
            // during the wait for a connection.
            finish(Outcome.CONNECT_FAILED);
        } else if (stage == Stage.CONNECTING && (request.closed || request.client.hasDisconnected())) {
            // The client disconnected meanwhile. Even where attempts can't be cancelled, none is started for it any more.
            finish(Outcome.MOOT);
        } else if (stage == Stage.CONNECTING && !host.mayStartAttempt()) {
            // The lease on the worker list expired during the wait: the worker may be draining.
            finish(Outcome.MOOT);
        }
        return stage == Stage.CONNECTING;
    }

    @Override
    public void connectionUnavailable() {
        finish(Outcome.CONNECT_FAILED);
    }

    /** Ends the attempt before anything was sent. */
    void endUnsent(Outcome outcome) {
        finish(outcome);
    }

    boolean isEnded() {
        return stage == Stage.ENDED;
    }

    /** Returns whether the worker may know of the attempt, so that callbacks can refer to it. */
    boolean isSent() {
        return stage != Stage.CONNECTING && stage != Stage.ENDED;
    }

    /** Returns whether the worker may have run the job in this attempt, which has ended. */
    boolean mayHaveRun() {
        return lateCallbacks != LateCallbacks.NONE;
    }

    /** Returns whether both attempts went to the same worker. */
    boolean isAtSameWorker(Attempt other) {
        return target != null && target.name.equals(other.target.name);
    }

    /** Records a callback; if it is not certain, it may be about an earlier attempt at the same worker. */
    void recordCallback(Callback.State state, boolean certain) {
        reported.add(state);
        started |= certain && state.isProgress();
    }

    /** Returns whether the worker has reported for certain that the job began to run. */
    boolean hasStarted() {
        return started;
    }

    /** Returns whether the worker may still report this for the attempt, which has ended, for the first time or once more. */
    boolean mayStillReport(Callback.State state) {
        return switch (lateCallbacks) {
            case NONE -> false;
            // Reports of progress may be behind that of the end, but a job that was handed back never began.
            case REPEATED -> reported.contains(state) || state.isProgress() && !reported.contains(Callback.State.RETURNED);
            case ANY -> true;
        };
    }

    @Override
    public void connected(OutboundConnection opened) {
        connection = opened;
        if (!needsConnection()) {
            workerConnections.release(target, opened, true);
            return;
        }
        stage = Stage.SENDING;
        ambiguousUntilUs = opened.duplicateResponseUntilUs;
        opened.acceptanceListener(host.loop().nowUs() < ambiguousUntilUs ? opened.acceptanceListener() : null);
        var httpRequest = request.httpRequest;
        var headers = httpRequest.headers();
        long remainingMs = Math.max(1, (request.job.deadlineAtUs - host.loop().nowUs()) / 1000);
        MessageBuilder head = opened.requestHead(httpRequest.method(), httpRequest.path(), httpRequest.query(), target.hostHeader())
            .header("Req-Id", headers.id()).header("Req-Kind", headers.kind()).add("Req-Deadline-Ms: ").add(remainingMs).endLine()
            .header("Idempotency-Key", headers.idempotencyKey()).header("Content-Type", headers.contentType())
            .add("Content-Length: ").add(httpRequest.body().length).endLine();
        opened.sendRequest(head, httpRequest.body(), this);
    }

    @Override
    public void requestWritten(OutboundConnection outbound) {
        host.attemptWritten();
        if (stage == Stage.SENDING) {
            stage = Stage.SENT;
            if (host.isRepeatable(request)) {
                // If the worker has crashed or hangs, another one can still run the job.
                startResponseTimer(host.acceptTimeoutUs(), () -> host.loop().afterIoRound(this::acceptTimedOut)); // an unread 202 still counts
            }
        }
    }

    /** A 202 may be on its way, and then closing the connection does not cancel the job: the worker is notified before a retry. */
    private void acceptTimedOut() {
        if (stage == Stage.SENT) {
            abortConnection();
            if (host.canCancelAttempts()) {
                cancelAtWorker(Outcome.TIMEOUT);
            } else {
                finish(Outcome.TIMEOUT);
            }
        }
    }

    private void cancelAtWorker(Outcome outcome) {
        stage = Stage.CANCELLING;
        boolean finalNotice = request.closed || host.loop().nowUs() >= request.job.deadlineAtUs - DEADLINE_MARGIN_US;
        host.notifyCancelled(this, () -> finish(outcome));
        if (finalNotice) {
            // No further attempt follows, so there is no need to wait until the notice is written.
            finish(outcome);
        }
    }

    @Override
    public void responsePart(OutboundConnection outbound, OutboundConnection.ResponsePart part) {
        int status = part.status();
        boolean waiting = stage == Stage.SENDING || stage == Stage.SENT;
        if (status < MIN_REDIRECT_STATUS && status != ACCEPTED) {
            // Not a response to a job, but a duplicate response to the probe sent earlier on this connection. The response to the job
            // is still to come.
            workerConnections.countUnmatchedResponse();
            if (part.isLast()) {
                outbound.expectAnotherResponse();
            }
            return;
        }
        if (waiting && status == ACCEPTED) {
            // The head is enough: a body cut short must not turn an accepted job into a reset.
            stage = Stage.ACCEPTED;
            closeAfterTimeout(outbound);
        }
        if (!part.isLast()) {
            return;
        }
        boolean ambiguous = host.loop().nowUs() < ambiguousUntilUs;
        if (waiting && ambiguous && status != ACCEPTED) {
            ambiguousResponse = part;
            startResponseTimer(ambiguousUntilUs - host.loop().nowUs(), () -> handleResponse(outbound, part));
            return;
        }
        if (waiting && ambiguous) {
            ambiguousConnection = outbound;
            outbound.acceptanceListener(this);
        }
        handleResponse(outbound, part);
    }

    /** Handles the response to this attempt. */
    private void handleResponse(OutboundConnection outbound, OutboundConnection.ResponsePart part) {
        boolean rejected = stage == Stage.SENDING || stage == Stage.SENT;
        ambiguousResponse = null;
        workerConnections.recordOutcome(outbound, false);
        workerConnections.releaseWithReuseDelay(target, outbound, part.keepAlive());
        detachConnection();
        if (!rejected) {
            return;
        }
        boolean declined = (part.status() == 503 || part.status() == 504) && part.declined();
        finish(declined ? Outcome.FULL : Outcome.ERROR, host.parseLoadReport(part.load()), null, LateCallbacks.NONE);
    }

    /** Two responses arrived for this attempt and the request before it on the connection; they can't be told apart. */
    @Override
    public void unexpectedResponse(OutboundConnection outbound, int status) {
        // The response held back counts, even if the new one is a 202: either may belong to the earlier request.
        workerConnections.duplicateResponse(target, outbound, ambiguousResponse == null ? status : ambiguousResponse.status());
    }

    /** The 202 may belong to another request and the worker may not have the job: treated as a connection lost before the 202. */
    @Override
    public void acceptanceInDoubt() {
        if (stage != Stage.ACCEPTED) {
            return;
        }
        if (host.canCancelAttempts()) {
            cancelAtWorker(Outcome.RESET);
        } else {
            finish(Outcome.RESET);
        }
    }

    /** Records that a callback showed that the worker has the job. */
    void confirmAcceptance() {
        if (ambiguousConnection != null && ambiguousConnection.acceptanceListener() == this) {
            ambiguousConnection.acceptanceListener(null);
        }
        ambiguousConnection = null;
    }

    @Override
    public void disconnected(OutboundConnection outbound) {
        workerConnections.recordOutcome(outbound, true);
        workerConnections.closeGracefully(outbound);
        detachConnection();
        if (stage == Stage.CONNECTING || stage == Stage.SENDING) {
            finish(Outcome.CONNECT_FAILED);
        } else if (stage == Stage.SENT) {
            finish(Outcome.RESET);
        }
    }

    /**
     * Ends the attempt after a callback that may be about it or about an earlier attempt at the same worker: the worker may run the job
     * or have ended it. A job that may be repeated is given up there. Any other one remains outstanding, as does one that can't be
     * cancelled: another attempt would run it twice if the callback was about the earlier attempt.
     */
    void endInDoubt() {
        if (!host.isRepeatable(request) || !host.canCancelAttempts()) {
            return;
        }
        if (stage == Stage.SENDING || stage == Stage.SENT) {
            abortConnection();
        }
        if (stage != Stage.CANCELLING) {
            cancelAtWorker(Outcome.RESET);
        }
    }

    /** Ends the attempt with the outcome given in a callback. */
    void endByCallback(Outcome outcome, Report report, byte[] result) {
        if (ambiguousResponse != null) {
            // The worker had accepted the job, so the response held back belongs to another request.
            OutboundConnection misused = connection;
            workerConnections.duplicateResponse(target, misused, ambiguousResponse.status());
            detachConnection();
            workerConnections.closeGracefully(misused);
        } else if (connection != null && !isEnded()) {
            closeAfterTimeout(connection); // the callback arrived before the 202
        }
        finish(outcome, report, result, LateCallbacks.REPEATED);
    }

    /** Closes the connection if the response, which is no longer needed, is not complete within the timeout. */
    private void closeAfterTimeout(OutboundConnection current) {
        startResponseTimer(LATE_RESPONSE_TIMEOUT_US, () -> {
            if (connection == current) {
                detachConnection();
                workerConnections.closeGracefully(current);
            }
        });
    }

    private void startResponseTimer(long timeoutUs, Runnable onTimeout) {
        if (responseTimer != null) {
            responseTimer.cancel();
        }
        responseTimer = host.loop().schedule(timeoutUs, onTimeout);
    }

    /** Closes the connection at once, which abandons the attempt at a worker that has not responded. */
    private void abortConnection() {
        workerConnections.abort(connection);
        detachConnection();
    }

    /** Gives up ownership of the connection and stops waiting for a response on it. */
    private void detachConnection() {
        connection = null;
        ambiguousResponse = null;
        if (responseTimer != null) {
            responseTimer.cancel();
        }
    }

    /** Stops waiting for the attempt, and notifies the worker if it accepted the job. */
    void abandon(Outcome outcome) {
        switch (stage) {
            case CONNECTING -> {
                // A connection that opens later is kept for the next attempt.
                finish(outcome);
            }
            case SENDING, SENT -> {
                abortConnection();
                finish(outcome);
            }
            case ACCEPTED -> cancelAtWorker(outcome);
            default -> { }
        }
    }

    /** Ends the attempt by an event that the worker did not report. */
    private void finish(Outcome outcome) {
        boolean reachedWorker = stage == Stage.SENT || stage == Stage.ACCEPTED || stage == Stage.CANCELLING;
        finish(outcome, null, null, reachedWorker ? LateCallbacks.ANY : LateCallbacks.NONE);
    }

    private void finish(Outcome outcome, Report report, byte[] result, LateCallbacks late) {
        if (stage == Stage.ENDED) {
            return;
        }
        stage = Stage.ENDED;
        lateCallbacks = late;
        confirmAcceptance();
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
        host.attemptEnded(this, outcome, host.loop().nowUs() - startUs, report, result);
    }
}
