package hookweir.lab.lives;

import hookweir.lab.Main;
import hookweir.lab.check.Event;
import hookweir.lab.check.HistoryReader;
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
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.StringArrayOptionHandler;

/** Stops a scheduler under load again and again at random moments, and judges all its lives by one history. */
public final class RandomStops extends Main.Command {
    private static final int WORKERS = 5;
    private static final int SERVICE_MS = 20;
    private static final int MIN_INTERVAL_MS = 30;
    private static final int INTERVAL_SPREAD_MS = 400;
    /** New connections come for 0.2 to 0.4 s after SIGTERM. */
    private static final int MIN_CONNECTING_AFTER_TERM_MS = 200;
    private static final long SETTLE_TIMEOUT_MS = 10_000;

    @Option(name = "--root", usage = "the folder with deploy/balancer.toml")
    private String root = ".";
    @Option(name = "--seed", usage = "of the moments and ways of the stops")
    private long seed = 1;
    @Option(name = "--stops", usage = "so many")
    private int stops = 500;
    @Option(name = "--clients", usage = "of each of two classes, one that may be repeated and one that must never run twice")
    private int clientsPerClass = 16;
    @Option(name = "--by", metaVar = "STOP", handler = StringArrayOptionHandler.class,
        usage = "kill, term and error, by which the next life comes after; or successor alone, by which it comes beside")
    private String[] stopNames = {"kill", "term", "error"};
    @Option(name = "--out", usage = "where the history is written")
    private String out = "target/random-stops.jsonl";

    /** How far a job that was lost had come, as seen from outside. */
    private enum Progress { NOT_SENT_ON, AT_A_WORKER, ENDED_BY_ITS_WORKER }

    /** For tests: so many stops of these kinds, with so many clients of each class. */
    static RandomStops of(String root, Path out, int stops, int clients, String... by) {
        RandomStops r = new RandomStops();
        r.root = root;
        r.out = out.toString();
        r.stops = stops;
        r.clientsPerClass = clients;
        r.stopNames = by;
        return r;
    }

    private List<Stop> stopKinds() throws IOException {
        List<Stop> kinds = new ArrayList<>();
        for (String b : stopNames) {
            try {
                kinds.add(Stop.valueOf(b.toUpperCase(Locale.ROOT)));
            } catch (IllegalArgumentException e) {
                throw new IOException("--by: '" + b + "' is none of kill, term, error, successor");
            }
        }
        if (kinds.contains(Stop.SUCCESSOR) && kinds.size() > 1) {
            throw new IOException("--by: successor stands alone, as its lives share a listening socket");
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
                Reactor asking = new Reactor("clients"); ListeningSocketHolder shared = kinds.contains(Stop.SUCCESSOR) ? new ListeningSocketHolder() : null) {
            Fleet fleet = new Fleet(workers, WORKERS, 64, SERVICE_MS * 1_000_000L, 2, false, witness);
            int port = shared == null ? Ports.free() : shared.port();
            fleet.tells(Fleet.local(port));
            Files.writeString(folder.resolve("config.json"), Scenario.config(fleet.list(), fleet.servers()));
            stops(witness, asking, shared, folder, port, kinds, done);
            witness.finish();
            fault = witness.failure();
        }
        if (fault != null) {
            System.out.println("not judged, " + fault);
            return 1;
        }
        return checkHistory(history, done);
    }

    private void stops(Recorder witness, Reactor asking, ListeningSocketHolder shared, Path folder, int port, List<Stop> kinds, Map<Stop, Integer> done)
            throws IOException, InterruptedException {
        Random random = new Random(seed);
        boolean debugged = kinds.contains(Stop.ERROR);
        SchedulerProcess life = SchedulerProcess.start(Path.of(root), folder, shared, port, 1, debugged, witness);
        life.awaitReady();
        List<Clients> all = List.of(startClients(asking, port, "live-status", witness), startClients(asking, port, "billing-post", witness));
        try {
            for (int i = 1; i <= stops; i++) {
                Thread.sleep(MIN_INTERVAL_MS + random.nextInt(INTERVAL_SPREAD_MS));
                Stop stop = kinds.get(random.nextInt(kinds.size()));
                done.merge(stop, 1, Integer::sum);
                if (stop == Stop.SUCCESSOR) {
                    SchedulerProcess next = SchedulerProcess.start(Path.of(root), folder, shared, port, i + 1, debugged, witness);
                    next.awaitReady();
                    life.terminate();
                    life.awaitExit();
                    life = next;
                    continue;
                }
                if (stop == Stop.TERM) {
                    life.terminate();
                    Thread.sleep(MIN_CONNECTING_AFTER_TERM_MS + random.nextInt(MIN_CONNECTING_AFTER_TERM_MS));
                    all.forEach(c -> c.connects(false));
                    life.awaitExit();
                } else {
                    all.forEach(c -> c.resends(false));
                    if (stop == Stop.KILL) {
                        life.kill();
                    } else {
                        life.throwErrorInLoop();
                    }
                }
                life = SchedulerProcess.start(Path.of(root), folder, shared, port, i + 1, debugged, witness);
                life.awaitReady();
                all.forEach(c -> {
                    c.resends(true);
                    c.connects(true);
                });
            }
            long end = System.currentTimeMillis() + SETTLE_TIMEOUT_MS;
            for (Clients c : all) {
                while (!c.ends() && System.currentTimeMillis() < end) {
                    Thread.sleep(20);
                }
            }
            life.terminate();
            life.awaitExit();
        } finally {
            life.destroy();
        }
    }

    private Clients startClients(Reactor asking, int port, String kind, Recorder witness) {
        Clients c = new Clients(asking, Fleet.local(port), new Clients.Plan(clientsPerClass, 0, 16, PausableClient.DEADLINE_MS, kind), kind.substring(0, 1) + "-", witness);
        c.start();
        return c;
    }

    private int checkHistory(Path history, Map<Stop, Integer> done) throws IOException {
        RuleChecker c;
        Map<String, Progress> far = new HashMap<>();
        Map<Progress, Integer> lost = new EnumMap<>(Progress.class);
        Map<Integer, Integer> answers = new HashMap<>();
        int asked = 0;
        try (HistoryReader in = HistoryReader.open(history)) {
            c = new RuleChecker(history.toString(), in.limits());
            for (Event e = in.next(); e != null; e = in.next()) {
                c.process(e);
                switch (e.type()) {
                    case ASK -> {
                        asked++;
                        far.put(e.id(), Progress.NOT_SENT_ON);
                    }
                    case AGAIN -> lost.computeIfPresent(far.get(e.id()), (f, n) -> n - 1);
                    case ATTEMPT -> far.computeIfPresent(e.id(), (id, f) -> Progress.AT_A_WORKER);
                    case END -> far.computeIfPresent(e.id(), (id, f) -> Progress.ENDED_BY_ITS_WORKER);
                    case CUT -> lost.merge(far.get(e.id()), 1, Integer::sum);
                    case ANSWER -> {
                        answers.merge((int) e.number(), 1, Integer::sum);
                        far.remove(e.id());
                    }
                    default -> { }
                }
            }
            c.finish();
        }
        System.out.println("stops " + done + "; asked " + asked + ", answers by status " + answers + ", lost by how far they had come " + lost);
        System.out.println(history + ": " + (c.violationCount() == 0 ? "kept" : c.violationCount() + " broken") + " (" + c.eventCount() + " events)");
        c.violations().stream().limit(20).forEach(b -> System.out.println("  " + b));
        return c.violationCount() == 0 ? 0 : 1;
    }

    @Override
    protected String what() {
        return "Stops a scheduler under load at random moments, starts it anew each time, and judges all its lives by the rules.\n"
            + "  example: random-stops --stops 500 --seed 1";
    }
}
