package hookweir.lab.load;

import hookweir.lab.report.Step;
import java.io.IOException;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Closed-loop load on one scheduler: measures throughput and how many connections to workers it needs. */
public final class ClosedLoop {
    private static final double PER_HUNDRED = 100;

    /**
     * The result of one measurement.
     *
     * @param step rates, latencies and costs
     * @param jobConnectionsPer100 connections to workers whose first request was a job, per 100 jobs
     * @param probeConnectionsPer100 connections to workers whose first request was a probe, per 100 jobs
     */
    public record Result(Step step, double jobConnectionsPer100, double probeConnectionsPer100) {
    }

    /** The values of one metric over several results, in ascending order. */
    public static double[] sortedMetric(List<Result> results, ToDoubleFunction<Result> metric) {
        return results.stream().mapToDouble(metric).sorted().toArray();
    }

    private ClosedLoop() {
    }

    /** Loads the scheduler and measures it for the given time, after a warm-up that is not measured. */
    public static Result run(LoadTestHarness harness, LoadGenerator.Workload workload, double warmUpSeconds, double seconds)
            throws IOException, InterruptedException {
        LoadGenerator generator = harness.startGenerator(workload);
        Thread.sleep((long) (warmUpSeconds * 1000));
        long connections = harness.stubWorkers().usedConnections();
        long probeConnections = harness.stubWorkers().probeConnections();
        Step step = harness.measure(generator, workload, seconds);
        connections = harness.stubWorkers().usedConnections() - connections;
        probeConnections = harness.stubWorkers().probeConnections() - probeConnections;
        long unanswered = harness.stopGenerator(generator);
        if (unanswered > 0) {
            throw new IOException(unanswered + " jobs got no response");
        }
        double jobs = Math.max(1, step.goodput() * seconds);
        return new Result(step, PER_HUNDRED * (connections - probeConnections) / jobs, PER_HUNDRED * probeConnections / jobs);
    }
}
