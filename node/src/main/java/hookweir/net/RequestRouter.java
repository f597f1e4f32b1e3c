package hookweir.net;

import hookweir.net.admin.Figures;
import hookweir.net.admin.Standing;
import hookweir.net.server.Ingress;
import hookweir.net.server.IngressConnection;
import hookweir.net.server.IngressRequest;
import hookweir.net.server.RequestHandler;

/** Routes requests by their path: workers' call-backs, health checks and jobs. Belongs to the {@link Loop}. */
final class RequestRouter implements RequestHandler {
    private static final byte[] NO_BODY = new byte[0];
    private static final String POST = "POST";

    private final Invariants invariants;
    private final Standing standing;
    private final Figures figures;
    private final ActiveSettings active;
    private final Ingress ingress;
    private final CallbackReceiver callbacks;
    private final JobAdmission admission;

    RequestRouter(Invariants invariants, Standing standing, Figures figures, ActiveSettings active, Ingress ingress,
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
    public void request(IngressConnection from, IngressRequest request) {
        if (!route(from, request)) {
            ingress.release(request);
        }
    }

    /** Whether the request is held from now on. */
    private boolean route(IngressConnection from, IngressRequest request) {
        if (request.path().equals("/callback")) {
            callback(from, request);
        } else if (request.path().equals("/healthz")) {
            ingress.answer(from, standing.wantsClients() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE, null, NO_BODY);
        } else if (!isJob(request.path())) {
            invariants.count("ingress unknown path");
            ingress.answer(from, HttpStatus.NOT_FOUND, null, NO_BODY);
        } else if (!request.method().equals(POST)) {
            ingress.answer(from, HttpStatus.METHOD_NOT_ALLOWED, null, NO_BODY);
        } else {
            return admission.accept(from, request);
        }
        return false;
    }

    private void callback(IngressConnection from, IngressRequest request) {
        ingress.carriesCallbacks(from);
        if (request.method().equals(POST)) {
            callbacks.receive(from, request.body());
        } else {
            ingress.answer(from, HttpStatus.METHOD_NOT_ALLOWED, null, NO_BODY);
        }
    }

    /** Classes without a key come to the bare path. */
    @Override
    public boolean isJob(String path) {
        return path.equals("/api") || path.startsWith("/api/");
    }

    @Override
    public int classNumber(String className) {
        return active.requestParser().numberOf(className);
    }

    @Override
    public void rejected(String className) {
        int number = classNumber(className);
        if (number >= 0) {
            figures.turnedAway(active.className(number));
        }
    }

    @Override
    public String retryAfter() {
        return admission.retryAfter();
    }
}
