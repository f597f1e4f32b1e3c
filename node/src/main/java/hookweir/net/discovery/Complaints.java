package hookweir.net.discovery;

import hookweir.net.Invariants;
import hookweir.net.Log;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * What could not be used of the list: each case is counted, and logged with its reason once, so that a faulty entry that comes
 * again with each list fills no log. It remembers the last {@link #MOST} cases; one that was forgotten is logged again.
 */
final class Complaints {
    static final int MOST = 256;
    private static final int MOST_CHARS = 120;

    private final Invariants invariants;
    private final Set<String> logged = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST;
        }
    });

    Complaints(Invariants invariants) {
        this.invariants = invariants;
    }

    /** Counts under the name, and logs the case where it is new; what the list said is cut short and kept to one line. */
    void about(String counter, String what, String reason) {
        invariants.count(counter);
        String plain = what.replaceAll("[^\\x20-\\x7e]", "?");
        String text = counter + ": " + (plain.length() > MOST_CHARS ? plain.substring(0, MOST_CHARS) + "..." : plain) + " " + reason;
        if (logged.add(text)) {
            invariants.count("discovery complaints logged");
            Log.line(text);
        }
    }
}
