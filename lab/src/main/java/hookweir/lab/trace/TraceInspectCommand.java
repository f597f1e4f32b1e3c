package hookweir.lab.trace;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import hookweir.lab.Main;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The command trace-inspect: summarizes a public trace, and reports which of its rows were skipped and why. */
public final class TraceInspectCommand extends Main.Command {
    private static final long US_PER_S = 1_000_000;

    @Argument(required = true, metaVar = "FILE", usage = "files of one trace, plain or gzipped")
    private List<Path> files = new ArrayList<>();
    @Option(name = "--format", usage = "auto, google-2011, alibaba-2018 or azure-functions-2021")
    private String format = "auto";
    @Option(name = "--json", usage = "prints one JSON object")
    private boolean json;

    /** Accumulates totals over the jobs in order of start. */
    private static final class Summary implements TraceJob.Sink {
        private long jobs;
        private long firstStartUs;
        private long lastStartUs;
        private double totalDurationS;
        private long currentSecond = Long.MIN_VALUE;
        private long jobsInSecond;
        private long peakPerSecond;

        @Override
        public void accept(TraceJob j) {
            firstStartUs = jobs++ == 0 ? j.startUs() : firstStartUs;
            lastStartUs = j.startUs();
            totalDurationS += j.durationUs() / (double) US_PER_S;
            long s = Math.floorDiv(j.startUs(), US_PER_S);
            jobsInSecond = s == currentSecond ? jobsInSecond + 1 : 1;
            currentSecond = s;
            peakPerSecond = Math.max(peakPerSecond, jobsInSecond);
        }
    }

    @Override
    protected int run() throws IOException {
        TraceReader reader = new TraceReader(files, format);
        Summary summary = new Summary();
        try (JobSorter sorter = new JobSorter()) {
            reader.read(sorter);
            sorter.forEachSorted(summary);
        }
        Map<String, Object> values = report(reader, summary);
        if (json) {
            System.out.println(new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(values));
        } else {
            values.forEach((k, v) -> System.out.printf("%-14s %s%n", k, v));
            reader.statistics().skipped().forEach((reason, rows) -> System.out.printf("skipped        %s %d, first at %s%n", reason,
                rows.count, String.join(", ", rows.locations)));
        }
        if (reader.truncation() != null) {
            System.err.println("hookweir-lab: " + reader.truncation());
            return 1;
        }
        return 0;
    }

    private Map<String, Object> report(TraceReader reader, Summary summary) {
        RowStatistics statistics = reader.statistics();
        Map<String, Object> skipped = new LinkedHashMap<>();
        statistics.skipped().forEach((reason, rows) -> skipped.put(reason.toString(), rows.count));
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("format", reader.format());
        out.put("files", files.size());
        out.put("rows", statistics.rows);
        out.put("used", statistics.used);
        out.put("ignored", statistics.ignored);
        out.put("jobs", summary.jobs);
        out.put("skipped", skipped);
        out.put("adjusted", statistics.adjusted);
        out.put("out_of_order", statistics.outOfOrder);
        out.put("from_us", summary.firstStartUs);
        out.put("to_us", summary.lastStartUs);
        out.put("span_us", summary.lastStartUs - summary.firstStartUs);
        out.put("peak_per_s", summary.peakPerSecond);
        out.put("mean_per_s", roundToSixDigits(summary.jobs / Math.max(1.0, (summary.lastStartUs - summary.firstStartUs) / (double) US_PER_S)));
        out.put("work_s", roundToSixDigits(summary.totalDurationS));
        return out;
    }

    private static double roundToSixDigits(double v) {
        return Double.parseDouble(String.format(Locale.ROOT, "%.6g", v));
    }

    @Override
    protected String description() {
        return "Summarizes a public trace, and reports which of its rows were skipped and why.\n  example: trace-inspect task_events/part-*.csv.gz";
    }
}
