package hookweir.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The checker accepts correct histories and detects each kind of violation. */
final class RuleCheckerTest {
    private static final String LIMITS_LINE = "{\"ev\":\"terms\",\"version\":2}\n";

    private static History history(String name) throws IOException {
        return History.read(Path.of("src/test/resources/histories", name + ".jsonl"));
    }

    @ParameterizedTest
    @CsvSource({
        "kept, ''",
        "kept-edges, ''",
        "r0-crash, R0 a scheduler ended by itself",
        "r1-unanswered, R1 no answer within the deadline",
        "r1-late, R1 no answer within the deadline",
        "r1-twice, R1 a second answer",
        "r1-made-up, R1 served with what no worker made",
        "r1-nothing-asked, R1 an answer to nothing asked",
        "r1-cut, R1 lost: its connection ended with no whole answer",
        "r1-cut-after-reading, R1 lost: its connection ended with no whole answer",
        "r1-cut-kept-for-good, R1 lost: its connection ended with no whole answer",
        "r1-late-at-term, R1 lost: its connection ended with no whole answer",
        "r1-left-at-term, R1 lost: its connection ended with no whole answer",
        "r1-after-its-end, R1 an attempt after its end",
        "r1-after-its-client, R1 an attempt after its end",
        "r2-run-twice, R2 sent again after it may have run",
        "r2-at-once, R2 two attempts out at once",
        "r2-unsafe-lost-429, R2 refused though it may have run",
        "r2-unsafe-lost-503, R2 refused though it may have run",
        "r2-unsafe-out-refused, R2 refused though it may have run",
        "r2-unsafe-given-up-refused, R2 refused though it may have run",
        "r2-unsafe-given-up-again, R2 sent again after it may have run",
        "r2-returned-after-start, R2 sent again after it may have run",
        "r2-keyed-refused, R2 refused though it may have run",
        "r2-keyed-elsewhere, R2 a keyed repeat outside the first run's group",
        "r2-keyed-late, R2 a keyed repeat after its window",
        "r2-too-many, R2 more than 5 attempts",
        "r2-too-many-over-two-lives, R2 more than 5 attempts",
        "r2-nothing-asked, R2 an attempt of nothing asked",
        "r3-drain, R3 new work 301 ms after a drain",
        "r3-two-lives, R3 new work 400 ms after a drain",
        "r3-due, R3 new work 301 ms after a drain",
        "r3-first-byte, R3 new work 302 ms after a drain",
        "r4-cold, R4 more than a cold worker can stand",
        "r4-all-schedulers, R4 more than a cold worker can stand",
        "p-changed, P passed on changed",
        "p-call-back, P a call-back answered 500",
        "p-retry-after, P a Retry-After that is no number of seconds"})
    void eachHistoryHasExactlyTheExpectedViolations(String name, String rule) throws IOException {
        List<RuleChecker.Violation> found = RuleChecker.check(history(name));
        assertEquals(rule.isEmpty() ? List.of() : List.of(rule), found.stream().map(RuleChecker.Violation::rule).toList(),
            name);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void policyKeepsTheRulesInSeededSimulations(long seed) throws IOException {
        List<String> lines = new PolicySimulation(seed, 400, PolicySimulation.Flaw.NONE).run();
        History h = History.parse("world " + seed, lines);
        assertTrue(h.events().stream().filter(e -> e.type() == Event.Type.ATTEMPT).count() > 340, "most are sent");
        assertEquals(List.of(), RuleChecker.check(h), "seed " + seed);
        assertEquals(lines, new PolicySimulation(seed, 400, PolicySimulation.Flaw.NONE).run(), "the same seed, the same history");
    }

    @ParameterizedTest
    @CsvSource({"COPIES, R2 two attempts out at once", "MAKES_UP, R1 served with what no worker made",
        "FORGETS, R1 no answer within the deadline"})
    void faultyHostAroundThePolicyIsDetected(PolicySimulation.Flaw flaw, String rule) throws IOException {
        List<RuleChecker.Violation> found = RuleChecker.check(History.parse("world", new PolicySimulation(5, 400, flaw).run()));
        assertTrue(!found.isEmpty() && found.stream().allMatch(b -> b.rule().equals(rule)), flaw + ": " + found);
    }

    /** Every mutant of simulations with all request classes and a restart of the scheduler is detected. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void everyMutantIsDetected(long seed) throws IOException {
        History original = History.parse("world " + seed, new PolicySimulation(seed, 120, PolicySimulation.Flaw.NONE).run());
        MutateHistory.MutantTally tally = new MutateHistory.MutantTally();
        Mutator.generate(original, mutant -> tally.check(original.source(), original.limits(), mutant));
        assertEquals(List.of(), tally.survivors().stream().limit(5).toList());
        assertTrue(tally.total() > 1500, "made " + tally.total());
    }

    /** One simulation may offer no place for some mutation operator; together the histories have a place for each. */
    @Test
    void everyMutationOperatorIsUsed() throws IOException {
        MutateHistory.MutantTally tally = new MutateHistory.MutantTally();
        for (long seed : new long[] {11, 12, 13, 14}) {
            History original = History.parse("world", new PolicySimulation(seed, 120, PolicySimulation.Flaw.NONE).run());
            Mutator.generate(original, mutant -> tally.check(original.source(), original.limits(), mutant));
        }
        History edges = history("kept-edges");
        Mutator.generate(edges, mutant -> tally.check(edges.source(), edges.limits(), mutant));
        tally.countsByOperator().forEach((operator, n) -> System.out.println("mutants " + operator + ": " + n[0] + " made, " + n[1] + " caught"));
        assertEquals(List.of(), tally.survivors().stream().limit(5).toList());
        assertEquals(List.of("answer-cut", "answer-late", "answer-removed", "answer-twice", "answer-twice-later", "ask-removed",
            "attempt-after-answer", "body-changed", "call-back-turned-away", "cancel-removed", "copy-at-once", "drain-due", "drain-told",
            "keyed-elsewhere", "keyed-late", "killed-as-crashed", "pushed-over", "refused-429", "refused-503", "result-changed",
            "result-made-up", "retry-after-garbled", "returned-after-start", "returned-as-lost", "sent-again", "too-many"),
            List.copyOf(tally.countsByOperator().keySet()));
    }

    @Test
    void invalidHistoryErrorsNameLineAndReason() {
        String ask = "{\"t_ms\":1,\"ev\":\"ask\",\"id\":\"a\",\"kind\":\"k\",\"deadline_ms\":9}\n";
        String[][] cases = {
            {"{\"ev\":\"ask\"}", "world:1: the first line must be the terms"},
            {"{\"ev\":\"terms\"}", "world:1: version must be 2, not missing"},
            {"{\"ev\":\"terms\",\"version\":3}", "world:1: version must be 2, not 3"},
            {"{\"ev\":\"terms\",\"version\":2,\"drian_ms\":3}", "world:1: unknown field 'drian_ms' of terms"},
            {"{\"ev\":\"terms\",\"version\":2,\"slack_ms\":-3}", "world:1: slack_ms must be at least 0"},
            {LIMITS_LINE + "{\"t_ms\":1,\"ev\":\"ask\",\"id\":\"a\",\"kind\":\"k\"}", "world:2: missing 'deadline_ms'"},
            {LIMITS_LINE + "{\"t_ms\":1,\"ev\":\"ask\",\"id\":\"a\",\"kind\":\"k\",\"deadline_ms\":\"9\"}", "world:2: deadline_ms must be a number"},
            {LIMITS_LINE + "{\"t_ms\":5,\"ev\":\"drain\",\"worker\":\"s\"}\n{\"t_ms\":4,\"ev\":\"drain\",\"worker\":\"s\"}",
                "world:3: t_ms goes back, from 5 to 4"},
            {LIMITS_LINE + "{\"t_ms\":1.5,\"ev\":\"drain\",\"worker\":\"s\"}", "world:2: t_ms must be a whole number"},
            {LIMITS_LINE + "not json", "world:2: not JSON"},
            {LIMITS_LINE + "[1]", "world:2: not a JSON object"},
            {LIMITS_LINE + ask + ask.substring(0, 30), "world:3: not JSON, or cut in mid-line"},
            {LIMITS_LINE + "{\"t_ms\":1,\"ev\":\"jump\"}", "world:2: unknown ev 'jump'"},
            {LIMITS_LINE + "{\"t_ms\":1,\"ev\":\"gone\",\"id\":\"a\",\"why\":\"x\"}", "world:2: unknown field 'why' of gone"},
            {LIMITS_LINE + "{\"t_ms\":1,\"ev\":\"gone\",\"id\":\"a\"}", "world:2: gone of 'a' before it was asked"},
            {LIMITS_LINE + "{\"t_ms\":1,\"ev\":\"end\",\"id\":\"a\",\"worker\":\"s\",\"how\":\"done\"}", "world:2: end of 'a' before it was asked"},
            {LIMITS_LINE + ask + "{\"t_ms\":1,\"ev\":\"end\",\"id\":\"a\",\"worker\":\"s\",\"how\":\"done\"}",
                "world:3: end of 'a' at s, which has no attempt of it"},
            {LIMITS_LINE + "{\"t_ms\":1,\"ev\":\"life\",\"scheduler\":\"n\",\"how\":\"kill\"}", "world:2: n does not run"},
            {LIMITS_LINE + "{\"t_ms\":1,\"ev\":\"close\"}\n" + ask, "world:3: follows the close"},
            {"{\"ev\":\"terms\",\"version\":2,\"recorded\":true}\n" + ask, "world:2: ends without its close"},
            {"", "world:1: no terms"}};
        for (String[] c : cases) {
            InvalidHistoryException e = assertThrows(InvalidHistoryException.class,
                () -> RuleChecker.check(History.parse("world", List.of(c[0].split("\n")))), c[1]);
            assertTrue(e.getMessage().startsWith(c[1]), e.getMessage());
        }
    }

    @Test
    void invalidHistoryErrorNamesTheFile() {
        InvalidHistoryException e = assertThrows(InvalidHistoryException.class, () -> history("bad-how"));
        assertTrue(e.getMessage().endsWith("bad-how.jsonl:3: how must be one of [done, failed, lost, refused, returned],"
            + " not 'vanished'"), e.getMessage());
    }
}
