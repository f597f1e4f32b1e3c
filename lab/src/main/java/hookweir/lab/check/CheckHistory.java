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
            List<RuleChecker.Breach> found = RuleChecker.check(History.read(f));
            System.out.println(f + ": " + (found.isEmpty() ? "kept" : found.size() + " broken"));
            found.forEach(b -> System.out.println("  " + b));
            broken += found.isEmpty() ? 0 : 1;
        }
        return broken == 0 ? 0 : 1;
    }

    @Override
    protected String what() {
        return "Judges histories by the brief's rules from what is seen outside.\n"
            + "  example: check-history target/history.jsonl";
    }
}
