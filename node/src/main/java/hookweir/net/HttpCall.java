package hookweir.net;

import hookweir.Contract.Outcome;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.net.worker.WorkerEndpoint;
import hookweir.timer.TimerWheel;
import java.io.ByteArrayOutputStream;

/**
 * A short call without a body, on a link of the target's pool: a probe or a notice. It ends once for who waits for it, at
 * the latest by its limit, and may hold its link for longer. Belongs to the loop.
 */
abstract class HttpCall implements OutboundConnection.Handler {
    private static final byte[] EMPTY_BODY = new byte[0];
    /** The method of a probe; a notice has another. */
    private static final String PROBE_METHOD = "GET";
    /** An answer later than the limit is read to keep the link, for so many limits. */
    private static final int READ_TIMEOUT_FACTOR = 4;

    /** Of the call; it goes back to the first where a kept link broke under it. */
    private enum Stage { CONNECTING, SENDING, SENT, RESPONDED }

    final long startUs;
    private final Loop loop;
    private final WorkerConnectionPool egress;
    private final Invariants invariants;
    private final long timeoutUs;
    private final WorkerEndpoint worker;
    private final String method;
    private final String path;
    private final double maxBreakRate;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Stage stage = Stage.CONNECTING;
    /** Its end was told. */
    private boolean ended;
    private TimerWheel.Timer timeoutTimer;
    private TimerWheel.Timer readTimer;

    /**
     * Yet to be started.
     *
     * @param limitUs it ends by then
     * @param links which kept links will do, as {@link WorkerConnectionPool#acquire} has it
     */
    HttpCall(Loop loop, WorkerConnectionPool egress, Invariants invariants, long limitUs, WorkerEndpoint target, String method, String path, double links) {
        this.loop = loop;
        this.egress = egress;
        this.invariants = invariants;
        this.timeoutUs = limitUs;
        this.worker = target;
        this.method = method;
        this.path = path;
        this.maxBreakRate = links;
        startUs = loop.nowUs();
    }

    /** Its last byte is with the kernel. */
    void onWritten() {
    }

    /** Its one end. */
    abstract void onEnd(Outcome outcome, OutboundConnection.ResponsePart last, byte[] whole);

    void start() {
        timeoutTimer = loop.schedule(timeoutUs, () -> finish(Outcome.TIMEOUT, null));
        egress.acquire(worker, this, maxBreakRate);
    }

    /** A probe of a worker that was announced as leaving, or one that nobody waits for any more, is not made; a notice is. */
    @Override
    public boolean needsConnection() {
        if (!method.equals(PROBE_METHOD) || !ended && worker.isReady()) {
            return true;
        }
        finish(Outcome.CONNECT_FAILED, null);
        return false;
    }

    @Override
    public void connectionUnavailable() {
        finish(Outcome.CONNECT_FAILED, null);
    }

    private void finish(Outcome outcome, OutboundConnection.ResponsePart last) {
        if (!ended) {
            ended = true;
            timeoutTimer.cancel();
            onEnd(outcome, last, body.toByteArray());
        }
    }

    @Override
    public void connected(OutboundConnection l) {
        if (!needsConnection()) {
            egress.release(worker, l, true);
            return;
        }
        stage = Stage.SENDING;
        l.sendRequest(l.requestHead(method, path, null, worker.hostHeader()), EMPTY_BODY, this);
        readTimer = loop.schedule(READ_TIMEOUT_FACTOR * timeoutUs, () -> {
            finish(Outcome.TIMEOUT, null);
            egress.closeGracefully(l);
        });
    }

    @Override
    public void requestWritten(OutboundConnection l) {
        stage = Stage.SENT;
        onWritten();
    }

    @Override
    public void responsePart(OutboundConnection l, OutboundConnection.ResponsePart piece) {
        if (piece.status() == HttpStatus.ACCEPTED && method.equals(PROBE_METHOD)) {
            // No answer to a probe: a second one to the job that this link carried before.
            egress.countUnmatchedResponse();
            if (piece.isLast()) {
                l.expectAnotherResponse();
            }
            return;
        }
        if (body.size() <= Transport.MAX_BODY_BYTES) {
            body.writeBytes(piece.bytes());
        }
        if (piece.isLast()) {
            stage = Stage.RESPONDED;
            readTimer.cancel();
            egress.recordOutcome(l, false);
            if (piece.status() == HttpStatus.OK) {
                egress.release(worker, l, piece.keepAlive()); // a second one would be passed over by a job
            } else {
                egress.releaseWithReuseDelay(worker, l, piece.keepAlive());
            }
            finish(piece.status() == HttpStatus.OK ? Outcome.OK : piece.declined() ? Outcome.FULL : Outcome.ERROR, piece);
        }
    }

    @Override
    public void disconnected(OutboundConnection l) {
        boolean kept = l.reused;
        if (readTimer != null) {
            readTimer.cancel();
        }
        egress.recordOutcome(l, true);
        egress.closeGracefully(l);
        if (kept && !ended) {
            // A kept link may have been closed unseen, which says nothing of the worker; an errand may be repeated.
            invariants.count("errands once more");
            stage = Stage.CONNECTING;
            egress.acquire(worker, this, WorkerConnectionPool.REUSE_NONE);
            return;
        }
        finish(stage == Stage.SENT ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }
}
