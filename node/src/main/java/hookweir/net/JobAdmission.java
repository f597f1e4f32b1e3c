package hookweir.net;

import hookweir.Contract;
import hookweir.net.admin.Figures;
import hookweir.net.server.Ingress;
import hookweir.net.server.IngressConnection;
import hookweir.net.server.IngressRequest;
import hookweir.net.server.RequestParser;
import hookweir.room.ResourceBudget;
import java.nio.charset.StandardCharsets;

/** Takes jobs: checks a request, holds it and hands it to the decision module. Belongs to the {@link Loop}. */
final class JobAdmission {
    private static final byte[] NO_BODY = new byte[0];

    private final Loop loop;
    private final Invariants invariants;
    private final Figures figures;
    private final ActiveSettings active;
    private final ResourceBudget budget;
    private final Ingress ingress;
    private final PendingRequests pending;
    private final Contract.Dispatcher module;
    private int lastRequestId;

    JobAdmission(Loop loop, Invariants invariants, Figures figures, ActiveSettings active, ResourceBudget room, Ingress ingress, PendingRequests held,
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
    boolean accept(IngressConnection from, IngressRequest request) {
        Contract.Request parsed;
        try {
            parsed = active.requestParser().parse(request.headers(), request.path(), ++lastRequestId, loop.nowUs());
        } catch (RequestParser.BadRequest e) {
            invariants.count("ingress bad request");
            ingress.answer(from, HttpStatus.BAD_REQUEST, null, e.getMessage().getBytes(StandardCharsets.US_ASCII));
            return false;
        }
        if (!pending.claim(request.headers().id())) {
            // An id names one job to workers, which may run it still when its answer is given: two of one id could
            // not be told apart.
            invariants.count("ingress id twice");
            ingress.answer(from, HttpStatus.CONFLICT, null, NO_BODY);
            return false;
        }
        if (budget.admitJob(parsed.requestClass) == ResourceBudget.Admission.REJECT) {
            invariants.count("requests refused for room");
            figures.turnedAway(active.className(parsed.requestClass));
            ingress.answer(from, HttpStatus.TOO_MANY_REQUESTS, retryAfter(), NO_BODY);
            return false;
        }
        add(new PendingRequest(parsed, request, from));
        return true;
    }

    private void add(PendingRequest request) {
        Contract.Request parsed = request.request;
        if (parsed.tenant == RequestParser.NOBODY) {
            invariants.count("requests of no known owner");
        }
        pending.add(request);
        invariants.count("requests");
        figures.taken();
        ingress.onDisconnect(request.client, () -> clientDisconnected(request));
        module.requestAccepted(loop.nowUs(), parsed);
    }

    private void clientDisconnected(PendingRequest request) {
        request.closed = true;
        figures.abandoned();
        invariants.count("clients gone");
        module.requestAbandoned(loop.nowUs(), request.request.id);
        pending.removeIfFinished(request);
    }

    /** The Retry-After header's value for jobs that are rejected for lack of room, or null. */
    String retryAfter() {
        Contract.Settings settings = active.settings();
        return settings.retryAfterAllowed ? PendingRequests.retryAfterSeconds(settings.maxRetryAfterUs) : null;
    }
}
