package hookweir.net;

import hookweir.Contract;
import hookweir.net.admin.Metrics;
import hookweir.net.server.HttpServer;
import hookweir.net.server.InboundConnection;
import hookweir.net.server.InboundRequest;
import hookweir.net.server.RequestParser;
import hookweir.room.ResourceBudget;
import java.nio.charset.StandardCharsets;

/** Admits jobs: validates a request, stores it and hands it to the decision module. Belongs to the {@link Loop}. */
final class JobAdmission {
    private static final byte[] NO_BODY = new byte[0];
    private static final long US_PER_MS = 1_000;
    /** A response is due this much before the deadline, as the decision module's are. */
    private static final int DEADLINE_MARGIN_TICKS = 2;

    private final Loop loop;
    private final Invariants invariants;
    private final EventLog events;
    private final Metrics metrics;
    private final ActiveSettings active;
    private final ResourceBudget budget;
    private final HttpServer server;
    private final PendingRequests pending;
    private final RequestClaims claims;
    private final Contract.Dispatcher module;
    private int lastRequestId;
    /** Whether too little time is left to wait for the peer processes. */
    private boolean claimsEnded;

    JobAdmission(Loop loop, Invariants invariants, EventLog events, Metrics metrics, ActiveSettings active, ResourceBudget budget, HttpServer server,
            PendingRequests pending, RequestClaims claims, Contract.Dispatcher module) {
        this.loop = loop;
        this.invariants = invariants;
        this.events = events;
        this.metrics = metrics;
        this.active = active;
        this.budget = budget;
        this.server = server;
        this.pending = pending;
        this.claims = claims;
        this.module = module;
    }

    /** Accepts a job. Returns true if it is now pending; otherwise a response has been sent. */
    boolean accept(InboundConnection connection, InboundRequest request) {
        Contract.Request parsed;
        try {
            parsed = active.requestParser().parse(request.headers(), request.path(), ++lastRequestId, loop.nowUs());
        } catch (RequestParser.BadRequestException e) {
            invariants.count("ingress bad request");
            server.respond(connection, HttpStatus.BAD_REQUEST, null, e.getMessage().getBytes(StandardCharsets.US_ASCII));
            return false;
        }
        if (!claims.claimLocally(request.headers().id())) {
            // Workers identify a job by its id and may still run it after the final response, so two jobs with one id could not be
            // distinguished.
            invariants.count("ingress id twice");
            server.respond(connection, HttpStatus.CONFLICT, null, NO_BODY);
            return false;
        }
        if (budget.admitJob(parsed.requestClass) == ResourceBudget.Admission.REJECT) {
            invariants.count("requests refused for room");
            metrics.jobRejected(active.className(parsed.requestClass));
            server.respond(connection, HttpStatus.TOO_MANY_REQUESTS, retryAfter(), NO_BODY);
            return false;
        }
        PendingRequest added = new PendingRequest(parsed, request, connection, loop.nowUs());
        pending.add(added);
        metrics.jobAccepted();
        server.setClientDisconnectAction(connection, () -> clientDisconnected(added));
        claims.claimFromPeers(added, isNew -> idClaimed(added, isNew));
        if (claims.isWaiting(added)) {
            limitClaim(added);
        }
        return true;
    }

    /** The decision module does not know the request yet, so that its response in time is due here. */
    private void limitClaim(PendingRequest request) {
        if (claimsEnded) {
            rejectUnclaimed(request);
            return;
        }
        long remainingUs = request.job.deadlineAtUs - DEADLINE_MARGIN_TICKS * active.settings().tickUs - loop.nowUs();
        request.setTimer(loop.schedule(remainingUs, () -> rejectUnclaimed(request)));
    }

    private void rejectUnclaimed(PendingRequest request) {
        if (claims.isWaiting(request)) {
            invariants.count("requests not claimed in time");
            claims.abandon(request);
            pending.reject(request, module.retryAfterUs());
        }
    }

    /** Rejects the requests whose ids are being claimed, and from now on all that would have to wait for that: this process is about to end. */
    void endClaims() {
        claimsEnded = true;
        pending.all().forEach(this::rejectUnclaimed);
    }

    /** Hands a request to the decision module, unless another process of this scheduler has a request with this id. */
    private void idClaimed(PendingRequest request, boolean isNew) {
        if (request.closed) {
            return; // its client disconnected meanwhile
        }
        if (!isNew) {
            invariants.count("ingress id twice");
            pending.rejectDuplicate(request);
            return;
        }
        if (request.job.tenant == RequestParser.NO_TENANT) {
            invariants.count("requests of no known owner");
        }
        invariants.count("requests");
        module.requestAccepted(loop.nowUs(), request.job);
    }

    private void clientDisconnected(PendingRequest request) {
        request.closed = true;
        metrics.clientDisconnected();
        invariants.count("clients gone");
        logDisconnect(request);
        module.requestAbandoned(loop.nowUs(), request.job.id);
        pending.removeIfFinished(request);
    }

    private void logDisconnect(PendingRequest request) {
        long now = loop.nowUs();
        Attempt outstanding = request.outstandingAttempt();
        events.log(() -> "request " + request.clientId() + " of " + request.client.peerAddress() + ": its client left after "
            + (now - request.acceptedUs) / US_PER_MS + " ms, " + request.attempts.size() + " attempts, "
            + (outstanding == null ? "none" : "number " + outstanding.number) + " outstanding; " + request.client.describeInput(now));
    }

    /** Returns the Retry-After value for jobs that the decision module does not see; null for none. */
    String retryAfter() {
        return PendingRequests.retryAfterSeconds(module.retryAfterUs());
    }
}
