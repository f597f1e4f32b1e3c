package hookweir.lab.lives;

import java.io.IOException;
import java.nio.file.Files;

/** Lets clients leave a scheduler once for each seed, in ways derived from the seed, and checks that their requests leave with them. */
public final class Departures extends SeededCommand {
    /** Creates the command. */
    public Departures() {
        super("target/departures");
    }

    @Override
    protected SeedResult runSeed(long seed) throws IOException, InterruptedException {
        DeparturePlan plan = DeparturePlan.of(seed);
        DepartureRun.Result result = DepartureRun.of(root(), plan);
        if (!result.violations().isEmpty()) {
            Files.writeString(Files.createDirectories(keepFolder()).resolve("seed-" + seed + ".log"), result.log());
        }
        return new SeedResult(result.attempts() + " attempts; " + plan, result.violations());
    }

    @Override
    protected String description() {
        return "Lets clients leave a scheduler with much or little unread input, and checks that no attempt begins 0.1 s after they left.\n"
            + "  example: departures --first 1 --seeds 50";
    }
}
