package hookweir.lab.load;

import hookweir.lab.check.CheckHistory;
import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.check.RuleLimits;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.EventSink;
import hookweir.lab.record.Recorder;
import hookweir.lab.report.Step;
import hookweir.lab.standin.Fleet;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;

/** A scheduler with stand-ins round it and clients before it, and what a span of load on it came to. */
public final class Bench implements AutoCloseable {
    private static final long SETTLE_MS = 30_000;

    /**
     * What is set up.
     *
     * @param root the folder with deploy/balancer.toml
     * @param cpu the scheduler's processor, or -1
     * @param serviceMs how long each job takes
     * @param aimMs the class's aim; its deadline is twice as long
     * @param via how workers report their load: pull or silent
     * @param flags further flags for the scheduler's JVM
     * @param freshCalls each call-back goes on a connection of its own
     * @param record where a history of all that clients and stand-ins see is written, or null
     */
    public record Setting(String root, int cpu, int workers, int serviceMs, int resultBytes, long aimMs, int sockets, String via, String flags,
            boolean freshCalls, Path record) {
    }

    /** A DELETE and the next attempt come on two connections, read in either order within a turn of the stand-ins' thread. */
    private static final long GRAIN_MS = 20;
    private static final String PROCESS = Fleet.SCHEDULER + "/1";

    private final Reactor workers = new Reactor("workers");
    private final Reactor clients = new Reactor("clients");
    private final Fleet fleet;
    private final Target target;
    private final Recorder recorder;
    private final EventSink witness;
    private final Path record;
    private boolean closed;
    private int spans;

    /** Starts all of it. */
    public Bench(Setting s) throws IOException, InterruptedException {
        record = s.record;
        recorder = record == null ? null : new Recorder(record, terms());
        witness = recorder == null ? EventSink.NONE : recorder;
        witness.accept(Event.of(Type.LIFE, "", "", PROCESS).how("start"));
        fleet = new Fleet(workers, s.workers, 64, s.serviceMs * 1_000_000L, s.resultBytes, s.freshCalls, witness);
        target = Target.scheduler(Path.of(s.root), s.cpu, fleet.list(), s.aimMs, s.sockets, s.via, s.flags);
        fleet.tells(Fleet.local(target.port()));
    }

    /** What the bench's own settings say: one class, safe to repeat, three attempts. */
    private static RuleLimits terms() {
        RuleLimits b = RuleLimits.defaults();
        return new RuleLimits(true, Set.of(), Map.of(), Target.MAX_ATTEMPTS, b.drainMs(), b.slackMs(), b.noticeDelayMs(), b.termGraceMs(), b.killDelayMs(),
            b.coldFactor(), b.coldWindowMs(), GRAIN_MS);
    }

    /** Loads it for so long and then waits for the answers that are due. */
    public Step span(Clients.Plan plan, double seconds) throws IOException, InterruptedException {
        Clients c = begin(plan);
        Step step = next(c, plan, seconds);
        end(c);
        return step;
    }

    /** Starts clients that go on until {@link #end}. */
    public Clients begin(Clients.Plan plan) {
        Clients c = new Clients(clients, Fleet.local(target.port()), plan, "j" + spans++ + "-", witness);
        c.start();
        return c;
    }

    /** What the next so many seconds come to. */
    public Step next(Clients c, Clients.Plan plan, double seconds) throws IOException, InterruptedException {
        long from = System.nanoTime();
        double cpu = target.cpuS();
        long allocated = target.allocatedBytes();
        long probes = fleet.probes();
        c.take();
        Thread.sleep((long) (seconds * 1000));
        Clients.Seen seen = c.take();
        double s = (System.nanoTime() - from) / 1e9;
        if (!target.isAlive()) {
            throw new IOException("the scheduler ended: " + target.log());
        }
        return Step.of("scheduler", plan.perSecond(), s, seen, target.cpuS() - cpu, target.residentBytes(),
            target.allocatedBytes() - allocated, fleet.probes() - probes);
    }

    /** Ends the clients; those that have no answer after half a minute count as failed. Their number. */
    public long end(Clients c) throws InterruptedException {
        for (long end = System.currentTimeMillis() + SETTLE_MS; !c.ends() && System.currentTimeMillis() < end;) {
            Thread.sleep(50);
        }
        Clients.Seen rest = c.take();
        return rest.unanswered;
    }

    /** The stand-in workers. */
    public Fleet fleet() {
        return fleet;
    }

    /** The scheduler. */
    public Target target() {
        return target;
    }

    /**
     * Ends all of it and judges what was written down; true where no rule was broken or nothing was to be written. What
     * could not be written whole is not judged, and counts as broken.
     */
    public boolean judged() throws IOException {
        close();
        if (recorder == null) {
            return true;
        }
        if (recorder.failure() != null) {
            System.out.println(record + ": not judged, " + recorder.failure());
            return false;
        }
        return CheckHistory.checkAndPrint(record);
    }

    /** Ends all of it; once is enough. */
    @Override
    public void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        witness.accept(Event.of(Type.LIFE, "", "", PROCESS).how(target.isAlive() ? "term" : "exit"));
        target.close();
        clients.close();
        workers.close();
        if (recorder != null) {
            recorder.close();
        }
    }
}
