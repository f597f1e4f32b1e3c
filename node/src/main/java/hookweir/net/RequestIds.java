package hookweir.net;

import hookweir.net.server.RequestParser;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The client-assigned ids of the most recent requests, those of this process and those of its peer processes. Workers identify a
 * job by its id, so an id is used for one request only. Ids of jobs that workers may have run are kept apart, so that rejected requests,
 * of which there may be any number, do not displace them. Belongs to the {@link Loop}.
 */
final class RequestIds {
    private static final int MAX_OWN_IDS = 4096;
    private static final int MAX_RUN_IDS = 4096;
    private static final int MAX_PEER_IDS = 4096;

    private final Set<String> own = BoundedSets.evictingOldest(MAX_OWN_IDS);
    /** Those of own jobs that a worker may have run. */
    private final Set<String> run = BoundedSets.evictingOldest(MAX_RUN_IDS);
    private final Set<String> ofPeers = BoundedSets.evictingOldest(MAX_PEER_IDS);

    /** Records the id of a new request of this process; false if the id was used already. */
    boolean claim(String id) {
        return !ofPeers.contains(id) && !run.contains(id) && own.add(id);
    }

    /** Records that a worker may have run the job with this id, which has ended. */
    void addRun(String id) {
        own.remove(id);
        run.add(id);
    }

    /** Records that a peer process has a request with this id, unless no request can have it. */
    void addOfPeer(String id) {
        if (id.length() <= RequestParser.MAX_ID_CHARS) {
            own.remove(id);
            ofPeers.add(id);
        }
    }

    /** Returns whether a recent request of any process had this id. */
    boolean isUsed(String id) {
        return own.contains(id) || run.contains(id) || ofPeers.contains(id);
    }

    /** Returns a copy of all ids; those that matter most, and that a limited set keeps longest, come last. */
    Set<String> all() {
        Set<String> all = new LinkedHashSet<>(ofPeers);
        all.addAll(own);
        all.addAll(run);
        return all;
    }
}
