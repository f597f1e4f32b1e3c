package hookweir.net.discovery;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Numeric ids of workers for the scheduling module, taken from the hex digits of their names so that all schedulers use the same
 * ids. Holds only the workers that are currently listed: one that is deleted, or missing from a whole list, is removed, so that
 * replaced workers don't fill the heap over days. A worker that returns gets an id again from the same digits.
 */
final class WorkerIds {
    private final Map<String, Integer> ids = new HashMap<>();
    private final Map<Integer, String> names = new HashMap<>();

    int idOf(String name) {
        Integer known = ids.get(name);
        if (known != null) {
            return known;
        }
        int id;
        try {
            id = Integer.parseUnsignedInt(name.substring(name.lastIndexOf('-') + 1), 16);
        } catch (NumberFormatException e) {
            id = name.hashCode();
        }
        while (names.containsKey(id)) {
            id++; // two names with the same number: the later one takes the next free number
        }
        names.put(id, name);
        ids.put(name, id);
        return id;
    }

    /** Removes a deleted worker; its id is free again. */
    void remove(String name) {
        Integer id = ids.remove(name);
        if (id != null) {
            names.remove(id);
        }
    }

    /** Removes all workers that a whole list doesn't contain. */
    void retainOnly(Set<String> listed) {
        ids.keySet().removeIf(name -> !listed.contains(name));
        names.values().removeIf(name -> !listed.contains(name));
    }

    /** Returns the number of workers that have an id. */
    int size() {
        return ids.size();
    }
}
