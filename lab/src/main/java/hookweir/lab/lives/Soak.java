package hookweir.lab.lives;

import hookweir.lab.check.History;
import hookweir.lab.check.RuleChecker;
import hookweir.lab.load.LoadGenerator;
import hookweir.lab.net.Ports;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.Recorder;
import hookweir.lab.standin.JobHandling;
import hookweir.lab.standin.StubWorkers;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.kohsuke.args4j.Option;

/**
 * Ends a scheduler under load once for each seed, by a plan derived from the seed: a series of signals, short and long deadlines, which a
 * reload may change, clients that use their open connections or write slowly until the earliest permitted SIGKILL, workers that fail
 * meanwhile, many idle connections, a second process that has taken over. The history of each seed is checked by the rules.
 */
public final class Soak extends SeededCommand {
    private static final int WORKERS = 5;
    private static final int SLOTS = 64;
    private static final long SETTLE_TIMEOUT_MS = 10_000;
    private static final long POLL_MS = 5;
    private static final long NS_PER_MS = 1_000_000;

    @Option(name = "--min-wait-ms", usage = "how long clients wait for a response at least, in ms, whatever the deadline of their class")
    private long minWaitMs;

    /** Creates the command. */
    public Soak() {
        super("target/soak");
    }

    /** Creates the command, with clients that wait for at least this long. */
    Soak(long minWaitMs) {
        this();
        this.minWaitMs = minWaitMs;
    }

    @Override
    protected SeedResult runSeed(long seed) throws IOException, InterruptedException {
        SoakPlan plan = SoakPlan.of(seed);
        return new SeedResult(plan.toString(), runPlan(plan).stream().map(RuleChecker.Violation::toString).toList());
    }

    private List<RuleChecker.Violation> runPlan(SoakPlan plan) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("hw-soak");
        Path history = folder.resolve("history.jsonl");
        List<RuleChecker.Violation> violations;
        try (Recorder witness = new Recorder(history, Scenario.terms().withKillDelayMs(plan.shutdown().earliestKillMs()))) {
            new SeedRun(plan, folder, witness).execute();
            witness.finish();
            if (witness.failure() != null) {
                throw new IOException("seed " + plan.seed() + " was not recorded completely: " + witness.failure());
            }
            violations = RuleChecker.check(History.read(history));
        }
        if (!violations.isEmpty()) {
            Path kept = Files.createDirectories(keepFolder().resolve("seed-" + plan.seed()));
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    Files.move(file, kept.resolve(file.getFileName()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
        try (Stream<Path> left = Files.walk(folder)) {
            left.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        }
        return violations;
    }

    /** The scheduler, stub workers and clients of one seed. */
    private final class SeedRun {
        private final SoakPlan plan;
        private final ShutdownPlan shutdown;
        private final Path folder;
        private final Recorder witness;
        /** Passes one listening socket to both processes of an upgrade; else null. */
        private final ListeningSocketHolder socketHolder;
        private final int port;
        private final List<LoadGenerator> clients = new ArrayList<>();
        private final List<SlowClient> slowClients = new ArrayList<>();
        private final List<SchedulerProcess> schedulers = new ArrayList<>();
        private IdleConnections idleConnections;
        private StubWorkers fleet;
        private int listServicePort;

        SeedRun(SoakPlan plan, Path folder, Recorder witness) throws IOException {
            this.plan = plan;
            this.shutdown = plan.shutdown();
            this.folder = folder;
            this.witness = witness;
            socketHolder = shutdown.upgrade() ? new ListeningSocketHolder() : null;
            port = socketHolder == null ? Ports.allocate() : socketHolder.port();
        }

        void execute() throws IOException, InterruptedException {
            try (Reactor workers = new Reactor("workers"); Reactor clientReactor = new Reactor("clients")) {
                fleet = new StubWorkers(workers, WORKERS, SLOTS, plan.serviceMs() * 1_000_000L, 2, false, witness);
                fleet.setScheduler(StubWorkers.loopbackAddress(port));
                listServicePort = fleet.serveWorkerList();
                writeConfiguration(shutdown.deadlineMs());
                SchedulerProcess scheduler = start();
                startClients(clientReactor);
                Thread.sleep(plan.loadMs());
                idleConnections = new IdleConnections(port, plan.crowd());
                for (int i = 0; i < plan.reloads(); i++) {
                    scheduler.signal("HUP");
                    Thread.sleep(plan.gapMs());
                }
                if (shutdown.reload() == ShutdownPlan.Reload.BEFORE_TERM) {
                    reload(scheduler);
                    scheduler.awaitLog("reloaded");
                }
                SchedulerProcess next = shutdown.upgrade() ? start() : null;
                fleet.setJobHandling(shutdown.workers());
                startSlowClients();
                stopScheduler(scheduler);
                fleet.setJobHandling(JobHandling.SERVE);
                next = next == null ? start() : next;
                clients.forEach(c -> {
                    c.setResendEnabled(true);
                    c.setConnectEnabled(true);
                });
                awaitClients();
                next.terminate();
                next.awaitExit();
            } finally {
                if (idleConnections != null) {
                    idleConnections.close();
                }
                schedulers.forEach(SchedulerProcess::destroy);
                if (socketHolder != null) {
                    socketHolder.close();
                }
            }
        }

        private void writeConfiguration(long deadlineMs) throws IOException {
            Files.writeString(folder.resolve("config.json"), Scenario.config(listServicePort, fleet.workerListJson(), deadlineMs, shutdown.descriptors()));
        }

        /** Loads a configuration with the plan's other deadline. */
        private void reload(SchedulerProcess scheduler) throws IOException, InterruptedException {
            writeConfiguration(shutdown.reloadedMs());
            scheduler.signal("HUP");
        }

        private SchedulerProcess start() throws IOException, InterruptedException {
            SchedulerProcess scheduler = SchedulerProcess.start(root(), folder, socketHolder, port, schedulers.size() + 1, false, witness);
            schedulers.add(scheduler);
            scheduler.awaitReady();
            return scheduler;
        }

        private long clientDeadlineMs() {
            return Math.max(minWaitMs, shutdown.deadlineMs());
        }

        private void startClients(Reactor clientReactor) {
            for (String kind : List.of("live-status", "billing-post")) {
                clients.add(new LoadGenerator(clientReactor, StubWorkers.loopbackAddress(port), new LoadGenerator.Workload(plan.clients(), 0, 16,
                    clientDeadlineMs(), kind), kind.charAt(0) + "-", witness));
            }
            clients.forEach(LoadGenerator::start);
        }

        /** Starts the clients that write slowly; SIGTERM follows once those that connect before it have done so. */
        private void startSlowClients() throws InterruptedException {
            int earliestMs = shutdown.slowRequests().stream().mapToInt(ShutdownPlan.SlowRequest::connectMs).min().orElse(0);
            long termNs = System.nanoTime() + Math.max(0, -earliestMs) * NS_PER_MS;
            for (ShutdownPlan.SlowRequest slow : shutdown.slowRequests()) {
                slowClients.add(new SlowClient(port, "w-" + slowClients.size(), slow.kind(), clientDeadlineMs(),
                    termNs + slow.connectMs() * NS_PER_MS, termNs + slow.completeMs() * NS_PER_MS, witness));
            }
            slowClients.forEach(Thread::start);
            Thread.sleep(Math.max(0, (termNs - System.nanoTime()) / NS_PER_MS));
        }

        /** Sends SIGTERM, the plan's further signals, and the earliest permitted SIGKILL if the process still runs. */
        private void stopScheduler(SchedulerProcess scheduler) throws IOException, InterruptedException {
            scheduler.terminate();
            long killNs = System.nanoTime() + shutdown.earliestKillMs() * NS_PER_MS;
            if (shutdown.reload() == ShutdownPlan.Reload.AFTER_TERM) {
                reload(scheduler);
            }
            Thread.sleep(plan.frontMs());
            clients.forEach(c -> c.setConnectEnabled(shutdown.upgrade()));
            for (String signal : plan.signalsAfterTerm()) {
                scheduler.signal(signal);
                Thread.sleep(plan.gapMs());
            }
            boolean exited = scheduler.awaitExitUntil(killNs);
            clients.forEach(c -> c.setResendEnabled(false));
            if (!exited) {
                scheduler.kill();
            }
            idleConnections.close();
        }

        private void awaitClients() throws InterruptedException {
            long end = System.currentTimeMillis() + SETTLE_TIMEOUT_MS;
            for (LoadGenerator c : clients) {
                while (!c.stop() && System.currentTimeMillis() < end) {
                    Thread.sleep(POLL_MS);
                }
            }
            for (SlowClient client : slowClients) {
                client.join(Math.max(1, end - System.currentTimeMillis()));
            }
        }
    }

    @Override
    protected String description() {
        return "Ends a scheduler under load by a series of signals, up to the earliest permitted SIGKILL, and checks the history by the rules.\n"
            + "  example: soak --first 1 --seeds 50";
    }
}
