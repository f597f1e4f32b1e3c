package hookweir.lab.scale;

import hookweir.lab.load.Bench;
import hookweir.lab.load.Clients;
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
        Clients.Plan plan = new Clients.Plan(CLIENT_COUNT, rate, HttpMessages.JOB_BODY_BYTES, 2 * softDeadlineMs, REQUEST_CLASS);
        List<RealRow> rows = new ArrayList<>();
        Bench.Setting setting = new Bench.Setting(root.toString(), -1, workers, serviceMs, HttpMessages.RESULT_BYTES, softDeadlineMs, MAX_DESCRIPTORS,
            "pull", "", false, null);
        try (Bench bench = new Bench(setting)) {
            Clients clients = bench.begin(plan);
            for (Span span : Span.values()) {
                rows.add(measure(bench, clients, plan, span, workers));
                System.out.println(rows.get(rows.size() - 1));
            }
            bench.end(clients);
        }
        ScaleReport.writeJson(out, String.format(Locale.ROOT, "real-%d-%.4g", workers, rate), rows);
    }

    private static RealRow measure(Bench bench, Clients clients, Clients.Plan plan, Span span, int workers) throws IOException, InterruptedException {
        long connections = bench.fleet().connections();
        long bytes = bench.fleet().probeBytes();
        long probes = bench.fleet().probes();
        double cpuS = bench.target().cpuS();
        Step step = bench.next(clients, plan, span.seconds);
        double seconds = span.seconds;
        long newProbes = bench.fleet().probes() - probes;
        return new RealRow(span.name().toLowerCase(Locale.ROOT), span.seconds, workers, plan.perSecond(), step.goodput(), newProbes / seconds,
            (bench.fleet().connections() - connections) / Math.max(1, step.goodput() * seconds),
            (bench.fleet().probeBytes() - bytes) / (double) Math.max(1, newProbes), PERCENT * (bench.target().cpuS() - cpuS) / seconds, step.residentMb(),
            step.refusedShare(), step.failed(), step.p50(), step.p99());
    }
}
