package hookweir.net;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Sets with a bound that forget the eldest. */
public final class BoundedSets {
    private BoundedSets() {
    }

    /** A set of the last so many things that were added; one that is in it already keeps its age. */
    public static <T> Set<T> evictingOldest(int most) {
        return Collections.newSetFromMap(new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<T, Boolean> eldest) {
                return size() > most;
            }
        });
    }
}
