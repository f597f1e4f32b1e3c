package hookweir.lab.report;

import hookweir.lab.load.LoadGenerator;
import java.util.Locale;

/**
 * One row of a load table: the measurements at one rate or over one interval. Times are in ms, memory in MB, rates per second.
 *
 * @param target the name of the process under load
 * @param offered jobs offered per second; 0 in a closed loop
 * @param goodput jobs served per second
 * @param p50 median latency
 * @param p99 99th percentile of latency
 * @param p999 99.9th percentile of latency
 * @param refusedShare share of rejections among all responses
 * @param failed responses with any other status, and jobs without a response
 * @param refusalP99 99th percentile of the time to a rejection
 * @param cpuUs CPU time per response, in µs
 * @param residentMb resident memory at the end
 * @param allocatedKb bytes allocated per response, in KB
 * @param probes probes per second
 */
public record Step(String target, double offered, double goodput, double p50, double p99, double p999, double refusedShare, long failed,
    double refusalP99, double cpuUs, double residentMb, double allocatedKb, double probes) {

    private static final double NS_PER_MS = 1e6;

    /** Creates a row from measurements over the given time. */
    public static Step of(String target, double offered, double seconds, LoadGenerator.Measurements measurements, double cpuSeconds,
            long residentBytes, long allocatedBytes, long probes) {
        long responses = Math.max(1, measurements.responseCount());
        return new Step(target, offered, measurements.served.getTotalCount() / seconds, measurements.served.getValueAtPercentile(50) / NS_PER_MS,
            measurements.served.getValueAtPercentile(99) / NS_PER_MS, measurements.served.getValueAtPercentile(99.9) / NS_PER_MS,
            (double) measurements.rejected.getTotalCount() / responses, measurements.failed + measurements.unanswered,
            measurements.rejected.getValueAtPercentile(99) / NS_PER_MS, cpuSeconds * 1e6 / responses, residentBytes / 1048576.0,
            allocatedBytes / 1024.0 / responses, probes / seconds);
    }

    /** The heading of a table of steps. */
    public static String tableHeader() {
        return String.format("%-12s %9s %9s %8s %8s %8s %8s %7s %8s %8s %7s %8s %8s", "target", "offered", "served/s", "p50 ms", "p99 ms",
            "p99.9", "refused", "failed", "ref.p99", "cpu us", "rss MB", "alloc KB", "probes/s");
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%-12s %9.0f %9.0f %8.2f %8.2f %8.2f %7.2f%% %7d %8.1f %8.0f %7.1f %8.1f %8.1f", target, offered, goodput,
            p50, p99, p999, 100 * refusedShare, failed, refusalP99, cpuUs, residentMb, allocatedKb, probes);
    }
}
