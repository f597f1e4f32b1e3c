package hookweir.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The ids of recent requests: how many are kept, and which come last. */
final class RequestIdsTest {
    private static final int KEPT_OF_EACH_KIND = 4096;
    private static final int KINDS = 3;

    @Test
    void eachKindOfIdIsBounded() {
        RequestIds ids = new RequestIds();
        for (int i = 0; i < 2 * KEPT_OF_EACH_KIND; i++) {
            ids.addOfPeer("p" + i);
            ids.claim("r" + i);
            ids.addRun("r" + i);
            ids.claim("o" + i);
        }
        assertEquals(KINDS * KEPT_OF_EACH_KIND, ids.all().size());
        assertTrue(ids.isUsed("r" + KEPT_OF_EACH_KIND));
        assertFalse(ids.claim("r" + KEPT_OF_EACH_KIND));
        assertFalse(ids.isUsed("r" + (KEPT_OF_EACH_KIND - 1)));
        assertTrue(ids.all().stream().skip((KINDS - 1) * KEPT_OF_EACH_KIND).allMatch(id -> id.startsWith("r")), "the successor keeps the last ones longest");
    }
}
