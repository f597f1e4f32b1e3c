package hookweir.net.discovery;

import hookweir.net.BoundedSets;
import hookweir.net.Invariants;
import hookweir.net.Log;
import java.util.Set;

/**
 * Reports invalid parts of the worker list. Each error is counted, and logged with its reason once, so that a faulty entry that
 * comes with each list doesn't fill the log. Remembers the last {@link #MAX_REMEMBERED} errors; an older one is logged again.
 */
final class ListErrorLog {
    static final int MAX_REMEMBERED = 256;
    private static final int MAX_SHOWN_CHARS = 120;

    private final Invariants invariants;
    private final Set<String> logged = BoundedSets.evictingOldest(MAX_REMEMBERED);

    ListErrorLog(Invariants invariants) {
        this.invariants = invariants;
    }

    /** Increments the counter, and logs the error if it is new; the faulty text is shortened and reduced to one line of ASCII. */
    void report(String counter, String faultyText, String reason) {
        invariants.count(counter);
        String shown = faultyText.length() > MAX_SHOWN_CHARS ? faultyText.substring(0, MAX_SHOWN_CHARS) + "..." : faultyText;
        String message = counter + ": " + shown.replaceAll("[^\\x20-\\x7e]", "?") + " " + reason;
        if (logged.add(message)) {
            invariants.count("discovery complaints logged");
            Log.line(message);
        }
    }
}
