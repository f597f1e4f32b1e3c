package hookweir.net;

import hookweir.net.admin.Metrics;
import hookweir.net.server.HttpServer;
import hookweir.room.ResourceBudget;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The requests held, from their acceptance until each has its final answer and no attempt is out. The one place that gives
 * final answers and forgets requests. Belongs to the {@link Loop}.
 */
final class PendingRequests {
    private static final byte[] NO_BODY = new byte[0];
    private static final int MAX_RECENT_IDS = 4096;

    private final Invariants invariants;
    private final Metrics figures;
    private final ActiveSettings active;
    private final ResourceBudget budget;
    private final HttpServer ingress;
    private final Map<Integer, PendingRequest> byNumber = new HashMap<>();
    private final Map<String, PendingRequest> byClientId = new HashMap<>();
    /** Clients' ids of the last requests, held or not. */
    private final Set<String> recentIds = BoundedSets.evictingOldest(MAX_RECENT_IDS);

    PendingRequests(Invariants invariants, Metrics figures, ActiveSettings active, ResourceBudget room, HttpServer ingress) {
        this.invariants = invariants;
        this.figures = figures;
        this.active = active;
        this.budget = room;
        this.ingress = ingress;
    }

    /** The request that the decision module knows by this number, or null. */
    PendingRequest byNumber(int number) {
        return byNumber.get(number);
    }

    /** The request that its client gave this id, or null. */
    PendingRequest byClientId(String id) {
        return byClientId.get(id);
    }

    /** Whether a request with this id is held, or was held a while ago. */
    boolean isKnown(String id) {
        return byClientId.containsKey(id) || recentIds.contains(id);
    }

    /** Notes that a request with this id came; false where there was one before. */
    boolean claim(String id) {
        return !byClientId.containsKey(id) && recentIds.add(id);
    }

    /** Holds a request. */
    void add(PendingRequest request) {
        byNumber.put(request.job.id, request);
        byClientId.put(request.httpRequest.headers().id(), request);
    }

    /** Gives the final answer, unless there was one or its client left. */
    void respond(PendingRequest request, int status, String retryAfter, byte[] body) {
        if (request.closed) {
            return;
        }
        request.closed = true;
        invariants.count("answers " + status);
        figures.jobCompleted(active.className(request.job.requestClass), status);
        ingress.respond(request.client, status, retryAfter, body);
    }

    /** Refuses a request: its client may try again, best after so long. */
    void reject(PendingRequest request, long retryAfterUs) {
        respond(request, HttpStatus.TOO_MANY_REQUESTS, retryAfterSeconds(retryAfterUs), NO_BODY);
        removeIfFinished(request);
    }

    /** Forgets a request that has its final answer and no attempt out. */
    void removeIfFinished(PendingRequest request) {
        if (request.closed && request.outstandingAttempt() == null && byNumber.remove(request.job.id, request)) {
            byClientId.remove(request.httpRequest.headers().id(), request);
            if (request.requestTimer != null) {
                request.requestTimer.cancel();
            }
            budget.releaseJob();
            ingress.releaseBody(request.httpRequest);
        }
    }

    /** How many are held. */
    int size() {
        return byClientId.size();
    }

    /** Whether none is held. */
    boolean isEmpty() {
        return byNumber.isEmpty();
    }

    /** How many of those held have their final answer. */
    long respondedCount() {
        return byNumber.values().stream().filter(request -> request.closed).count();
    }

    /** A Retry-After header's value, or null for none. */
    static String retryAfterSeconds(long us) {
        return us <= 0 ? null : String.format(Locale.ROOT, "%.3f", us / 1e6);
    }
}
