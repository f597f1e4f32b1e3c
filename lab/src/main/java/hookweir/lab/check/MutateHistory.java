package hookweir.lab.check;

import hookweir.lab.Main;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.kohsuke.args4j.Argument;

/** The mutate-history command: inserts rule violations into correct histories, and reports how many the checker detects. */
public final class MutateHistory extends Main.Command {
    private static final int MAX_SURVIVORS_SHOWN = 20;

    @Argument(required = true, metaVar = "FILE", usage = "histories without violations")
    private List<Path> files = new ArrayList<>();

    /** Counts, by mutation operator, the mutants made and the mutants detected. */
    static final class MutantTally {
        private final Map<String, int[]> countsByOperator = new TreeMap<>();
        private final List<String> survivors = new ArrayList<>();

        /** Checks one mutant. */
        void check(String source, RuleLimits limits, Mutator.Mutant mutant) {
            int[] counts = countsByOperator.computeIfAbsent(mutant.operator(), w -> new int[2]);
            counts[0]++;
            try {
                List<RuleChecker.Violation> found = RuleChecker.check(new History(source, limits, mutant.events()));
                if (found.stream().anyMatch(v -> v.rule().startsWith(mutant.rule()))) {
                    counts[1]++;
                } else {
                    survivors.add(source + ":" + mutant.line() + ": " + mutant.operator() + " expected " + mutant.rule() + ", found " + found);
                }
            } catch (InvalidHistoryException e) {
                survivors.add(source + ":" + mutant.line() + ": " + mutant.operator() + " can't be read: " + e.getMessage());
            }
        }

        /** By mutation operator: the number made and the number detected. */
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
        for (Path file : files) {
            History history = History.read(file);
            if (!RuleChecker.check(history).isEmpty()) {
                throw new IOException(file + ": violates a rule already; only a history without violations can be mutated");
            }
            Mutator.generate(history, mutant -> tally.check(history.source(), history.limits(), mutant));
        }
        tally.countsByOperator().forEach((operator, n) -> System.out.printf("%-24s %6d made %6d caught%n", operator, n[0], n[1]));
        System.out.printf("%-24s %6d made %6d caught%n", "all", tally.total(), tally.total() - tally.survivors().size());
        tally.survivors().stream().limit(MAX_SURVIVORS_SHOWN).forEach(s -> System.out.println("  " + s));
        return tally.survivors().isEmpty() ? 0 : 1;
    }

    @Override
    protected String description() {
        return "Inserts one rule violation at a time into histories without violations, and reports how many the checker detects.\n"
            + "  example: mutate-history target/history.jsonl";
    }
}
