package hookweir.net;

import hookweir.Contract;
import hookweir.config.SettingsMapping;
import hookweir.net.admin.Metrics;
import hookweir.net.server.RequestParser;
import hookweir.net.worker.LoadReportParser;
import hookweir.room.ResourceBudget;
import java.util.List;

/** The settings in force, and what is made of them; replaced as a whole by a reload. Belongs to the {@link Loop}. */
final class ActiveSettings {
    private static final int PROBE_CONNECT_TIMEOUTS = 2;
    private static final int ACCEPT_CONNECT_TIMEOUTS = 6;

    private final ResourceBudget budget;
    private final Metrics figures;
    private Contract.Settings settings;
    /** By number. */
    private List<String> classNames;
    private long probeTimeoutUs;
    private RequestParser requestParser;
    private LoadReportParser loadReport;

    ActiveSettings(ResourceBudget room, Metrics figures, SettingsMapping mapped) {
        this.budget = room;
        this.figures = figures;
        apply(mapped);
    }

    /** Replaces the settings. */
    void apply(SettingsMapping mapped) {
        settings = mapped.policySettings;
        classNames = mapped.classNames;
        figures.registerClasses(List.copyOf(mapped.classNumbers.keySet()));
        probeTimeoutUs = PROBE_CONNECT_TIMEOUTS * mapped.connectTimeoutUs;
        budget.setClasses(settings.classes);
        requestParser = new RequestParser(mapped.classNumbers, settings.classes, mapped.tenantNumbers);
        loadReport = new LoadReportParser(mapped.reportFields);
    }

    /** The decision module's settings. */
    Contract.Settings settings() {
        return settings;
    }

    /** The name of the request class with this number. */
    String className(int number) {
        return classNames.get(number);
    }

    /** Parses clients' headers. */
    RequestParser requestParser() {
        return requestParser;
    }

    /** Parses workers' load reports. */
    LoadReportParser loadReport() {
        return loadReport;
    }

    /** How long a probe, or a notice to a worker, may take. */
    long probeTimeoutUs() {
        return probeTimeoutUs;
    }

    /** A healthy worker says sooner than this that it took a job. */
    long acceptTimeoutUs() {
        return ACCEPT_CONNECT_TIMEOUTS / PROBE_CONNECT_TIMEOUTS * probeTimeoutUs;
    }

    /** Whether a second attempt at a request of this class does no harm. */
    boolean isRepeatable(int requestClass) {
        return settings.classes.get(requestClass).idempotency != Contract.Idempotency.NON_IDEMPOTENT;
    }
}
