package hookweir.net;

import hookweir.Contract.Outcome;
import hookweir.net.worker.Egress;
import hookweir.net.worker.WorkerEndpoint;
import hookweir.timer.TimerWheel;
import java.io.ByteArrayOutputStream;

/**
 * A short call without a body, on a link of the target's pool: a probe or a notice. It ends once for who waits for it, at
 * the latest by its limit, and may hold its link for longer. Belongs to the loop.
 */
abstract class Errand implements Link.Handler {
    private static final byte[] NOTHING = new byte[0];
    /** The method of a probe; a notice has another. */
    private static final String PROBE = "GET";
    /** An answer later than the limit is read to keep the link, for so many limits. */
    private static final int PATIENCE_LIMITS = 4;

    /** Of the call; it goes back to the first where a kept link broke under it. */
    private enum Stage { DIALLING, SENDING, SENT, ANSWERED }

    final long startUs;
    private final Loop loop;
    private final Egress egress;
    private final Invariants invariants;
    private final long limitUs;
    private final WorkerEndpoint target;
    private final String method;
    private final String path;
    private final double links;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Stage stage = Stage.DIALLING;
    /** Its end was told. */
    private boolean over;
    private TimerWheel.Timer limit;
    private TimerWheel.Timer patience;

    /**
     * Yet to be started.
     *
     * @param limitUs it ends by then
     * @param links which kept links will do, as {@link Egress#link} has it
     */
    Errand(Loop loop, Egress egress, Invariants invariants, long limitUs, WorkerEndpoint target, String method, String path, double links) {
        this.loop = loop;
        this.egress = egress;
        this.invariants = invariants;
        this.limitUs = limitUs;
        this.target = target;
        this.method = method;
        this.path = path;
        this.links = links;
        startUs = loop.nowUs();
    }

    /** Its last byte is with the kernel. */
    void onWritten() {
    }

    /** Its one end. */
    abstract void onEnd(Outcome outcome, Link.Piece last, byte[] whole);

    void start() {
        limit = loop.after(limitUs, () -> end(Outcome.TIMEOUT, null));
        egress.link(target, this, links);
    }

    /** A probe of a worker that was announced as leaving, or one that nobody waits for any more, is not made; a notice is. */
    @Override
    public boolean wantsLink() {
        if (!method.equals(PROBE) || !over && target.ready()) {
            return true;
        }
        end(Outcome.CONNECT_FAILED, null);
        return false;
    }

    @Override
    public void noLink() {
        end(Outcome.CONNECT_FAILED, null);
    }

    private void end(Outcome outcome, Link.Piece last) {
        if (!over) {
            over = true;
            limit.cancel();
            onEnd(outcome, last, body.toByteArray());
        }
    }

    @Override
    public void up(Link l) {
        if (!wantsLink()) {
            egress.release(target, l, true);
            return;
        }
        stage = Stage.SENDING;
        l.call(l.head(method, path, null, target.host()), NOTHING, this);
        patience = loop.after(PATIENCE_LIMITS * limitUs, () -> {
            end(Outcome.TIMEOUT, null);
            egress.end(l);
        });
    }

    @Override
    public void written(Link l) {
        stage = Stage.SENT;
        onWritten();
    }

    @Override
    public void piece(Link l, Link.Piece piece) {
        if (piece.status() == HttpStatus.ACCEPTED && method.equals(PROBE)) {
            // No answer to a probe: a second one to the job that this link carried before.
            egress.strayed();
            if (piece.last()) {
                l.goesOn();
            }
            return;
        }
        if (body.size() <= Transport.MOST_BODY_BYTES) {
            body.writeBytes(piece.bytes());
        }
        if (piece.last()) {
            stage = Stage.ANSWERED;
            patience.cancel();
            egress.used(l, false);
            if (piece.status() == HttpStatus.OK) {
                egress.release(target, l, piece.keepAlive()); // a second one would be passed over by a job
            } else {
                egress.settles(target, l, piece.keepAlive());
            }
            end(piece.status() == HttpStatus.OK ? Outcome.OK : piece.declined() ? Outcome.FULL : Outcome.ERROR, piece);
        }
    }

    @Override
    public void down(Link l) {
        boolean kept = l.kept;
        if (patience != null) {
            patience.cancel();
        }
        egress.used(l, true);
        egress.end(l);
        if (kept && !over) {
            // A kept link may have been closed unseen, which says nothing of the worker; an errand may be repeated.
            invariants.count("errands once more");
            stage = Stage.DIALLING;
            egress.link(target, this, Egress.NONE);
            return;
        }
        end(stage == Stage.SENT ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }
}
