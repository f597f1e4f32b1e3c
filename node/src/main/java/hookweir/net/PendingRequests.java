package hookweir.net;

import hookweir.net.admin.Metrics;
import hookweir.net.server.HttpServer;
import hookweir.room.ResourceBudget;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The pending requests: each from its acceptance until it has its final response and no attempt is outstanding. Only this class
 * sends final responses and removes requests. Belongs to the {@link Loop}.
 */
final class PendingRequests {
    private static final byte[] NO_BODY = new byte[0];

    private final Invariants invariants;
    private final Metrics metrics;
    private final ActiveSettings active;
    private final ResourceBudget budget;
    private final HttpServer server;
    private final Map<Integer, PendingRequest> byNumber = new HashMap<>();
    private final Map<String, PendingRequest> byClientId = new HashMap<>();
    private Consumer<PendingRequest> removalListener = request -> { };

    PendingRequests(Invariants invariants, Metrics metrics, ActiveSettings active, ResourceBudget budget, HttpServer server) {
        this.invariants = invariants;
        this.metrics = metrics;
        this.active = active;
        this.budget = budget;
        this.server = server;
    }

    /** Returns the request with this number, as used by the decision module, or null. */
    PendingRequest byNumber(int number) {
        return byNumber.get(number);
    }

    /** Returns the request with this client-assigned id, or null. */
    PendingRequest byClientId(String id) {
        return byClientId.get(id);
    }

    /** Returns all pending requests, as of now. */
    List<PendingRequest> all() {
        return List.copyOf(byNumber.values());
    }

    /** Returns the client-assigned ids of all pending requests. */
    Set<String> clientIds() {
        return Collections.unmodifiableSet(byClientId.keySet());
    }

    /** Sets the listener that is notified of each request that is removed. */
    void onRemoval(Consumer<PendingRequest> listener) {
        removalListener = listener;
    }

    /** Adds a request. */
    void add(PendingRequest request) {
        byNumber.put(request.job.id, request);
        byClientId.put(request.httpRequest.headers().id(), request);
    }

    /** Sends the final response, unless one was sent or the client disconnected. */
    void respond(PendingRequest request, int status, String retryAfter, byte[] body) {
        if (request.closed) {
            return;
        }
        request.closed = true;
        invariants.count("answers " + status);
        metrics.jobCompleted(active.className(request.job.requestClass), status);
        server.respond(request.client, status, retryAfter, body);
    }

    /** Rejects a request; its client may retry, preferably after the given delay. */
    void reject(PendingRequest request, long retryAfterUs) {
        respond(request, HttpStatus.TOO_MANY_REQUESTS, retryAfterSeconds(retryAfterUs), NO_BODY);
        removeIfFinished(request);
    }

    /** Rejects a request whose id was used already. It does not count as a job. */
    void rejectDuplicate(PendingRequest request) {
        request.closed = true;
        metrics.jobAbandoned();
        server.respond(request.client, HttpStatus.CONFLICT, null, NO_BODY);
        removeIfFinished(request);
    }

    /** Removes a request that has its final response and no outstanding attempt. */
    void removeIfFinished(PendingRequest request) {
        if (request.closed && request.outstandingAttempt() == null && byNumber.remove(request.job.id, request)) {
            byClientId.remove(request.httpRequest.headers().id(), request);
            request.cancelTimer();
            budget.releaseJob();
            server.releaseBody(request.httpRequest);
            removalListener.accept(request);
        }
    }

    /** Returns the number of pending requests. */
    int size() {
        return byClientId.size();
    }

    /** Returns whether no request is pending. */
    boolean isEmpty() {
        return byNumber.isEmpty();
    }

    /** Returns whether every pending request has its final response. */
    boolean isEveryRequestAnswered() {
        return byNumber.values().stream().allMatch(request -> request.closed);
    }

    /** Returns how many of the pending requests have their final response. */
    long respondedCount() {
        return byNumber.values().stream().filter(request -> request.closed).count();
    }

    /** Formats a Retry-After value; null for none. */
    static String retryAfterSeconds(long us) {
        return us <= 0 ? null : String.format(Locale.ROOT, "%.3f", us / 1e6);
    }
}
