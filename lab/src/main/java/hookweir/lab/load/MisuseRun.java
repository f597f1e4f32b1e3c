package hookweir.lab.load;

import hookweir.lab.report.Step;
import java.io.IOException;

/** Measures what usual clients get, and how much memory a scheduler takes, while others misuse it. */
public final class MisuseRun {
    private static final int USUAL_CONNECTIONS = 8;
    private static final double USUAL_JOBS_PER_SECOND = 60;
    private static final int BODY_BYTES = 4;
    private static final double WARM_UP_SECONDS = 1;

    /**
     * What a run has shown.
     *
     * @param step            what usual clients got
     * @param worstMs         the longest time that one of them waited for its result
     * @param unanswered      jobs of usual clients that got no response
     * @param sentBytes       what the misusing clients sent
     * @param residentGrowthMb by how much the resident memory grew during the second half of the run
     */
    public record Result(Step step, double worstMs, long unanswered, long sentBytes, double residentGrowthMb) {
    }

    private MisuseRun() {
    }

    /** Runs the misuse for some seconds. */
    public static Result run(LoadTestHarness harness, Misuse misuse, int misusingClients, long deadlineMs, double seconds)
            throws IOException, InterruptedException {
        LoadGenerator.Workload workload = new LoadGenerator.Workload(USUAL_CONNECTIONS, USUAL_JOBS_PER_SECOND, BODY_BYTES, deadlineMs, "job");
        LoadGenerator usual = harness.startGenerator(workload);
        harness.measure(usual, workload, WARM_UP_SECONDS);
        try (MisusingClients misusing = new MisusingClients(harness.target().port(), misuse, misusingClients)) {
            Step firstHalf = harness.measure(usual, workload, seconds / 2);
            Step secondHalf = harness.measure(usual, workload, seconds / 2);
            long sentBytes = misusing.finish();
            long unanswered = harness.stopGenerator(usual) + firstHalf.failed() + secondHalf.failed();
            // With fewer than a thousand jobs the 99.9th percentile is the longest of them.
            return new Result(secondHalf, Math.max(firstHalf.p999(), secondHalf.p999()), unanswered, sentBytes,
                secondHalf.residentMb() - firstHalf.residentMb());
        }
    }
}
