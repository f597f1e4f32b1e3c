package hookweir.net;

import hookweir.Contract;
import hookweir.net.admin.Metrics;
import hookweir.net.server.HttpServer;
import hookweir.net.server.InboundConnection;
import hookweir.net.server.InboundRequest;
import hookweir.net.server.RequestParser;
import hookweir.room.ResourceBudget;
import java.nio.charset.StandardCharsets;

/** Takes jobs: checks a request, holds it and hands it to the decision module. Belongs to the {@link Loop}. */
final class JobAdmission {
    private static final byte[] NO_BODY = new byte[0];

    private final Loop loop;
    private final Invariants invariants;
    private final Metrics figures;
    private final ActiveSettings active;
    private final ResourceBudget budget;
    private final HttpServer ingress;
    private final PendingRequests pending;
    private final Contract.Dispatcher module;
    private int lastRequestId;

    JobAdmission(Loop loop, Invariants invariants, Metrics figures, ActiveSettings active, ResourceBudget room, HttpServer ingress, PendingRequests held,
            Contract.Dispatcher module) {
        this.loop = loop;
        this.invariants = invariants;
        this.figures = figures;
        this.active = active;
        this.budget = room;
        this.ingress = ingress;
        this.pending = held;
        this.module = module;
    }

    /** Takes a job, and returns true where it is held from now on; else the request has been answered. */
    boolean accept(InboundConnection from, InboundRequest request) {
        Contract.Request parsed;
        try {
            parsed = active.requestParser().parse(request.headers(), request.path(), ++lastRequestId, loop.nowUs());
        } catch (RequestParser.BadRequestException e) {
            invariants.count("ingress bad request");
            ingress.respond(from, HttpStatus.BAD_REQUEST, null, e.getMessage().getBytes(StandardCharsets.US_ASCII));
            return false;
        }
        if (!pending.claim(request.headers().id())) {
            // An id names one job to workers, which may run it still when its answer is given: two of one id could
            // not be told apart.
            invariants.count("ingress id twice");
            ingress.respond(from, HttpStatus.CONFLICT, null, NO_BODY);
            return false;
        }
        if (budget.admitJob(parsed.requestClass) == ResourceBudget.Admission.REJECT) {
            invariants.count("requests refused for room");
            figures.jobRejected(active.className(parsed.requestClass));
            ingress.respond(from, HttpStatus.TOO_MANY_REQUESTS, retryAfter(), NO_BODY);
            return false;
        }
        add(new PendingRequest(parsed, request, from));
        return true;
    }

    private void add(PendingRequest request) {
        Contract.Request parsed = request.job;
        if (parsed.tenant == RequestParser.NO_TENANT) {
            invariants.count("requests of no known owner");
        }
        pending.add(request);
        invariants.count("requests");
        figures.jobAccepted();
        ingress.setClientDisconnectAction(request.client, () -> clientDisconnected(request));
        module.requestAccepted(loop.nowUs(), parsed);
    }

    private void clientDisconnected(PendingRequest request) {
        request.closed = true;
        figures.jobAbandoned();
        invariants.count("clients gone");
        module.requestAbandoned(loop.nowUs(), request.job.id);
        pending.removeIfFinished(request);
    }

    /** The Retry-After header's value for jobs that are rejected for lack of room, or null. */
    String retryAfter() {
        Contract.Settings settings = active.settings();
        return settings.retryAfterAllowed ? PendingRequests.retryAfterSeconds(settings.maxRetryAfterUs) : null;
    }
}
