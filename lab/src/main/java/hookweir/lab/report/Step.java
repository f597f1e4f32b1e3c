package hookweir.lab.report;

import hookweir.lab.load.LoadGenerator;
import java.util.Locale;

/**
 * One row of a load table: what one rate, or one span of time, came to. Times in ms, memory in MB, rates a second.
 *
 * @param target what was under load
 * @param offered jobs offered a second; 0 in a closed loop
 * @param goodput jobs served a second
 * @param refusedShare of the answers
 * @param failed answers that were neither, and jobs without an answer
 * @param refusalP99 99th percentile of the time to a refusal
 * @param cpuUs processor time for each answer, in µs
 * @param residentMb resident memory at the end
 * @param allocatedKb allocated for each answer, in KB
 * @param probes a second
 */
public record Step(String target, double offered, double goodput, double p50, double p99, double p999, double refusedShare, long failed,
    double refusalP99, double cpuUs, double residentMb, double allocatedKb, double probes) {

    private static final double NS_PER_MS = 1e6;

    /** The row of what was seen in so many seconds. */
    public static Step of(String target, double offered, double seconds, LoadGenerator.Measurements seen, double cpuS, long residentBytes, long allocated,
            long probes) {
        long answers = Math.max(1, seen.responseCount());
        return new Step(target, offered, seen.served.getTotalCount() / seconds, seen.served.getValueAtPercentile(50) / NS_PER_MS,
            seen.served.getValueAtPercentile(99) / NS_PER_MS, seen.served.getValueAtPercentile(99.9) / NS_PER_MS,
            (double) seen.rejected.getTotalCount() / answers, seen.failed + seen.unanswered,
            seen.rejected.getValueAtPercentile(99) / NS_PER_MS, cpuS * 1e6 / answers, residentBytes / 1048576.0,
            allocated / 1024.0 / answers, probes / seconds);
    }

    /** The head of a table of rows. */
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
