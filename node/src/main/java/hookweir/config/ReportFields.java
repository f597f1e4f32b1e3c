package hookweir.config;

import hookweir.Contract.Report;

/** Where the figures of a load report go, by the names that the settings give them. */
public final class ReportFields {
    private ReportFields() {
    }

    /** Sets one figure; false where the module knows none of that name. */
    public static boolean set(Report report, String name, double v) {
        switch (name) {
            case "x0" -> report.freeSlots = v;
            case "x1" -> report.freeMemory = v;
            case "utilization" -> report.utilization = v;
            case "recent_ms" -> report.serviceTimeMs = v;
            case "outstanding" -> report.outstanding = v;
            case "backlog" -> report.queued = v;
            case "errors_per_s" -> report.errorsPerS = v;
            default -> {
                return false;
            }
        }
        return true;
    }
}
