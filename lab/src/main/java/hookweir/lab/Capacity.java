package hookweir.lab;

import hookweir.lab.load.ClosedLoop;
import hookweir.lab.load.LoadGenerator;
import hookweir.lab.load.LoadTestHarness;
import hookweir.lab.load.TargetProcess;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.EventSink;
import hookweir.lab.report.LoadReport;
import hookweir.lab.report.Step;
import hookweir.lab.standin.StubWorkers;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.kohsuke.args4j.Option;

/** Raises the rate step by step until a bound is exceeded, then offers twice the capacity, and compares the result with {@code Echo}. */
public final class Capacity extends LoadCommand {
    @Option(name = "--from", usage = "jobs per second in the first step")
    private double firstRate = 500;
    @Option(name = "--factor", usage = "ratio between the rates of successive steps")
    private double factor = 1.25;
    @Option(name = "--seconds", usage = "length of a step")
    private double seconds = 5;
    @Option(name = "--p99-ms", usage = "the bound on the 99th percentile of latency, in ms")
    private double maxP99Ms = 50;
    @Option(name = "--refused", usage = "the bound on the share of rejected jobs")
    private double maxRejectedShare = 0.01;
    @Option(name = "--clients", usage = "maximum number of client connections")
    private int connections = 256;
    @Option(name = "--closed-clients", usage = "clients in the closed loop, which has no rate limit")
    private int closedClients = 64;
    @Option(name = "--few-clients", usage = "clients in the small closed loop, where waiting for connections lowers the throughput")
    private int fewClients = 4;
    @Option(name = "--least-of-few", usage = "check: minimum ratio of jobs/s in the small closed loop to jobs/s in the closed loop")
    private double minFewClientsRatio = 0.2;
    @Option(name = "--least-of-echo", usage = "check: minimum ratio of jobs/s in the closed loop to the echo server's requests/s")
    private double minEchoRatio = 0.1;
    @Option(name = "--most-dials", usage = "check: maximum connections to workers per 100 jobs in the closed loop")
    private double maxConnectionsPer100 = 5;
    @Option(name = "--against", metaVar = "FOLDER", usage = "another build of the scheduler: the closed loop runs on both in turn")
    private String otherBuild;
    @Option(name = "--least-of-other", usage = "check: minimum ratio of jobs/s in the closed loop to the other build's")
    private double minOtherBuildRatio = 0.85;
    @Option(name = "--turns", usage = "number of closed-loop runs; their medians are checked")
    private int rounds = 3;
    @Option(name = "--lab-jar", usage = "this lab's jar, which contains the echo server")
    private String labJar = "lab/target/hookweir-lab.jar";
    @Option(name = "--out", usage = "the folder for the report")
    private String outputFolder = "target/capacity";
    @Option(name = "--name", usage = "the report's name")
    private String name = "capacity";

    @Override
    protected String description() {
        return "Measures how many jobs per second one scheduler serves on one CPU, and at what latency.\n"
            + "example: java -jar lab/target/hookweir-lab.jar capacity --workers 100 --seconds 5";
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        System.out.println(Step.tableHeader());
        double echoPerSecond = measureEcho(steps);
        boolean closedLoopValid = checkClosedLoop(echoPerSecond);
        double best = 0;
        double half = 0;
        double over;
        boolean historyValid;
        try (LoadTestHarness harness = startHarness()) {
            harness.runStep(workload(0), seconds); // warm-up
            boolean withinBounds = true;
            for (double rate = firstRate; withinBounds; rate *= factor) {
                Step step = addAndPrint(steps, harness.runStep(workload(rate), seconds));
                withinBounds = step.p99() <= maxP99Ms && step.refusedShare() <= maxRejectedShare && step.failed() == 0 && step.goodput() > 0.97 * rate;
                best = withinBounds ? step.goodput() : best;
            }
            if (best == 0) {
                throw new IOException("the first step, " + firstRate + " jobs/s, already exceeds the bounds: lower --from");
            }
            half = addAndPrint(steps, harness.runStep(workload(best / 2), seconds)).p99();
            Step twice = addAndPrint(steps, harness.runStep(workload(2 * best), 2 * seconds));
            over = twice.goodput() / best;
            System.out.printf("capacity %.0f jobs/s (p99 at most %.0f ms, rejected at most %.0f%%); p99 at half of it %.2f ms%n"
                + "at twice the capacity: served %.0f%% of it, p99 of rejections %.1f ms%n"
                + "echo %.0f/s; a third of it is the upper bound: %.0f%% reached; repeated attempts %d, dropped callbacks %d%n", best, maxP99Ms,
                100 * maxRejectedShare, half, 100 * over, twice.refusalP99(), echoPerSecond, 100 * best / (echoPerSecond / 3),
                harness.stubWorkers().repeatedAttempts(), harness.stubWorkers().droppedCallbacks());
            System.out.println(formatCallbackLatency(harness));
            historyValid = harness.closeAndCheckHistory();
        }
        LoadReport.writeJson(Path.of(outputFolder), name, Map.of("workers", workers, "bodyBytes", bodyBytes, "resultBytes", resultBytes, "serviceMs", serviceMs,
            "clients", connections, "deadlineMs", deadlineMs, "capacity", best, "p99AtHalf", half, "goodputAtTwice", over, "echo", echoPerSecond), steps);
        LoadReport.writeLatencyChart(Path.of(outputFolder), name, "One scheduler on one CPU, " + workers + " workers, bodies of " + bodyBytes + " bytes",
            stepsUpTo(steps, best));
        return historyValid && closedLoopValid ? 0 : 1;
    }

    /**
     * Compares jobs/s and connections of a closed loop with those that the same run measured for the echo server and another
     * build. An open loop within a latency bound would hide requests that wait for connections, as it leaves time between jobs.
     */
    private boolean checkClosedLoop(double echoPerSecond) throws IOException, InterruptedException {
        List<ClosedLoop.Result> own = new ArrayList<>();
        List<ClosedLoop.Result> few = new ArrayList<>();
        List<ClosedLoop.Result> others = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            own.add(runClosedLoop(root, closedClients));
            few.add(runClosedLoop(root, fewClients));
            if (otherBuild != null) {
                others.add(runClosedLoop(otherBuild, closedClients));
            }
        }
        double jobs = median(own, r -> r.step().goodput());
        double jobConnections = median(own, ClosedLoop.Result::jobConnectionsPer100);
        System.out.printf(Locale.ROOT, "closed loop of %d clients: %.0f jobs/s, p99 %.1f ms, %.1f connections per 100 jobs; %.3f of the echo%n",
            closedClients, jobs, median(own, r -> r.step().p99()), jobConnections, jobs / echoPerSecond);
        boolean passed = isAtLeast("jobs/s relative to the echo", jobs / echoPerSecond, minEchoRatio)
            & isAtLeast("connections below the bound", maxConnectionsPer100 - jobConnections, 0);
        passed &= isAtLeast("jobs/s of " + fewClients + " clients relative to " + closedClients,
            median(few, r -> r.step().goodput()) / jobs, minFewClientsRatio);
        if (otherBuild != null) {
            passed &= isAtLeast("jobs/s relative to the other build", jobs / median(others, r -> r.step().goodput()), minOtherBuildRatio);
        }
        return passed;
    }

    private ClosedLoop.Result runClosedLoop(String build, int clients) throws IOException, InterruptedException {
        try (LoadTestHarness harness = startHarness(build, workers)) {
            return ClosedLoop.run(harness, new LoadGenerator.Workload(clients, 0, bodyBytes, deadlineMs, "job"), seconds / 2, seconds);
        }
    }

    private static double median(List<ClosedLoop.Result> results, ToDoubleFunction<ClosedLoop.Result> metric) {
        return ClosedLoop.sortedMetric(results, metric)[results.size() / 2];
    }

    private static boolean isAtLeast(String label, double metric, double minimum) {
        System.out.printf(Locale.ROOT, "%s: %s %.3f, at least %.3f%n", metric >= minimum ? "kept" : "NOT KEPT", label, metric, minimum);
        return metric >= minimum;
    }

    private static List<Step> stepsUpTo(List<Step> steps, double rate) {
        return steps.stream().filter(s -> s.target().equals("scheduler") && s.offered() <= rate * 1.01).toList();
    }

    private double measureEcho(List<Step> steps) throws IOException, InterruptedException {
        try (TargetProcess echo = TargetProcess.startEcho(Path.of(root), cpu, Path.of(labJar)); Reactor reactor = new Reactor("echo clients")) {
            LoadGenerator.Workload workload = new LoadGenerator.Workload(connections, 0, bodyBytes, deadlineMs, "job");
            LoadGenerator generator = new LoadGenerator(reactor, StubWorkers.loopbackAddress(echo.port()), workload, "e", EventSink.NONE);
            generator.start();
            Thread.sleep((long) (seconds * 1000));
            generator.takeMeasurements();
            double cpuSeconds = echo.cpuSeconds();
            long allocated = echo.allocatedBytes();
            long startNs = System.nanoTime();
            Thread.sleep((long) (seconds * 1000));
            LoadGenerator.Measurements measurements = generator.takeMeasurements();
            double elapsedS = (System.nanoTime() - startNs) / 1e9;
            return addAndPrint(steps, Step.of("echo", 0, elapsedS, measurements, echo.cpuSeconds() - cpuSeconds,
                echo.residentBytes(), echo.allocatedBytes() - allocated, 0)).goodput();
        }
    }

    private static Step addAndPrint(List<Step> steps, Step step) {
        steps.add(step);
        System.out.println(step);
        return step;
    }

    private LoadGenerator.Workload workload(double rate) {
        return new LoadGenerator.Workload(connections, rate, bodyBytes, deadlineMs, "job");
    }
}
