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
import java.util.function.Consumer;

/**
 * The decision module's host, on the sockets. Owns the module, puts the parts of a scheduler together and passes the module's
 * calls to them; all of it runs on the {@link Loop}. The module is never entered from inside one of its own calls: what a call
 * leads to is posted.
 */
public final class SocketHost implements Contract.Host {
    private static final byte[] NO_BODY = new byte[0];

    private final Loop loop;
    private final Invariants invariants;
    private final EventLog events;
    private final ServingState standing;
    private final Metrics figures;
    private final ActiveSettings active;
    private final Contract.Dispatcher module;
    private final HttpServer ingress;
    private final WorkerConnectionPool egress;
    private final Membership membership;
    private final PeerProcesses succession;
    private final ProcessResources resources;
    private final PendingRequests pending;
    private final AttemptSender attempts;
    private final Prober prober;
    private final CallbackReceiver callbacks;
    private final RequestRouter router;
    private final Shutdown shutdown;
    private final StatusReporter reporter;
    /** Another process of this scheduler serves already when this one starts. */
    private boolean startedAsSuccessor;

    public SocketHost(Config config, Loop loop, Transport transport, Invariants invariants, ServingState standing,
            Metrics figures) {
        this.loop = loop;
        this.invariants = invariants;
        this.standing = standing;
        this.figures = figures;
        events = new EventLog(loop::nowUs, invariants);
        ResourceBudget budget = new ResourceBudget(config.maxHeldBytes(), config.maxHeldJobs());
        active = new ActiveSettings(budget, figures, config.settings());
        Connector dialer = new Connector(loop, transport);
        ingress = new HttpServer(loop, transport, invariants, events, budget, this::outboundConnections, new RequestForwarder());
        egress = new WorkerConnectionPool(loop, dialer, invariants, config.settings().connectTimeoutUs, config.settings().connectionIdleTimeoutUs, budget, ingress::connectionCount);
        module = new Policy(active.settings(), config.seed(), this);
        membership = new Membership(config, loop, dialer, invariants, events, egress, module, this::ready);
        succession = new PeerProcesses(loop, invariants, config.handoverSocketPath(), new PeerListener());
        resources = new ProcessResources(config, budget, egress, ingress, succession);
        pending = new PendingRequests(invariants, figures, active, budget, ingress);
        attempts = new AttemptSender(this, loop, invariants, events, active, egress, pending, module);
        prober = new Prober(loop, invariants, active, egress, module);
        callbacks = new CallbackReceiver(loop, invariants, active, ingress, pending, module, succession);
        JobAdmission intake = new JobAdmission(loop, invariants, figures, active, budget, ingress, pending, module);
        router = new RequestRouter(invariants, standing, figures, active, ingress, callbacks, intake);
        shutdown = new Shutdown(loop, invariants, standing, ingress, pending, module);
        reporter = new StatusReporter(loop, invariants, figures, budget, ingress, egress, pending, module, membership);
        resources.update();
    }

    /** Links to workers; the ingress asks before there are any. */
    private int outboundConnections() {
        return egress == null ? 0 : egress.connectionCount();
    }

    /** Passes requests to the router, which can't be made before the ingress that answers them. */
    private final class RequestForwarder implements RequestHandler {
        @Override
        public void handle(InboundConnection from, InboundRequest request) {
            router.handle(from, request);
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
        public void jobRejected(String className) {
            router.jobRejected(className);
        }

        @Override
        public String retryAfter() {
            return router.retryAfter();
        }
    }

    /** Receives what other processes of this scheduler do. */
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
    }

    // ---- start, reload and end ----

    /** Begins to learn of the workers. On the loop. */
    public void start(Config config) {
        membership.start(config);
        egress.start();
        reporter.start();
    }

    /**
     * Takes the clients' address; the port that it got. Where a process of this scheduler serves already, nobody is accepted until
     * this one is {@link #ready}. Before the loop runs.
     */
    public int listen(Config config) throws IOException {
        int port = ingress.listen(config.listenAddress(), config.inheritsListenSocket());
        startedAsSuccessor = succession.connectToPredecessor();
        if (startedAsSuccessor) {
            ingress.setAccepting(false);
        }
        return port;
    }

    /** The workers are known as well as they can be: requests are sent on from now on. */
    private void ready() {
        if (startedAsSuccessor) {
            ingress.setAccepting(true);
        }
        reporter.publish();
        standing.startServing();
        succession.announceServing();
        Log.line(startedAsSuccessor ? "took over" : "ready");
    }

    /**
     * Takes over a configuration that was read and checked whole. Jobs under way keep the numbers of their classes.
     * Where another address serves the list, what was told of it so far stands until that one speaks.
     */
    void reload(Config next) {
        active.apply(next.settings());
        resources.setLimits(next);
        resources.update();
        egress.setLimits(next.settings().connectTimeoutUs, next.settings().connectionIdleTimeoutUs);
        membership.applySettings(next.settings());
        module.settingsChanged(loop.nowUs(), active.settings());
        membership.moveTo(next.listServiceAddress());
        invariants.count("reloads");
        figures.configurationReloaded(true);
        Log.line("reloaded: discovery " + next.listServiceAddress() + ", classes " + next.settings().classNumbers + ", at most "
            + active.settings().maxAttempts + " attempts");
    }

    /** Operators sent clients away or called them back: those connected follow. A planned end is not undone by it. */
    void quiesceChanged() {
        shutdown.updateClientDraining();
    }

    /** Begins the planned end, which stops the loop once nothing is held. */
    public void drain() {
        shutdown.drain();
    }

    /** Ends what no connection's end does. */
    void close() {
        succession.close();
    }

    // ---- what attempts need ----

    /** The loop that all this runs on. */
    Loop loop() {
        return loop;
    }

    /** An attempt's last byte is written. */
    void attemptWritten() {
        figures.attemptDispatched();
    }

    /** A report from an answer's header, or null. */
    Report parseLoadReport(String header) {
        return active.loadReport().parsePairs(header);
    }

    /** A second attempt at it would do no harm. */
    boolean isRepeatable(PendingRequest request) {
        return active.isRepeatable(request.job.requestClass);
    }

    /** What is known of the workers is not out of date: an attempt may begin. */
    boolean mayStartAttempt() {
        return membership.mayStartAttempt();
    }

    /** Attempts can be called off. */
    boolean canCancelAttempts() {
        return active.settings().cancelAllowed;
    }

    /** A healthy worker says sooner than this that it took a job. */
    long acceptTimeoutUs() {
        return active.acceptTimeoutUs();
    }

    /** Tells a worker that an attempt that it took is given up; runs the task once that is on its way, or can't be. */
    void notifyCancelled(Attempt attempt, Runnable after) {
        attempts.notifyCancelled(attempt, after);
    }

    /** The one end of every attempt. */
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
    public void reject(int requestId, long comeBackUs) {
        PendingRequest request = pending.byNumber(requestId);
        if (invariants.check(request != null && !request.closed, "refusal of a closed request")) {
            pending.reject(request, comeBackUs);
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
        // What lies unread is heard before a held job goes out: its client may have left, or a worker been announced as leaving.
        loop.schedule(delayUs, () -> loop.afterIoRound(() -> module.timerExpired(loop.nowUs(), token)));
    }

    @Override
    public void startRequestTimer(int requestId, long token, long delayUs) {
        PendingRequest request = pending.byNumber(requestId);
        if (invariants.check(request != null, "guard of an unknown request")) {
            request.requestTimer = loop.schedule(delayUs, () -> module.timerExpired(loop.nowUs(), token));
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
