package hookweir.net;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Creates sets of bounded size. */
public final class BoundedSets {
    private BoundedSets() {
    }

    /** Returns a set that removes its oldest element when it exceeds the maximum size; adding an element again keeps its age. */
    public static <T> Set<T> evictingOldest(int maxSize) {
        return Collections.newSetFromMap(new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<T, Boolean> eldest) {
                return size() > maxSize;
            }
        });
    }
}
