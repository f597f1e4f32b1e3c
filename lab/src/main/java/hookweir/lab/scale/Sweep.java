package hookweir.lab.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.DoubleFunction;
import java.util.function.ToDoubleFunction;

/** All runs of docs/CAPACITY.md: each cost against one size at a time, up to the target and at twice it, then each failure at the target. */
final class Sweep {
    private static final int TARGET_WORKERS = Shape.target().workers();
    private static final int TARGET_SCHEDULERS = Shape.target().schedulers();
    private static final double TARGET_RATE = Shape.target().jobsPerSecond();
    private static final double[] WORKERS = {140, 275, 550, TARGET_WORKERS, 2 * TARGET_WORKERS};
    private static final double[] SMALL = {10, 20, 40, 70, 100};
    private static final double[] SCHEDULERS = {12, 25, 50, TARGET_SCHEDULERS, 2 * TARGET_SCHEDULERS};
    private static final double[] RATES = {0.55, 1.1, 2.2, TARGET_RATE, 2 * TARGET_RATE};
    private static final double[] FULL = {0, 0.15, 0.3, 0.45, 0.6, 0.75};
    private static final double FULL_TARGET = 0.6;
    private static final double TARGET_CHANGES = Shape.target().changesPerHour();
    private static final double[] CHANGES = {TARGET_CHANGES / 8, TARGET_CHANGES / 4, TARGET_CHANGES / 2, TARGET_CHANGES, 2 * TARGET_CHANGES};
    /** A day's restarts within an hour. */
    private static final double TARGET_RESTARTS = 147;
    private static final double[] RESTARTS = {TARGET_RESTARTS / 8, TARGET_RESTARTS / 4, TARGET_RESTARTS / 2, TARGET_RESTARTS, 2 * TARGET_RESTARTS};
    /** Schedulers in the runs that vary another size. */
    private static final int FEW = 20;
    private static final long SHORT_MS = 500;
    private static final int THREADS = 4;
    private static final String BYTES_PER_S = "bytes a second, TCP and IP counted";
    private static final int LONG_S = 600;
    private static final double WORKERS_PER_SCHEDULER = (double) TARGET_WORKERS / TARGET_SCHEDULERS;

    private final Path out;
    private final Shape target;
    private final List<Row> rows = new ArrayList<>();
    private final List<Slope> slopes = new ArrayList<>();

    private Sweep(Path out, long seed) {
        this.out = out;
        target = Shape.target().seeded(seed);
    }

    static void run(Path out, long seed) throws IOException {
        Sweep sweep = new Sweep(out, seed);
        sweep.workers();
        sweep.others();
        sweep.failures();
        sweep.small();
        sweep.besideReal();
        ScaleReport.json(out, "rows", sweep.rows);
        ScaleReport.json(out, "slopes", sweep.slopes);
        sweep.print();
    }

    private void workers() throws IOException {
        Shape few = target.sized(TARGET_WORKERS, FEW, TARGET_RATE).loaded(SHORT_MS, 0);
        List<Row> light = series("workers, light", WORKERS, x -> few.sized((int) x, FEW, TARGET_RATE));
        List<Row> full = series("workers, 60% full", WORKERS, x -> few.loaded(SHORT_MS, FULL_TARGET).sized((int) x, FEW, TARGET_RATE));
        ToDoubleFunction<Row> size = row -> row.shape().workers();
        List<Slope> control = List.of(fit("control B/s, light", "workers", TARGET_WORKERS, light, size, Row::controlBytesPerS),
            fit("control B/s, 60% full", "workers", TARGET_WORKERS, full, size, Row::controlBytesPerS));
        ToDoubleFunction<Row> logarithm = row -> Math.log(row.shape().workers());
        fit("control B/s, light", "ln workers", Math.log(TARGET_WORKERS), light, logarithm, Row::controlBytesPerS);
        fit("control B/s, 60% full", "ln workers", Math.log(TARGET_WORKERS), full, logarithm, Row::controlBytesPerS);
        fit("connections a job, light", "ln workers", Math.log(TARGET_WORKERS), light, logarithm, Row::newConnectionsPerJob);
        fit("connections a job, 60% full", "ln workers", Math.log(TARGET_WORKERS), full, logarithm, Row::newConnectionsPerJob);
        fit("probes/s, light", "workers", TARGET_WORKERS, light, size, Row::probesPerS);
        fit("probes/s, 60% full", "workers", TARGET_WORKERS, full, size, Row::probesPerS);
        fit("connections a job, light", "workers", TARGET_WORKERS, light, size, Row::newConnectionsPerJob);
        fit("connections a job, 60% full", "workers", TARGET_WORKERS, full, size, Row::newConnectionsPerJob);
        fit("age p99 s, 60% full", "workers", TARGET_WORKERS, full, size, Row::ageP99S);
        Slope whole = fit("bytes of a whole list", "workers", TARGET_WORKERS, light, size, Row::wholeListBytes);
        ScaleReport.chart(out, "control-by-workers", "Control traffic of one scheduler at 4.4 jobs/s", "workers", BYTES_PER_S, control);
        ScaleReport.chart(out, "whole-list", "One whole list, as each start takes it", "workers", "bytes, TCP and IP counted", List.of(whole));
        List<Row> fleet = series("fleet", WORKERS, x -> target.sized((int) x, (int) Math.round(x / WORKERS_PER_SCHEDULER), TARGET_RATE));
        fit("running tasks", "workers, schedulers and jobs as one", TARGET_WORKERS, fleet, size, Row::running);
        fit("list service B/s", "workers, schedulers and jobs as one", TARGET_WORKERS, fleet, size, Row::listBytesPerS);
        fit("probes/s that a worker answers", "workers, schedulers and jobs as one", TARGET_WORKERS, fleet, size, Row::probesPerWorkerS);
        fit("control B/s of a scheduler", "workers, schedulers and jobs as one", TARGET_WORKERS, fleet, size, Row::controlBytesPerS);
    }

    private void others() throws IOException {
        double jobs = TARGET_RATE * TARGET_SCHEDULERS;
        List<Row> schedulers = series("schedulers", SCHEDULERS, x -> target.sized(TARGET_WORKERS, (int) x, jobs / x));
        ToDoubleFunction<Row> number = row -> row.shape().schedulers();
        fit("list service B/s", "schedulers, 440 jobs/s", TARGET_SCHEDULERS, schedulers, number, Row::listBytesPerS);
        fit("probes/s that a worker answers", "schedulers, 440 jobs/s", TARGET_SCHEDULERS, schedulers, number, Row::probesPerWorkerS);
        Shape few = target.sized(TARGET_WORKERS, FEW, TARGET_RATE).loaded(SHORT_MS, 0);
        List<Row> rates = series("rate", RATES, x -> few.sized(TARGET_WORKERS, FEW, x));
        ToDoubleFunction<Row> rate = row -> row.shape().jobsPerSecond();
        ScaleReport.chart(out, "control-by-rate", "Control traffic of one scheduler, 1,100 workers, light", "jobs a second", BYTES_PER_S,
            List.of(fit("control B/s", "jobs/s", TARGET_RATE, rates, rate, Row::controlBytesPerS)));
        fit("probes/s", "jobs/s", TARGET_RATE, rates, rate, Row::probesPerS);
        List<Row> full = series("share full", FULL, x -> few.loaded(SHORT_MS, x));
        fit("control B/s", "share of workers full", FULL_TARGET, full, row -> row.shape().fullShare(), Row::controlBytesPerS);
        fit("turned away a job", "share of workers full", FULL_TARGET, full, row -> row.shape().fullShare(), Row::turnedAwayPerJob);
        Shape quiet = target.sized(TARGET_WORKERS, FEW, 1).loaded(SHORT_MS, 0).lasting(target.warmUpSeconds(), LONG_S);
        List<Row> changes = series("changes", CHANGES, x -> quiet.changing(0, x));
        fit("configuration B/s", "changes/h", TARGET_CHANGES, changes, row -> row.shape().changesPerHour(), Row::configurationBytesPerS);
        List<Row> restarts = series("restarts", RESTARTS, x -> quiet.changing(x, 0));
        fit("list change B/s", "restarts/h", TARGET_RESTARTS, restarts, row -> row.shape().restartsPerHour(), Row::changeBytesPerS);
        double[] both = {TARGET_RATE, 8};
        series("4.4 and 8, light", both, x -> few.sized(TARGET_WORKERS, FEW, x));
        series("4.4 and 8, 60% full", both, x -> few.loaded(SHORT_MS, FULL_TARGET).sized(TARGET_WORKERS, FEW, x));
    }

    private void failures() {
        Map<String, Shape> runs = new LinkedHashMap<>();
        for (Shape.Failure failure : Shape.Failure.values()) {
            runs.put("target " + failure.name().toLowerCase(Locale.ROOT), target.with(failure));
        }
        runs.put("target first minute", target.lasting(0, 60));
        runs.put("120 schedulers", target.sized(TARGET_WORKERS, 120, TARGET_RATE * TARGET_SCHEDULERS / 120));
        runAll(runs);
    }

    /** Where the bounds are passed: two schedulers of 4.4 jobs/s each, whose tasks fit on ten workers. */
    private void small() {
        Shape two = target.sized(TARGET_WORKERS, 2, TARGET_RATE).loaded(SHORT_MS, 0);
        series("small, light", SMALL, x -> two.sized((int) x, 2, TARGET_RATE));
        series("small, 60% full", SMALL, x -> two.loaded(SHORT_MS, FULL_TARGET).sized((int) x, 2, TARGET_RATE));
    }

    /** One scheduler in the sizes and spans of {@link RealRun}. */
    private void besideReal() {
        Shape one = target.sized(TARGET_WORKERS, 1, TARGET_RATE).loaded(SHORT_MS, 0);
        Map<String, Shape> runs = new LinkedHashMap<>();
        for (double jobs : new double[] {TARGET_RATE, 8, 40}) {
            for (int workers : jobs == TARGET_RATE ? new int[] {100, TARGET_WORKERS} : new int[] {TARGET_WORKERS}) {
                runs.put(String.format(Locale.ROOT, "as real, s 20-80, %d", runs.size()), one.sized(workers, 1, jobs).lasting(20, 60));
                runs.put(String.format(Locale.ROOT, "as real, s 200-400, %d", runs.size()), one.sized(workers, 1, jobs));
            }
        }
        runAll(runs);
    }

    private List<Row> series(String name, double[] sizes, DoubleFunction<Shape> shape) {
        Map<String, Shape> runs = new LinkedHashMap<>();
        for (double size : sizes) {
            runs.put(String.format(Locale.ROOT, "%s %.4g", name, size), shape.apply(size));
        }
        return runAll(runs);
    }

    /** Each run is a world of its own, so some may run beside each other; rows come in the order of the runs. */
    private List<Row> runAll(Map<String, Shape> runs) {
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            List<Future<Row>> futures = new ArrayList<>();
            runs.forEach((name, shape) -> futures.add(threads.submit(() -> new World(shape).run().named(name))));
            List<Row> series = new ArrayList<>();
            for (Future<Row> future : futures) {
                series.add(future.get());
                System.out.println(series.get(series.size() - 1).line());
            }
            rows.addAll(series);
            return series;
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        } finally {
            threads.shutdownNow();
        }
    }

    private Slope fit(String cost, String against, double at, List<Row> series, ToDoubleFunction<Row> size, ToDoubleFunction<Row> value) {
        Slope slope = Slope.of(cost, against, at, series, size, value);
        slopes.add(slope);
        return slope;
    }

    private void print() {
        System.out.printf("%n%-32s %-36s %10s %12s %8s %6s %11s %11s  %s%n", "cost", "against", "intercept", "slope", "+-", "R2", "predicted", "measured",
            "residuals");
        for (Slope s : slopes) {
            StringBuilder residuals = new StringBuilder();
            for (double residual : s.residuals()) {
                residuals.append(String.format(Locale.ROOT, "%.4g ", residual));
            }
            System.out.printf(Locale.ROOT, "%-32s %-36s %10.4g %12.4g %8.2g %6.3f %11.4g %11.4g  %s%n", s.cost(), s.against(), s.intercept(),
                s.slope(), s.slopeError(), s.rSquare(), s.predicted(), s.measured(), residuals);
        }
        System.out.println(Map.of("rows", rows.size(), "slopes", slopes.size()) + " in " + out);
    }
}
