package hookweir.net;

import hookweir.Contract;
import hookweir.Contract.EndReason;
import hookweir.Contract.Outcome;
import hookweir.Contract.Report;
import hookweir.Policy;
import hookweir.config.Config;
import hookweir.net.admin.Metrics;
import hookweir.net.admin.ServingState;
import hookweir.net.server.HttpServer;
import hookweir.net.server.InboundConnection;
import hookweir.net.server.InboundRequest;
import hookweir.net.server.RequestHandler;
import hookweir.net.upgrade.PeerConnection;
import hookweir.net.upgrade.PeerProcesses;
import hookweir.net.worker.WorkerConnectionPool;
import hookweir.room.ResourceBudget;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/**
 * The decision module's host on real sockets. Creates the module and the other parts of a scheduler, and forwards the module's
 * calls to them. Everything runs on the {@link Loop}. The module is never re-entered from one of its own calls: the
 * consequences of a call are posted as tasks.
 */
public final class SocketHost implements Contract.Host {
    private static final byte[] NO_BODY = new byte[0];

    private final Loop loop;
    private final Invariants invariants;
    private final EventLog events;
    private final ServingState standing;
    private final Metrics metrics;
    private final ActiveSettings active;
    private final Contract.Dispatcher module;
    private final HttpServer server;
    private final WorkerConnectionPool workerConnections;
    private final Membership membership;
    private final PeerProcesses succession;
    private final ProcessResources resources;
    private final PendingRequests pending;
    private final RequestClaims claims;
    private final AttemptSender attempts;
    private final Prober prober;
    private final CallbackReceiver callbacks;
    private final RequestRouter router;
    private final Shutdown shutdown;
    private final StatusReporter reporter;
    /** Another process of this scheduler was already serving when this one started. */
    private boolean startedAsSuccessor;

    public SocketHost(Config config, Loop loop, Transport transport, Invariants invariants, ServingState standing,
            Metrics metrics) {
        this.loop = loop;
        this.invariants = invariants;
        this.standing = standing;
        this.metrics = metrics;
        events = new EventLog(loop::nowUs, invariants);
        ResourceBudget budget = new ResourceBudget(config.maxHeldBytes(), config.maxHeldJobs());
        active = new ActiveSettings(budget, metrics, config.settings());
        Connector connector = new Connector(loop, transport);
        server = new HttpServer(loop, transport, invariants, events, budget, this::outboundConnections, new RequestForwarder());
        workerConnections = new WorkerConnectionPool(loop, connector, invariants, config.settings().connectTimeoutUs,
            config.settings().connectionIdleTimeoutUs, budget, server::connectionCount);
        module = new Policy(active.settings(), config.seed(), this);
        membership = new Membership(config, loop, connector, invariants, events, workerConnections, module, this::ready);
        succession = new PeerProcesses(loop, invariants, config.handoverSocketPath(), new PeerListener());
        resources = new ProcessResources(config, budget, workerConnections, server, succession);
        pending = new PendingRequests(invariants, metrics, active, budget, server);
        claims = new RequestClaims(pending, succession);
        attempts = new AttemptSender(this, loop, invariants, events, active, workerConnections, pending, module);
        prober = new Prober(loop, invariants, active, workerConnections, module);
        callbacks = new CallbackReceiver(loop, invariants, active, server, pending, module, succession);
        JobAdmission admission = new JobAdmission(loop, invariants, events, metrics, active, budget, server, pending, claims, module);
        router = new RequestRouter(invariants, standing, metrics, active, server, callbacks, admission);
        shutdown = new Shutdown(loop, invariants, active, standing, server, admission, pending, module);
        reporter = new StatusReporter(loop, invariants, metrics, budget, server, workerConnections, pending, module, membership);
        resources.update();
    }

    /** Returns the number of connections to workers; the server calls this before the worker side exists. */
    private int outboundConnections() {
        return workerConnections == null ? 0 : workerConnections.connectionCount();
    }

    /** Forwards requests to the router, which can't be created before the server that sends its responses. */
    private final class RequestForwarder implements RequestHandler {
        @Override
        public void handle(InboundConnection connection, InboundRequest request) {
            router.handle(connection, request);
        }

        @Override
        public boolean isJob(String path) {
            return router.isJob(path);
        }

        @Override
        public int classNumber(String className) {
            return router.classNumber(className);
        }

        @Override
        public long timeoutUs(String className, String deadlineMs) {
            return router.timeoutUs(className, deadlineMs);
        }

        @Override
        public void jobRejected(String className) {
            router.jobRejected(className);
        }

        @Override
        public String retryAfter() {
            return router.retryAfter();
        }
    }

    /** Receives events from peer processes of this scheduler. */
    private final class PeerListener implements PeerProcesses.Listener {
        @Override
        public void peersChanged() {
            resources.update();
            shutdown.setSuccessorServing(succession.hasServingSuccessor());
        }

        @Override
        public void callbackForwarded(byte[] callback, PeerConnection from, Consumer<Boolean> verdict) {
            callbacks.receiveForwarded(callback, from, verdict);
        }

        @Override
        public void idClaimed(String id, PeerConnection from, Consumer<Boolean> verdict) {
            claims.claimedByPeer(id, from, verdict);
        }

        @Override
        public void knownIdsReceived(List<String> ids) {
            claims.learn(ids);
        }

        @Override
        public Collection<String> knownIds() {
            return claims.knownIds();
        }
    }

    // ---- start, reload and shutdown ----

    /** Starts to receive the worker list. On the loop. */
    public void start(Config config) {
        membership.start(config);
        workerConnections.start();
        reporter.start();
    }

    /**
     * Binds the clients' address and returns the port. If another process of this scheduler is serving already, no connection is
     * accepted until this one is {@link #ready}. To be called before the loop runs.
     */
    public int listen(Config config) throws IOException {
        int port = server.listen(config.listenAddress(), config.inheritsListenSocket());
        startedAsSuccessor = succession.connectToPredecessor();
        if (startedAsSuccessor) {
            server.setAccepting(false);
        }
        return port;
    }

    /** Called once, when the worker list is as complete as it can be: requests are sent to workers from now on. */
    private void ready() {
        if (startedAsSuccessor) {
            server.setAccepting(true);
        }
        reporter.publish();
        standing.startServing();
        succession.announceServing();
        Log.line(startedAsSuccessor ? "took over" : "ready");
    }

    /**
     * Applies a configuration that has been read and validated completely. Pending jobs keep their class numbers. If the address
     * of the list service changed, the current worker list stays in use until the new service responds.
     */
    void reload(Config next) {
        active.apply(next.settings());
        resources.setLimits(next);
        resources.update();
        workerConnections.setLimits(next.settings().connectTimeoutUs, next.settings().connectionIdleTimeoutUs);
        membership.applySettings(next.settings());
        module.settingsChanged(loop.nowUs(), active.settings());
        shutdown.settingsChanged();
        membership.moveTo(next.listServiceAddress());
        invariants.count("reloads");
        metrics.configurationReloaded(true);
        Log.line("reloaded: discovery " + next.listServiceAddress() + ", classes " + next.settings().classNumbers + ", at most "
            + active.settings().maxAttempts + " attempts");
    }

    /** Called when an operator quiesced or resumed the scheduler: connected clients are drained or kept. Does not undo a shutdown. */
    void quiesceChanged() {
        shutdown.updateClientDraining();
    }

    /** Starts the graceful shutdown, which stops the loop once no request is pending. */
    public void drain() {
        shutdown.drain();
    }

    /** Releases what closing the connections does not release. */
    void close() {
        succession.close();
    }

    // ---- used by attempts ----

    /** Returns the loop that runs all parts. */
    Loop loop() {
        return loop;
    }

    /** Called when the last byte of an attempt has been written. */
    void attemptWritten() {
        metrics.attemptDispatched();
    }

    /** Parses the load report in a response header; null if there is none. */
    Report parseLoadReport(String header) {
        return active.loadReport().parsePairs(header);
    }

    /** Returns whether a second attempt at the request does no harm. */
    boolean isRepeatable(PendingRequest request) {
        return active.isRepeatable(request.job.requestClass);
    }

    /** Returns whether the worker list is fresh enough to start an attempt. */
    boolean mayStartAttempt() {
        return membership.mayStartAttempt();
    }

    /** Reads what has arrived from the client of a request, within the limit of a round; returns whether all of it was read. */
    boolean readArrivedInput(PendingRequest request) {
        return server.readArrivedInput(request.client);
    }

    /** Returns whether attempts can be cancelled. */
    boolean canCancelAttempts() {
        return active.settings().cancelAllowed;
    }

    /** Returns the time within which a healthy worker accepts a job. */
    long acceptTimeoutUs() {
        return active.acceptTimeoutUs();
    }

    /** Notifies a worker that an attempt it accepted is cancelled; runs the task once the notice is sent or can't be sent. */
    void notifyCancelled(Attempt attempt, Runnable after) {
        attempts.notifyCancelled(attempt, after);
    }

    /** Called exactly once for every attempt, when it ends. */
    void attemptEnded(Attempt attempt, Outcome outcome, long elapsedUs, Report report, byte[] result) {
        attempts.attemptEnded(attempt, outcome, elapsedUs, report, result);
    }

    // ---- Contract.Host ----

    @Override
    public void send(int requestId, int workerId, long withinUs) {
        attempts.send(requestId, workerId, withinUs);
    }

    @Override
    public void reportEndReason(int requestId, EndReason reason) {
        PendingRequest request = pending.byNumber(requestId);
        invariants.count("requests given up " + reason);
        events.log(() -> "request " + (request == null ? requestId : request.clientId()) + " given up: " + reason);
    }

    @Override
    public void reject(int requestId, long retryAfterUs) {
        PendingRequest request = pending.byNumber(requestId);
        if (invariants.check(request != null && !request.closed, "refusal of a closed request")) {
            pending.reject(request, retryAfterUs);
        }
    }

    @Override
    public void fail(int requestId) {
        PendingRequest request = pending.byNumber(requestId);
        if (invariants.check(request != null && !request.closed, "failure of a closed request")) {
            pending.respond(request, HttpStatus.INTERNAL_SERVER_ERROR, null, NO_BODY);
            pending.removeIfFinished(request);
        }
    }

    @Override
    public void cancel(int requestId, int attempt) {
        attempts.cancel(requestId, attempt);
    }

    @Override
    public void probe(int workerId) {
        prober.probe(workerId);
    }

    @Override
    public void startTimer(long token, long delayUs) {
        // Unread data is processed before a queued job is sent: its client may have disconnected, or a worker may be draining.
        loop.schedule(delayUs, () -> loop.afterIoRound(() -> module.timerExpired(loop.nowUs(), token)));
    }

    @Override
    public void startRequestTimer(int requestId, long token, long delayUs) {
        PendingRequest request = pending.byNumber(requestId);
        if (invariants.check(request != null, "guard of an unknown request")) {
            request.setTimer(loop.schedule(delayUs, () -> module.timerExpired(loop.nowUs(), token)));
        }
    }

    @Override
    public void watchWorkerList(boolean on) {
        membership.watch(on);
    }

    @Override
    public void fetchWorkerList() {
        membership.fetch();
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        // The socket protocol has no messages between schedulers.
        invariants.count("messages to peers dropped");
    }

    @Override
    public void log(String text) {
        Log.line("module: " + text);
    }
}
