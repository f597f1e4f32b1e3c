package hookweir.net.discovery;

import hookweir.net.BoundedSets;
import hookweir.net.Invariants;
import hookweir.net.Log;
import java.util.Set;

/**
 * What could not be used of the list: each case is counted, and logged with its reason once, so that a faulty entry that comes
 * again with each list fills no log. It remembers the last {@link #MOST} cases; one that was forgotten is logged again.
 */
final class Complaints {
    static final int MOST = 256;
    private static final int MOST_CHARS = 120;

    private final Invariants invariants;
    private final Set<String> logged = BoundedSets.evictingOldest(MOST);

    Complaints(Invariants invariants) {
        this.invariants = invariants;
    }

    /** Counts under the name, and logs the case where it is new; what the list said is cut short and kept to one line. */
    void about(String counter, String what, String reason) {
        invariants.count(counter);
        String shown = what.length() > MOST_CHARS ? what.substring(0, MOST_CHARS) + "..." : what;
        String text = counter + ": " + shown.replaceAll("[^\\x20-\\x7e]", "?") + " " + reason;
        if (logged.add(text)) {
            invariants.count("discovery complaints logged");
            Log.line(text);
        }
    }
}
