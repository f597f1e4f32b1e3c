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

/** Loads one scheduler for minutes in a closed loop, where each client starts its next job as soon as it has a response. */
public final class Saturate extends LoadCommand {
    private static final double MINUTE_S = 60;

    @Option(name = "--minutes", usage = "duration in minutes")
    private double minutes = 10;
    @Option(name = "--clients", usage = "client connections")
    private int connections = 64;
    @Option(name = "--out", usage = "the folder for the report")
    private String outputFolder = "target/saturate";
    @Option(name = "--name", usage = "the report's name")
    private String name = "saturate";

    @Override
    protected String description() {
        return "Loads one scheduler fully, and reports its memory use for each minute.\n"
            + "example: java -jar lab/target/hookweir-lab.jar saturate --minutes 10 --clients 900 --body 60000";
    }

    @Override
    protected int run() throws IOException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        System.out.println(Step.tableHeader());
        long unanswered;
        boolean historyValid;
        try (LoadTestHarness harness = startHarness()) {
            LoadGenerator.Workload workload = new LoadGenerator.Workload(connections, 0, bodyBytes, deadlineMs, "job");
            LoadGenerator generator = harness.startGenerator(workload);
            for (int i = 0; i * 1.0 < minutes; i++) {
                steps.add(harness.measure(generator, workload, MINUTE_S * Math.min(1, minutes - i)));
                System.out.println(steps.get(i));
            }
            unanswered = harness.stopGenerator(generator) + steps.stream().mapToLong(Step::failed).sum();
            System.out.println("failed or without a response " + unanswered + ", repeated attempts " + harness.stubWorkers().repeatedAttempts()
                + ", dropped callbacks " + harness.stubWorkers().droppedCallbacks() + "\n" + harness.target().logTail()
                + "\n" + formatCallbackLatency(harness));
            historyValid = harness.closeAndCheckHistory();
        }
        LoadReport.writeJson(Path.of(outputFolder), name, Map.of("clients", connections, "bodyBytes", bodyBytes, "resultBytes", resultBytes,
            "deadlineMs", deadlineMs, "serviceMs", serviceMs, "workers", workers, "unanswered", unanswered), steps);
        LoadReport.writeMemoryChart(Path.of(outputFolder), name,
            connections + " clients, bodies of " + bodyBytes + " bytes, deadline " + deadlineMs + " ms", steps);
        return historyValid ? 0 : 1;
    }
}
