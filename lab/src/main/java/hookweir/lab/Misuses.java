package hookweir.lab;

import hookweir.lab.load.LoadTestHarness;
import hookweir.lab.load.Misuse;
import hookweir.lab.load.MisuseRun;
import java.io.IOException;
import java.util.Locale;
import org.kohsuke.args4j.Option;

/** Lets misbehaving clients use one scheduler in every way, and measures what usual clients get meanwhile. */
public final class Misuses extends LoadCommand {
    @Option(name = "--seconds", usage = "length of each run")
    private double seconds = 8;
    @Option(name = "--clients", usage = "numbers of misbehaving clients, separated by commas; a single one sends at full speed, several send slowly")
    private String clientCounts = "1,300";

    @Override
    protected String description() {
        return "Measures usual clients' latency and the scheduler's memory while others send what they should not.\n"
            + "  example: misuse --cpu 0 --clients 1,300 --seconds 8";
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        for (String clients : clientCounts.split(",")) {
            for (Misuse misuse : Misuse.values()) {
                try (LoadTestHarness harness = startHarness()) {
                    MisuseRun.Result result = MisuseRun.run(harness, misuse, Integer.parseInt(clients), deadlineMs, seconds);
                    System.out.printf(Locale.ROOT, "%s, %s clients: worst %.0f ms, p99 %.1f ms, %.0f jobs/s, refused %.1f%%, unanswered %d; %.1f MB"
                        + " resident, %.1f more than at half time; %.1f MB sent%n", misuse, clients, result.worstMs(), result.step().p99(),
                        result.step().goodput(), 100 * result.step().refusedShare(), result.unanswered(), result.step().residentMb(),
                        result.residentGrowthMb(), result.sentBytes() / 1e6);
                }
            }
        }
        return 0;
    }
}
