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

/**
 * All simulations of docs/CAPACITY.md. Varies one parameter at a time, up to the target value and at twice that value, and fits the costs.
 * Then runs each failure at the target.
 */
final class ParameterSweep {
    private static final int TARGET_WORKERS = Shape.target().workers();
    private static final int TARGET_SCHEDULERS = Shape.target().schedulers();
    private static final double TARGET_RATE = Shape.target().jobsPerSecond();
    private static final double[] WORKER_COUNTS = {140, 275, 550, TARGET_WORKERS, 2 * TARGET_WORKERS};
    private static final double[] SMALL_WORKER_COUNTS = {10, 20, 40, 70, 100};
    private static final double[] SCHEDULER_COUNTS = {12, 25, 50, TARGET_SCHEDULERS, 2 * TARGET_SCHEDULERS};
    private static final double[] RATES = {0.55, 1.1, 2.2, TARGET_RATE, 2 * TARGET_RATE};
    private static final double[] FULL_SHARES = {0, 0.15, 0.3, 0.45, 0.6, 0.75};
    private static final double TARGET_FULL_SHARE = 0.6;
    private static final double TARGET_CHANGES_PER_HOUR = Shape.target().changesPerHour();
    private static final double[] CHANGES_PER_HOUR = {TARGET_CHANGES_PER_HOUR / 8, TARGET_CHANGES_PER_HOUR / 4, TARGET_CHANGES_PER_HOUR / 2,
        TARGET_CHANGES_PER_HOUR, 2 * TARGET_CHANGES_PER_HOUR};
    /** The expected restarts of a whole day, simulated within an hour. */
    private static final double TARGET_RESTARTS_PER_HOUR = 147;
    private static final double[] RESTARTS_PER_HOUR = {TARGET_RESTARTS_PER_HOUR / 8, TARGET_RESTARTS_PER_HOUR / 4, TARGET_RESTARTS_PER_HOUR / 2,
        TARGET_RESTARTS_PER_HOUR, 2 * TARGET_RESTARTS_PER_HOUR};
    /** Number of schedulers in most runs that vary another parameter. */
    private static final int FEW_SCHEDULERS = 20;
    private static final long SHORT_SERVICE_MS = 500;
    private static final int THREADS = 4;
    private static final String BYTES_AXIS_TITLE = "bytes a second, TCP and IP counted";
    private static final int LONG_RUN_S = 600;
    private static final double WORKERS_PER_SCHEDULER = (double) TARGET_WORKERS / TARGET_SCHEDULERS;

    private final Path out;
    private final Shape target;
    private final List<Row> rows = new ArrayList<>();
    private final List<LinearFit> fits = new ArrayList<>();

    private ParameterSweep(Path out, long seed) {
        this.out = out;
        target = Shape.target().withSeed(seed);
    }

    static void run(Path out, long seed) throws IOException {
        ParameterSweep sweep = new ParameterSweep(out, seed);
        sweep.sweepWorkers();
        sweep.sweepOtherParameters();
        sweep.runFailures();
        sweep.sweepSmallFleets();
        sweep.runRealRunCounterparts();
        ScaleReport.writeJson(out, "rows", sweep.rows);
        ScaleReport.writeJson(out, "slopes", sweep.fits);
        sweep.print();
    }

    private void sweepWorkers() throws IOException {
        Shape few = target.withSize(TARGET_WORKERS, FEW_SCHEDULERS, TARGET_RATE).withLoad(SHORT_SERVICE_MS, 0);
        List<Row> light = series("workers, light", WORKER_COUNTS, x -> few.withSize((int) x, FEW_SCHEDULERS, TARGET_RATE));
        List<Row> full = series("workers, 60% full", WORKER_COUNTS,
            x -> few.withLoad(SHORT_SERVICE_MS, TARGET_FULL_SHARE).withSize((int) x, FEW_SCHEDULERS, TARGET_RATE));
        ToDoubleFunction<Row> size = row -> row.shape().workers();
        List<LinearFit> control = List.of(fit("control B/s, light", "workers", TARGET_WORKERS, light, size, Row::controlBytesPerS),
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
        LinearFit whole = fit("bytes of a whole list", "workers", TARGET_WORKERS, light, size, Row::wholeListBytes);
        ScaleReport.writeChart(out, "control-by-workers", "Control traffic of one scheduler at 4.4 jobs/s", "workers", BYTES_AXIS_TITLE, control);
        ScaleReport.writeChart(out, "whole-list", "One whole list, as each start takes it", "workers", "bytes, TCP and IP counted", List.of(whole));
        List<Row> fleet = series("fleet", WORKER_COUNTS, x -> target.withSize((int) x, (int) Math.round(x / WORKERS_PER_SCHEDULER), TARGET_RATE));
        fit("running tasks", "workers, schedulers and jobs as one", TARGET_WORKERS, fleet, size, Row::running);
        fit("list service B/s", "workers, schedulers and jobs as one", TARGET_WORKERS, fleet, size, Row::listBytesPerS);
        fit("probes/s that a worker answers", "workers, schedulers and jobs as one", TARGET_WORKERS, fleet, size, Row::probesPerWorkerS);
        fit("control B/s of a scheduler", "workers, schedulers and jobs as one", TARGET_WORKERS, fleet, size, Row::controlBytesPerS);
    }

    private void sweepOtherParameters() throws IOException {
        double jobs = TARGET_RATE * TARGET_SCHEDULERS;
        List<Row> schedulers = series("schedulers", SCHEDULER_COUNTS, x -> target.withSize(TARGET_WORKERS, (int) x, jobs / x));
        ToDoubleFunction<Row> number = row -> row.shape().schedulers();
        fit("list service B/s", "schedulers, 440 jobs/s", TARGET_SCHEDULERS, schedulers, number, Row::listBytesPerS);
        fit("probes/s that a worker answers", "schedulers, 440 jobs/s", TARGET_SCHEDULERS, schedulers, number, Row::probesPerWorkerS);
        Shape few = target.withSize(TARGET_WORKERS, FEW_SCHEDULERS, TARGET_RATE).withLoad(SHORT_SERVICE_MS, 0);
        List<Row> rates = series("rate", RATES, x -> few.withSize(TARGET_WORKERS, FEW_SCHEDULERS, x));
        ToDoubleFunction<Row> rate = row -> row.shape().jobsPerSecond();
        ScaleReport.writeChart(out, "control-by-rate", "Control traffic of one scheduler, 1,100 workers, light", "jobs a second", BYTES_AXIS_TITLE,
            List.of(fit("control B/s", "jobs/s", TARGET_RATE, rates, rate, Row::controlBytesPerS)));
        fit("probes/s", "jobs/s", TARGET_RATE, rates, rate, Row::probesPerS);
        List<Row> full = series("share full", FULL_SHARES, x -> few.withLoad(SHORT_SERVICE_MS, x));
        fit("control B/s", "share of workers full", TARGET_FULL_SHARE, full, row -> row.shape().fullShare(), Row::controlBytesPerS);
        fit("turned away a job", "share of workers full", TARGET_FULL_SHARE, full, row -> row.shape().fullShare(), Row::turnedAwayPerJob);
        Shape quiet = target.withSize(TARGET_WORKERS, FEW_SCHEDULERS, 1).withLoad(SHORT_SERVICE_MS, 0).withDuration(target.warmUpSeconds(), LONG_RUN_S);
        List<Row> changes = series("changes", CHANGES_PER_HOUR, x -> quiet.withChangeRates(0, x));
        fit("configuration B/s", "changes/h", TARGET_CHANGES_PER_HOUR, changes, row -> row.shape().changesPerHour(), Row::configurationBytesPerS);
        List<Row> restarts = series("restarts", RESTARTS_PER_HOUR, x -> quiet.withChangeRates(x, 0));
        fit("list change B/s", "restarts/h", TARGET_RESTARTS_PER_HOUR, restarts, row -> row.shape().restartsPerHour(), Row::changeBytesPerS);
        double[] both = {TARGET_RATE, 8};
        series("4.4 and 8, light", both, x -> few.withSize(TARGET_WORKERS, FEW_SCHEDULERS, x));
        series("4.4 and 8, 60% full", both, x -> few.withLoad(SHORT_SERVICE_MS, TARGET_FULL_SHARE).withSize(TARGET_WORKERS, FEW_SCHEDULERS, x));
    }

    private void runFailures() {
        Map<String, Shape> runs = new LinkedHashMap<>();
        for (Shape.Failure failure : Shape.Failure.values()) {
            runs.put("target " + failure.name().toLowerCase(Locale.ROOT), target.with(failure));
        }
        runs.put("target first minute", target.withDuration(0, 60));
        runs.put("120 schedulers", target.withSize(TARGET_WORKERS, 120, TARGET_RATE * TARGET_SCHEDULERS / 120));
        runAll(runs);
    }

    /** Finds the small fleet sizes that exceed the limits: two schedulers with 4.4 jobs/s each, whose tasks fit on ten workers. */
    private void sweepSmallFleets() {
        Shape two = target.withSize(TARGET_WORKERS, 2, TARGET_RATE).withLoad(SHORT_SERVICE_MS, 0);
        series("small, light", SMALL_WORKER_COUNTS, x -> two.withSize((int) x, 2, TARGET_RATE));
        series("small, 60% full", SMALL_WORKER_COUNTS, x -> two.withLoad(SHORT_SERVICE_MS, TARGET_FULL_SHARE).withSize((int) x, 2, TARGET_RATE));
    }

    /** Simulates one scheduler with the sizes and time spans of {@link RealRun}, for comparison. */
    private void runRealRunCounterparts() {
        Shape one = target.withSize(TARGET_WORKERS, 1, TARGET_RATE).withLoad(SHORT_SERVICE_MS, 0);
        Map<String, Shape> runs = new LinkedHashMap<>();
        for (double jobs : new double[] {TARGET_RATE, 8, 40}) {
            for (int workers : jobs == TARGET_RATE ? new int[] {100, TARGET_WORKERS} : new int[] {TARGET_WORKERS}) {
                runs.put(String.format(Locale.ROOT, "as real, s 20-80, %d", runs.size()), one.withSize(workers, 1, jobs).withDuration(20, 60));
                runs.put(String.format(Locale.ROOT, "as real, s 200-400, %d", runs.size()), one.withSize(workers, 1, jobs));
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

    /** Runs the simulations in parallel, as they share no state, and returns the results in the order of the map. */
    private List<Row> runAll(Map<String, Shape> runs) {
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            List<Future<Row>> futures = new ArrayList<>();
            runs.forEach((name, shape) -> futures.add(threads.submit(() -> new Simulation(shape).run().withName(name))));
            List<Row> series = new ArrayList<>();
            for (Future<Row> future : futures) {
                series.add(future.get());
                System.out.println(series.get(series.size() - 1).tableLine());
            }
            rows.addAll(series);
            return series;
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        } finally {
            threads.shutdownNow();
        }
    }

    private LinearFit fit(String cost, String against, double targetSize, List<Row> series, ToDoubleFunction<Row> size, ToDoubleFunction<Row> value) {
        LinearFit fit = LinearFit.of(cost, against, targetSize, series, size, value);
        fits.add(fit);
        return fit;
    }

    private void print() {
        System.out.printf("%n%-32s %-36s %10s %12s %8s %6s %11s %11s  %s%n", "cost", "against", "intercept", "slope", "+-", "R2", "predicted", "measured",
            "residuals");
        for (LinearFit fit : fits) {
            StringBuilder residuals = new StringBuilder();
            for (double residual : fit.residuals()) {
                residuals.append(String.format(Locale.ROOT, "%.4g ", residual));
            }
            System.out.printf(Locale.ROOT, "%-32s %-36s %10.4g %12.4g %8.2g %6.3f %11.4g %11.4g  %s%n", fit.cost(), fit.against(), fit.intercept(),
                fit.slope(), fit.slopeError(), fit.rSquare(), fit.predicted(), fit.measured(), residuals);
        }
        System.out.println(Map.of("rows", rows.size(), "slopes", fits.size()) + " in " + out);
    }
}
