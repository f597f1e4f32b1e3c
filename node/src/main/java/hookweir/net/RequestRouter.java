package hookweir.net;

import hookweir.net.admin.Metrics;
import hookweir.net.admin.ServingState;
import hookweir.net.server.HttpServer;
import hookweir.net.server.InboundConnection;
import hookweir.net.server.InboundRequest;
import hookweir.net.server.RequestHandler;

/** Routes requests by path: callbacks from workers, health checks and jobs. Belongs to the {@link Loop}. */
final class RequestRouter implements RequestHandler {
    private static final byte[] NO_BODY = new byte[0];
    private static final String POST = "POST";

    private final Invariants invariants;
    private final ServingState standing;
    private final Metrics metrics;
    private final ActiveSettings active;
    private final HttpServer server;
    private final CallbackReceiver callbacks;
    private final JobAdmission admission;

    RequestRouter(Invariants invariants, ServingState standing, Metrics metrics, ActiveSettings active, HttpServer server,
            CallbackReceiver callbacks, JobAdmission admission) {
        this.invariants = invariants;
        this.standing = standing;
        this.metrics = metrics;
        this.active = active;
        this.server = server;
        this.callbacks = callbacks;
        this.admission = admission;
    }

    @Override
    public void handle(InboundConnection connection, InboundRequest request) {
        if (!route(connection, request)) {
            server.releaseBody(request);
        }
    }

    /** Routes a request and returns whether it is now pending. */
    private boolean route(InboundConnection connection, InboundRequest request) {
        if (request.path().equals("/callback")) {
            callback(connection, request);
        } else if (request.path().equals("/healthz")) {
            server.respond(connection, standing.wantsNewClients() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE, null, NO_BODY);
        } else if (!isJob(request.path())) {
            invariants.count("ingress unknown path");
            server.respond(connection, HttpStatus.NOT_FOUND, null, NO_BODY);
        } else if (!request.method().equals(POST)) {
            server.respond(connection, HttpStatus.METHOD_NOT_ALLOWED, null, NO_BODY);
        } else {
            return admission.accept(connection, request);
        }
        return false;
    }

    private void callback(InboundConnection connection, InboundRequest request) {
        server.markCallbackConnection(connection);
        if (request.method().equals(POST)) {
            callbacks.receive(connection, request.body());
        } else {
            server.respond(connection, HttpStatus.METHOD_NOT_ALLOWED, null, NO_BODY);
        }
    }

    /** Classes without a key use the bare path. */
    @Override
    public boolean isJob(String path) {
        return path.equals("/api") || path.startsWith("/api/");
    }

    @Override
    public int classNumber(String className) {
        return active.requestParser().classNumber(className);
    }

    @Override
    public long timeoutUs(String className, String deadlineMs) {
        return active.requestParser().timeoutUs(className, deadlineMs);
    }

    @Override
    public void jobRejected(String className) {
        int number = classNumber(className);
        if (number >= 0) {
            metrics.jobRejected(active.className(number));
        }
    }

    @Override
    public String retryAfter() {
        return admission.retryAfter();
    }
}
