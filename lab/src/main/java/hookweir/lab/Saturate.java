package hookweir.lab;

import hookweir.lab.load.LoadGenerator;
import hookweir.lab.load.LoadTestHarness;
import hookweir.lab.report.LoadReport;
import hookweir.lab.report.Step;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Option;

/** Minutes of as much load as so many clients can make, each beginning anew as soon as it has its answer. */
public final class Saturate extends LoadCommand {
    private static final double MINUTE_S = 60;

    @Option(name = "--minutes", usage = "how long")
    private double minutes = 10;
    @Option(name = "--clients", usage = "client connections")
    private int connections = 64;
    @Option(name = "--out", usage = "the folder for the report")
    private String outputFolder = "target/saturate";
    @Option(name = "--name", usage = "the report's name")
    private String name = "saturate";

    @Override
    protected String description() {
        return "Minutes of full load on one scheduler, with its memory for each minute.\n"
            + "example: java -jar lab/target/hookweir-lab.jar saturate --minutes 10 --clients 900 --body 60000";
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        System.out.println(Step.tableHeader());
        long unanswered;
        boolean kept;
        try (LoadTestHarness bench = startHarness()) {
            LoadGenerator.Workload plan = new LoadGenerator.Workload(connections, 0, bodyBytes, deadlineMs, "job");
            LoadGenerator c = bench.startGenerator(plan);
            for (int i = 0; i * 1.0 < minutes; i++) {
                steps.add(bench.measure(c, plan, MINUTE_S * Math.min(1, minutes - i)));
                System.out.println(steps.get(i));
            }
            unanswered = bench.stopGenerator(c) + steps.stream().mapToLong(Step::failed).sum();
            System.out.println("failed or without an answer " + unanswered + ", attempts twice " + bench.stubWorkers().repeatedAttempts() + ", call-backs dropped "
                + bench.stubWorkers().droppedCallbacks() + "\n" + bench.target().logTail() + "\n" + formatCallbackLatency(bench));
            kept = bench.closeAndCheckHistory();
        }
        LoadReport.writeJson(Path.of(outputFolder), name, Map.of("clients", connections, "bodyBytes", bodyBytes, "resultBytes", resultBytes, "deadlineMs", deadlineMs,
            "serviceMs", serviceMs, "workers", workers, "unanswered", unanswered), steps);
        LoadReport.writeMemoryChart(Path.of(outputFolder), name, connections + " clients, bodies of " + bodyBytes + " bytes, deadline " + deadlineMs + " ms", steps);
        return kept ? 0 : 1;
    }
}
