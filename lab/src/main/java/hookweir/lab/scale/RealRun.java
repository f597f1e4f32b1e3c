package hookweir.lab.scale;

import hookweir.lab.load.LoadGenerator;
import hookweir.lab.load.LoadTestHarness;
import hookweir.lab.report.Step;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Runs one real scheduler process with stub workers, started as operators start it. The simulation is compared with its result. */
final class RealRun {
    private static final long MIN_SOFT_DEADLINE_MS = 1000;
    private static final int SOFT_DEADLINE_FACTOR = 3;
    private static final int CLIENT_COUNT = 256;
    private static final int MAX_DESCRIPTORS = 1024;
    private static final String REQUEST_CLASS = "job";
    private static final double PERCENT = 100;

    /** A measured part of the run, with its length. */
    private enum Span {
        START(20), FIRST_PROBES(60), SETTLING(120), STEADY(200);

        private final int seconds;

        Span(int seconds) {
            this.seconds = seconds;
        }
    }

    /**
     * The measurements of one span.
     *
     * @param cpuPercent CPU time of the scheduler, in percent of one core
     * @param connectionsPerJob connections that the workers accepted, per job served
     * @param probeRequestBytes mean HTTP bytes of a probe request
     */
    record RealRow(String span, int seconds, int workers, double jobsPerS, double servedPerS, double probesPerS, double connectionsPerJob,
            double probeRequestBytes, double cpuPercent, double residentMb, double refusedShare, long failed, double p50Ms, double p99Ms) {
    }

    private RealRun() {
    }

    static void run(Path root, int workers, double rate, int serviceMs, Path out) throws IOException, InterruptedException {
        long softDeadlineMs = Math.max(MIN_SOFT_DEADLINE_MS, (long) SOFT_DEADLINE_FACTOR * serviceMs);
        LoadGenerator.Workload plan = new LoadGenerator.Workload(CLIENT_COUNT, rate, HttpMessages.JOB_BODY_BYTES, 2 * softDeadlineMs, REQUEST_CLASS);
        List<RealRow> rows = new ArrayList<>();
        LoadTestHarness.Config setting = new LoadTestHarness.Config(root.toString(), -1, workers, serviceMs, HttpMessages.RESULT_BYTES,
            softDeadlineMs, MAX_DESCRIPTORS, "pull", "", false, null);
        try (LoadTestHarness bench = new LoadTestHarness(setting)) {
            LoadGenerator clients = bench.startGenerator(plan);
            for (Span span : Span.values()) {
                rows.add(measure(bench, clients, plan, span, workers));
                System.out.println(rows.get(rows.size() - 1));
            }
            bench.stopGenerator(clients);
        }
        ScaleReport.writeJson(out, String.format(Locale.ROOT, "real-%d-%.4g", workers, rate), rows);
    }

    private static RealRow measure(LoadTestHarness bench, LoadGenerator clients, LoadGenerator.Workload plan, Span span,
            int workers) throws IOException, InterruptedException {
        long connections = bench.stubWorkers().connections();
        long bytes = bench.stubWorkers().probeBytes();
        long probes = bench.stubWorkers().probes();
        double cpuS = bench.target().cpuSeconds();
        Step step = bench.measure(clients, plan, span.seconds);
        double seconds = span.seconds;
        long newProbes = bench.stubWorkers().probes() - probes;
        return new RealRow(span.name().toLowerCase(Locale.ROOT), span.seconds, workers, plan.jobsPerSecond(), step.goodput(), newProbes / seconds,
            (bench.stubWorkers().connections() - connections) / Math.max(1, step.goodput() * seconds),
            (bench.stubWorkers().probeBytes() - bytes) / (double) Math.max(1, newProbes), PERCENT * (bench.target().cpuSeconds() - cpuS) / seconds,
                step.residentMb(),
            step.refusedShare(), step.failed(), step.p50(), step.p99());
    }
}
