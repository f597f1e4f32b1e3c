package hookweir.lab.scale;

/**
 * Parameters of a simulation; {@link #target} has the fleet size that the operators expect.
 *
 * @param workers number of workers; five of eleven have three accelerators each, the others eight slots
 * @param schedulers number of schedulers
 * @param jobsPerSecond arrival rate of jobs at each scheduler, as a Poisson process
 * @param serviceMs mean running time of a task; running times are uniform between 0.5 and 1.5 times the mean
 * @param fullShare share of the workers that is fully occupied by other work at any moment; which ones changes over time
 * @param restartsPerHour workers per hour that drain, stop and start again
 * @param changesPerHour configuration changes per hour
 * @param pollMs interval at which a scheduler's machine polls its configuration
 * @param warmUpSeconds simulated time before measuring starts
 * @param seconds measured simulated time
 * @param failure failure injected after a third of the measured time
 * @param mechanism how probes are sent
 * @param seed random seed; the same parameters and seed give the same result
 */
record Shape(int workers, int schedulers, double jobsPerSecond, long serviceMs, double fullShare, double restartsPerHour,
        double changesPerHour, long pollMs, int warmUpSeconds, int seconds, Failure failure, Mechanism mechanism, long seed) {
    /** Number of zones; each region has half of them. */
    static final int ZONE_COUNT = 6;
    static final int REGION_COUNT = 2;
    /** Workers connected to one switch. */
    static final int WORKERS_PER_RACK = 24;
    /** Number of teams in the configuration. */
    static final int TEAM_COUNT = 39;
    /** Share of the tasks that need an accelerator. */
    static final double ACCELERATOR_SHARE = 0.2;
    private static final double HOURS_PER_DAY = 24;
    /** Each scheduler first probes each worker 37 to 62 s after its start, and from then on probes an idle worker every 200 s. */
    private static final int WARM_UP_S = 200;

    /** The injected failure. */
    enum Failure {
        NONE,
        /** One rack stops responding permanently. */
        RACK,
        /** The workers of one zone stop responding and restart without tasks after 20 s. */
        ZONE,
        /** A network partition separates the regions for 20 s. */
        REGION_CUT,
        /** All schedulers restart at the same instant. */
        SCHEDULERS_RESTART
    }

    /** How probes are sent. */
    enum Mechanism {
        /** As the decision module requests them. */
        AS_DECIDED,
        /** Wrong on purpose: each scheduler also probes all workers every second, to show that the checks detect it. */
        PROBE_ALL
    }

    /** The target fleet: 1,100 workers, 440 job starts per second, about 3,800 running tasks. */
    static Shape target() {
        return new Shape(1100, 100, 4.4, 8600, 0, 147 / HOURS_PER_DAY, 3700 / HOURS_PER_DAY, 10_000, WARM_UP_S, 200, Failure.NONE, Mechanism.AS_DECIDED, 1);
    }

    /** Returns a copy with these numbers of workers and schedulers, and this job rate of each scheduler. */
    Shape withSize(int newWorkers, int newSchedulers, double newJobsPerSecond) {
        return new Shape(newWorkers, newSchedulers, newJobsPerSecond, serviceMs, fullShare, restartsPerHour, changesPerHour, pollMs, warmUpSeconds,
            seconds, failure, mechanism, seed);
    }

    /** Returns a copy with this mean running time and this share of workers occupied by other work. */
    Shape withLoad(long newServiceMs, double newFullShare) {
        return new Shape(workers, schedulers, jobsPerSecond, newServiceMs, newFullShare, restartsPerHour, changesPerHour, pollMs, warmUpSeconds,
            seconds, failure, mechanism, seed);
    }

    /** Returns a copy with these hourly rates of worker restarts and configuration changes. */
    Shape withChangeRates(double newRestartsPerHour, double newChangesPerHour) {
        return new Shape(workers, schedulers, jobsPerSecond, serviceMs, fullShare, newRestartsPerHour, newChangesPerHour, pollMs, warmUpSeconds,
            seconds, failure, mechanism, seed);
    }

    /** Returns a copy with this warm-up and this measured time. */
    Shape withDuration(int newWarmUpSeconds, int newSeconds) {
        return new Shape(workers, schedulers, jobsPerSecond, serviceMs, fullShare, restartsPerHour, changesPerHour, pollMs, newWarmUpSeconds,
            newSeconds, failure, mechanism, seed);
    }

    /** Returns a copy with this failure. */
    Shape with(Failure newFailure) {
        return new Shape(workers, schedulers, jobsPerSecond, serviceMs, fullShare, restartsPerHour, changesPerHour, pollMs, warmUpSeconds,
            seconds, newFailure, mechanism, seed);
    }

    /** Returns a copy with this probe mechanism. */
    Shape with(Mechanism newMechanism) {
        return new Shape(workers, schedulers, jobsPerSecond, serviceMs, fullShare, restartsPerHour, changesPerHour, pollMs, warmUpSeconds,
            seconds, failure, newMechanism, seed);
    }

    /** Returns a copy with this seed. */
    Shape withSeed(long newSeed) {
        return new Shape(workers, schedulers, jobsPerSecond, serviceMs, fullShare, restartsPerHour, changesPerHour, pollMs, warmUpSeconds,
            seconds, failure, mechanism, newSeed);
    }
}
