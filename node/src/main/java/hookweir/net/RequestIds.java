package hookweir.net;

import hookweir.net.server.RequestParser;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The client-assigned ids of the most recent requests, those of this process and those of its peer processes. Workers identify a
 * job by its id, so an id is used for one request only. Belongs to the {@link Loop}.
 */
final class RequestIds {
    private static final int MAX_OWN_IDS = 4096;
    private static final int MAX_PEER_IDS = 4096;

    private final Set<String> own = BoundedSets.evictingOldest(MAX_OWN_IDS);
    private final Set<String> ofPeers = BoundedSets.evictingOldest(MAX_PEER_IDS);

    /** Records the id of a new request of this process; false if the id was used already. */
    boolean claim(String id) {
        return !ofPeers.contains(id) && own.add(id);
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
        return own.contains(id) || ofPeers.contains(id);
    }

    /** Returns a copy of all ids. */
    Set<String> all() {
        Set<String> all = new LinkedHashSet<>(ofPeers);
        all.addAll(own);
        return all;
    }
}
