package hookweir.lab.scale;

import hookweir.lab.Main;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** The lab's {@code scale} command: simulates workers and schedulers in virtual time and reports their messages and bytes. */
public final class ScaleCommand extends Main.Command {
    private static final int EXIT_BAD_VALUE = 2;

    @Option(name = "--workers", usage = "simulated workers, 1 to 20000")
    private int workers = Shape.target().workers();
    @Option(name = "--schedulers", usage = "simulated schedulers, 1 to 1000")
    private int schedulers = Shape.target().schedulers();
    @Option(name = "--rate", usage = "jobs per second for each scheduler, above 0")
    private double rate = Shape.target().jobsPerSecond();
    @Option(name = "--service-ms", usage = "mean running time of a task in milliseconds, at least 1")
    private long serviceMs = Shape.target().serviceMs();
    @Option(name = "--full", usage = "share of the workers that is fully occupied by other work at any moment, 0 to 0.95")
    private double full = Shape.target().fullShare();
    @Option(name = "--restarts", usage = "worker restarts per hour")
    private double restarts = Shape.target().restartsPerHour();
    @Option(name = "--changes", usage = "configuration changes per hour")
    private double changes = Shape.target().changesPerHour();
    @Option(name = "--seconds", usage = "simulated seconds that are measured after the warm-up, at least 3")
    private int seconds = Shape.target().seconds();
    @Option(name = "--failure", usage = "failure to inject after a third of the measured seconds")
    private Shape.Failure failure = Shape.Failure.NONE;
    @Option(name = "--mechanism", usage = "how probes are sent; PROBE_ALL is wrong on purpose, to show that a run detects excess probes")
    private Shape.Mechanism mechanism = Shape.Mechanism.AS_DECIDED;
    @Option(name = "--seed", usage = "random seed; the same seed gives the same results")
    private long seed = Shape.target().seed();
    @Option(name = "--sweep", usage = "instead of one run, runs all sizes, loads and failures of docs/CAPACITY.md, with linear fits and charts")
    private boolean sweep;
    @Option(name = "--real", usage = "instead of a simulation, runs one real scheduler process with stub workers for some minutes")
    private boolean real;
    @Option(name = "--root", usage = "with --real, the folder that contains deploy/balancer.toml")
    private Path root = Path.of(".");
    @Option(name = "--out", usage = "the output folder for rows and charts")
    private Path out = Path.of("target/scale");

    @Override
    protected String description() {
        return "Simulates workers and schedulers with the real decision module in virtual time; reports messages and bytes of each role.\n"
            + "example: java -jar lab/target/hookweir-lab.jar scale --workers 1100 --schedulers 100 --rate 4.4 --failure RACK\n"
            + "example: java -jar lab/target/hookweir-lab.jar scale --sweep --out docs/capacity";
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        String errors = validationErrors();
        if (errors != null) {
            System.err.println("hookweir-lab: " + errors);
            return EXIT_BAD_VALUE;
        }
        if (real) {
            RealRun.run(root, workers, rate, (int) serviceMs, out);
            return 0;
        }
        System.out.println(Row.tableHeader());
        if (sweep) {
            ParameterSweep.run(out, seed);
            return 0;
        }
        Shape target = Shape.target();
        Shape shape = target.withSize(workers, schedulers, rate).withLoad(serviceMs, full).withChangeRates(restarts, changes)
            .withDuration(target.warmUpSeconds(), seconds).with(failure).with(mechanism).withSeed(seed);
        Row row = new Simulation(shape).run().withName(failure.name().toLowerCase(java.util.Locale.ROOT));
        System.out.println(row.tableLine());
        ScaleReport.writeJson(out, "run", List.of(row));
        return 0;
    }

    private String validationErrors() {
        List<String> errors = new ArrayList<>();
        check(errors, workers >= 1 && workers <= 20_000, "--workers must be 1 to 20000, not " + workers);
        check(errors, schedulers >= 1 && schedulers <= 1000, "--schedulers must be 1 to 1000, not " + schedulers);
        check(errors, rate > 0 && rate <= 10_000, "--rate must be above 0 and at most 10000, not " + rate);
        check(errors, serviceMs >= 1 && serviceMs <= 3_600_000, "--service-ms must be 1 to 3600000, not " + serviceMs);
        check(errors, full >= 0 && full <= 0.95, "--full must be 0 to 0.95, not " + full);
        check(errors, restarts >= 0 && restarts <= 1e6, "--restarts must be 0 to 1000000, not " + restarts);
        check(errors, changes >= 0 && changes <= 1e6, "--changes must be 0 to 1000000, not " + changes);
        check(errors, seconds >= 3 && seconds <= 86_400, "--seconds must be 3 to 86400, not " + seconds);
        return errors.isEmpty() ? null : String.join("; ", errors);
    }

    private static void check(List<String> errors, boolean isValid, String error) {
        if (!isValid) {
            errors.add(error);
        }
    }
}
