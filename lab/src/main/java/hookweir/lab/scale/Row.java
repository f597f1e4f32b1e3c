package hookweir.lab.scale;

import hookweir.Contract.Outcome;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;

/**
 * What a run came to. Bytes are those on the wire as {@link WireSize} has it.
 *
 * @param name of the run
 * @param running tasks, mean
 * @param controlBytesPerS in and out of one scheduler
 * @param controlPeakBytesPerS the same in the worst second, mean over schedulers
 * @param changeBytesPerS of that, for changes of the list
 * @param configurationBytesPerS of that, for the configuration
 * @param schedulerBytesPerS in and out of one scheduler, jobs and results too
 * @param listBytesPerS in and out of the list service
 * @param listPeakBytesPerS the same in the worst second
 * @param probesPerWorkerS that one worker answers
 * @param wholeListBytes of one whole list with its request, those of the start included
 * @param probeConnectionsPerJob opened by schedulers for probes
 * @param jobConnectionsPerJob opened by schedulers for attempts
 * @param callBackConnectionsPerJob opened by workers
 * @param turnedAwayPerJob attempts that a worker declined
 * @param lostPerJob attempts that timed out, were reset or found no connection
 * @param unheardShare of the attempts, sent on no figure
 * @param ageP50S age of the figure that an attempt was sent on
 * @param spread standard deviation of tasks begun for each slot of a worker, over the mean
 * @param inForceMaxS from a configuration change to its being in force at the last scheduler
 */
record Row(String name, Shape shape, long jobs, double running, double probesPerJob, double probesPerS, double controlBytesPerS,
        double controlPeakBytesPerS, double changeBytesPerS, double configurationBytesPerS, double schedulerBytesPerS, double listBytesPerS,
        double listPeakBytesPerS, double probesPerWorkerS, double wholeListBytes, double probeConnectionsPerJob, double jobConnectionsPerJob,
        double callBackConnectionsPerJob, double turnedAwayPerJob, double lostPerJob,
        double refusedPerJob, double failedPerJob, double unheardShare, double ageP50S, double ageP99S, double spread, double inForceP50S,
        double inForceMaxS, Map<String, Map<String, Traffic.Tally>> traffic) {
    private static final double MAX_CONTROL_BYTES_PER_S = 4096;
    /** Workers asked before an attempt, four at most, and a fifth as many by the clock; a few more where those asked had no room. */
    private static final double MAX_PROBES_PER_JOB = 6;
    /** Each worker is asked once in 50 s at most while it is full, where jobs are few. */
    private static final double MAX_TIMED_PROBES_PER_WORKER_S = 0.02;
    private static final double MAX_PERCENTILE = 100;

    static Row of(Simulation world, Traffic traffic, PerSecondStats peaks) {
        Shape shape = world.shape;
        SimulationMetrics figures = world.metrics;
        double jobs = Math.max(1, figures.jobs);
        double schedulerSeconds = (double) shape.seconds() * shape.schedulers();
        Traffic.Tally whole = world.traffic.tally(Role.SCHEDULER, MessageKind.WHOLE_LIST);
        Traffic.Tally change = traffic.tally(Role.SCHEDULER, MessageKind.LIST_CHANGE);
        Traffic.Tally configuration = traffic.tally(Role.SCHEDULER, MessageKind.CONFIGURATION);
        long probeConnections = traffic.tally(Role.SCHEDULER, MessageKind.PROBE_CONNECTION).messages();
        long jobConnections = traffic.tally(Role.SCHEDULER, MessageKind.JOB_CONNECTION).messages();
        long lost = figures.attemptsEndedWith(Outcome.TIMEOUT) + figures.attemptsEndedWith(Outcome.RESET) + figures.attemptsEndedWith(Outcome.CONNECT_FAILED);
        return new Row("", shape, figures.jobs, peaks.meanRunningTasks(), figures.probes / jobs, figures.probes / schedulerSeconds,
            traffic.controlTally(Role.SCHEDULER).bytes() / schedulerSeconds, peaks.peakControlBytes() / (double) shape.schedulers(), change.bytes() / schedulerSeconds,
            configuration.bytes() / schedulerSeconds, totalBytes(traffic, Role.SCHEDULER) / schedulerSeconds,
            traffic.controlTally(Role.LIST_SERVICE).bytes() / (double) shape.seconds(), (double) peaks.peakListServiceBytes(),
            figures.probes / (double) shape.seconds() / shape.workers(),
            whole.messages() == 0 ? 0 : whole.bytes() / (whole.messages() / 2.0), probeConnections / jobs, jobConnections / jobs,
            traffic.tally(Role.WORKER, MessageKind.CALL_BACK_CONNECTION).messages() / jobs, figures.attemptsEndedWith(Outcome.FULL) / jobs, lost / jobs,
            figures.rejected / jobs, figures.failed / jobs, figures.attemptsWithoutLoadReport / (double) Math.max(1, figures.attempts),
            figures.loadReportAgeS.percentile(50), figures.loadReportAgeS.percentile(99), spread(world), figures.activationDelayS.percentile(50),
            figures.activationDelayS.percentile(MAX_PERCENTILE), traffic.toTable());
    }

    private static double totalBytes(Traffic traffic, Role role) {
        return Arrays.stream(MessageKind.values()).mapToLong(kind -> traffic.tally(role, kind).bytes()).sum();
    }

    private static double spread(Simulation world) {
        double[] perSlot = world.workers.stream().mapToDouble(worker -> (double) worker.startedTasks / worker.slots).toArray();
        double mean = Arrays.stream(perSlot).average().orElse(0);
        double variance = Arrays.stream(perSlot).map(x -> (x - mean) * (x - mean)).average().orElse(0);
        return mean == 0 ? 0 : Math.sqrt(variance) / mean;
    }

    /**
     * What was seen second by second.
     *
     * @param peakControlBytes bytes of all schedulers in the worst second
     * @param peakListServiceBytes bytes of the list service in the worst second
     * @param meanRunningTasks tasks, mean
     */
    record PerSecondStats(long peakControlBytes, long peakListServiceBytes, double meanRunningTasks) {
    }

    /** With a name. */
    Row withName(String newName) {
        return new Row(newName, shape, jobs, running, probesPerJob, probesPerS, controlBytesPerS, controlPeakBytesPerS, changeBytesPerS,
            configurationBytesPerS, schedulerBytesPerS, listBytesPerS, listPeakBytesPerS, probesPerWorkerS, wholeListBytes, probeConnectionsPerJob,
            jobConnectionsPerJob, callBackConnectionsPerJob,
            turnedAwayPerJob, lostPerJob, refusedPerJob, failedPerJob, unheardShare, ageP50S, ageP99S, spread, inForceP50S, inForceMaxS, traffic);
    }

    /** Connections opened by schedulers. */
    double newConnectionsPerJob() {
        return probeConnectionsPerJob + jobConnectionsPerJob;
    }

    /** Probes are bounded by the jobs that they serve and a rare timed one of each worker. */
    boolean withinProbeLimit() {
        double timedPerS = MAX_TIMED_PROBES_PER_WORKER_S * shape.workers();
        return probesPerS <= MAX_PROBES_PER_JOB * shape.jobsPerSecond() + timedPerS;
    }

    /** The bound on a scheduler's control traffic is kept. */
    boolean withinControlTrafficLimit() {
        return controlBytesPerS <= MAX_CONTROL_BYTES_PER_S;
    }

    /** The columns of {@link #tableLine}. */
    static String tableHeader() {
        return String.format("%-24s %7s %6s %6s %7s %7s %8s %8s %9s", "run", "workers", "scheds", "jobs/s", "running", "probe/s", "ctl B/s", "ctl peak",
            "list B/s") + String.format(" %8s %8s %8s %8s %8s %8s %8s %8s %7s %7s", "prb-c/j", "job-c/j", "cb-c/j", "full/job", "lost/job", "ref/job",
            "age p50", "age p99", "unheard", "spread");
    }

    /** One line of the table. */
    String tableLine() {
        return String.format(Locale.ROOT, "%-24s %7d %6d %6.2f %7.0f %7.2f %8.0f %8.0f %9.0f", name, shape.workers(), shape.schedulers(),
            shape.jobsPerSecond(), running, probesPerS, controlBytesPerS, controlPeakBytesPerS, listBytesPerS)
            + String.format(Locale.ROOT, " %8.3f %8.3f %8.3f %8.4f %8.4f %8.4f %7.2fs %7.2fs %7.3f %7.3f", probeConnectionsPerJob, jobConnectionsPerJob,
            callBackConnectionsPerJob, turnedAwayPerJob, lostPerJob, refusedPerJob + failedPerJob, ageP50S, ageP99S, unheardShare, spread);
    }
}
