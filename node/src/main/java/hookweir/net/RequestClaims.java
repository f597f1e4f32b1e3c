package hookweir.net;

import hookweir.net.upgrade.PeerConnection;
import hookweir.net.upgrade.PeerProcesses;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Ensures that only one process of this scheduler accepts a request id. A process claims an id from its peers before it accepts the
 * request, so each knows all ids of the others that were accepted while both ran; a new process receives the earlier ones. If two
 * processes claim an id at the same time, the older process gets it. Belongs to the {@link Loop}.
 */
final class RequestClaims {
    private final RequestIds ids = new RequestIds();
    private final PendingRequests pending;
    private final PeerProcesses peers;

    RequestClaims(PendingRequests pending, PeerProcesses peers) {
        this.pending = pending;
        this.peers = peers;
        pending.onRemoval(this::remember);
    }

    private void remember(PendingRequest removed) {
        if (removed.mayHaveRun()) {
            ids.addRun(removed.clientId());
        }
    }

    /** Claims the id within this process; false if a pending or recent request of any process had it. */
    boolean claimLocally(String id) {
        return pending.byClientId(id) == null && ids.claim(id);
    }

    /**
     * Claims the id of a pending request from the peer processes.
     *
     * @param result runs once, with whether the request may be accepted: at once if there is no peer process
     */
    void claimFromPeers(PendingRequest request, Consumer<Boolean> result) {
        request.claimResult = result;
        peers.claimId(request.clientId(), null, usedByPeer -> complete(request, usedByPeer));
    }

    /** Returns whether the request waits for the verdict of a peer process. */
    boolean isWaiting(PendingRequest request) {
        return request.claimResult != null;
    }

    /** Stops waiting for the verdict: the request is not accepted, and the result does not run. Its id remains used. */
    void abandon(PendingRequest request) {
        request.claimResult = null;
    }

    private void complete(PendingRequest request, boolean usedByPeer) {
        Consumer<Boolean> result = request.claimResult;
        request.claimResult = null;
        if (usedByPeer) {
            ids.addOfPeer(request.clientId());
        }
        if (result != null) {
            result.accept(!usedByPeer);
        }
    }

    /** Handles the claim of a peer process; the verdict is whether the id was used here or in a further process. */
    void claimedByPeer(String id, PeerConnection from, Consumer<Boolean> verdict) {
        PendingRequest request = pending.byClientId(id);
        if (request != null && request.claimResult != null && from.isPredecessor()) {
            complete(request, true);
        } else if (request != null || ids.isUsed(id)) {
            verdict.accept(true);
            return;
        }
        ids.addOfPeer(id);
        peers.claimId(id, from, verdict);
    }

    /** Records the ids that a peer process knew before it was connected to this one. */
    void learn(List<String> idsOfPeer) {
        idsOfPeer.forEach(ids::addOfPeer);
    }

    /** Returns all ids that this process knows, the pending ones last. */
    Set<String> knownIds() {
        Set<String> known = ids.all();
        known.addAll(pending.clientIds());
        return known;
    }
}
