package hookweir.lab.lives;

import hookweir.lab.Main;
import hookweir.lab.check.History;
import hookweir.lab.check.RuleChecker;
import hookweir.lab.load.Clients;
import hookweir.lab.net.Ports;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.Recorder;
import hookweir.lab.standin.Fleet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.kohsuke.args4j.Option;

/**
 * Ends a scheduler under load, many times, each by a plan of its own from a seed: signals in series, clients that use their open
 * connections until the kill, which comes as early as it may, workers that hang meanwhile, crowds of idle connections. Each seed's
 * history is judged by the rules.
 */
public final class Soak extends Main.Command {
    private static final int WORKERS = 5;
    private static final int SLOTS = 64;
    /** SIGKILL comes so long after SIGTERM: 3 s for the longest deadline that counts, and 0.7 s. */
    private static final long KILL_AFTER_MS = 3_700;
    private static final long SETTLE_TIMEOUT_MS = 10_000;
    private static final long POLL_MS = 5;

    @Option(name = "--root", usage = "the folder with deploy/balancer.toml")
    private String root = ".";
    @Option(name = "--first", usage = "the first seed")
    private long firstSeed = 1;
    @Option(name = "--seeds", usage = "so many seeds")
    private int seeds = 50;
    @Option(name = "--keep", metaVar = "FOLDER", usage = "where histories and logs of seeds that broke a rule are kept")
    private String keepFolder = "target/soak";

    /** For tests: these seeds. */
    static Soak of(String root, String keep, long first, int seeds) {
        Soak soak = new Soak();
        soak.root = root;
        soak.keepFolder = keep;
        soak.firstSeed = first;
        soak.seeds = seeds;
        return soak;
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        int broken = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            SoakPlan plan = SoakPlan.of(seed);
            List<RuleChecker.Violation> breaches = runSeed(plan);
            System.out.println("seed " + seed + ": " + (breaches.isEmpty() ? "kept" : breaches.size() + " broken") + "; " + plan);
            breaches.stream().limit(5).forEach(b -> System.out.println("  " + b));
            broken += breaches.isEmpty() ? 0 : 1;
        }
        System.out.println(seeds + " seeds, " + broken + " broke a rule");
        return broken == 0 ? 0 : 1;
    }

    private List<RuleChecker.Violation> runSeed(SoakPlan plan) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("hw-soak");
        Path history = folder.resolve("history.jsonl");
        List<RuleChecker.Violation> breaches;
        try (Recorder witness = new Recorder(history, Scenario.terms())) {
            new SeedRun(plan, folder, witness).execute();
            witness.finish();
            if (witness.failure() != null) {
                throw new IOException("seed " + plan.seed() + " was not recorded whole: " + witness.failure());
            }
            breaches = RuleChecker.check(History.read(history));
        }
        if (!breaches.isEmpty()) {
            Path kept = Files.createDirectories(Path.of(keepFolder, "seed-" + plan.seed()));
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    Files.move(file, kept.resolve(file.getFileName()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
        try (Stream<Path> left = Files.walk(folder)) {
            left.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        }
        return breaches;
    }

    /** One seed's scheduler, stand-ins and clients. */
    private final class SeedRun {
        private final SoakPlan plan;
        private final Path folder;
        private final Recorder witness;
        private final int port = Ports.free();
        private final List<Clients> clients = new ArrayList<>();
        private IdleConnections idleConnections;

        SeedRun(SoakPlan plan, Path folder, Recorder witness) throws IOException {
            this.plan = plan;
            this.folder = folder;
            this.witness = witness;
        }

        void execute() throws IOException, InterruptedException {
            SchedulerProcess life = null;
            try (Reactor workers = new Reactor("workers"); Reactor asking = new Reactor("clients")) {
                Fleet fleet = new Fleet(workers, WORKERS, SLOTS, plan.serviceMs() * 1_000_000L, 2, false, witness);
                fleet.tells(Fleet.local(port));
                Files.writeString(folder.resolve("config.json"), Scenario.config(fleet.list(), fleet.servers()));
                life = start(1);
                for (String kind : List.of("live-status", "billing-post")) {
                    clients.add(new Clients(asking, Fleet.local(port), new Clients.Plan(plan.clients(), 0, 16, PausableClient.DEADLINE_MS, kind),
                        kind.charAt(0) + "-", witness));
                }
                clients.forEach(Clients::start);
                Thread.sleep(plan.loadMs());
                idleConnections = new IdleConnections(port, plan.crowd());
                for (int i = 0; i < plan.reloads(); i++) {
                    life.signal("HUP");
                    Thread.sleep(plan.gapMs());
                }
                fleet.hangs(plan.hangs());
                stopScheduler(life);
                fleet.hangs(false);
                life = start(2);
                clients.forEach(c -> {
                    c.resends(true);
                    c.connects(true);
                });
                awaitClients();
                life.terminate();
                life.awaitExit();
            } finally {
                if (idleConnections != null) {
                    idleConnections.close();
                }
                if (life != null) {
                    life.destroy();
                }
            }
        }

        private SchedulerProcess start(int number) throws IOException, InterruptedException {
            SchedulerProcess life = SchedulerProcess.start(Path.of(root), folder, null, port, number, false, witness);
            life.awaitReady();
            return life;
        }

        /** SIGTERM, perhaps more signals, and SIGKILL as early as it may come if the process is still there. */
        private void stopScheduler(SchedulerProcess life) throws IOException, InterruptedException {
            long termNs = System.nanoTime();
            life.terminate();
            Thread.sleep(plan.frontMs());
            clients.forEach(c -> c.connects(false));
            for (String signal : plan.signalsAfterTerm()) {
                life.signal(signal);
                Thread.sleep(plan.gapMs());
            }
            while (life.isAlive() && System.nanoTime() - termNs < KILL_AFTER_MS * 1_000_000) {
                Thread.sleep(POLL_MS);
            }
            clients.forEach(c -> c.resends(false));
            if (life.isAlive()) {
                life.kill();
            } else {
                life.awaitExit();
            }
            idleConnections.close();
        }

        private void awaitClients() throws InterruptedException {
            long end = System.currentTimeMillis() + SETTLE_TIMEOUT_MS;
            for (Clients c : clients) {
                while (!c.ends() && System.currentTimeMillis() < end) {
                    Thread.sleep(POLL_MS);
                }
            }
        }
    }

    @Override
    protected String what() {
        return "Ends a scheduler under load by signals in series, up to a kill as early as it may come, and judges it by the rules.\n"
            + "  example: soak --first 1 --seeds 50";
    }
}
