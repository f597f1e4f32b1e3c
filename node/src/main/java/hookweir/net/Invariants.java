package hookweir.net;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Checks invariants and counts events. A violated invariant fails an assertion if assertions are enabled (java -ea, as in all
 * tests) and is counted otherwise; the counts are written to the log. Thread-safe.
 */
public final class Invariants {
    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

    /** Checks an invariant and returns whether it holds; violations are counted under the name. */
    public boolean check(boolean holds, String name) {
        if (!holds) {
            count("BROKEN " + name);
            assert false : name;
        }
        return holds;
    }

    /** Counts an event, such as a malformed line from a peer, that the scheduler tolerates. */
    public void count(String name) {
        counts.computeIfAbsent(name, k -> new LongAdder()).increment();
    }

    /** Returns the count of an event. */
    public long counted(String name) {
        LongAdder counter = counts.get(name);
        return counter == null ? 0 : counter.sum();
    }

    /** Formats all counters on one line, sorted by name. */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder();
        counts.keySet().stream().sorted().forEach(k -> line.append(line.length() == 0 ? "" : ", ").append(k).append('=').append(counted(k)));
        return line.toString();
    }
}
