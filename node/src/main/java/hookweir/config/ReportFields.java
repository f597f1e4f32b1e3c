package hookweir.config;

import hookweir.Contract.Report;

/** Maps the names that the settings give to load report values to the fields of {@link Report}. */
public final class ReportFields {
    private ReportFields() {
    }

    /** Sets one value; returns false if the policy has no field for that name. */
    public static boolean set(Report report, String name, double value) {
        switch (name) {
            case "x0" -> report.freeSlots = value;
            case "x1" -> report.freeMemory = value;
            case "utilization" -> report.utilization = value;
            case "recent_ms" -> report.serviceTimeMs = value;
            case "outstanding" -> report.outstanding = value;
            case "backlog" -> report.queued = value;
            case "errors_per_s" -> report.errorsPerS = value;
            default -> {
                return false;
            }
        }
        return true;
    }
}
