package hookweir.lab.check;

import hookweir.lab.Main;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;

/** The lab's check-history: judges each history given by the brief's rules; status 1 if any breaks one. */
public final class CheckHistory extends Main.Command {
    @Argument(required = true, metaVar = "FILE", usage = "histories, one JSON object a line")
    private List<Path> files = new ArrayList<>();

    @Override
    protected int run() throws IOException {
        int broken = 0;
        for (Path f : files) {
            broken += checkAndPrint(f) ? 0 : 1;
        }
        return broken == 0 ? 0 : 1;
    }

    /** Judges one and prints the verdict; true if it keeps the rules. */
    public static boolean checkAndPrint(Path file) throws IOException {
        RuleChecker c;
        long began = System.nanoTime();
        try (HistoryReader in = HistoryReader.open(file)) {
            c = RuleChecker.check(file.toString(), in);
        }
        double seconds = (System.nanoTime() - began) / 1e9;
        System.out.printf("%s: %s (%d events, %.0f a second)%n", file, c.violationCount() == 0 ? "kept" : c.violationCount() + " broken", c.eventCount(),
            c.eventCount() / seconds);
        c.violations().forEach(b -> System.out.println("  " + b));
        if (c.violationCount() > c.violations().size()) {
            System.out.println("  and " + (c.violationCount() - c.violations().size()) + " more");
        }
        return c.violationCount() == 0;
    }

    @Override
    protected String what() {
        return "Judges histories by the brief's rules from what is seen outside.\n"
            + "  example: check-history target/history.jsonl";
    }
}
