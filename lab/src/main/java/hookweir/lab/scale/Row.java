package hookweir.lab.scale;

import hookweir.Contract.Outcome;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;

/**
 * The result of a simulation. Bytes are bytes on the wire as {@link WireSize} estimates them.
 *
 * @param name name of the run
 * @param running mean number of running tasks
 * @param controlBytesPerS control traffic in and out of one scheduler
 * @param controlPeakBytesPerS the same in the second with the most traffic, averaged over the schedulers
 * @param changeBytesPerS part of the control traffic for worker list changes
 * @param configurationBytesPerS part of the control traffic for the configuration
 * @param schedulerBytesPerS all traffic in and out of one scheduler, including jobs and results
 * @param listBytesPerS control traffic in and out of the list service
 * @param listPeakBytesPerS the same in the second with the most traffic
 * @param probesPerWorkerS probes per second sent to one worker
 * @param wholeListBytes bytes of one whole list with its request, including fetches during the warm-up
 * @param probeConnectionsPerJob connections that schedulers opened for probes
 * @param jobConnectionsPerJob connections that schedulers opened for attempts
 * @param callBackConnectionsPerJob connections that workers opened for callbacks
 * @param turnedAwayPerJob attempts that a worker rejected because it was full
 * @param lostPerJob attempts that timed out, were reset or could not connect
 * @param unheardShare share of the attempts at workers without a load report
 * @param ageP50S median age of the load report on which an attempt was based
 * @param spread coefficient of variation over the workers of the tasks started per slot
 * @param inForceMaxS longest time from a configuration change until a scheduler applied it
 */
record Row(String name, Shape shape, long jobs, double running, double probesPerJob, double probesPerS, double controlBytesPerS,
        double controlPeakBytesPerS, double changeBytesPerS, double configurationBytesPerS, double schedulerBytesPerS, double listBytesPerS,
        double listPeakBytesPerS, double probesPerWorkerS, double wholeListBytes, double probeConnectionsPerJob, double jobConnectionsPerJob,
        double callBackConnectionsPerJob, double turnedAwayPerJob, double lostPerJob,
        double refusedPerJob, double failedPerJob, double unheardShare, double ageP50S, double ageP99S, double spread, double inForceP50S,
        double inForceMaxS, Map<String, Map<String, Traffic.Tally>> traffic) {
    private static final double MAX_CONTROL_BYTES_PER_S = 4096;
    /** At most four probes before an attempt, a fifth as many by timer, and a few more if the probed workers had no free capacity. */
    private static final double MAX_PROBES_PER_JOB = 6;
    /** When jobs are few, a full worker is probed by timer at most once in 50 s. */
    private static final double MAX_TIMED_PROBES_PER_WORKER_S = 0.02;
    private static final double MAX_PERCENTILE = 100;

    static Row of(Simulation simulation, Traffic traffic, PerSecondStats stats) {
        Shape shape = simulation.shape;
        SimulationMetrics metrics = simulation.metrics;
        double jobs = Math.max(1, metrics.jobs);
        double schedulerSeconds = (double) shape.seconds() * shape.schedulers();
        Traffic.Tally whole = simulation.traffic.tally(Role.SCHEDULER, MessageKind.WHOLE_LIST);
        Traffic.Tally change = traffic.tally(Role.SCHEDULER, MessageKind.LIST_CHANGE);
        Traffic.Tally configuration = traffic.tally(Role.SCHEDULER, MessageKind.CONFIGURATION);
        long probeConnections = traffic.tally(Role.SCHEDULER, MessageKind.PROBE_CONNECTION).messages();
        long jobConnections = traffic.tally(Role.SCHEDULER, MessageKind.JOB_CONNECTION).messages();
        long lost = metrics.attemptsEndedWith(Outcome.TIMEOUT) + metrics.attemptsEndedWith(Outcome.RESET)
            + metrics.attemptsEndedWith(Outcome.CONNECT_FAILED);
        return new Row("", shape, metrics.jobs, stats.meanRunningTasks(), metrics.probes / jobs, metrics.probes / schedulerSeconds,
            traffic.controlTally(Role.SCHEDULER).bytes() / schedulerSeconds, stats.peakControlBytes() / (double) shape.schedulers(),
            change.bytes() / schedulerSeconds, configuration.bytes() / schedulerSeconds, totalBytes(traffic, Role.SCHEDULER) / schedulerSeconds,
            traffic.controlTally(Role.LIST_SERVICE).bytes() / (double) shape.seconds(), (double) stats.peakListServiceBytes(),
            metrics.probes / (double) shape.seconds() / shape.workers(),
            whole.messages() == 0 ? 0 : whole.bytes() / (whole.messages() / 2.0), probeConnections / jobs, jobConnections / jobs,
            traffic.tally(Role.WORKER, MessageKind.CALL_BACK_CONNECTION).messages() / jobs, metrics.attemptsEndedWith(Outcome.FULL) / jobs, lost / jobs,
            metrics.rejected / jobs, metrics.failed / jobs, metrics.attemptsWithoutLoadReport / (double) Math.max(1, metrics.attempts),
            metrics.loadReportAgeS.percentile(50), metrics.loadReportAgeS.percentile(99), taskSpread(simulation), metrics.activationDelayS.percentile(50),
            metrics.activationDelayS.percentile(MAX_PERCENTILE), traffic.toTable());
    }

    private static double totalBytes(Traffic traffic, Role role) {
        return Arrays.stream(MessageKind.values()).mapToLong(kind -> traffic.tally(role, kind).bytes()).sum();
    }

    private static double taskSpread(Simulation simulation) {
        double[] perSlot = simulation.workers.stream().mapToDouble(worker -> (double) worker.startedTasks / worker.slots).toArray();
        double mean = Arrays.stream(perSlot).average().orElse(0);
        double variance = Arrays.stream(perSlot).map(x -> (x - mean) * (x - mean)).average().orElse(0);
        return mean == 0 ? 0 : Math.sqrt(variance) / mean;
    }

    /**
     * Statistics from samples taken once per second.
     *
     * @param peakControlBytes control traffic of all schedulers in the second with the most of it
     * @param peakListServiceBytes control traffic of the list service in the second with the most of it
     * @param meanRunningTasks mean number of running tasks
     */
    record PerSecondStats(long peakControlBytes, long peakListServiceBytes, double meanRunningTasks) {
    }

    /** Returns a copy with this name. */
    Row withName(String newName) {
        return new Row(newName, shape, jobs, running, probesPerJob, probesPerS, controlBytesPerS, controlPeakBytesPerS, changeBytesPerS,
            configurationBytesPerS, schedulerBytesPerS, listBytesPerS, listPeakBytesPerS, probesPerWorkerS, wholeListBytes, probeConnectionsPerJob,
            jobConnectionsPerJob, callBackConnectionsPerJob,
            turnedAwayPerJob, lostPerJob, refusedPerJob, failedPerJob, unheardShare, ageP50S, ageP99S, spread, inForceP50S, inForceMaxS, traffic);
    }

    /** Returns the connections that schedulers opened, per job. */
    double newConnectionsPerJob() {
        return probeConnectionsPerJob + jobConnectionsPerJob;
    }

    /** Returns whether the probe rate is within the limit, which allows some probes for each job and a rare timed probe of each worker. */
    boolean withinProbeLimit() {
        double timedPerS = MAX_TIMED_PROBES_PER_WORKER_S * shape.workers();
        return probesPerS <= MAX_PROBES_PER_JOB * shape.jobsPerSecond() + timedPerS;
    }

    /** Returns whether the control traffic of a scheduler is within the limit. */
    boolean withinControlTrafficLimit() {
        return controlBytesPerS <= MAX_CONTROL_BYTES_PER_S;
    }

    /** Returns the column headings of {@link #tableLine}. */
    static String tableHeader() {
        return String.format("%-24s %7s %6s %6s %7s %7s %8s %8s %9s", "run", "workers", "scheds", "jobs/s", "running", "probe/s", "ctl B/s", "ctl peak",
            "list B/s") + String.format(" %8s %8s %8s %8s %8s %8s %8s %8s %7s %7s", "prb-c/j", "job-c/j", "cb-c/j", "full/job", "lost/job", "ref/job",
            "age p50", "age p99", "unheard", "spread");
    }

    /** Returns this result as one line of the table. */
    String tableLine() {
        return String.format(Locale.ROOT, "%-24s %7d %6d %6.2f %7.0f %7.2f %8.0f %8.0f %9.0f", name, shape.workers(), shape.schedulers(),
            shape.jobsPerSecond(), running, probesPerS, controlBytesPerS, controlPeakBytesPerS, listBytesPerS)
            + String.format(Locale.ROOT, " %8.3f %8.3f %8.3f %8.4f %8.4f %8.4f %7.2fs %7.2fs %7.3f %7.3f", probeConnectionsPerJob, jobConnectionsPerJob,
            callBackConnectionsPerJob, turnedAwayPerJob, lostPerJob, refusedPerJob + failedPerJob, ageP50S, ageP99S, unheardShare, spread);
    }
}
