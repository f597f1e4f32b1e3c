package hookweir.net.discovery;

import hookweir.net.BoundedSets;
import hookweir.net.Invariants;
import hookweir.net.Log;
import java.util.Set;

/**
 * What could not be used of the list: each case is counted, and logged with its reason once, so that a faulty entry that comes
 * again with each list fills no log. It remembers the last {@link #MAX_REMEMBERED} cases; one that was forgotten is logged again.
 */
final class ListErrorLog {
    static final int MAX_REMEMBERED = 256;
    private static final int MAX_SHOWN_CHARS = 120;

    private final Invariants invariants;
    private final Set<String> logged = BoundedSets.evictingOldest(MAX_REMEMBERED);

    ListErrorLog(Invariants invariants) {
        this.invariants = invariants;
    }

    /** Counts under the name, and logs the case where it is new; what the list said is cut short and kept to one line. */
    void report(String counter, String what, String reason) {
        invariants.count(counter);
        String shown = what.length() > MAX_SHOWN_CHARS ? what.substring(0, MAX_SHOWN_CHARS) + "..." : what;
        String text = counter + ": " + shown.replaceAll("[^\\x20-\\x7e]", "?") + " " + reason;
        if (logged.add(text)) {
            invariants.count("discovery complaints logged");
            Log.line(text);
        }
    }
}
