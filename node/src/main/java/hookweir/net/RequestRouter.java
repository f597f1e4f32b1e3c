package hookweir.net;

import hookweir.net.admin.Metrics;
import hookweir.net.admin.ServingState;
import hookweir.net.server.HttpServer;
import hookweir.net.server.InboundConnection;
import hookweir.net.server.InboundRequest;
import hookweir.net.server.RequestHandler;

/** Routes requests by their path: workers' call-backs, health checks and jobs. Belongs to the {@link Loop}. */
final class RequestRouter implements RequestHandler {
    private static final byte[] NO_BODY = new byte[0];
    private static final String POST = "POST";

    private final Invariants invariants;
    private final ServingState standing;
    private final Metrics figures;
    private final ActiveSettings active;
    private final HttpServer ingress;
    private final CallbackReceiver callbacks;
    private final JobAdmission admission;

    RequestRouter(Invariants invariants, ServingState standing, Metrics figures, ActiveSettings active, HttpServer ingress,
            CallbackReceiver callbacks, JobAdmission intake) {
        this.invariants = invariants;
        this.standing = standing;
        this.figures = figures;
        this.active = active;
        this.ingress = ingress;
        this.callbacks = callbacks;
        this.admission = intake;
    }

    @Override
    public void handle(InboundConnection from, InboundRequest request) {
        if (!route(from, request)) {
            ingress.releaseBody(request);
        }
    }

    /** Whether the request is held from now on. */
    private boolean route(InboundConnection from, InboundRequest request) {
        if (request.path().equals("/callback")) {
            callback(from, request);
        } else if (request.path().equals("/healthz")) {
            ingress.respond(from, standing.wantsNewClients() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE, null, NO_BODY);
        } else if (!isJob(request.path())) {
            invariants.count("ingress unknown path");
            ingress.respond(from, HttpStatus.NOT_FOUND, null, NO_BODY);
        } else if (!request.method().equals(POST)) {
            ingress.respond(from, HttpStatus.METHOD_NOT_ALLOWED, null, NO_BODY);
        } else {
            return admission.accept(from, request);
        }
        return false;
    }

    private void callback(InboundConnection from, InboundRequest request) {
        ingress.markCallbackConnection(from);
        if (request.method().equals(POST)) {
            callbacks.receive(from, request.body());
        } else {
            ingress.respond(from, HttpStatus.METHOD_NOT_ALLOWED, null, NO_BODY);
        }
    }

    /** Classes without a key come to the bare path. */
    @Override
    public boolean isJob(String path) {
        return path.equals("/api") || path.startsWith("/api/");
    }

    @Override
    public int classNumber(String className) {
        return active.requestParser().classNumber(className);
    }

    @Override
    public void jobRejected(String className) {
        int number = classNumber(className);
        if (number >= 0) {
            figures.jobRejected(active.className(number));
        }
    }

    @Override
    public String retryAfter() {
        return admission.retryAfter();
    }
}
