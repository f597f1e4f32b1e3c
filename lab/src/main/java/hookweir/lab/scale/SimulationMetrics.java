package hookweir.lab.scale;

import hookweir.Contract.Outcome;

/** What is counted besides messages. */
final class SimulationMetrics {
    /** Age of the figure that each attempt was sent on, in seconds. */
    final Samples loadReportAgeS = new Samples();
    /** From a configuration change to its being in force at one scheduler, in seconds. */
    final Samples activationDelayS = new Samples();
    long jobs;
    long attempts;
    /** Attempts at workers of which nothing had been heard. */
    long attemptsWithoutLoadReport;
    long probes;
    long rejected;
    long failed;
    private final long[] outcomes = new long[Outcome.values().length];

    /** An attempt leaves, on a figure of this age in µs; negative: on none. */
    void attemptSent(long loadReportAgeUs) {
        attempts++;
        if (loadReportAgeUs < 0) {
            attemptsWithoutLoadReport++;
        } else {
            loadReportAgeS.add(loadReportAgeUs / 1e6);
        }
    }

    /** An attempt ended. */
    void attemptEnded(Outcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    /** So many ended like this. */
    long attemptsEndedWith(Outcome outcome) {
        return outcomes[outcome.ordinal()];
    }

    /** Counts from now on. */
    void reset() {
        loadReportAgeS.clear();
        activationDelayS.clear();
        jobs = attempts = attemptsWithoutLoadReport = probes = rejected = failed = 0;
        java.util.Arrays.fill(outcomes, 0);
    }
}
