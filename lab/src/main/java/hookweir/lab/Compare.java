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

/** Measures several builds of the scheduler in turn under the same closed loops; only ratios within one run are comparable. */
public final class Compare extends LoadCommand {
    @Option(name = "--builds", usage = "folders with a built scheduler, separated by commas; the first is the reference")
    private String builds = ".";
    @Option(name = "--fleets", usage = "numbers of workers, separated by commas")
    private String workerCounts = "10,100,1000";
    @Option(name = "--crowds", usage = "numbers of clients, separated by commas")
    private String clientCounts = "16,64,256";
    @Option(name = "--turns", usage = "number of measurements of each build")
    private int rounds = 5;
    @Option(name = "--seconds", usage = "length of a measurement")
    private double seconds = 3;
    @Option(name = "--warm-seconds", usage = "warm-up before the first measurement of a process")
    private double warmUpSeconds = 2;

    /** Identifies one row of the table. */
    private record RowKey(int workers, int clients, String build) implements Comparable<RowKey> {
        @Override
        public int compareTo(RowKey o) {
            int byWorkers = Integer.compare(workers, o.workers);
            int byClients = Integer.compare(clients, o.clients);
            return byWorkers != 0 ? byWorkers : byClients != 0 ? byClients : build.compareTo(o.build);
        }
    }

    private final Map<RowKey, List<ClosedLoop.Result>> results = new TreeMap<>();

    @Override
    protected String description() {
        return "Measures builds of the scheduler in turn under closed loops: medians and ranges of jobs/s, p99 and connections.\n"
            + "example: java -jar lab/target/hookweir-lab.jar compare --builds ../before,. --fleets 10,100 --crowds 64 --turns 5";
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        for (int round = 0; round < rounds; round++) {
            for (String workers : workerCounts.split(",")) {
                for (String build : builds.split(",")) {
                    runBuild(Integer.parseInt(workers), build);
                }
            }
        }
        System.out.println("| workers | clients | build | jobs/s | p99 ms | dials for each 100 jobs | probes' dials | CPU us a job |\n"
            + "| --- | --- | --- | --- | --- | --- | --- | --- |");
        results.forEach((key, measured) -> System.out.printf(Locale.ROOT, "| %d | %d | %s | %s | %s | %s | %s | %s |%n", key.workers, key.clients, key.build,
            formatSpread(measured, "%.0f", r -> r.step().goodput()), formatSpread(measured, "%.1f", r -> r.step().p99()),
            formatSpread(measured, "%.1f", ClosedLoop.Result::jobConnectionsPer100), formatSpread(measured, "%.1f", ClosedLoop.Result::probeConnectionsPer100),
            formatSpread(measured, "%.0f", r -> r.step().cpuUs())));
        return 0;
    }

    private void runBuild(int workers, String build) throws IOException, InterruptedException {
        try (LoadTestHarness harness = startHarness(build, workers)) {
            double warmUp = warmUpSeconds;
            for (String clients : clientCounts.split(",")) {
                LoadGenerator.Workload workload = new LoadGenerator.Workload(Integer.parseInt(clients), 0, bodyBytes, deadlineMs, "job");
                ClosedLoop.Result result = ClosedLoop.run(harness, workload, warmUp, seconds);
                warmUp = Math.min(warmUp, 1);
                results.computeIfAbsent(new RowKey(workers, workload.connections(), build), c -> new ArrayList<>()).add(result);
                System.out.printf(Locale.ROOT,
                    "%s, %d workers, %s clients: %.0f jobs/s, p99 %.1f ms, %.1f job and %.1f probe connections per 100 jobs, %.0f us%n",
                    build, workers, clients, result.step().goodput(), result.step().p99(), result.jobConnectionsPer100(), result.probeConnectionsPer100(),
                    result.step().cpuUs());
            }
        }
    }

    /** The median and, in parentheses, the minimum and the maximum. */
    private static String formatSpread(List<ClosedLoop.Result> measured, String format, ToDoubleFunction<ClosedLoop.Result> metric) {
        double[] sorted = ClosedLoop.sortedMetric(measured, metric);
        return String.format(Locale.ROOT, format + " (" + format + " to " + format + ")", sorted[sorted.length / 2], sorted[0],
            sorted[sorted.length - 1]);
    }
}
