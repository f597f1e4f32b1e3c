package hookweir.lab.scale;

import hookweir.Contract.Outcome;

/** Counters and samples of a simulation, other than message traffic. */
final class SimulationMetrics {
    /** Age of the load report on which each attempt was based, in seconds. */
    final Samples loadReportAgeS = new Samples();
    /** Time from a configuration change until one scheduler applies it, in seconds. */
    final Samples activationDelayS = new Samples();
    long jobs;
    long attempts;
    /** Attempts at workers from which no load report had been received. */
    long attemptsWithoutLoadReport;
    long probes;
    long rejected;
    long failed;
    private final long[] outcomes = new long[Outcome.values().length];

    /** Counts an attempt based on a load report of this age in µs; a negative age means that there was no report. */
    void attemptSent(long loadReportAgeUs) {
        attempts++;
        if (loadReportAgeUs < 0) {
            attemptsWithoutLoadReport++;
        } else {
            loadReportAgeS.add(loadReportAgeUs / 1e6);
        }
    }

    /** Counts an attempt that ended with this outcome. */
    void attemptEnded(Outcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    /** Returns the number of attempts that ended with this outcome. */
    long attemptsEndedWith(Outcome outcome) {
        return outcomes[outcome.ordinal()];
    }

    /** Resets all counters and samples, for example after the warm-up. */
    void reset() {
        loadReportAgeS.clear();
        activationDelayS.clear();
        jobs = attempts = attemptsWithoutLoadReport = probes = rejected = failed = 0;
        java.util.Arrays.fill(outcomes, 0);
    }
}
