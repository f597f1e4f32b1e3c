package hookweir.lab.check;

import hookweir.lab.Main;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;

/** The check-history command: checks each given history against the safety rules; exit status 1 if any violates one. */
public final class CheckHistory extends Main.Command {
    @Argument(required = true, metaVar = "FILE", usage = "histories, one JSON object a line")
    private List<Path> files = new ArrayList<>();

    @Override
    protected int run() throws IOException {
        int violating = 0;
        for (Path file : files) {
            violating += checkAndPrint(file) ? 0 : 1;
        }
        return violating == 0 ? 0 : 1;
    }

    /** Checks one history and prints the result; true if it violates no rule. */
    public static boolean checkAndPrint(Path file) throws IOException {
        RuleChecker checker;
        long startNs = System.nanoTime();
        try (HistoryReader in = HistoryReader.open(file)) {
            checker = RuleChecker.check(file.toString(), in);
        }
        double seconds = (System.nanoTime() - startNs) / 1e9;
        System.out.printf("%s: %s (%d events, %.0f a second)%n", file,
            checker.violationCount() == 0 ? "kept" : checker.violationCount() + " broken", checker.eventCount(), checker.eventCount() / seconds);
        checker.violations().forEach(v -> System.out.println("  " + v));
        if (checker.violationCount() > checker.violations().size()) {
            System.out.println("  and " + (checker.violationCount() - checker.violations().size()) + " more");
        }
        return checker.violationCount() == 0;
    }

    @Override
    protected String description() {
        return "Checks recorded histories against the safety rules.\n"
            + "  example: check-history target/history.jsonl";
    }
}
