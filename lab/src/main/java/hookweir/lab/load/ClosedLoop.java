package hookweir.lab.load;

import hookweir.lab.report.Step;
import java.io.IOException;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Clients in a closed loop on one scheduler: as many jobs as they get through, and what those cost in connections to workers. */
public final class ClosedLoop {
    private static final double PER_HUNDRED = 100;

    /**
     * What one span came to.
     *
     * @param step rates, times and costs
     * @param jobConnectionsPer100 connections to workers whose first call was a job, for each 100 jobs
     * @param probeConnectionsPer100 those whose first call was a probe, for each 100 jobs
     */
    public record Result(Step step, double jobConnectionsPer100, double probeConnectionsPer100) {
    }

    /** One figure of several results, ascending. */
    public static double[] sortedMetric(List<Result> all, ToDoubleFunction<Result> figure) {
        return all.stream().mapToDouble(figure).sorted().toArray();
    }

    private ClosedLoop() {
    }

    /** Loads the scheduler for so long, after a time to warm up that does not count. */
    public static Result run(LoadTestHarness bench, LoadGenerator.Workload plan, double warmSeconds, double seconds) throws IOException, InterruptedException {
        LoadGenerator clients = bench.startGenerator(plan);
        Thread.sleep((long) (warmSeconds * 1000));
        long dials = bench.stubWorkers().usedConnections();
        long ofProbes = bench.stubWorkers().probeConnections();
        Step step = bench.measure(clients, plan, seconds);
        dials = bench.stubWorkers().usedConnections() - dials;
        ofProbes = bench.stubWorkers().probeConnections() - ofProbes;
        long unanswered = bench.stopGenerator(clients);
        if (unanswered > 0) {
            throw new IOException(unanswered + " jobs got no answer");
        }
        double jobs = Math.max(1, step.goodput() * seconds);
        return new Result(step, PER_HUNDRED * (dials - ofProbes) / jobs, PER_HUNDRED * ofProbes / jobs);
    }
}
