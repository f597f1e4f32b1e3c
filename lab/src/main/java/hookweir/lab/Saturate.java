package hookweir.lab;

import hookweir.lab.load.Bench;
import hookweir.lab.load.Clients;
import hookweir.lab.report.LoadReport;
import hookweir.lab.report.Step;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Option;

/** Minutes of as much load as so many clients can make, each beginning anew as soon as it has its answer. */
public final class Saturate extends Main.Command {
    private static final double MINUTE_S = 60;

    @Option(name = "--root", usage = "the folder with deploy/balancer.toml")
    private String root = ".";
    @Option(name = "--cpu", usage = "the processor that the scheduler is pinned to; -1 for any")
    private int cpu;
    @Option(name = "--minutes", usage = "how long")
    private double minutes = 10;
    @Option(name = "--clients", usage = "client connections")
    private int connections = 64;
    @Option(name = "--workers", usage = "stand-in workers")
    private int workers = 10;
    @Option(name = "--service-ms", usage = "how long each job takes")
    private int serviceMs;
    @Option(name = "--body", usage = "bytes of a job's body")
    private int body = 4;
    @Option(name = "--result", usage = "bytes of a job's result")
    private int result = 2;
    @Option(name = "--deadline-ms", usage = "how long clients wait")
    private long deadlineMs = 5000;
    @Option(name = "--sockets", usage = "limits.sockets of the scheduler")
    private int sockets = 1024;
    @Option(name = "--flags", usage = "further flags of the scheduler's JVM")
    private String flags = "";
    @Option(name = "--out", usage = "the folder for the report")
    private String out = "target/saturate";
    @Option(name = "--name", usage = "the report's name")
    private String name = "saturate";

    @Override
    protected String what() {
        return "Minutes of full load on one scheduler, with its memory for each minute.\n"
            + "example: java -jar lab/target/hookweir-lab.jar saturate --minutes 10 --clients 900 --body 60000";
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        System.out.println(Step.head());
        long unanswered;
        try (Bench bench = new Bench(new Bench.Setting(root, cpu, workers, serviceMs, result, deadlineMs / 2, sockets, flags))) {
            Clients.Plan plan = new Clients.Plan(connections, 0, body, deadlineMs, "job");
            Clients c = bench.begin(plan);
            for (int i = 0; i * 1.0 < minutes; i++) {
                steps.add(bench.next(c, plan, MINUTE_S * Math.min(1, minutes - i)));
                System.out.println(steps.get(i));
            }
            unanswered = bench.end(c) + steps.stream().mapToLong(Step::failed).sum();
            System.out.println("failed or without an answer " + unanswered + ", attempts twice " + bench.fleet().twice() + ", call-backs dropped "
                + bench.fleet().dropped() + "\n" + bench.target().log());
        }
        LoadReport.json(Path.of(out), name, Map.of("clients", connections, "bodyBytes", body, "resultBytes", result, "deadlineMs", deadlineMs,
            "serviceMs", serviceMs, "workers", workers, "unanswered", unanswered), steps);
        LoadReport.minutes(Path.of(out), name, connections + " clients, bodies of " + body + " bytes, deadline " + deadlineMs + " ms", steps);
        return 0;
    }
}
