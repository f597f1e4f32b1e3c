package hookweir.lab.scale;

import hookweir.Contract.Outcome;

/** What is counted besides messages. */
final class Figures {
    /** Age of the figure that each attempt was sent on, in seconds. */
    final Samples ageS = new Samples();
    /** From a configuration change to its being in force at one scheduler, in seconds. */
    final Samples inForceS = new Samples();
    long jobs;
    long attempts;
    /** Attempts at workers of which nothing had been heard. */
    long unheard;
    long probes;
    long refused;
    long failed;
    private final long[] outcomes = new long[Outcome.values().length];

    /** An attempt leaves, on a figure of this age in µs; negative: on none. */
    void sent(long ageUs) {
        attempts++;
        if (ageUs < 0) {
            unheard++;
        } else {
            ageS.add(ageUs / 1e6);
        }
    }

    /** An attempt ended. */
    void over(Outcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    /** So many ended like this. */
    long ended(Outcome outcome) {
        return outcomes[outcome.ordinal()];
    }

    /** Counts from now on. */
    void clear() {
        ageS.clear();
        inForceS.clear();
        jobs = attempts = unheard = probes = refused = failed = 0;
        java.util.Arrays.fill(outcomes, 0);
    }
}
