package hookweir.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The checker keeps what keeps the rules and catches one history for each way of breaking them. */
final class RuleCheckerTest {
    private static History history(String name) throws IOException {
        return History.read(Path.of("src/test/resources/histories", name + ".jsonl"));
    }

    @ParameterizedTest
    @CsvSource({
        "kept, ''",
        "r1-unanswered, R1 no answer within the deadline",
        "r1-twice, R1 a second answer",
        "r1-made-up, R1 served with what no worker made",
        "r2-run-twice, R2 sent again after it may have run",
        "r2-at-once, R2 two attempts out at once",
        "r3-drain, R3 new work 301 ms after a drain",
        "r4-cold, R4 4 jobs in a second to a worker that takes 1.0"})
    void eachHistoryGetsItsVerdict(String name, String rule) throws IOException {
        List<RuleChecker.Breach> found = RuleChecker.check(history(name));
        assertEquals(rule.isEmpty() ? List.of() : List.of(rule), found.stream().map(RuleChecker.Breach::rule).toList(),
            name);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theRealModuleKeepsTheRulesInSeededWorlds(long seed) throws IOException {
        List<String> lines = new PolicyWorld(seed, 400, PolicyWorld.Flaw.NONE).run();
        History h = History.parse("world " + seed, lines);
        assertTrue(h.events().stream().filter(e -> e.what().equals("attempt")).count() > 360, "most are sent");
        assertEquals(List.of(), RuleChecker.check(h), "seed " + seed);
        assertEquals(lines, new PolicyWorld(seed, 400, PolicyWorld.Flaw.NONE).run(), "the same seed, the same history");
    }

    @ParameterizedTest
    @CsvSource({"COPIES, R2 two attempts out at once", "MAKES_UP, R1 served with what no worker made",
        "FORGETS, R1 no answer within the deadline"})
    void aWrongHostAroundTheRealModuleIsCaught(PolicyWorld.Flaw flaw, String rule) throws IOException {
        List<RuleChecker.Breach> found = RuleChecker.check(History.parse("world", new PolicyWorld(5, 400, flaw).run()));
        assertTrue(!found.isEmpty() && found.stream().allMatch(b -> b.rule().equals(rule)), flaw + ": " + found);
    }

    @org.junit.jupiter.api.Test
    void badHistoriesNameTheirLineAndReason() {
        String terms = "{\"ev\":\"terms\"}";
        String[][] cases = {
            {"{\"ev\":\"ask\"}", "world:1: the first line must be the terms"},
            {terms + "\n{\"t_ms\":1,\"ev\":\"ask\",\"id\":\"a\",\"kind\":\"k\"}", "world:2: deadline_ms must be a number"},
            {terms + "\n{\"t_ms\":5,\"ev\":\"drain\",\"worker\":\"s\"}\n{\"t_ms\":4,\"ev\":\"drain\",\"worker\":\"s\"}",
                "world:3: t_ms goes back, from 5 to 4"},
            {terms + "\nnot json", "world:2: not JSON"},
            {terms + "\n{\"t_ms\":1,\"ev\":\"jump\"}", "world:2: unknown ev 'jump'"},
            {"", "world:1: no terms"}};
        for (String[] c : cases) {
            History.Bad e = assertThrows(History.Bad.class, () -> History.parse("world", List.of(c[0].split("\n"))));
            assertTrue(e.getMessage().startsWith(c[1]), e.getMessage());
        }
    }

    @org.junit.jupiter.api.Test
    void aBadFileIsNamed() {
        History.Bad e = assertThrows(History.Bad.class, () -> history("bad-how"));
        assertTrue(e.getMessage().endsWith("bad-how.jsonl:3: how must be one of [done, failed, lost, refused, returned],"
            + " not 'vanished'"), e.getMessage());
    }
}
