package hookweir.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import hookweir.net.Invariants;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The numbers of workers hold those listed now: days of replaced workers leave the table as it was. */
final class WorkerIdsTest {
    private static byte[] list(long version, boolean full, String servers) {
        return ("{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + servers + "]}")
            .getBytes(StandardCharsets.UTF_8);
    }

    private static String server(int n, String state) {
        return "{\"id\":\"s-" + Integer.toHexString(n) + "\",\"addr\":\"127.0.0.1:" + (1000 + n % 50000)
            + "\",\"zone\":\"a\",\"kind\":\"m\",\"state\":\"" + state + "\"}";
    }

    /** A day of churn: 100,000 workers come and go, by deletion and by whole lists, while ten stay. */
    @Test
    void replacedWorkersAreForgotten() {
        ListUpdate.Parser p = new ListUpdate.Parser(new String[] {"a"}, new String[] {"m"}, new Invariants(), () -> 0);
        StringBuilder stay = new StringBuilder();
        for (int n = 1; n <= 10; n++) {
            stay.append(n > 1 ? "," : "").append(server(n, "SERVING"));
        }
        int steady = p.parse(list(1, true, stay.toString())).entries().get(0).worker().id;
        for (int n = 100; n < 100_100; n++) {
            p.parse(list(n, false, server(n, "SERVING")));
            if (n % 2 == 0) {
                p.parse(list(n, false, server(n, "DELETED")));
            } else {
                p.parse(list(n, true, stay + "," + server(n, "SERVING")));
            }
        }
        p.parse(list(200_000, true, stay.toString()));
        assertEquals(10, p.workerCount(), "workers numbered after the day");
        assertEquals(steady, p.parse(list(200_001, true, stay.toString())).entries().get(0).worker().id,
            "a worker that stays keeps its number");
    }

    /** Two names of one number: the later moves on, and gets its own number back when it returns. */
    @Test
    void collidingIdsGetDistinctNumbers() {
        ListUpdate.Parser p = new ListUpdate.Parser(new String[] {"a"}, new String[] {"m"}, new Invariants(), () -> 0);
        String first = "{\"id\":\"a-10\",\"addr\":\"127.0.0.1:1\",\"state\":\"SERVING\"}";
        String twin = "{\"id\":\"b-10\",\"addr\":\"127.0.0.1:2\",\"state\":\"SERVING\"}";
        var both = p.parse(list(1, true, first + "," + twin)).entries();
        assertNotEquals(both.get(0).worker().id, both.get(1).worker().id);
        p.parse(list(2, true, twin));
        assertEquals(both.get(1).worker().id, p.parse(list(3, true, twin)).entries().get(0).worker().id);
        assertEquals(1, p.workerCount());
    }
}
