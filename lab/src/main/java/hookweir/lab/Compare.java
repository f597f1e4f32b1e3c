package hookweir.lab;

import hookweir.lab.load.ClosedLoop;
import hookweir.lab.load.LoadGenerator;
import hookweir.lab.load.LoadTestHarness;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.kohsuke.args4j.Option;

/** Builds of the scheduler under the same closed loops, in turn within one run: only ratios within a run can be compared. */
public final class Compare extends LoadCommand {
    @Option(name = "--builds", usage = "folders with a built scheduler, separated by commas; the first is the reference")
    private String builds = ".";
    @Option(name = "--fleets", usage = "numbers of workers, separated by commas")
    private String workerCounts = "10,100,1000";
    @Option(name = "--crowds", usage = "numbers of clients, separated by commas")
    private String clientCounts = "16,64,256";
    @Option(name = "--turns", usage = "how often each build has its turn")
    private int rounds = 5;
    @Option(name = "--seconds", usage = "length of a span")
    private double seconds = 3;
    @Option(name = "--warm-seconds", usage = "before the first span of a process")
    private double warmUpSeconds = 2;

    /** One row of the table. */
    private record RowKey(int workers, int clients, String build) implements Comparable<RowKey> {
        @Override
        public int compareTo(RowKey o) {
            int byFleet = Integer.compare(workers, o.workers);
            int byCrowd = Integer.compare(clients, o.clients);
            return byFleet != 0 ? byFleet : byCrowd != 0 ? byCrowd : build.compareTo(o.build);
        }
    }

    private final Map<RowKey, List<ClosedLoop.Result>> results = new TreeMap<>();

    @Override
    protected String description() {
        return "Builds of the scheduler under closed loops, in turn: medians and spreads of jobs/s, p99 and dials.\n"
            + "example: java -jar lab/target/hookweir-lab.jar compare --builds ../before,. --fleets 10,100 --crowds 64 --turns 5";
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        for (int turn = 0; turn < rounds; turn++) {
            for (String fleet : workerCounts.split(",")) {
                for (String build : builds.split(",")) {
                    runBuild(Integer.parseInt(fleet), build);
                }
            }
        }
        System.out.println("| workers | clients | build | jobs/s | p99 ms | dials for each 100 jobs | probes' dials | CPU us a job |\n"
            + "| --- | --- | --- | --- | --- | --- | --- | --- |");
        results.forEach((cell, all) -> System.out.printf(Locale.ROOT, "| %d | %d | %s | %s | %s | %s | %s | %s |%n", cell.workers, cell.clients, cell.build,
            formatSpread(all, "%.0f", r -> r.step().goodput()), formatSpread(all, "%.1f", r -> r.step().p99()),
            formatSpread(all, "%.1f", ClosedLoop.Result::jobConnectionsPer100), formatSpread(all, "%.1f", ClosedLoop.Result::probeConnectionsPer100),
            formatSpread(all, "%.0f", r -> r.step().cpuUs())));
        return 0;
    }

    private void runBuild(int fleet, String build) throws IOException, InterruptedException {
        try (LoadTestHarness bench = startHarness(build, fleet)) {
            double warm = warmUpSeconds;
            for (String crowd : clientCounts.split(",")) {
                LoadGenerator.Workload plan = new LoadGenerator.Workload(Integer.parseInt(crowd), 0, bodyBytes, deadlineMs, "job");
                ClosedLoop.Result result = ClosedLoop.run(bench, plan, warm, seconds);
                warm = Math.min(warm, 1);
                results.computeIfAbsent(new RowKey(fleet, plan.connections(), build), c -> new ArrayList<>()).add(result);
                System.out.printf(Locale.ROOT, "%s, %d workers, %s clients: %.0f jobs/s, p99 %.1f ms, %.1f and %.1f dials, %.0f us%n", build, fleet, crowd,
                    result.step().goodput(), result.step().p99(), result.jobConnectionsPer100(), result.probeConnectionsPer100(), result.step().cpuUs());
            }
        }
    }

    /** The median and, in brackets, the least and the most. */
    private static String formatSpread(List<ClosedLoop.Result> all, String format, ToDoubleFunction<ClosedLoop.Result> figure) {
        double[] sorted = ClosedLoop.sortedMetric(all, figure);
        return String.format(Locale.ROOT, format + " (" + format + " to " + format + ")", sorted[sorted.length / 2], sorted[0],
            sorted[sorted.length - 1]);
    }
}
