package hookweir.net;

import hookweir.Contract;
import hookweir.config.SettingsMapping;
import hookweir.net.admin.Metrics;
import hookweir.net.server.RequestParser;
import hookweir.net.worker.LoadReportParser;
import hookweir.room.ResourceBudget;
import java.util.List;

/** The settings in force and the objects derived from them; a reload replaces all of them. Belongs to the {@link Loop}. */
final class ActiveSettings {
    /** The timeout of a probe, in connect timeouts. */
    private static final int PROBE_CONNECT_TIMEOUTS = 2;
    /** The timeout for the acceptance of a job, in connect timeouts. */
    private static final int ACCEPT_CONNECT_TIMEOUTS = 6;

    private final ResourceBudget budget;
    private final Metrics metrics;
    private Contract.Settings settings;
    /** Indexed by class number. */
    private List<String> classNames;
    private long probeTimeoutUs;
    private RequestParser requestParser;
    private LoadReportParser loadReport;

    ActiveSettings(ResourceBudget budget, Metrics metrics, SettingsMapping mapped) {
        this.budget = budget;
        this.metrics = metrics;
        apply(mapped);
    }

    /** Replaces the settings. */
    void apply(SettingsMapping mapped) {
        settings = mapped.policySettings;
        classNames = mapped.classNames;
        metrics.registerClasses(List.copyOf(mapped.classNumbers.keySet()));
        probeTimeoutUs = PROBE_CONNECT_TIMEOUTS * mapped.connectTimeoutUs;
        budget.setClasses(settings.classes);
        requestParser = new RequestParser(mapped.classNumbers, settings.classes, mapped.tenantNumbers);
        loadReport = new LoadReportParser(mapped.reportFields);
    }

    /** Returns the decision module's settings. */
    Contract.Settings settings() {
        return settings;
    }

    /** Returns the name of the request class with this number. */
    String className(int number) {
        return classNames.get(number);
    }

    /** Returns the parser for clients' headers. */
    RequestParser requestParser() {
        return requestParser;
    }

    /** Returns the parser for workers' load reports. */
    LoadReportParser loadReport() {
        return loadReport;
    }

    /** Returns the timeout of a probe and of a cancellation notice. */
    long probeTimeoutUs() {
        return probeTimeoutUs;
    }

    /** Returns the time within which a healthy worker accepts a job. */
    long acceptTimeoutUs() {
        return ACCEPT_CONNECT_TIMEOUTS / PROBE_CONNECT_TIMEOUTS * probeTimeoutUs;
    }

    /** Returns whether a second attempt at a request of this class does no harm. */
    boolean isRepeatable(int requestClass) {
        return settings.classes.get(requestClass).idempotency != Contract.Idempotency.NON_IDEMPOTENT;
    }
}
