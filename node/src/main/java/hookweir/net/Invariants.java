package hookweir.net;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * What must hold, and what is merely worth a count. A broken invariant trips an assertion in debug builds
 * (java -ea, all tests) and is counted in release builds; the counts go to the log. Any thread may call.
 */
public final class Invariants {
    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

    /** Demands that something holds; its name is the counter's. */
    public boolean check(boolean holds, String name) {
        if (!holds) {
            count("BROKEN " + name);
            assert false : name;
        }
        return holds;
    }

    /** Counts something that peers may cause and that is survived, such as a malformed line. */
    public void count(String name) {
        counts.computeIfAbsent(name, k -> new LongAdder()).increment();
    }

    /** How often this was counted. */
    public long counted(String name) {
        LongAdder n = counts.get(name);
        return n == null ? 0 : n.sum();
    }

    /** All counters on one line, sorted by name. */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder();
        counts.keySet().stream().sorted().forEach(k -> line.append(line.length() == 0 ? "" : ", ").append(k).append('=').append(counted(k)));
        return line.toString();
    }
}
