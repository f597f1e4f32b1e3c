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

/** Steps the rate up until a bound is passed, then offers twice the capacity, and holds it against the bare echo. */
public final class Capacity extends LoadCommand {
    @Option(name = "--from", usage = "jobs a second of the first step")
    private double firstRate = 500;
    @Option(name = "--factor", usage = "each step's rate by the one before")
    private double factor = 1.25;
    @Option(name = "--seconds", usage = "length of a step")
    private double seconds = 5;
    @Option(name = "--p99-ms", usage = "the bound on the 99th percentile")
    private double maxP99Ms = 50;
    @Option(name = "--refused", usage = "the bound on the share of refusals")
    private double maxRejectedShare = 0.01;
    @Option(name = "--clients", usage = "client connections at most")
    private int connections = 256;
    @Option(name = "--closed-clients", usage = "clients of the closed loop, which no rate holds back")
    private int closedClients = 64;
    @Option(name = "--few-clients", usage = "clients of the closed loop in which each call's wait shows")
    private int fewClients = 4;
    @Option(name = "--least-of-few", usage = "the guard: jobs/s of the few clients by those of the closed loop, at least")
    private double minFewClientsRatio = 0.2;
    @Option(name = "--least-of-echo", usage = "the guard: the closed loop's jobs/s by the echo's requests/s, at least")
    private double minEchoRatio = 0.1;
    @Option(name = "--most-dials", usage = "the guard: connections to workers for each 100 jobs of the closed loop, at most")
    private double maxConnectionsPer100 = 5;
    @Option(name = "--against", metaVar = "FOLDER", usage = "another build of the scheduler: the closed loop is played on both in turn")
    private String otherBuild;
    @Option(name = "--least-of-other", usage = "the guard: the closed loop's jobs/s by the other build's, at least")
    private double minOtherBuildRatio = 0.85;
    @Option(name = "--turns", usage = "turns of the closed loop; medians count")
    private int rounds = 3;
    @Option(name = "--lab-jar", usage = "this lab's jar, which holds the echo")
    private String labJar = "lab/target/hookweir-lab.jar";
    @Option(name = "--out", usage = "the folder for the report")
    private String outputFolder = "target/capacity";
    @Option(name = "--name", usage = "the report's name")
    private String name = "capacity";

    @Override
    protected String description() {
        return "How many jobs a second one scheduler serves on one processor, and at what latency.\n"
            + "example: java -jar lab/target/hookweir-lab.jar capacity --workers 100 --seconds 5";
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        System.out.println(Step.tableHeader());
        double echo = measureEcho(steps);
        boolean guarded = checkClosedLoop(echo);
        double best = 0;
        double half = 0;
        double over;
        boolean kept;
        try (LoadTestHarness bench = startHarness()) {
            bench.runStep(workload(0), seconds); // warms up
            boolean held = true;
            for (double rate = firstRate; held; rate *= factor) {
                Step step = addAndPrint(steps, bench.runStep(workload(rate), seconds));
                held = step.p99() <= maxP99Ms && step.refusedShare() <= maxRejectedShare && step.failed() == 0 && step.goodput() > 0.97 * rate;
                best = held ? step.goodput() : best;
            }
            if (best == 0) {
                throw new IOException("the first step, " + firstRate + " jobs/s, is beyond the bounds already: begin lower by --from");
            }
            half = addAndPrint(steps, bench.runStep(workload(best / 2), seconds)).p99();
            Step twice = addAndPrint(steps, bench.runStep(workload(2 * best), 2 * seconds));
            over = twice.goodput() / best;
            System.out.printf("capacity %.0f jobs/s (p99 up to %.0f ms, refused up to %.0f%%); p99 at half of it %.2f ms%n"
                + "at twice the capacity: served %.0f%% of it, p99 of refusals %.1f ms%n"
                + "echo %.0f/s; a third is the limit: %.0f%% of it reached; attempts twice %d, call-backs dropped %d%n", best, maxP99Ms,
                100 * maxRejectedShare, half, 100 * over, twice.refusalP99(), echo, 100 * best / (echo / 3), bench.stubWorkers().repeatedAttempts(),
                bench.stubWorkers().droppedCallbacks());
            System.out.println(formatCallbackLatency(bench));
            kept = bench.closeAndCheckHistory();
        }
        LoadReport.writeJson(Path.of(outputFolder), name, Map.of("workers", workers, "bodyBytes", bodyBytes, "resultBytes", resultBytes, "serviceMs", serviceMs,
            "clients", connections, "deadlineMs", deadlineMs, "capacity", best, "p99AtHalf", half, "goodputAtTwice", over, "echo", echo), steps);
        LoadReport.writeLatencyChart(Path.of(outputFolder), name, "One scheduler on one processor, " + workers + " workers, bodies of " + bodyBytes + " bytes",
            stepsUpTo(steps, best));
        return kept && guarded ? 0 : 1;
    }

    /**
     * Jobs/s and dials of a closed loop, held against what the same run read of the echo and of another build: a rate within a
     * bound of latency hides calls that wait for links, as the schedule leaves time between them.
     */
    private boolean checkClosedLoop(double echo) throws IOException, InterruptedException {
        List<ClosedLoop.Result> own = new ArrayList<>();
        List<ClosedLoop.Result> few = new ArrayList<>();
        List<ClosedLoop.Result> others = new ArrayList<>();
        for (int turn = 0; turn < rounds; turn++) {
            own.add(runClosedLoop(root, closedClients));
            few.add(runClosedLoop(root, fewClients));
            if (otherBuild != null) {
                others.add(runClosedLoop(otherBuild, closedClients));
            }
        }
        double jobs = median(own, r -> r.step().goodput());
        double dials = median(own, ClosedLoop.Result::jobConnectionsPer100);
        System.out.printf(Locale.ROOT, "closed loop of %d clients: %.0f jobs/s, p99 %.1f ms, %.1f dials for each 100 jobs; %.3f of the echo%n",
            closedClients, jobs, median(own, r -> r.step().p99()), dials, jobs / echo);
        boolean held = isAtLeast("jobs/s by the echo's", jobs / echo, minEchoRatio) & isAtLeast("dials within bound", maxConnectionsPer100 - dials, 0);
        held &= isAtLeast("jobs/s of " + fewClients + " clients by those of " + closedClients, median(few, r -> r.step().goodput()) / jobs, minFewClientsRatio);
        if (otherBuild != null) {
            held &= isAtLeast("jobs/s by the other build's", jobs / median(others, r -> r.step().goodput()), minOtherBuildRatio);
        }
        return held;
    }

    private ClosedLoop.Result runClosedLoop(String build, int clients) throws IOException, InterruptedException {
        try (LoadTestHarness bench = startHarness(build, workers)) {
            return ClosedLoop.run(bench, new LoadGenerator.Workload(clients, 0, bodyBytes, deadlineMs, "job"), seconds / 2, seconds);
        }
    }

    private static double median(List<ClosedLoop.Result> all, ToDoubleFunction<ClosedLoop.Result> figure) {
        return ClosedLoop.sortedMetric(all, figure)[all.size() / 2];
    }

    private static boolean isAtLeast(String what, double figure, double least) {
        System.out.printf(Locale.ROOT, "%s: %s %.3f, at least %.3f%n", figure >= least ? "kept" : "NOT KEPT", what, figure, least);
        return figure >= least;
    }

    private static List<Step> stepsUpTo(List<Step> steps, double rate) {
        return steps.stream().filter(s -> s.target().equals("scheduler") && s.offered() <= rate * 1.01).toList();
    }

    private double measureEcho(List<Step> steps) throws IOException, InterruptedException {
        try (TargetProcess t = TargetProcess.startEcho(Path.of(root), cpu, Path.of(labJar)); Reactor reactor = new Reactor("echo clients")) {
            LoadGenerator.Workload plan = new LoadGenerator.Workload(connections, 0, bodyBytes, deadlineMs, "job");
            LoadGenerator c = new LoadGenerator(reactor, StubWorkers.loopbackAddress(t.port()), plan, "e", EventSink.NONE);
            c.start();
            Thread.sleep((long) (seconds * 1000));
            c.takeMeasurements();
            double cpuS = t.cpuSeconds();
            long allocated = t.allocatedBytes();
            long begin = System.nanoTime();
            Thread.sleep((long) (seconds * 1000));
            LoadGenerator.Measurements seen = c.takeMeasurements();
            double s = (System.nanoTime() - begin) / 1e9;
            return addAndPrint(steps, Step.of("echo", 0, s, seen, t.cpuSeconds() - cpuS, t.residentBytes(), t.allocatedBytes() - allocated, 0)).goodput();
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
