package hookweir.net;

import hookweir.net.admin.Figures;
import hookweir.net.server.Ingress;
import hookweir.room.ResourceBudget;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The requests held, from their acceptance until each has its final answer and no attempt is out. The one place that gives
 * final answers and forgets requests. Belongs to the {@link Loop}.
 */
final class HeldRequests {
    private static final byte[] NO_BODY = new byte[0];
    private static final int MAX_RECENT_IDS = 4096;

    private final Invariants invariants;
    private final Figures figures;
    private final ActiveSettings active;
    private final ResourceBudget room;
    private final Ingress ingress;
    private final Map<Integer, PendingRequest> byNumber = new HashMap<>();
    private final Map<String, PendingRequest> byClientId = new HashMap<>();
    /** Clients' ids of the last requests, held or not. */
    private final Set<String> recentIds = Recent.last(MAX_RECENT_IDS);

    HeldRequests(Invariants invariants, Figures figures, ActiveSettings active, ResourceBudget room, Ingress ingress) {
        this.invariants = invariants;
        this.figures = figures;
        this.active = active;
        this.room = room;
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
        byNumber.put(request.request.id, request);
        byClientId.put(request.from.headers().id(), request);
    }

    /** Gives the final answer, unless there was one or its client left. */
    void answer(PendingRequest request, int status, String retryAfter, byte[] body) {
        if (request.closed) {
            return;
        }
        request.closed = true;
        invariants.count("answers " + status);
        figures.answered(active.className(request.request.requestClass), status);
        ingress.answer(request.client, status, retryAfter, body);
    }

    /** Refuses a request: its client may try again, best after so long. */
    void refuse(PendingRequest request, long retryAfterUs) {
        answer(request, HttpStatus.TOO_MANY_REQUESTS, seconds(retryAfterUs), NO_BODY);
        settle(request);
    }

    /** Forgets a request that has its final answer and no attempt out. */
    void settle(PendingRequest request) {
        if (request.closed && request.out() == null && byNumber.remove(request.request.id, request)) {
            byClientId.remove(request.from.headers().id(), request);
            if (request.guard != null) {
                request.guard.cancel();
            }
            room.releaseJob();
            ingress.release(request.from);
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
    long answered() {
        return byNumber.values().stream().filter(request -> request.closed).count();
    }

    /** A Retry-After header's value, or null for none. */
    static String seconds(long us) {
        return us <= 0 ? null : String.format(Locale.ROOT, "%.3f", us / 1e6);
    }
}
