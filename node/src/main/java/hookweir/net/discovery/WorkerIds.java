package hookweir.net.discovery;

import java.util.HashMap;
import java.util.Map;

/** Numbers of workers for the module: the hex digits of their ids, so that all schedulers number them alike. */
final class WorkerIds {
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<Integer, String> names = new HashMap<>();

    int number(String name) {
        Integer known = numbers.get(name);
        if (known != null) {
            return known;
        }
        int n;
        try {
            n = Integer.parseUnsignedInt(name.substring(name.lastIndexOf('-') + 1), 16);
        } catch (NumberFormatException e) {
            n = name.hashCode();
        }
        while (names.containsKey(n)) {
            n++; // two names of one number: the later one moves on
        }
        names.put(n, name);
        numbers.put(name, n);
        return n;
    }
}
