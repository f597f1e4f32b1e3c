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

/** The lab's trace-inspect: what a public trace holds, and which of its rows were left out and why. */
public final class TraceInspectCommand extends Main.Command {
    private static final long US_PER_S = 1_000_000;

    @Argument(required = true, metaVar = "FILE", usage = "files of one trace, plain or gzipped")
    private List<Path> files = new ArrayList<>();
    @Option(name = "--format", usage = "auto, google-2011, alibaba-2018 or azure-functions-2021")
    private String format = "auto";
    @Option(name = "--json", usage = "prints one JSON object")
    private boolean json;

    /** What the jobs, in order, come to. */
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
        Summary sums = new Summary();
        try (JobSorter sorter = new JobSorter()) {
            reader.read(sorter);
            sorter.forEachSorted(sums);
        }
        Map<String, Object> told = report(reader, sums);
        if (json) {
            System.out.println(new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(told));
        } else {
            told.forEach((k, v) -> System.out.printf("%-14s %s%n", k, v));
            reader.statistics().skipped().forEach((why, s) -> System.out.printf("skipped        %s %d, first at %s%n", why, s.count, String.join(", ", s.locations)));
        }
        if (reader.truncation() != null) {
            System.err.println("hookweir-lab: " + reader.truncation());
            return 1;
        }
        return 0;
    }

    private Map<String, Object> report(TraceReader reader, Summary sums) {
        RowStatistics t = reader.statistics();
        Map<String, Object> skipped = new LinkedHashMap<>();
        t.skipped().forEach((why, s) -> skipped.put(why.toString(), s.count));
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("format", reader.format());
        out.put("files", files.size());
        out.put("rows", t.rows);
        out.put("used", t.used);
        out.put("ignored", t.ignored);
        out.put("jobs", sums.jobs);
        out.put("skipped", skipped);
        out.put("adjusted", t.adjusted);
        out.put("out_of_order", t.outOfOrder);
        out.put("from_us", sums.firstStartUs);
        out.put("to_us", sums.lastStartUs);
        out.put("span_us", sums.lastStartUs - sums.firstStartUs);
        out.put("peak_per_s", sums.peakPerSecond);
        out.put("mean_per_s", roundToSixDigits(sums.jobs / Math.max(1.0, (sums.lastStartUs - sums.firstStartUs) / (double) US_PER_S)));
        out.put("work_s", roundToSixDigits(sums.totalDurationS));
        return out;
    }

    private static double roundToSixDigits(double v) {
        return Double.parseDouble(String.format(Locale.ROOT, "%.6g", v));
    }

    @Override
    protected String description() {
        return "What a public trace holds, and which of its rows were left out and why.\n  example: trace-inspect task_events/part-*.csv.gz";
    }
}
