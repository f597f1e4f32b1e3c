package hookweir.net;

import hookweir.Contract.Outcome;
import hookweir.Contract.Report;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.net.worker.WorkerEndpoint;
import hookweir.timer.TimerWheel;

/**
 * One attempt: from {@link SocketHost#send} to its one outcome. Owns the link that it is sent on until the
 * worker's answer is whole. Belongs to the loop.
 */
final class Attempt implements OutboundConnection.Handler, OutboundConnection.AcceptanceListener {
    /** The answer to a call for which nobody waits any more is read for so long, to keep the link. */
    private static final long LATE_RESPONSE_TIMEOUT_US = 5_000_000;

    private static final long DEADLINE_MARGIN_US = 1_000;
    private static final int ACCEPTED = 202;
    private static final int MIN_REDIRECT_STATUS = 300;
    /** Kept links that break cost a repeatable job a further attempt, and the others all. */
    private static final double MAX_BREAK_RATE_REPEATABLE = 0.2;
    private static final double MAX_BREAK_RATE_ONCE = 0.02;

    private enum Stage { CONNECTING, SENDING, SENT, ACCEPTED, CANCELLING, ENDED }

    final PendingRequest request;
    final int workerId;
    /** Null where the list names no such worker; then nothing is ever sent. */
    final WorkerEndpoint target;
    final int number;
    private final SocketHost host;
    private final WorkerConnectionPool egress;
    private final long startUs;
    private Stage stage = Stage.CONNECTING;
    private OutboundConnection connection;
    private TimerWheel.Timer timeoutTimer;
    /** The wait for a 202, then for the end of an answer that nobody needs. */
    private TimerWheel.Timer responseTimer;
    /** An answer before this may be the second one to an earlier call on the link. */
    private long ambiguousUntilUs;
    /** A refusal or failure that may be an earlier call's: it waits to be told from one. */
    private OutboundConnection.ResponsePart ambiguousResponse;
    /** The link whose 202 may have been an earlier call's, until a call-back shows that the worker has the job. */
    private OutboundConnection ambiguousConnection;

    Attempt(SocketHost host, WorkerConnectionPool egress, PendingRequest pending, int workerId, WorkerEndpoint target, int number,
            long startUs) {
        this.host = host;
        this.egress = egress;
        this.request = pending;
        this.workerId = workerId;
        this.target = target;
        this.number = number;
        this.startUs = startUs;
    }

    /** Sends it; stops waiting after so long. */
    void start(long withinUs) {
        timeoutTimer = host.loop().schedule(withinUs, () -> abandon(Outcome.TIMEOUT));
        if (number == 0) {
            requestConnection();
        } else {
            // What lies unread is heard before a further attempt: its client may have left, or its worker been announced as leaving.
            host.loop().afterIoRound(() -> {
                if (needsConnection()) {
                    requestConnection();
                }
            });
        }
    }

    private void requestConnection() {
        OutboundConnection got = egress.acquire(target, this, host.isRepeatable(request) ? MAX_BREAK_RATE_REPEATABLE : MAX_BREAK_RATE_ONCE);
        if (got != null && !isEnded()) {
            connection = got;
        }
    }

    /** Nothing of it was sent, and it may still be: else it is over. */
    @Override
    public boolean needsConnection() {
        if (stage == Stage.CONNECTING && !target.isReady()) {
            // Guards rule 3: a drain counts from a send's first byte, and the wait for a link took its time.
            isEnded(Outcome.CONNECT_FAILED, null, null);
        } else if (stage == Stage.CONNECTING && request.closed) {
            // Its client left meanwhile: where attempts can't be called off, none is begun any more.
            isEnded(Outcome.MOOT, null, null);
        } else if (stage == Stage.CONNECTING && !host.mayStartAttempt()) {
            // The wait outlasted the lease on the list: its worker may have been announced as leaving.
            isEnded(Outcome.MOOT, null, null);
        }
        return stage == Stage.CONNECTING;
    }

    @Override
    public void connectionUnavailable() {
        isEnded(Outcome.CONNECT_FAILED, null, null);
    }

    /** Ends it before anything of it left: it went to no target. */
    void endUnsent(Outcome outcome) {
        isEnded(outcome, null, null);
    }

    boolean isEnded() {
        return stage == Stage.ENDED;
    }

    /** The worker may know of it: call-backs can be meant for it. */
    boolean isSent() {
        return stage != Stage.CONNECTING && stage != Stage.ENDED;
    }

    @Override
    public void connected(OutboundConnection up) {
        connection = up;
        if (!needsConnection()) {
            egress.release(target, up, true);
            return;
        }
        stage = Stage.SENDING;
        ambiguousUntilUs = up.duplicateResponseUntilUs;
        up.acceptanceListener(host.loop().nowUs() < ambiguousUntilUs ? up.acceptanceListener() : null);
        var from = request.httpRequest;
        var h = from.headers();
        long leftMs = Math.max(1, (request.job.deadlineAtUs - host.loop().nowUs()) / 1000);
        MessageBuilder head = up.requestHead(from.method(), from.path(), from.query(), target.hostHeader())
            .header("Req-Id", h.id()).header("Req-Kind", h.kind()).add("Req-Deadline-Ms: ").add(leftMs).endLine()
            .header("Idempotency-Key", h.idempotencyKey()).header("Content-Type", h.contentType())
            .add("Content-Length: ").add(from.body().length).endLine();
        up.sendRequest(head, from.body(), this);
    }

    @Override
    public void requestWritten(OutboundConnection l) {
        host.attemptWritten();
        if (stage == Stage.SENDING) {
            stage = Stage.SENT;
            if (host.isRepeatable(request)) {
                // Guards against a machine that vanished or a process that hangs, while another can still do the job.
                startResponseTimer(host.acceptTimeoutUs(), () -> host.loop().afterIoRound(this::acceptTimedOut)); // a 202 that lies unread counts
            }
        }
    }

    /** A 202 may be on its way, and then closing the connection gives nothing up: the worker is told before another attempt begins. */
    private void acceptTimedOut() {
        if (stage == Stage.SENT) {
            egress.abort(connection);
            detachConnection();
            if (host.canCancelAttempts()) {
                cancelAtWorker(Outcome.TIMEOUT);
            } else {
                isEnded(Outcome.TIMEOUT, null, null);
            }
        }
    }

    private void cancelAtWorker(Outcome outcome) {
        stage = Stage.CANCELLING;
        boolean lastWord = request.closed || host.loop().nowUs() >= request.job.deadlineAtUs - DEADLINE_MARGIN_US;
        host.notifyCancelled(this, () -> isEnded(outcome, null, null));
        if (lastWord) {
            // Nothing more can be sent for it, so nobody need wait for the notice to be written.
            isEnded(outcome, null, null);
        }
    }

    @Override
    public void responsePart(OutboundConnection l, OutboundConnection.ResponsePart piece) {
        int status = piece.status();
        boolean waiting = stage == Stage.SENDING || stage == Stage.SENT;
        if (status < MIN_REDIRECT_STATUS && status != ACCEPTED) {
            // No answer to a job: a second one to the check that this link carried before. The job's own is yet to come.
            egress.countUnmatchedResponse();
            if (piece.isLast()) {
                l.expectAnotherResponse();
            }
            return;
        }
        if (waiting && status == ACCEPTED) {
            // The head tells it: what may be missing of the body must not make a reset of a job that was taken.
            stage = Stage.ACCEPTED;
            closeAfterTimeout(l);
        }
        if (!piece.isLast()) {
            return;
        }
        boolean doubtful = host.loop().nowUs() < ambiguousUntilUs;
        if (waiting && doubtful && status != ACCEPTED) {
            ambiguousResponse = piece;
            startResponseTimer(ambiguousUntilUs - host.loop().nowUs(), () -> handleResponse(l, piece));
            return;
        }
        if (waiting && doubtful) {
            ambiguousConnection = l;
            l.acceptanceListener(this);
        }
        handleResponse(l, piece);
    }

    /** The answer is this attempt's. */
    private void handleResponse(OutboundConnection l, OutboundConnection.ResponsePart piece) {
        boolean refused = stage == Stage.SENDING || stage == Stage.SENT;
        ambiguousResponse = null;
        egress.recordOutcome(l, false);
        egress.releaseWithReuseDelay(target, l, piece.keepAlive());
        detachConnection();
        if (!refused) {
            return;
        }
        if ((piece.status() == 503 || piece.status() == 504) && piece.declined()) {
            isEnded(Outcome.FULL, host.parseLoadReport(piece.load()), null);
        } else {
            isEnded(Outcome.ERROR, host.parseLoadReport(piece.load()), null);
        }
    }

    /** Two answers came to this attempt and the one before it on the link: nobody knows which is whose. */
    @Override
    public void unexpectedResponse(OutboundConnection l, int status) {
        // The one that was held decides where the other is a 202: either may be the earlier call's.
        egress.duplicateResponse(target, l, ambiguousResponse == null ? status : ambiguousResponse.status());
    }

    /** The 202 may have been another's and the worker may not have the job: as if the connection had broken before it. */
    @Override
    public void acceptanceInDoubt() {
        if (stage != Stage.ACCEPTED) {
            return;
        }
        if (host.canCancelAttempts()) {
            cancelAtWorker(Outcome.RESET);
        } else {
            isEnded(Outcome.RESET, null, null);
        }
    }

    /** A call-back shows that the worker has the job. */
    void confirmAcceptance() {
        if (ambiguousConnection != null && ambiguousConnection.acceptanceListener() == this) {
            ambiguousConnection.acceptanceListener(null);
        }
        ambiguousConnection = null;
    }

    @Override
    public void disconnected(OutboundConnection l) {
        egress.recordOutcome(l, true);
        egress.closeGracefully(l);
        detachConnection();
        if (stage == Stage.CONNECTING || stage == Stage.SENDING) {
            isEnded(Outcome.CONNECT_FAILED, null, null);
        } else if (stage == Stage.SENT) {
            isEnded(Outcome.RESET, null, null);
        }
    }

    /** A call-back that ends it. */
    void endByCallback(Outcome outcome, Report report, byte[] result) {
        if (ambiguousResponse != null) {
            // The worker had taken it, so the answer that is held was another's.
            OutboundConnection l = connection;
            egress.duplicateResponse(target, l, ambiguousResponse.status());
            detachConnection();
            egress.closeGracefully(l);
        } else if (connection != null && !isEnded()) {
            closeAfterTimeout(connection); // it came before the 202
        }
        isEnded(outcome, report, result);
    }

    /** An answer that nobody needs any more is still read for the link's sake, but not for ever. */
    private void closeAfterTimeout(OutboundConnection kept) {
        startResponseTimer(LATE_RESPONSE_TIMEOUT_US, () -> {
            if (connection == kept) {
                detachConnection();
                egress.closeGracefully(kept);
            }
        });
    }

    private void startResponseTimer(long us, Runnable then) {
        if (responseTimer != null) {
            responseTimer.cancel();
        }
        responseTimer = host.loop().schedule(us, then);
    }

    /** The link is no longer this attempt's, and so is nothing to wait for on it. */
    private void detachConnection() {
        connection = null;
        ambiguousResponse = null;
        if (responseTimer != null) {
            responseTimer.cancel();
        }
    }

    /** Stops waiting for it, and lets the worker know. */
    void abandon(Outcome outcome) {
        switch (stage) {
            case CONNECTING -> {
                // A dial that comes up late all the same is kept for the next attempt.
                isEnded(outcome, null, null);
            }
            case SENDING, SENT -> {
                egress.abort(connection);
                detachConnection();
                isEnded(outcome, null, null);
            }
            case ACCEPTED -> cancelAtWorker(outcome);
            default -> { }
        }
    }

    private void isEnded(Outcome outcome, Report report, byte[] result) {
        if (stage == Stage.ENDED) {
            return;
        }
        stage = Stage.ENDED;
        confirmAcceptance();
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
        host.attemptEnded(this, outcome, host.loop().nowUs() - startUs, report, result);
    }
}
