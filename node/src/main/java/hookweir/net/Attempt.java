package hookweir.net;

import hookweir.Contract.Outcome;
import hookweir.Contract.Report;
import hookweir.net.worker.Egress;
import hookweir.net.worker.WorkerEndpoint;
import hookweir.timer.TimerWheel;

/**
 * One attempt: from {@link SocketHost#send} to its one outcome. Owns the link that it is sent on until the
 * worker's answer is whole. Belongs to the loop.
 */
final class Attempt implements Link.Handler, Link.Taken {
    /** The answer to a call for which nobody waits any more is read for so long, to keep the link. */
    private static final long PATIENCE_US = 5_000_000;

    private static final long NEAR_END_US = 1_000;
    private static final int TAKEN = 202;
    private static final int REDIRECTED = 300;
    /** Kept links that break cost a repeatable job a further attempt, and the others all. */
    private static final double SOME_BREAKS = 0.2;
    private static final double FEW_BREAKS = 0.02;

    private enum Stage { DIALLING, SENDING, SENT, TAKEN, GIVING_UP, OVER }

    final PendingRequest pending;
    final int workerId;
    /** Null where the list names no such worker; then nothing is ever sent. */
    final WorkerEndpoint target;
    final int number;
    private final SocketHost host;
    private final Egress egress;
    private final long startUs;
    private Stage stage = Stage.DIALLING;
    private Link link;
    private TimerWheel.Timer limit;
    /** The wait for a 202, then for the end of an answer that nobody needs. */
    private TimerWheel.Timer patience;
    /** An answer before this may be the second one to an earlier call on the link. */
    private long doubtUntilUs;
    /** A refusal or failure that may be an earlier call's: it waits to be told from one. */
    private Link.Piece held;
    /** The link whose 202 may have been an earlier call's, until a call-back shows that the worker has the job. */
    private Link takenInDoubt;

    Attempt(SocketHost host, Egress egress, PendingRequest pending, int workerId, WorkerEndpoint target, int number,
            long startUs) {
        this.host = host;
        this.egress = egress;
        this.pending = pending;
        this.workerId = workerId;
        this.target = target;
        this.number = number;
        this.startUs = startUs;
    }

    /** Sends it; stops waiting after so long. */
    void start(long withinUs) {
        limit = host.loop().after(withinUs, () -> giveUp(Outcome.TIMEOUT));
        if (number == 0) {
            takeLink();
        } else {
            // What lies unread is heard before a further attempt: its client may have left, or its worker been announced as leaving.
            host.loop().afterRound(() -> {
                if (wantsLink()) {
                    takeLink();
                }
            });
        }
    }

    private void takeLink() {
        Link got = egress.link(target, this, host.repeatable(pending) ? SOME_BREAKS : FEW_BREAKS);
        if (got != null && !over()) {
            link = got;
        }
    }

    /** Nothing of it was sent, and it may still be: else it is over. */
    @Override
    public boolean wantsLink() {
        if (stage == Stage.DIALLING && !target.ready()) {
            // Guards rule 3: a drain counts from a send's first byte, and the wait for a link took its time.
            over(Outcome.CONNECT_FAILED, null, null);
        } else if (stage == Stage.DIALLING && pending.closed) {
            // Its client left meanwhile: where attempts can't be called off, none is begun any more.
            over(Outcome.MOOT, null, null);
        } else if (stage == Stage.DIALLING && !host.mayBegin()) {
            // The wait outlasted the lease on the list: its worker may have been announced as leaving.
            over(Outcome.MOOT, null, null);
        }
        return stage == Stage.DIALLING;
    }

    @Override
    public void noLink() {
        over(Outcome.CONNECT_FAILED, null, null);
    }

    /** Ends it before anything of it left: it went to no target. */
    void never(Outcome outcome) {
        over(outcome, null, null);
    }

    boolean over() {
        return stage == Stage.OVER;
    }

    /** The worker may know of it: call-backs can be meant for it. */
    boolean sent() {
        return stage != Stage.DIALLING && stage != Stage.OVER;
    }

    @Override
    public void up(Link up) {
        link = up;
        if (!wantsLink()) {
            egress.release(target, up, true);
            return;
        }
        stage = Stage.SENDING;
        doubtUntilUs = up.secondAnswerUntilUs;
        up.taken(host.loop().nowUs() < doubtUntilUs ? up.taken() : null);
        var from = pending.from;
        var h = from.headers();
        long leftMs = Math.max(1, (pending.request.deadlineAtUs - host.loop().nowUs()) / 1000);
        Message head = up.head(from.method(), from.path(), from.query(), target.host())
            .header("Req-Id", h.id()).header("Req-Kind", h.kind()).add("Req-Deadline-Ms: ").add(leftMs).line()
            .header("Idempotency-Key", h.idempotencyKey()).header("Content-Type", h.contentType())
            .add("Content-Length: ").add(from.body().length).line();
        up.call(head, from.body(), this);
    }

    @Override
    public void written(Link l) {
        host.dispatched();
        if (stage == Stage.SENDING) {
            stage = Stage.SENT;
            if (host.repeatable(pending)) {
                // Guards against a machine that vanished or a process that hangs, while another can still do the job.
                wait(host.takeLimitUs(), () -> host.loop().afterRound(this::notTaken)); // a 202 that lies unread counts
            }
        }
    }

    /** A 202 may be on its way, and then closing the connection gives nothing up: the worker is told before another attempt begins. */
    private void notTaken() {
        if (stage == Stage.SENT) {
            egress.cut(link);
            letGo();
            if (host.cancels()) {
                tellWorker(Outcome.TIMEOUT);
            } else {
                over(Outcome.TIMEOUT, null, null);
            }
        }
    }

    private void tellWorker(Outcome outcome) {
        stage = Stage.GIVING_UP;
        boolean lastWord = pending.closed || host.loop().nowUs() >= pending.request.deadlineAtUs - NEAR_END_US;
        host.delete(this, () -> over(outcome, null, null));
        if (lastWord) {
            // Nothing more can be sent for it, so nobody need wait for the notice to be written.
            over(outcome, null, null);
        }
    }

    @Override
    public void piece(Link l, Link.Piece piece) {
        int status = piece.status();
        boolean waiting = stage == Stage.SENDING || stage == Stage.SENT;
        if (status < REDIRECTED && status != TAKEN) {
            // No answer to a job: a second one to the check that this link carried before. The job's own is yet to come.
            egress.strayed();
            if (piece.last()) {
                l.goesOn();
            }
            return;
        }
        if (waiting && status == TAKEN) {
            // The head tells it: what may be missing of the body must not make a reset of a job that was taken.
            stage = Stage.TAKEN;
            endLater(l);
        }
        if (!piece.last()) {
            return;
        }
        boolean doubtful = host.loop().nowUs() < doubtUntilUs;
        if (waiting && doubtful && status != TAKEN) {
            held = piece;
            wait(doubtUntilUs - host.loop().nowUs(), () -> accept(l, piece));
            return;
        }
        if (waiting && doubtful) {
            takenInDoubt = l;
            l.taken(this);
        }
        accept(l, piece);
    }

    /** The answer is this attempt's. */
    private void accept(Link l, Link.Piece piece) {
        boolean refused = stage == Stage.SENDING || stage == Stage.SENT;
        held = null;
        egress.used(l, false);
        egress.settles(target, l, piece.keepAlive());
        letGo();
        if (!refused) {
            return;
        }
        if ((piece.status() == 503 || piece.status() == 504) && piece.declined()) {
            over(Outcome.FULL, host.report(piece.load()), null);
        } else {
            over(Outcome.ERROR, host.report(piece.load()), null);
        }
    }

    /** Two answers came to this attempt and the one before it on the link: nobody knows which is whose. */
    @Override
    public void unasked(Link l, int status) {
        // The one that was held decides where the other is a 202: either may be the earlier call's.
        egress.answeredTwice(target, l, held == null ? status : held.status());
    }

    /** The 202 may have been another's and the worker may not have the job: as if the connection had broken before it. */
    @Override
    public void inDoubt() {
        if (stage != Stage.TAKEN) {
            return;
        }
        if (host.cancels()) {
            tellWorker(Outcome.RESET);
        } else {
            over(Outcome.RESET, null, null);
        }
    }

    /** A call-back shows that the worker has the job. */
    void known() {
        if (takenInDoubt != null && takenInDoubt.taken() == this) {
            takenInDoubt.taken(null);
        }
        takenInDoubt = null;
    }

    @Override
    public void down(Link l) {
        egress.used(l, true);
        egress.end(l);
        letGo();
        if (stage == Stage.DIALLING || stage == Stage.SENDING) {
            over(Outcome.CONNECT_FAILED, null, null);
        } else if (stage == Stage.SENT) {
            over(Outcome.RESET, null, null);
        }
    }

    /** A call-back that ends it. */
    void told(Outcome outcome, Report report, byte[] result) {
        if (held != null) {
            // The worker had taken it, so the answer that is held was another's.
            Link l = link;
            egress.answeredTwice(target, l, held.status());
            letGo();
            egress.end(l);
        } else if (link != null && !over()) {
            endLater(link); // it came before the 202
        }
        over(outcome, report, result);
    }

    /** An answer that nobody needs any more is still read for the link's sake, but not for ever. */
    private void endLater(Link kept) {
        wait(PATIENCE_US, () -> {
            if (link == kept) {
                letGo();
                egress.end(kept);
            }
        });
    }

    private void wait(long us, Runnable then) {
        if (patience != null) {
            patience.cancel();
        }
        patience = host.loop().after(us, then);
    }

    /** The link is no longer this attempt's, and so is nothing to wait for on it. */
    private void letGo() {
        link = null;
        held = null;
        if (patience != null) {
            patience.cancel();
        }
    }

    /** Stops waiting for it, and lets the worker know. */
    void giveUp(Outcome outcome) {
        switch (stage) {
            case DIALLING -> {
                // A dial that comes up late all the same is kept for the next attempt.
                over(outcome, null, null);
            }
            case SENDING, SENT -> {
                egress.cut(link);
                letGo();
                over(outcome, null, null);
            }
            case TAKEN -> tellWorker(outcome);
            default -> { }
        }
    }

    private void over(Outcome outcome, Report report, byte[] result) {
        if (stage == Stage.OVER) {
            return;
        }
        stage = Stage.OVER;
        known();
        if (limit != null) {
            limit.cancel();
        }
        host.attemptOver(this, outcome, host.loop().nowUs() - startUs, report, result);
    }
}
