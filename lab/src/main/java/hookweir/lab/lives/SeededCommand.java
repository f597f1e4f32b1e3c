package hookweir.lab.lives;

import hookweir.lab.Main;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Option;

/** A command that runs a scheduler once for each seed, by a plan derived from it, and fails if any seed violated a rule. */
public abstract class SeededCommand extends Main.Command {
    private static final int PRINTED_VIOLATIONS = 5;

    @Option(name = "--root", usage = "the folder with deploy/balancer.toml")
    private String root = ".";
    @Option(name = "--first", usage = "the first seed")
    private long firstSeed = 1;
    @Option(name = "--seeds", usage = "number of seeds")
    private int seeds = 50;
    @Option(name = "--keep", metaVar = "FOLDER", usage = "where what was recorded of seeds that violated a rule is kept")
    private String keepFolder;

    /**
     * What a seed has shown.
     *
     * @param summary    what was done, on one line
     * @param violations the rules that were violated
     */
    protected record SeedResult(String summary, List<String> violations) {
    }

    /** Creates a command that keeps what was recorded in this folder, unless another one is given. */
    protected SeededCommand(String keepFolder) {
        this.keepFolder = keepFolder;
    }

    /** For tests: the folder with deploy/balancer.toml, the folder for records, the first seed, and the number of seeds. */
    final SeededCommand with(String otherRoot, String keep, long first, int count) {
        root = otherRoot;
        keepFolder = keep;
        firstSeed = first;
        seeds = count;
        return this;
    }

    /** The folder with deploy/balancer.toml. */
    protected final Path root() {
        return Path.of(root);
    }

    /** The folder for what was recorded of seeds that violated a rule. */
    protected final Path keepFolder() {
        return Path.of(keepFolder);
    }

    /** Runs one seed. */
    protected abstract SeedResult runSeed(long seed) throws IOException, InterruptedException;

    @Override
    protected final int run() throws IOException, InterruptedException {
        int failedSeeds = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            SeedResult result = runSeed(seed);
            int broken = result.violations().size();
            System.out.println("seed " + seed + ": " + (broken == 0 ? "kept" : broken + " broken") + "; " + result.summary());
            result.violations().stream().limit(PRINTED_VIOLATIONS).forEach(violation -> System.out.println("  " + violation));
            failedSeeds += broken == 0 ? 0 : 1;
        }
        System.out.println(seeds + " seeds, " + failedSeeds + " violated a rule");
        return failedSeeds == 0 ? 0 : 1;
    }
}
