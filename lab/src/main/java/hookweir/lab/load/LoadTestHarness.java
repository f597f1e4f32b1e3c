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

/** A scheduler with stand-ins round it and clients before it, and what a span of load on it came to. */
public final class LoadTestHarness implements AutoCloseable {
    private static final long DRAIN_TIMEOUT_MS = 30_000;

    /**
     * What is set up.
     *
     * @param root the folder with deploy/balancer.toml
     * @param cpu the scheduler's processor, or -1
     * @param serviceMs how long each job takes
     * @param targetLatencyMs the class's aim; its deadline is twice as long
     * @param loadReporting how workers report their load: pull or silent
     * @param jvmFlags further flags for the scheduler's JVM
     * @param freshCallbackConnections each call-back goes on a connection of its own
     * @param historyFile where a history of all that clients and stand-ins see is written, or null
     */
    public record Config(String root, int cpu, int workers, int serviceMs, int resultBytes, long targetLatencyMs, int maxSockets, String loadReporting, String jvmFlags,
            boolean freshCallbackConnections, Path historyFile) {
    }

    /** A DELETE and the next attempt come on two connections, read in either order within a turn of the stand-ins' thread. */
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

    /** Starts all of it. */
    public LoadTestHarness(Config s) throws IOException, InterruptedException {
        historyFile = s.historyFile;
        recorder = historyFile == null ? null : new Recorder(historyFile, ruleParameters());
        events = recorder == null ? EventSink.NONE : recorder;
        events.accept(Event.of(Type.LIFE, "", "", PROCESS_NAME).how("start"));
        stubWorkers = new StubWorkers(workerReactor, s.workers, 64, s.serviceMs * 1_000_000L, s.resultBytes, s.freshCallbackConnections, events);
        target = TargetProcess.startScheduler(Path.of(s.root), s.cpu, stubWorkers.serveWorkerList(), s.targetLatencyMs, s.maxSockets, s.loadReporting, s.jvmFlags);
        stubWorkers.setScheduler(StubWorkers.loopbackAddress(target.port()));
    }

    /** What the bench's own settings say: one class, safe to repeat, three attempts. */
    private static RuleLimits ruleParameters() {
        RuleLimits b = RuleLimits.defaults();
        return new RuleLimits(true, Set.of(), Map.of(), TargetProcess.MAX_ATTEMPTS, b.drainMs(), b.slackMs(), b.noticeDelayMs(), b.termGraceMs(), b.killDelayMs(),
            b.coldFactor(), b.coldWindowMs(), ORDER_TOLERANCE_MS);
    }

    /** Loads it for so long and then waits for the answers that are due. */
    public Step runStep(LoadGenerator.Workload plan, double seconds) throws IOException, InterruptedException {
        LoadGenerator c = startGenerator(plan);
        Step step = measure(c, plan, seconds);
        stopGenerator(c);
        return step;
    }

    /** Starts clients that go on until {@link #stopGenerator}. */
    public LoadGenerator startGenerator(LoadGenerator.Workload plan) {
        LoadGenerator c = new LoadGenerator(clientReactor, StubWorkers.loopbackAddress(target.port()), plan, "j" + generatorCount++ + "-", events);
        c.start();
        return c;
    }

    /** What the next so many seconds come to. */
    public Step measure(LoadGenerator c, LoadGenerator.Workload plan, double seconds) throws IOException, InterruptedException {
        long from = System.nanoTime();
        double cpu = target.cpuSeconds();
        long allocated = target.allocatedBytes();
        long probes = stubWorkers.probes();
        c.takeMeasurements();
        Thread.sleep((long) (seconds * 1000));
        LoadGenerator.Measurements seen = c.takeMeasurements();
        double s = (System.nanoTime() - from) / 1e9;
        if (!target.isAlive()) {
            throw new IOException("the scheduler ended: " + target.logTail());
        }
        return Step.of("scheduler", plan.jobsPerSecond(), s, seen, target.cpuSeconds() - cpu, target.residentBytes(),
            target.allocatedBytes() - allocated, stubWorkers.probes() - probes);
    }

    /** Ends the clients; those that have no answer after half a minute count as failed. Their number. */
    public long stopGenerator(LoadGenerator c) throws InterruptedException {
        for (long end = System.currentTimeMillis() + DRAIN_TIMEOUT_MS; !c.stop() && System.currentTimeMillis() < end;) {
            Thread.sleep(50);
        }
        LoadGenerator.Measurements rest = c.takeMeasurements();
        return rest.unanswered;
    }

    /** The stand-in workers. */
    public StubWorkers stubWorkers() {
        return stubWorkers;
    }

    /** The scheduler. */
    public TargetProcess target() {
        return target;
    }

    /**
     * Ends all of it and judges what was written down; true where no rule was broken or nothing was to be written. What
     * could not be written whole is not judged, and counts as broken.
     */
    public boolean closeAndCheckHistory() throws IOException {
        close();
        if (recorder == null) {
            return true;
        }
        if (recorder.failure() != null) {
            System.out.println(historyFile + ": not judged, " + recorder.failure());
            return false;
        }
        return CheckHistory.checkAndPrint(historyFile);
    }

    /** Ends all of it; once is enough. */
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
