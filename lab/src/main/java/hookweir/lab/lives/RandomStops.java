package hookweir.lab.lives;

import hookweir.lab.Main;
import hookweir.lab.check.Event;
import hookweir.lab.check.HistoryReader;
import hookweir.lab.check.RuleChecker;
import hookweir.lab.check.RuleLimits;
import hookweir.lab.load.LoadGenerator;
import hookweir.lab.net.Ports;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.Recorder;
import hookweir.lab.standin.StubWorkers;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.StringArrayOptionHandler;

/** Stops and restarts a scheduler under load at random times, and checks the history of all its processes by the rules. */
public final class RandomStops extends Main.Command {
    private static final int WORKERS = 5;
    private static final int SERVICE_MS = 20;
    private static final int MIN_INTERVAL_MS = 30;
    private static final int INTERVAL_SPREAD_MS = 400;
    /** Clients open new connections for 0.2 to 0.4 s after SIGTERM. */
    private static final int MIN_CONNECTING_AFTER_TERM_MS = 200;
    private static final long SETTLE_TIMEOUT_MS = 10_000;

    @Option(name = "--root", usage = "the folder with deploy/balancer.toml")
    private String root = ".";
    @Option(name = "--seed", usage = "seed of the times and kinds of the stops")
    private long seed = 1;
    @Option(name = "--stops", usage = "number of stops")
    private int stops = 500;
    @Option(name = "--clients", usage = "clients of each of two job classes, one that may be repeated and one that must never run twice")
    private int clientsPerClass = 16;
    @Option(name = "--by", metaVar = "STOP", handler = StringArrayOptionHandler.class,
        usage = "kill, term and error, after which the next process starts; or successor alone, where it starts before the stop")
    private String[] stopNames = {"kill", "term", "error"};
    @Option(name = "--out", usage = "file to which the history is written")
    private String out = "target/random-stops.jsonl";

    /** How far a lost job had got, as observed by clients and workers. */
    private enum Progress { NOT_SENT_ON, AT_A_WORKER, ENDED_BY_ITS_WORKER }

    /** For tests: the number of stops, their kinds, and the number of clients of each class. */
    static RandomStops of(String root, Path out, int stops, int clients, String... by) {
        RandomStops command = new RandomStops();
        command.root = root;
        command.out = out.toString();
        command.stops = stops;
        command.clientsPerClass = clients;
        command.stopNames = by;
        return command;
    }

    private List<Stop> stopKinds() throws IOException {
        List<Stop> kinds = new ArrayList<>();
        for (String name : stopNames) {
            try {
                kinds.add(Stop.valueOf(name.toUpperCase(Locale.ROOT)));
            } catch (IllegalArgumentException e) {
                throw new IOException("--by: '" + name + "' is not one of kill, term, error, successor");
            }
        }
        if (kinds.contains(Stop.SUCCESSOR) && kinds.size() > 1) {
            throw new IOException("--by: successor can't be combined with other kinds, because its processes share a listening socket");
        }
        return kinds;
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        List<Stop> kinds = stopKinds();
        Path history = Path.of(out).toAbsolutePath();
        Files.createDirectories(history.getParent());
        Path folder = Files.createTempDirectory("hw-stops");
        Map<Stop, Integer> done = new EnumMap<>(Stop.class);
        String fault;
        try (Recorder witness = new Recorder(history, Scenario.terms()); Reactor workers = new Reactor("workers");
                Reactor clientReactor = new Reactor("clients");
                ListeningSocketHolder socketHolder = kinds.contains(Stop.SUCCESSOR) ? new ListeningSocketHolder() : null) {
            StubWorkers fleet = new StubWorkers(workers, WORKERS, 64, SERVICE_MS * 1_000_000L, 2, false, witness);
            int port = socketHolder == null ? Ports.allocate() : socketHolder.port();
            fleet.setScheduler(StubWorkers.loopbackAddress(port));
            Files.writeString(folder.resolve("config.json"), Scenario.config(fleet.serveWorkerList(), fleet.workerListJson()));
            stopRepeatedly(witness, clientReactor, socketHolder, folder, port, kinds, done);
            witness.finish();
            fault = witness.failure();
        }
        if (fault != null) {
            System.out.println("not checked, " + fault);
            return 1;
        }
        return checkHistory(history, done);
    }

    private void stopRepeatedly(Recorder witness, Reactor clientReactor, ListeningSocketHolder socketHolder, Path folder, int port,
            List<Stop> kinds, Map<Stop, Integer> done) throws IOException, InterruptedException {
        Random random = new Random(seed);
        boolean debugged = kinds.contains(Stop.ERROR);
        SchedulerProcess scheduler = SchedulerProcess.start(Path.of(root), folder, socketHolder, port, 1, debugged, witness);
        scheduler.awaitReady();
        List<LoadGenerator> clients = List.of(startClients(clientReactor, port, "live-status", witness),
            startClients(clientReactor, port, "billing-post", witness));
        try {
            for (int i = 1; i <= stops; i++) {
                Thread.sleep(MIN_INTERVAL_MS + random.nextInt(INTERVAL_SPREAD_MS));
                Stop stop = kinds.get(random.nextInt(kinds.size()));
                done.merge(stop, 1, Integer::sum);
                if (stop == Stop.SUCCESSOR) {
                    SchedulerProcess next = SchedulerProcess.start(Path.of(root), folder, socketHolder, port, i + 1, debugged, witness);
                    next.awaitReady();
                    scheduler.terminate();
                    awaitExitOrKill(scheduler, clients, earliestKillNs());
                    scheduler = next;
                    continue;
                }
                if (stop == Stop.TERM) {
                    scheduler.terminate();
                    long killNs = earliestKillNs();
                    Thread.sleep(MIN_CONNECTING_AFTER_TERM_MS + random.nextInt(MIN_CONNECTING_AFTER_TERM_MS));
                    clients.forEach(c -> c.setConnectEnabled(false));
                    awaitExitOrKill(scheduler, clients, killNs);
                } else {
                    clients.forEach(c -> c.setResendEnabled(false));
                    if (stop == Stop.KILL) {
                        scheduler.kill();
                    } else {
                        scheduler.throwErrorInLoop();
                    }
                }
                scheduler = SchedulerProcess.start(Path.of(root), folder, socketHolder, port, i + 1, debugged, witness);
                scheduler.awaitReady();
                clients.forEach(c -> {
                    c.setResendEnabled(true);
                    c.setConnectEnabled(true);
                });
            }
            long end = System.currentTimeMillis() + SETTLE_TIMEOUT_MS;
            for (LoadGenerator c : clients) {
                while (!c.stop() && System.currentTimeMillis() < end) {
                    Thread.sleep(20);
                }
            }
            scheduler.terminate();
            scheduler.awaitExit();
        } finally {
            scheduler.destroy();
        }
    }

    private static long earliestKillNs() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RuleLimits.earliestKillMs(PausableClient.DEADLINE_MS));
    }

    /** Sends the earliest permitted SIGKILL if the process has not ended by then. */
    private static void awaitExitOrKill(SchedulerProcess scheduler, List<LoadGenerator> clients, long killNs) throws IOException, InterruptedException {
        if (!scheduler.awaitExitUntil(killNs)) {
            clients.forEach(c -> c.setResendEnabled(false));
            scheduler.kill();
            clients.forEach(c -> c.setResendEnabled(true));
        }
    }

    private LoadGenerator startClients(Reactor clientReactor, int port, String kind, Recorder witness) {
        LoadGenerator c = new LoadGenerator(clientReactor, StubWorkers.loopbackAddress(port), new LoadGenerator.Workload(clientsPerClass, 0, 16,
            PausableClient.DEADLINE_MS, kind), kind.substring(0, 1) + "-", witness);
        c.start();
        return c;
    }

    private int checkHistory(Path history, Map<Stop, Integer> done) throws IOException {
        RuleChecker c;
        Map<String, Progress> progress = new HashMap<>();
        Map<Progress, Integer> lost = new EnumMap<>(Progress.class);
        Map<Integer, Integer> responses = new HashMap<>();
        int requested = 0;
        try (HistoryReader in = HistoryReader.open(history)) {
            c = new RuleChecker(history.toString(), in.limits());
            for (Event e = in.next(); e != null; e = in.next()) {
                c.process(e);
                switch (e.type()) {
                    case ASK -> {
                        requested++;
                        progress.put(e.id(), Progress.NOT_SENT_ON);
                    }
                    case AGAIN -> lost.computeIfPresent(progress.get(e.id()), (f, n) -> n - 1);
                    case ATTEMPT -> progress.computeIfPresent(e.id(), (id, f) -> Progress.AT_A_WORKER);
                    case END -> progress.computeIfPresent(e.id(), (id, f) -> Progress.ENDED_BY_ITS_WORKER);
                    case CUT -> lost.merge(progress.get(e.id()), 1, Integer::sum);
                    case ANSWER -> {
                        responses.merge((int) e.number(), 1, Integer::sum);
                        progress.remove(e.id());
                    }
                    default -> { }
                }
            }
            c.finish();
        }
        System.out.println("stops " + done + "; requested " + requested + ", responses by status " + responses
            + ", lost by progress " + lost);
        System.out.println(history + ": " + (c.violationCount() == 0 ? "kept" : c.violationCount() + " broken") + " (" + c.eventCount() + " events)");
        c.violations().stream().limit(20).forEach(b -> System.out.println("  " + b));
        return c.violationCount() == 0 ? 0 : 1;
    }

    @Override
    protected String description() {
        return "Stops a scheduler under load at random times, restarts it each time, and checks the history of all its processes by the rules.\n"
            + "  example: random-stops --stops 500 --seed 1";
    }
}
