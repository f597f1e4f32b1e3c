package hookweir.lab.check;

import hookweir.lab.Main;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.kohsuke.args4j.Argument;

/** The lab's mutate-history: breaks histories that keep the rules in every place, and says how many breaches are caught. */
public final class MutateHistory extends Main.Command {
    private static final int MAX_SURVIVORS_SHOWN = 20;

    @Argument(required = true, metaVar = "FILE", usage = "histories that keep the rules")
    private List<Path> files = new ArrayList<>();

    /** How many mutants a way made, and how many were caught. */
    static final class MutantTally {
        private final Map<String, int[]> countsByOperator = new TreeMap<>();
        private final List<String> survivors = new ArrayList<>();

        /** Judges one. */
        void check(String source, RuleLimits terms, Mutator.Mutant m) {
            int[] of = countsByOperator.computeIfAbsent(m.operator(), w -> new int[2]);
            of[0]++;
            try {
                List<RuleChecker.Violation> found = RuleChecker.check(new History(source, terms, m.events()));
                if (found.stream().anyMatch(b -> b.rule().startsWith(m.rule()))) {
                    of[1]++;
                } else {
                    survivors.add(source + ":" + m.line() + ": " + m.operator() + " wants " + m.rule() + ", found " + found);
                }
            } catch (InvalidHistoryException e) {
                survivors.add(source + ":" + m.line() + ": " + m.operator() + " can't be read: " + e.getMessage());
            }
        }

        /** By way: made and caught. */
        Map<String, int[]> countsByOperator() {
            return countsByOperator;
        }

        List<String> survivors() {
            return survivors;
        }

        int total() {
            return countsByOperator.values().stream().mapToInt(w -> w[0]).sum();
        }
    }

    @Override
    protected int run() throws IOException {
        MutantTally tally = new MutantTally();
        for (Path f : files) {
            History h = History.read(f);
            if (!RuleChecker.check(h).isEmpty()) {
                throw new IOException(f + ": breaks a rule as it is; only a kept history can be broken");
            }
            Mutator.generate(h, m -> tally.check(h.source(), h.limits(), m));
        }
        tally.countsByOperator().forEach((way, n) -> System.out.printf("%-24s %6d made %6d caught%n", way, n[0], n[1]));
        System.out.printf("%-24s %6d made %6d caught%n", "all", tally.total(), tally.total() - tally.survivors().size());
        tally.survivors().stream().limit(MAX_SURVIVORS_SHOWN).forEach(s -> System.out.println("  " + s));
        return tally.survivors().isEmpty() ? 0 : 1;
    }

    @Override
    protected String what() {
        return "Breaks histories that keep the rules, one breach at a time, and says how many the checker catches.\n"
            + "  example: mutate-history target/history.jsonl";
    }
}
