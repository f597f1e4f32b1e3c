package hookweir.lab.lives;

import hookweir.lab.check.History;
import hookweir.lab.check.RuleChecker;
import hookweir.lab.load.LoadGenerator;
import hookweir.lab.net.Ports;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.Recorder;
import hookweir.lab.standin.StubWorkers;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Ends a scheduler under load once for each seed, by a plan derived from the seed: a series of signals, clients that use their open
 * connections until the earliest permitted SIGKILL, workers that hang meanwhile, many idle connections. The history of each seed is
 * checked by the rules.
 */
public final class Soak extends SeededCommand {
    private static final int WORKERS = 5;
    private static final int SLOTS = 64;
    /** The earliest SIGKILL after SIGTERM: 3 s for the longest deadline that counts, and 0.7 s. */
    private static final long KILL_AFTER_MS = 3_700;
    private static final long SETTLE_TIMEOUT_MS = 10_000;
    private static final long POLL_MS = 5;

    /** Creates the command. */
    public Soak() {
        super("target/soak");
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
        try (Recorder witness = new Recorder(history, Scenario.terms())) {
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
        private final Path folder;
        private final Recorder witness;
        private final int port = Ports.allocate();
        private final List<LoadGenerator> clients = new ArrayList<>();
        private IdleConnections idleConnections;

        SeedRun(SoakPlan plan, Path folder, Recorder witness) throws IOException {
            this.plan = plan;
            this.folder = folder;
            this.witness = witness;
        }

        void execute() throws IOException, InterruptedException {
            SchedulerProcess scheduler = null;
            try (Reactor workers = new Reactor("workers"); Reactor clientReactor = new Reactor("clients")) {
                StubWorkers fleet = new StubWorkers(workers, WORKERS, SLOTS, plan.serviceMs() * 1_000_000L, 2, false, witness);
                fleet.setScheduler(StubWorkers.loopbackAddress(port));
                Files.writeString(folder.resolve("config.json"), Scenario.config(fleet.serveWorkerList(), fleet.workerListJson()));
                scheduler = start(1);
                for (String kind : List.of("live-status", "billing-post")) {
                    clients.add(new LoadGenerator(clientReactor, StubWorkers.loopbackAddress(port), new LoadGenerator.Workload(plan.clients(), 0, 16,
                        PausableClient.DEADLINE_MS, kind), kind.charAt(0) + "-", witness));
                }
                clients.forEach(LoadGenerator::start);
                Thread.sleep(plan.loadMs());
                idleConnections = new IdleConnections(port, plan.crowd());
                for (int i = 0; i < plan.reloads(); i++) {
                    scheduler.signal("HUP");
                    Thread.sleep(plan.gapMs());
                }
                fleet.setHangJobs(plan.hangs());
                stopScheduler(scheduler);
                fleet.setHangJobs(false);
                scheduler = start(2);
                clients.forEach(c -> {
                    c.setResendEnabled(true);
                    c.setConnectEnabled(true);
                });
                awaitClients();
                scheduler.terminate();
                scheduler.awaitExit();
            } finally {
                if (idleConnections != null) {
                    idleConnections.close();
                }
                if (scheduler != null) {
                    scheduler.destroy();
                }
            }
        }

        private SchedulerProcess start(int number) throws IOException, InterruptedException {
            SchedulerProcess scheduler = SchedulerProcess.start(root(), folder, null, port, number, false, witness);
            scheduler.awaitReady();
            return scheduler;
        }

        /** Sends SIGTERM, the plan's further signals, and the earliest permitted SIGKILL if the process still runs. */
        private void stopScheduler(SchedulerProcess scheduler) throws IOException, InterruptedException {
            long termNs = System.nanoTime();
            scheduler.terminate();
            Thread.sleep(plan.frontMs());
            clients.forEach(c -> c.setConnectEnabled(false));
            for (String signal : plan.signalsAfterTerm()) {
                scheduler.signal(signal);
                Thread.sleep(plan.gapMs());
            }
            while (scheduler.isAlive() && System.nanoTime() - termNs < KILL_AFTER_MS * 1_000_000) {
                Thread.sleep(POLL_MS);
            }
            clients.forEach(c -> c.setResendEnabled(false));
            if (scheduler.isAlive()) {
                scheduler.kill();
            } else {
                scheduler.awaitExit();
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
        }
    }

    @Override
    protected String description() {
        return "Ends a scheduler under load by a series of signals, up to the earliest permitted SIGKILL, and checks the history by the rules.\n"
            + "  example: soak --first 1 --seeds 50";
    }
}
