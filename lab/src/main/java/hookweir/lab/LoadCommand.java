package hookweir.lab;

import hookweir.lab.load.LoadTestHarness;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Option;

/** Options shared by the commands that load one scheduler, and the harness created from them. */
abstract class LoadCommand extends Main.Command {
    @Option(name = "--root", usage = "the folder that contains deploy/balancer.toml")
    protected String root = ".";
    @Option(name = "--cpu", usage = "the CPU that the scheduler and the echo server are pinned to; -1 for any")
    protected int cpu;
    @Option(name = "--workers", usage = "number of stub workers")
    protected int workers = 10;
    @Option(name = "--service-ms", usage = "how long each job takes")
    protected int serviceMs;
    @Option(name = "--body", usage = "length of a job's body in bytes")
    protected int bodyBytes = 4;
    @Option(name = "--result", usage = "length of a job's result in bytes")
    protected int resultBytes = 2;
    @Option(name = "--deadline-ms", usage = "deadline of each job")
    protected long deadlineMs = 5000;
    @Option(name = "--sockets", usage = "the scheduler's setting limits.sockets")
    protected int maxSockets = 1024;
    @Option(name = "--via", usage = "how workers report their load: pull (by continuous probes) or silent (not at all)")
    protected String loadReporting = "pull";
    @Option(name = "--flags", usage = "additional flags for the scheduler's JVM")
    protected String jvmFlags = "";

    @Option(name = "--fresh-calls", usage = "each callback of a worker uses a new connection")
    protected boolean freshCallbackConnections;
    @Option(name = "--record", metaVar = "FILE", usage = "writes a history of all that clients and stub workers observe, and checks it against the rules")
    protected Path historyFile;

    /** Describes callback latency, from a job's end to the response to its callback. */
    protected static String formatCallbackLatency(LoadTestHarness harness) {
        Histogram latency = harness.stubWorkers().callbackLatencyUs();
        return String.format(Locale.ROOT, "callbacks %d: p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms", latency.getTotalCount(),
            latency.getValueAtPercentile(50) / 1e3, latency.getValueAtPercentile(99) / 1e3, latency.getValueAtPercentile(99.9) / 1e3,
            latency.getMaxValue() / 1e3);
    }

    /** Starts the scheduler with its stub workers. */
    protected final LoadTestHarness startHarness() throws IOException, InterruptedException {
        return startHarness(root, workers);
    }

    /** Starts the scheduler of the given folder with the given number of stub workers. */
    protected final LoadTestHarness startHarness(String schedulerRoot, int workerCount) throws IOException, InterruptedException {
        return new LoadTestHarness(new LoadTestHarness.Config(schedulerRoot, cpu, workerCount, serviceMs, resultBytes, deadlineMs / 2,
            maxSockets, loadReporting, jvmFlags, freshCallbackConnections, historyFile));
    }
}
