package hookweir.lab.load;

import hookweir.lab.report.Step;
import java.io.IOException;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Clients in a closed loop on one scheduler: as many jobs as they get through, and what those cost in connections to workers. */
public final class ClosedLoop {
    private static final double PER_CENT = 100;

    /**
     * What one span came to.
     *
     * @param step rates, times and costs
     * @param dialsPer100 connections to workers whose first call was a job, for each 100 jobs
     * @param probeDialsPer100 those whose first call was a probe, for each 100 jobs
     */
    public record Result(Step step, double dialsPer100, double probeDialsPer100) {
    }

    /** One figure of several results, ascending. */
    public static double[] sorted(List<Result> all, ToDoubleFunction<Result> figure) {
        return all.stream().mapToDouble(figure).sorted().toArray();
    }

    private ClosedLoop() {
    }

    /** Loads the scheduler for so long, after a time to warm up that does not count. */
    public static Result run(Bench bench, Clients.Plan plan, double warmSeconds, double seconds) throws IOException, InterruptedException {
        Clients clients = bench.begin(plan);
        Thread.sleep((long) (warmSeconds * 1000));
        long dials = bench.fleet().dials();
        long ofProbes = bench.fleet().probeDials();
        Step step = bench.next(clients, plan, seconds);
        dials = bench.fleet().dials() - dials;
        ofProbes = bench.fleet().probeDials() - ofProbes;
        long unanswered = bench.end(clients);
        if (unanswered > 0) {
            throw new IOException(unanswered + " jobs got no answer");
        }
        double jobs = Math.max(1, step.goodput() * seconds);
        return new Result(step, PER_CENT * (dials - ofProbes) / jobs, PER_CENT * ofProbes / jobs);
    }
}
