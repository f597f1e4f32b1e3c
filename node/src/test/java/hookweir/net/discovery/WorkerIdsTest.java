package hookweir.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import hookweir.net.Invariants;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against a table of worker ids that grows with every replaced worker: it must hold only the workers currently listed. */
final class WorkerIdsTest {
    private static byte[] list(long version, boolean full, String servers) {
        return ("{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + servers + "]}")
            .getBytes(StandardCharsets.UTF_8);
    }

    private static String server(int n, String state) {
        return "{\"id\":\"s-" + Integer.toHexString(n) + "\",\"addr\":\"127.0.0.1:" + (1000 + n % 50000)
            + "\",\"zone\":\"a\",\"kind\":\"m\",\"state\":\"" + state + "\"}";
    }

    /** 100,000 workers are added and removed, by deletion and by whole lists, while ten stay. */
    @Test
    void replacedWorkersAreForgotten() {
        ListUpdate.Parser parser = new ListUpdate.Parser(new String[] {"a"}, new String[] {"m"}, new Invariants(), () -> 0);
        StringBuilder permanent = new StringBuilder();
        for (int n = 1; n <= 10; n++) {
            permanent.append(n > 1 ? "," : "").append(server(n, "SERVING"));
        }
        int steady = parser.parse(list(1, true, permanent.toString())).entries().get(0).worker().id;
        for (int n = 100; n < 100_100; n++) {
            parser.parse(list(n, false, server(n, "SERVING")));
            if (n % 2 == 0) {
                parser.parse(list(n, false, server(n, "DELETED")));
            } else {
                parser.parse(list(n, true, permanent + "," + server(n, "SERVING")));
            }
        }
        parser.parse(list(200_000, true, permanent.toString()));
        assertEquals(10, parser.workerCount(), "workers with an id after all replacements");
        assertEquals(steady, parser.parse(list(200_001, true, permanent.toString())).entries().get(0).worker().id,
            "a worker that stays keeps its id");
    }

    /** Of two names with the same number the later gets another id, and keeps it when only that worker stays. */
    @Test
    void collidingIdsGetDistinctNumbers() {
        ListUpdate.Parser parser = new ListUpdate.Parser(new String[] {"a"}, new String[] {"m"}, new Invariants(), () -> 0);
        String first = "{\"id\":\"a-10\",\"addr\":\"127.0.0.1:1\",\"state\":\"SERVING\"}";
        String twin = "{\"id\":\"b-10\",\"addr\":\"127.0.0.1:2\",\"state\":\"SERVING\"}";
        var both = parser.parse(list(1, true, first + "," + twin)).entries();
        assertNotEquals(both.get(0).worker().id, both.get(1).worker().id);
        parser.parse(list(2, true, twin));
        assertEquals(both.get(1).worker().id, parser.parse(list(3, true, twin)).entries().get(0).worker().id);
        assertEquals(1, parser.workerCount());
    }
}
