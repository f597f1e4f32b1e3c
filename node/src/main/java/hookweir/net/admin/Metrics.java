package hookweir.net.admin;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** The metrics that operators fetch, counted since the start of this process. Owns the metric names. Thread-safe. */
public final class Metrics {
    /** The outcome of a job for its client; none of these if the client disconnected first. */
    public enum JobOutcome { SUCCESS, OVERLOAD, ERROR }

    private static final String PREFIX = "svc_";
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Map<String, Map<JobOutcome, LongAdder>> outcomes = new ConcurrentSkipListMap<>();
    private final LongAdder dispatches = new LongAdder();
    private final LongAdder clientDisconnects = new LongAdder();
    private final LongAdder successfulReloads = new LongAdder();
    private final LongAdder failedReloads = new LongAdder();
    private final AtomicInteger concurrentJobs = new AtomicInteger();
    private volatile long heldBytes;
    private volatile long maxHeldBytes;
    private volatile int heldJobs;
    private volatile int maxHeldJobs;
    private volatile int listedWorkers;
    private volatile int excludedWorkers;
    private volatile long listLeaseMs;
    private volatile int pausedConnections;

    /** Makes every class count from 0, even before its first job. The counts of removed classes stay. */
    public void registerClasses(List<String> names) {
        names.forEach(this::outcomesOf);
    }

    private Map<JobOutcome, LongAdder> outcomesOf(String className) {
        return outcomes.computeIfAbsent(className, k -> {
            Map<JobOutcome, LongAdder> counts = new EnumMap<>(JobOutcome.class);
            for (JobOutcome outcome : JobOutcome.values()) {
                counts.put(outcome, new LongAdder());
            }
            return counts;
        });
    }

    /** A job was accepted. */
    public void jobAccepted() {
        concurrentJobs.incrementAndGet();
    }

    /** An accepted job got its response. */
    public void jobCompleted(String className, int status) {
        concurrentJobs.decrementAndGet();
        JobOutcome outcome = status == OK ? JobOutcome.SUCCESS
            : status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE ? JobOutcome.OVERLOAD : JobOutcome.ERROR;
        outcomesOf(className).get(outcome).increment();
    }

    /** A job was rejected before it was accepted. */
    public void jobRejected(String className) {
        outcomesOf(className).get(JobOutcome.OVERLOAD).increment();
    }

    /** An accepted job ended because its client no longer waits for the response. */
    public void jobAbandoned() {
        concurrentJobs.decrementAndGet();
    }

    /** An accepted job ended because its client closed the connection. */
    public void clientDisconnected() {
        jobAbandoned();
        clientDisconnects.increment();
    }

    /** The number of clients' connections from which nothing is read at present. */
    public void setPausedConnections(int count) {
        pausedConnections = count;
    }

    /** The last byte of an attempt was written to a worker. */
    public void attemptDispatched() {
        dispatches.increment();
    }

    /** A configuration file was accepted or rejected at SIGHUP. */
    public void configurationReloaded(boolean accepted) {
        (accepted ? successfulReloads : failedReloads).increment();
    }

    /** The number of workers in the list, and how many of them the scheduling module excludes at present. */
    public void setWorkers(int listedCount, int excludedCount) {
        listedWorkers = listedCount;
        excludedWorkers = excludedCount;
    }

    /** How long new attempts may still start by the cached worker list, in ms; 0 if none may. */
    public void setListLease(long remainingMs) {
        listLeaseMs = remainingMs;
    }

    /** The bytes and jobs held, with their limits. */
    public void setHeld(long bytes, long maxBytes, int jobs, int maxJobs) {
        heldBytes = bytes;
        maxHeldBytes = maxBytes;
        heldJobs = jobs;
        maxHeldJobs = maxJobs;
    }

    /** All metrics in the Prometheus text format. */
    public String toPrometheusText() {
        StringBuilder out = new StringBuilder();
        for (JobOutcome outcome : JobOutcome.values()) {
            String name = appendType(out, outcome.name().toLowerCase(Locale.ROOT) + "_total", "counter");
            outcomes.forEach((type, counts) -> out.append(name).append("{type=\"").append(escapeLabel(type)).append("\"} ")
                .append(counts.get(outcome).sum()).append('\n'));
        }
        appendMetric(out, "dispatches_total", "counter", dispatches.sum());
        appendMetric(out, "client_disconnects_total", "counter", clientDisconnects.sum());
        appendMetric(out, "reading_paused", "gauge", pausedConnections);
        appendMetric(out, "concurrent", "gauge", concurrentJobs.get());
        appendMetric(out, "targets", "gauge", listedWorkers);
        appendMetric(out, "targets_disabled", "gauge", excludedWorkers);
        appendMetric(out, "list_lease_ms", "gauge", listLeaseMs);
        appendMetric(out, "held_bytes", "gauge", heldBytes);
        appendMetric(out, "held_bytes_max", "gauge", maxHeldBytes);
        appendMetric(out, "held_jobs", "gauge", heldJobs);
        appendMetric(out, "held_jobs_max", "gauge", maxHeldJobs);
        appendMetric(out, "reload_success_total", "counter", successfulReloads.sum());
        appendMetric(out, "reload_failure_total", "counter", failedReloads.sum());
        return out.toString();
    }

    private static void appendMetric(StringBuilder out, String name, String kind, long value) {
        out.append(appendType(out, name, kind)).append(' ').append(value).append('\n');
    }

    private static String appendType(StringBuilder out, String name, String kind) {
        out.append("# TYPE ").append(PREFIX).append(name).append(' ').append(kind).append('\n');
        return PREFIX + name;
    }

    private static String escapeLabel(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
