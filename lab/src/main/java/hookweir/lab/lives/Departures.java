package hookweir.lab.lives;

import hookweir.lab.Main;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Lets clients leave a scheduler once for each seed, in ways derived from the seed, and checks that their requests leave with them. */
public final class Departures extends Main.Command {
    private static final int PRINTED_VIOLATIONS = 5;

    @Option(name = "--root", usage = "the folder with deploy/balancer.toml")
    private String root = ".";
    @Option(name = "--first", usage = "the first seed")
    private long firstSeed = 1;
    @Option(name = "--seeds", usage = "number of seeds")
    private int seeds = 50;
    @Option(name = "--keep", metaVar = "FOLDER", usage = "where logs of seeds that violated a rule are kept")
    private String keepFolder = "target/departures";

    /** For tests: the first seed, the number of seeds, and the folder for logs. */
    static Departures of(String root, String keep, long first, int seeds) {
        Departures departures = new Departures();
        departures.root = root;
        departures.keepFolder = keep;
        departures.firstSeed = first;
        departures.seeds = seeds;
        return departures;
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        int failedSeeds = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            DeparturePlan plan = DeparturePlan.of(seed);
            DepartureRun.Result result = DepartureRun.of(Path.of(root), plan);
            boolean kept = result.violations().isEmpty();
            System.out.println("seed " + seed + ": " + (kept ? "kept" : result.violations().size() + " broken") + "; " + result.attempts()
                + " attempts; " + plan);
            result.violations().stream().limit(PRINTED_VIOLATIONS).forEach(violation -> System.out.println("  " + violation));
            if (!kept) {
                failedSeeds++;
                Files.writeString(Files.createDirectories(Path.of(keepFolder)).resolve("seed-" + seed + ".log"), result.log());
            }
        }
        System.out.println(seeds + " seeds, " + failedSeeds + " violated a rule");
        return failedSeeds == 0 ? 0 : 1;
    }

    @Override
    protected String description() {
        return "Lets clients leave a scheduler with much or little unread input, and checks that no attempt begins 0.1 s after they left.\n"
            + "  example: departures --first 1 --seeds 50";
    }
}
