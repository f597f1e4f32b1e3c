package hookweir.net.discovery;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Numbers of workers for the module: the hex digits of their ids, so that all schedulers number them alike. It holds the
 * workers that discovery lists now, no more: one that is deleted, or missing from a whole list, is forgotten, so that
 * days of replaced workers don't fill the heap. One that comes back is numbered anew, by the same digits.
 */
final class WorkerIds {
    private final Map<String, Integer> ids = new HashMap<>();
    private final Map<Integer, String> names = new HashMap<>();

    int idOf(String name) {
        Integer known = ids.get(name);
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
        ids.put(name, n);
        return n;
    }

    /** A worker that is gone: its number is free again once its deletion has been told. */
    void remove(String name) {
        Integer n = ids.remove(name);
        if (n != null) {
            names.remove(n);
        }
    }

    /** After a whole list: all but the listed are gone. */
    void retainOnly(Set<String> listed) {
        ids.keySet().removeIf(name -> !listed.contains(name));
        names.values().removeIf(name -> !listed.contains(name));
    }

    /** Workers numbered now. */
    int size() {
        return ids.size();
    }
}
