package hookweir.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import hookweir.net.Invariants;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a faulty list entry making the whole list unusable, or filling the log: an invalid entry is skipped, the others
 * are used, and the same error is logged once.
 */
final class FaultyListTest {
    private static final String GOOD = entry("s-01", "SERVING");
    private final Invariants invariants = new Invariants();
    private final ListUpdate.Parser parser = new ListUpdate.Parser(new String[] {"a"}, new String[] {"m"}, invariants, () -> 0);

    private static String entry(String id, String state) {
        return "{'id':'" + id + "','addr':'127.0.0.1:80','zone':'a','kind':'m','cell':0,'state':'" + state + "','weight':1.0,'started_ms':0}";
    }

    private ListUpdate parse(String servers) {
        return parser.parse(("{'version':4,'full':true,'servers':[" + servers + "]}").replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "{'addr':'127.0.0.1:81','state':'SERVING'}", "{'id':'s-02','state':'SERVING'}", "{'id':'s-02','addr':'here','state':'SERVING'}",
        "{'id':'s-02','addr':'127.0.0.1:81','state':'ASLEEP'}", "{'id':'s-02','addr':'127.0.0.1:81'}", "7", "null", "[]"})
    void unreadableEntryIsSkipped(String bad) {
        ListUpdate update = parse(bad + "," + GOOD);
        assertEquals(List.of("s-01"), update.entries().stream().map(ListUpdate.Entry::name).toList());
        assertEquals(1, invariants.counted("discovery bad entry"));
        assertEquals(1, invariants.counted("discovery complaints logged"));
    }

    @Test
    void laterOfTwoEntriesForOneIdWins() {
        ListUpdate update = parse(GOOD + "," + entry("s-01", "DRAINING"));
        assertEquals(1, update.entries().size());
        assertEquals(hookweir.Contract.WorkerState.DRAINING, update.entries().get(0).worker().state);
        assertEquals(1, invariants.counted("discovery entry twice"));
    }

    @Test
    void unreadableWholeListIsIgnored() {
        assertNotNull(parse(GOOD));
        assertNull(parse(entry("s-01", "ASLEEP") + "," + entry("s-02", "ASLEEP")));
        assertEquals(1, parser.workerCount(), "the cached list stays valid");
        assertEquals(0, parse("").entries().size(), "a list without entries is an empty fleet");
    }

    @Test
    void startTimeInTheFutureIsReported() {
        parse(GOOD.replace("'started_ms':0", "'started_ms':999"));
        assertEquals(0, invariants.counted("discovery start ahead"), "clocks may differ by this much");
        parse(GOOD.replace("'started_ms':0", "'started_ms':3600000"));
        assertEquals(1, invariants.counted("discovery start ahead"));
    }

    @Test
    void sameErrorIsLoggedOnceAndMemoryIsBounded() {
        for (int i = 0; i < 50; i++) {
            parse("{'id':'s-02'}," + GOOD);
        }
        assertEquals(50, invariants.counted("discovery bad entry"));
        assertEquals(1, invariants.counted("discovery complaints logged"));
        for (int i = 0; i < ListErrorLog.MAX_REMEMBERED; i++) {
            parse("{'id':'x-" + i + "'}," + GOOD);
        }
        parse("{'id':'s-02'}," + GOOD);
        assertEquals(ListErrorLog.MAX_REMEMBERED + 2, invariants.counted("discovery complaints logged"), "logged again once it is no longer remembered");
    }
}
