package hookweir.lab;

import hookweir.lab.load.LoadTestHarness;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Option;

/** What every command that loads one scheduler is told, and the bench that it makes of it. */
abstract class LoadCommand extends Main.Command {
    @Option(name = "--root", usage = "the folder with deploy/balancer.toml")
    protected String root = ".";
    @Option(name = "--cpu", usage = "the processor that the scheduler and the echo are pinned to; -1 for any")
    protected int cpu;
    @Option(name = "--workers", usage = "stand-in workers")
    protected int workers = 10;
    @Option(name = "--service-ms", usage = "how long each job takes")
    protected int serviceMs;
    @Option(name = "--body", usage = "bytes of a job's body")
    protected int bodyBytes = 4;
    @Option(name = "--result", usage = "bytes of a job's result")
    protected int resultBytes = 2;
    @Option(name = "--deadline-ms", usage = "how long clients wait")
    protected long deadlineMs = 5000;
    @Option(name = "--sockets", usage = "limits.sockets of the scheduler")
    protected int maxSockets = 1024;
    @Option(name = "--via", usage = "how workers report their load: pull, by probes all the time, or silent, without")
    protected String loadReporting = "pull";
    @Option(name = "--flags", usage = "further flags of the scheduler's JVM")
    protected String jvmFlags = "";

    @Option(name = "--fresh-calls", usage = "each call-back of a worker goes on a connection of its own")
    protected boolean freshCallbackConnections;
    @Option(name = "--record", metaVar = "FILE", usage = "writes a history of all that clients and stand-ins see, and judges it by the rules")
    protected Path historyFile;

    /** How long call-backs took, from a job's end to the answer to its call. */
    protected static String formatCallbackLatency(LoadTestHarness bench) {
        Histogram h = bench.stubWorkers().callbackLatencyUs();
        return String.format(Locale.ROOT, "call-backs %d: p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, longest %.2f ms", h.getTotalCount(),
            h.getValueAtPercentile(50) / 1e3, h.getValueAtPercentile(99) / 1e3, h.getValueAtPercentile(99.9) / 1e3, h.getMaxValue() / 1e3);
    }

    /** The scheduler with its stand-ins, started. */
    protected final LoadTestHarness startHarness() throws IOException, InterruptedException {
        return startHarness(root, workers);
    }

    /** The same with the scheduler of that folder and so many stand-ins. */
    protected final LoadTestHarness startHarness(String ofRoot, int ofWorkers) throws IOException, InterruptedException {
        return new LoadTestHarness(new LoadTestHarness.Config(ofRoot, cpu, ofWorkers, serviceMs, resultBytes, deadlineMs / 2, maxSockets, loadReporting, jvmFlags, freshCallbackConnections, historyFile));
    }
}
