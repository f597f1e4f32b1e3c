package hookweir.lab.lives;

import hookweir.lab.Main;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.kohsuke.args4j.Option;

/** Stops the real scheduler at every point in every way, restarts it, and checks one history of both processes for each combination. */
public final class StopAndRestart extends Main.Command {
    @Option(name = "--root", usage = "the folder with deploy/balancer.toml")
    private String root = ".";
    @Option(name = "--seed", usage = "seed of the order and of the class of the job in progress at each point")
    private long seed = 1;
    @Option(name = "--side-by-side", usage = "number of scenarios run concurrently")
    private int concurrency = 4;
    @Option(name = "--point", usage = "run only this point, named as in the printed table")
    private String onlyPoint = "";
    @Option(name = "--classes", usage = "run each point with every job class instead of one chosen by the seed")
    private boolean everyClass;

    /** All scenarios in an order given by the seed, each with one job class chosen by the seed or with every class. */
    static List<Scenario> scenarios(Path root, long seed, boolean everyClass) {
        Random random = new Random(seed);
        List<Scenario> all = new ArrayList<>();
        for (Point p : Point.values()) {
            for (Stop s : Stop.values()) {
                if (s.appliesTo(p)) {
                    List<String> kinds = everyClass ? Scenario.KINDS : List.of(Scenario.KINDS.get(random.nextInt(Scenario.KINDS.size())));
                    kinds.forEach(k -> all.add(new Scenario(root, p, s, k)));
                }
            }
        }
        Collections.shuffle(all, random);
        return all;
    }

    /** Runs the scenarios, {@code concurrency} at a time, and returns the results in their order. */
    static List<Scenario.Result> runAll(List<Scenario> all, int sideBySide) throws IOException, InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(sideBySide);
        try {
            List<Future<Scenario.Result>> futures = new ArrayList<>();
            all.forEach(s -> futures.add(pool.submit(s::run)));
            List<Scenario.Result> out = new ArrayList<>();
            for (Future<Scenario.Result> f : futures) {
                out.add(f.get());
            }
            return out;
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        List<Scenario> all = scenarios(Path.of(root), seed, everyClass);
        all.removeIf(s -> !onlyPoint.isEmpty() && !s.point().toString().equals(onlyPoint));
        List<Scenario.Result> results = new ArrayList<>(runAll(all, concurrency));
        results.sort((a, b) -> a.scenario().point() != b.scenario().point() ? a.scenario().point().compareTo(b.scenario().point())
            : a.scenario().stop() != b.scenario().stop() ? a.scenario().stop().compareTo(b.scenario().stop())
            : a.scenario().kind().compareTo(b.scenario().kind()));
        System.out.printf("%-28s %-15s %-13s %-10s %-7s %s%n", "stopped at", "by", "class", "its job", "next", "violations");
        int failedScenarios = 0;
        for (Scenario.Result r : results) {
            System.out.printf("%-28s %-15s %-13s %-10s %-7s %s%n", r.scenario().point(), r.scenario().stop(), r.scenario().kind(),
                r.outcome().toString().toLowerCase(java.util.Locale.ROOT).replace('_', ' '), r.servedByNext(),
                r.violations().isEmpty() ? "none" : r.violations());
            failedScenarios += r.violations().isEmpty() ? 0 : 1;
        }
        System.out.println(results.size() + " scenarios, " + failedScenarios + " with a violation");
        return failedScenarios == 0 ? 0 : 1;
    }

    @Override
    protected String description() {
        return "Stops the real scheduler at every point of its work in every way, restarts it, and checks the history of both processes by the rules.\n"
            + "  example: two-lives --seed 1 --side-by-side 4";
    }
}
