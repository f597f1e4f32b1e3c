package hookweir.net;

import hookweir.Contract.Outcome;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.net.worker.WorkerEndpoint;
import hookweir.timer.TimerWheel;
import java.io.ByteArrayOutputStream;

/**
 * A single HTTP request without a body to a worker, on a pooled connection: a probe or a cancellation notice. It reports one
 * outcome, at the latest after its timeout, and may use its connection for longer. Belongs to the loop.
 */
abstract class HttpCall implements OutboundConnection.Handler {
    private static final byte[] EMPTY_BODY = new byte[0];
    /** The method of a probe; a cancellation notice uses another one. */
    private static final String PROBE_METHOD = "GET";
    /** A late response is still read, so that the connection can be reused, until this multiple of the timeout. */
    private static final int READ_TIMEOUT_FACTOR = 4;

    /** The progress of the request; it returns to the first stage if a reused connection broke. */
    private enum Stage { CONNECTING, SENDING, SENT, RESPONDED }

    final long startUs;
    private final Loop loop;
    private final WorkerConnectionPool workerConnections;
    private final Invariants invariants;
    private final long timeoutUs;
    private final WorkerEndpoint worker;
    private final String method;
    private final String path;
    private final double maxBreakRate;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Stage stage = Stage.CONNECTING;
    /** The outcome has been reported. */
    private boolean ended;
    private TimerWheel.Timer timeoutTimer;
    private TimerWheel.Timer readTimer;

    /**
     * Creates a call that is not started yet.
     *
     * @param timeoutUs the time after which the call ends with {@link Outcome#TIMEOUT}
     * @param maxBreakRate the highest break rate at which an idle connection may be reused, as for {@link WorkerConnectionPool#acquire}
     */
    HttpCall(Loop loop, WorkerConnectionPool workerConnections, Invariants invariants, long timeoutUs, WorkerEndpoint worker, String method, String path,
            double maxBreakRate) {
        this.loop = loop;
        this.workerConnections = workerConnections;
        this.invariants = invariants;
        this.timeoutUs = timeoutUs;
        this.worker = worker;
        this.method = method;
        this.path = path;
        this.maxBreakRate = maxBreakRate;
        startUs = loop.nowUs();
    }

    /** Called when the last byte of the request has been passed to the kernel. */
    void onWritten() {
    }

    /** Called exactly once, when the call ends. */
    abstract void onEnd(Outcome outcome, OutboundConnection.ResponsePart lastPart, byte[] responseBody);

    void start() {
        timeoutTimer = loop.schedule(timeoutUs, () -> finish(Outcome.TIMEOUT, null));
        workerConnections.acquire(worker, this, maxBreakRate);
    }

    /** A probe is not sent if the worker is draining or the outcome has been reported; a cancellation notice is always sent. */
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

    private void finish(Outcome outcome, OutboundConnection.ResponsePart lastPart) {
        if (!ended) {
            ended = true;
            timeoutTimer.cancel();
            onEnd(outcome, lastPart, body.toByteArray());
        }
    }

    @Override
    public void connected(OutboundConnection connection) {
        if (!needsConnection()) {
            workerConnections.release(worker, connection, true);
            return;
        }
        stage = Stage.SENDING;
        connection.sendRequest(connection.requestHead(method, path, null, worker.hostHeader()), EMPTY_BODY, this);
        readTimer = loop.schedule(READ_TIMEOUT_FACTOR * timeoutUs, () -> {
            finish(Outcome.TIMEOUT, null);
            workerConnections.closeGracefully(connection);
        });
    }

    @Override
    public void requestWritten(OutboundConnection connection) {
        stage = Stage.SENT;
        onWritten();
    }

    @Override
    public void responsePart(OutboundConnection connection, OutboundConnection.ResponsePart part) {
        if (part.status() == HttpStatus.ACCEPTED && method.equals(PROBE_METHOD)) {
            // Not a response to a probe, but a duplicate response to the job sent earlier on this connection.
            workerConnections.countUnmatchedResponse();
            if (part.isLast()) {
                connection.expectAnotherResponse();
            }
            return;
        }
        if (body.size() <= Transport.MAX_BODY_BYTES) {
            body.writeBytes(part.bytes());
        }
        if (part.isLast()) {
            stage = Stage.RESPONDED;
            readTimer.cancel();
            workerConnections.recordOutcome(connection, false);
            if (part.status() == HttpStatus.OK) {
                workerConnections.release(worker, connection, part.keepAlive()); // a job ignores a duplicate of this response
            } else {
                workerConnections.releaseWithReuseDelay(worker, connection, part.keepAlive());
            }
            finish(part.status() == HttpStatus.OK ? Outcome.OK : part.declined() ? Outcome.FULL : Outcome.ERROR, part);
        }
    }

    @Override
    public void disconnected(OutboundConnection connection) {
        boolean wasReused = connection.reused;
        if (readTimer != null) {
            readTimer.cancel();
        }
        workerConnections.recordOutcome(connection, true);
        workerConnections.closeGracefully(connection);
        if (wasReused && !ended) {
            // The worker may have closed the idle connection unnoticed, which is no sign of a fault. The call can be repeated safely.
            invariants.count("errands once more");
            stage = Stage.CONNECTING;
            workerConnections.acquire(worker, this, WorkerConnectionPool.REUSE_NONE);
            return;
        }
        finish(stage == Stage.SENT ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }
}
