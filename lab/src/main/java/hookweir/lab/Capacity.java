package hookweir.lab;

import hookweir.lab.load.Bench;
import hookweir.lab.load.Clients;
import hookweir.lab.load.ClosedLoop;
import hookweir.lab.load.Target;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.EventSink;
import hookweir.lab.report.LoadReport;
import hookweir.lab.report.Step;
import hookweir.lab.standin.Fleet;
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
    private double from = 500;
    @Option(name = "--factor", usage = "each step's rate by the one before")
    private double factor = 1.25;
    @Option(name = "--seconds", usage = "length of a step")
    private double seconds = 5;
    @Option(name = "--p99-ms", usage = "the bound on the 99th percentile")
    private double mostP99 = 50;
    @Option(name = "--refused", usage = "the bound on the share of refusals")
    private double mostRefused = 0.01;
    @Option(name = "--clients", usage = "client connections at most")
    private int connections = 256;
    @Option(name = "--closed-clients", usage = "clients of the closed loop, which no rate holds back")
    private int closedClients = 64;
    @Option(name = "--few-clients", usage = "clients of the closed loop in which each call's wait shows")
    private int fewClients = 4;
    @Option(name = "--least-of-few", usage = "the guard: jobs/s of the few clients by those of the closed loop, at least")
    private double leastOfFew = 0.2;
    @Option(name = "--least-of-echo", usage = "the guard: the closed loop's jobs/s by the echo's requests/s, at least")
    private double leastOfEcho = 0.1;
    @Option(name = "--most-dials", usage = "the guard: connections to workers for each 100 jobs of the closed loop, at most")
    private double mostDials = 5;
    @Option(name = "--against", metaVar = "FOLDER", usage = "another build of the scheduler: the closed loop is played on both in turn")
    private String against;
    @Option(name = "--least-of-other", usage = "the guard: the closed loop's jobs/s by the other build's, at least")
    private double leastOfOther = 0.85;
    @Option(name = "--turns", usage = "turns of the closed loop; medians count")
    private int turns = 3;
    @Option(name = "--lab-jar", usage = "this lab's jar, which holds the echo")
    private String jar = "lab/target/hookweir-lab.jar";
    @Option(name = "--out", usage = "the folder for the report")
    private String out = "target/capacity";
    @Option(name = "--name", usage = "the report's name")
    private String name = "capacity";

    @Override
    protected String what() {
        return "How many jobs a second one scheduler serves on one processor, and at what latency.\n"
            + "example: java -jar lab/target/hookweir-lab.jar capacity --workers 100 --seconds 5";
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        System.out.println(Step.head());
        double echo = echo(steps);
        boolean guarded = guard(echo);
        double best = 0;
        double half = 0;
        double over;
        boolean kept;
        try (Bench bench = bench()) {
            bench.span(plan(0), seconds); // warms up
            boolean held = true;
            for (double rate = from; held; rate *= factor) {
                Step step = shown(steps, bench.span(plan(rate), seconds));
                held = step.p99() <= mostP99 && step.refusedShare() <= mostRefused && step.failed() == 0 && step.goodput() > 0.97 * rate;
                best = held ? step.goodput() : best;
            }
            if (best == 0) {
                throw new IOException("the first step, " + from + " jobs/s, is beyond the bounds already: begin lower by --from");
            }
            half = shown(steps, bench.span(plan(best / 2), seconds)).p99();
            Step twice = shown(steps, bench.span(plan(2 * best), 2 * seconds));
            over = twice.goodput() / best;
            System.out.printf("capacity %.0f jobs/s (p99 up to %.0f ms, refused up to %.0f%%); p99 at half of it %.2f ms%n"
                + "at twice the capacity: served %.0f%% of it, p99 of refusals %.1f ms%n"
                + "echo %.0f/s; a third is the limit: %.0f%% of it reached; attempts twice %d, call-backs dropped %d%n", best, mostP99,
                100 * mostRefused, half, 100 * over, twice.refusalP99(), echo, 100 * best / (echo / 3), bench.fleet().twice(),
                bench.fleet().dropped());
            System.out.println(calls(bench));
            kept = bench.judged();
        }
        LoadReport.json(Path.of(out), name, Map.of("workers", workers, "bodyBytes", body, "resultBytes", result, "serviceMs", serviceMs,
            "clients", connections, "deadlineMs", deadlineMs, "capacity", best, "p99AtHalf", half, "goodputAtTwice", over, "echo", echo), steps);
        LoadReport.latencies(Path.of(out), name, "One scheduler on one processor, " + workers + " workers, bodies of " + body + " bytes",
            within(steps, best));
        return kept && guarded ? 0 : 1;
    }

    /**
     * Jobs/s and dials of a closed loop, held against what the same run read of the echo and of another build: a rate within a
     * bound of latency hides calls that wait for links, as the schedule leaves time between them.
     */
    private boolean guard(double echo) throws IOException, InterruptedException {
        List<ClosedLoop.Result> own = new ArrayList<>();
        List<ClosedLoop.Result> few = new ArrayList<>();
        List<ClosedLoop.Result> others = new ArrayList<>();
        for (int turn = 0; turn < turns; turn++) {
            own.add(closedLoop(root, closedClients));
            few.add(closedLoop(root, fewClients));
            if (against != null) {
                others.add(closedLoop(against, closedClients));
            }
        }
        double jobs = median(own, r -> r.step().goodput());
        double dials = median(own, ClosedLoop.Result::dialsPer100);
        System.out.printf(Locale.ROOT, "closed loop of %d clients: %.0f jobs/s, p99 %.1f ms, %.1f dials for each 100 jobs; %.3f of the echo%n",
            closedClients, jobs, median(own, r -> r.step().p99()), dials, jobs / echo);
        boolean held = holds("jobs/s by the echo's", jobs / echo, leastOfEcho) & holds("dials within bound", mostDials - dials, 0);
        held &= holds("jobs/s of " + fewClients + " clients by those of " + closedClients, median(few, r -> r.step().goodput()) / jobs, leastOfFew);
        if (against != null) {
            held &= holds("jobs/s by the other build's", jobs / median(others, r -> r.step().goodput()), leastOfOther);
        }
        return held;
    }

    private ClosedLoop.Result closedLoop(String build, int clients) throws IOException, InterruptedException {
        try (Bench bench = bench(build, workers)) {
            return ClosedLoop.run(bench, new Clients.Plan(clients, 0, body, deadlineMs, "job"), seconds / 2, seconds);
        }
    }

    private static double median(List<ClosedLoop.Result> all, ToDoubleFunction<ClosedLoop.Result> figure) {
        return ClosedLoop.sorted(all, figure)[all.size() / 2];
    }

    private static boolean holds(String what, double figure, double least) {
        System.out.printf(Locale.ROOT, "%s: %s %.3f, at least %.3f%n", figure >= least ? "kept" : "NOT KEPT", what, figure, least);
        return figure >= least;
    }

    private static List<Step> within(List<Step> steps, double rate) {
        return steps.stream().filter(s -> s.target().equals("scheduler") && s.offered() <= rate * 1.01).toList();
    }

    private double echo(List<Step> steps) throws IOException, InterruptedException {
        try (Target t = Target.echo(Path.of(root), cpu, Path.of(jar)); Reactor reactor = new Reactor("echo clients")) {
            Clients.Plan plan = new Clients.Plan(connections, 0, body, deadlineMs, "job");
            Clients c = new Clients(reactor, Fleet.local(t.port()), plan, "e", EventSink.NONE);
            c.start();
            Thread.sleep((long) (seconds * 1000));
            c.take();
            double cpuS = t.cpuS();
            long allocated = t.allocatedBytes();
            long begin = System.nanoTime();
            Thread.sleep((long) (seconds * 1000));
            Clients.Seen seen = c.take();
            double s = (System.nanoTime() - begin) / 1e9;
            return shown(steps, Step.of("echo", 0, s, seen, t.cpuS() - cpuS, t.residentBytes(), t.allocatedBytes() - allocated, 0)).goodput();
        }
    }

    private static Step shown(List<Step> steps, Step step) {
        steps.add(step);
        System.out.println(step);
        return step;
    }

    private Clients.Plan plan(double rate) {
        return new Clients.Plan(connections, rate, body, deadlineMs, "job");
    }
}
