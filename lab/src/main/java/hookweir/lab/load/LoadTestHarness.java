package hookweir.lab.load;

import hookweir.lab.check.CheckHistory;
import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.check.RuleLimits;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.EventSink;
import hookweir.lab.record.Recorder;
import hookweir.lab.report.Step;
import hookweir.lab.standin.StubWorkers;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;

/** Runs one scheduler with stub workers and load-generating clients, and measures it under load. */
public final class LoadTestHarness implements AutoCloseable {
    private static final long DRAIN_TIMEOUT_MS = 30_000;

    /**
     * What a harness is set up with.
     *
     * @param root the folder that holds deploy/balancer.toml
     * @param cpu the CPU that the scheduler is pinned to, or -1 for any
     * @param workers the number of stub workers
     * @param serviceMs how long each job takes
     * @param resultBytes the length of each job's result
     * @param targetLatencyMs the target latency of the request class; its deadline is twice as long
     * @param maxSockets the scheduler's setting limits.sockets
     * @param loadReporting how workers report their load: pull (by probes) or silent (not at all)
     * @param jvmFlags additional flags for the scheduler's JVM
     * @param freshCallbackConnections each callback uses a new connection
     * @param historyFile the file for a history of everything that clients and stub workers observe, or null
     */
    public record Config(String root, int cpu, int workers, int serviceMs, int resultBytes, long targetLatencyMs, int maxSockets, String loadReporting,
            String jvmFlags, boolean freshCallbackConnections, Path historyFile) {
    }

    /** Events closer than this are unordered: a DELETE and the next attempt use two connections, which the stubs' reactor reads in either order. */
    private static final long ORDER_TOLERANCE_MS = 20;
    private static final String PROCESS_NAME = StubWorkers.SCHEDULER_NAME + "/1";

    private final Reactor workerReactor = new Reactor("workers");
    private final Reactor clientReactor = new Reactor("clients");
    private final StubWorkers stubWorkers;
    private final TargetProcess target;
    private final Recorder recorder;
    private final EventSink events;
    private final Path historyFile;
    private boolean closed;
    private int generatorCount;

    /** Starts the stub workers and the scheduler. */
    public LoadTestHarness(Config config) throws IOException, InterruptedException {
        historyFile = config.historyFile;
        recorder = historyFile == null ? null : new Recorder(historyFile, ruleParameters());
        events = recorder == null ? EventSink.NONE : recorder;
        events.accept(Event.of(Type.LIFE, "", "", PROCESS_NAME).how("start"));
        stubWorkers = new StubWorkers(workerReactor, config.workers, 64, config.serviceMs * 1_000_000L, config.resultBytes,
            config.freshCallbackConnections, events);
        target = TargetProcess.startScheduler(Path.of(config.root), config.cpu, stubWorkers.serveWorkerList(), config.targetLatencyMs,
            config.maxSockets, config.loadReporting, config.jvmFlags);
        stubWorkers.setScheduler(StubWorkers.loopbackAddress(target.port()));
    }

    /** The rule parameters that match the scheduler's configuration: one class that is safe to repeat, with three attempts. */
    private static RuleLimits ruleParameters() {
        RuleLimits defaults = RuleLimits.defaults();
        return new RuleLimits(true, Set.of(), Map.of(), TargetProcess.MAX_ATTEMPTS, defaults.drainMs(), defaults.slackMs(), defaults.noticeDelayMs(),
            defaults.termGraceMs(), defaults.killDelayMs(), defaults.coldFactor(), defaults.coldWindowMs(), ORDER_TOLERANCE_MS);
    }

    /** Applies the workload for the given time, then waits for outstanding responses. */
    public Step runStep(LoadGenerator.Workload workload, double seconds) throws IOException, InterruptedException {
        LoadGenerator generator = startGenerator(workload);
        Step step = measure(generator, workload, seconds);
        stopGenerator(generator);
        return step;
    }

    /** Starts clients that run until {@link #stopGenerator}. */
    public LoadGenerator startGenerator(LoadGenerator.Workload workload) {
        LoadGenerator generator = new LoadGenerator(clientReactor, StubWorkers.loopbackAddress(target.port()), workload, "j" + generatorCount++ + "-", events);
        generator.start();
        return generator;
    }

    /** Measures the running workload over the given time. */
    public Step measure(LoadGenerator generator, LoadGenerator.Workload workload, double seconds) throws IOException, InterruptedException {
        long startNs = System.nanoTime();
        double cpuSeconds = target.cpuSeconds();
        long allocated = target.allocatedBytes();
        long probes = stubWorkers.probes();
        generator.takeMeasurements();
        Thread.sleep((long) (seconds * 1000));
        LoadGenerator.Measurements measurements = generator.takeMeasurements();
        double elapsedS = (System.nanoTime() - startNs) / 1e9;
        if (!target.isAlive()) {
            throw new IOException("the scheduler exited: " + target.logTail());
        }
        return Step.of("scheduler", workload.jobsPerSecond(), elapsedS, measurements, target.cpuSeconds() - cpuSeconds, target.residentBytes(),
            target.allocatedBytes() - allocated, stubWorkers.probes() - probes);
    }

    /** Stops the clients and returns how many jobs had no response; waits at most 30 s for outstanding ones. */
    public long stopGenerator(LoadGenerator generator) throws InterruptedException {
        for (long end = System.currentTimeMillis() + DRAIN_TIMEOUT_MS; !generator.stop() && System.currentTimeMillis() < end;) {
            Thread.sleep(50);
        }
        LoadGenerator.Measurements remaining = generator.takeMeasurements();
        return remaining.unanswered;
    }

    /** The stub workers. */
    public StubWorkers stubWorkers() {
        return stubWorkers;
    }

    /** The scheduler. */
    public TargetProcess target() {
        return target;
    }

    /**
     * Closes the harness and checks the recorded history. Returns true if no rule was violated or nothing was recorded. An
     * incomplete recording is not checked and counts as a failure.
     */
    public boolean closeAndCheckHistory() throws IOException {
        close();
        if (recorder == null) {
            return true;
        }
        if (recorder.failure() != null) {
            System.out.println(historyFile + ": not checked, " + recorder.failure());
            return false;
        }
        return CheckHistory.checkAndPrint(historyFile);
    }

    /** Stops the scheduler, the clients and the stub workers. Further calls have no effect. */
    @Override
    public void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        events.accept(Event.of(Type.LIFE, "", "", PROCESS_NAME).how(target.isAlive() ? "term" : "exit"));
        target.close();
        clientReactor.close();
        workerReactor.close();
        if (recorder != null) {
            recorder.close();
        }
    }
}
