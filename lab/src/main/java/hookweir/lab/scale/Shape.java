package hookweir.lab.scale;

/**
 * What a run simulates; {@link #target} has the size that the operators expect.
 *
 * @param workers hollow workers; five of eleven have three accelerators each, the others eight slots
 * @param schedulers hollow schedulers
 * @param jobsPerSecond that each scheduler takes, as a Poisson process
 * @param serviceMs a task's mean running time; it runs from half of it to one and a half
 * @param fullShare of the workers that are full of others' work at any moment, changing
 * @param restartsPerHour workers that drain, end and come back
 * @param changesPerHour configuration changes
 * @param pollMs how often a scheduler's machine asks for its configuration
 * @param warmUpSeconds run before anything is counted
 * @param seconds counted
 * @param failure what happens a third into the counted time
 * @param mechanism how probes are sent
 */
record Shape(int workers, int schedulers, double jobsPerSecond, long serviceMs, double fullShare, double restartsPerHour,
        double changesPerHour, long pollMs, int warmUpSeconds, int seconds, Failure failure, Mechanism mechanism, long seed) {
    /** Zones, half of them in each region. */
    static final int ZONE_COUNT = 6;
    static final int REGION_COUNT = 2;
    /** Workers on one switch. */
    static final int WORKERS_PER_RACK = 24;
    /** Teams in the configuration. */
    static final int TEAM_COUNT = 39;
    /** Share of the tasks that need an accelerator. */
    static final double ACCELERATOR_SHARE = 0.2;
    private static final double HOURS_PER_DAY = 24;
    /** Each scheduler asks each worker for the first time 37 to 62 s after its start, and idle ones 200 s apart from then on. */
    private static final int WARM_UP_S = 200;

    /** What goes wrong. */
    enum Failure {
        NONE,
        /** One rack falls silent for good. */
        RACK,
        /** One zone's workers fall silent and come back empty after 20 s. */
        ZONE,
        /** The regions do not reach each other for 20 s. */
        REGION_CUT,
        /** All schedulers start anew in the same instant. */
        SCHEDULERS_RESTART
    }

    /** How probes are sent. */
    enum Mechanism {
        /** As the decision module asks. */
        AS_DECIDED,
        /** Wrong on purpose: each scheduler probes all workers every second. For showing that the checks see it. */
        PROBE_ALL
    }

    /** The target: 1,100 workers, 440 starts a second, about 3,800 tasks running. */
    static Shape target() {
        return new Shape(1100, 100, 4.4, 8600, 0, 147 / HOURS_PER_DAY, 3700 / HOURS_PER_DAY, 10_000, WARM_UP_S, 200, Failure.NONE, Mechanism.AS_DECIDED, 1);
    }

    /** So many workers, schedulers and jobs a second for each. */
    Shape withSize(int newWorkers, int newSchedulers, double newJobsPerSecond) {
        return new Shape(newWorkers, newSchedulers, newJobsPerSecond, serviceMs, fullShare, restartsPerHour, changesPerHour, pollMs, warmUpSeconds,
            seconds, failure, mechanism, seed);
    }

    /** Tasks of this length, and this share of workers full of others' work. */
    Shape withLoad(long newServiceMs, double newFullShare) {
        return new Shape(workers, schedulers, jobsPerSecond, newServiceMs, newFullShare, restartsPerHour, changesPerHour, pollMs, warmUpSeconds,
            seconds, failure, mechanism, seed);
    }

    /** With this many worker restarts and configuration changes an hour. */
    Shape withChangeRates(double newRestartsPerHour, double newChangesPerHour) {
        return new Shape(workers, schedulers, jobsPerSecond, serviceMs, fullShare, newRestartsPerHour, newChangesPerHour, pollMs, warmUpSeconds,
            seconds, failure, mechanism, seed);
    }

    /** Over this span. */
    Shape withDuration(int newWarmUpSeconds, int newSeconds) {
        return new Shape(workers, schedulers, jobsPerSecond, serviceMs, fullShare, restartsPerHour, changesPerHour, pollMs, newWarmUpSeconds,
            newSeconds, failure, mechanism, seed);
    }

    /** With this failure. */
    Shape with(Failure newFailure) {
        return new Shape(workers, schedulers, jobsPerSecond, serviceMs, fullShare, restartsPerHour, changesPerHour, pollMs, warmUpSeconds,
            seconds, newFailure, mechanism, seed);
    }

    /** With this mechanism. */
    Shape with(Mechanism newMechanism) {
        return new Shape(workers, schedulers, jobsPerSecond, serviceMs, fullShare, restartsPerHour, changesPerHour, pollMs, warmUpSeconds,
            seconds, failure, newMechanism, seed);
    }

    /** With this seed. */
    Shape withSeed(long newSeed) {
        return new Shape(workers, schedulers, jobsPerSecond, serviceMs, fullShare, restartsPerHour, changesPerHour, pollMs, warmUpSeconds,
            seconds, failure, mechanism, newSeed);
    }
}
