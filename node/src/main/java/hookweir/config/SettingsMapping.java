package hookweir.config;

import hookweir.Contract.DedupScope;
import hookweir.Contract.Idempotency;
import hookweir.Contract.LoadReportSource;
import hookweir.Contract.RequestClass;
import hookweir.Contract.Settings;
import hookweir.Contract.SizeMetric;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Maps settings, given as path=value pairs, to {@link Settings}. The adapter gets the pairs from the simulator, {@link ConfigReader} by
 * flattening JSON. Unknown keys are ignored; missing ones keep the defaults.
 */
public final class SettingsMapping {
    private static final int MAX_ITEMS = 10_000;

    /** Settings of the scheduling policy. */
    public final Settings policySettings = new Settings();
    /** Names of the values in a load report, in order. */
    public String[] reportFields = new String[0];
    /** Class names; the index of a class is its number. Classes removed by a reload keep theirs. */
    public final List<String> classNames = new ArrayList<>();
    /** Numbers of the classes in the current configuration, by name. */
    public final Map<String, Integer> classNumbers = new LinkedHashMap<>();
    /** Numbers of the tenants, by name; empty if requests have no owner. */
    public final Map<String, Integer> tenantNumbers = new LinkedHashMap<>();
    /** Zone names; the index of a zone is its number. */
    public String[] zoneNames = new String[0];
    /** Names of the kinds of worker; the index of a kind is its number. */
    public String[] kindNames = new String[0];
    /** Connection attempts that take longer count as failed. */
    public long connectTimeoutUs;
    /** Workers close connections that have been idle for this long. */
    public long connectionIdleTimeoutUs;

    private final Map<String, String> values;

    private SettingsMapping(Map<String, String> values) {
        this.values = values;
    }

    /** Maps the pairs; an invalid value is reported with its key. */
    public static SettingsMapping of(Map<String, String> values) throws InvalidSettingException {
        SettingsMapping mapping = new SettingsMapping(values);
        mapping.readAll();
        return mapping;
    }

    private void readAll() throws InvalidSettingException {
        Settings s = policySettings;
        int n = readCount("classes.count");
        for (int i = 0; i < n; i++) {
            s.classes.add(readClass("classes." + i + ".", i));
            s.longestDeadlineUs = Math.max(s.longestDeadlineUs, s.classes.get(i).deadlineUs);
            classNames.add(readText("classes." + i + ".name", ""));
            classNumbers.put(classNames.get(i), i);
        }
        n = readCount("orgs.count");
        s.tenantRatePerS = new double[n];
        for (int i = 0; i < n; i++) {
            readTenant("orgs." + i + ".", i);
        }
        s.schedulerIndex = (int) readLong("me", 0);
        s.schedulerCount = (int) readLong("instances", 1);
        s.zone = (int) readLong("zone", 0);
        s.pollList = readText("discovery", "push").equals("ask");
        s.maxPollIntervalUs = readLong("rules.ask_within_us", 0);
        s.drainGraceUs = readLong("rules.drain_grace_us", 0);
        s.coldCapacityShare = readShare("rules.cold_share", s.coldCapacityShare);
        s.warmUpUs = readLong("rules.warm_within_us", 0);
        s.collapseLoadFactor = readDouble("rules.fall_multiple", s.collapseLoadFactor);
        s.collapseAfterUs = readLong("rules.fall_us", s.collapseAfterUs);
        s.responseSlackUs = readLong("rules.answer_slack_us", 0);
        s.tickUs = readLong("tick_us", s.tickUs);
        s.maxAttempts = (int) readLong("limits.max_attempts", 1);
        s.concurrentAttemptsAllowed = readFlag("limits.second_copies");
        s.cancelAllowed = readFlag("limits.cancel");
        s.probesAllowed = readFlag("limits.probes");
        s.peerMessagesAllowed = readFlag("limits.peers");
        s.retryAfterAllowed = readFlag("limits.retry_after");
        s.maxRetryAfterUs = readLong("limits.max_retry_after_us", 0);
        s.loadReportSource = switch (readText("stats.via", "silent")) {
            case "piggyback" -> LoadReportSource.RESPONSES_AND_PROBES;
            case "pull" -> LoadReportSource.PROBES;
            default -> LoadReportSource.NONE;
        };
        s.sizeMetric = switch (readText("weights", "silent")) {
            case "live" -> SizeMetric.LIVE;
            case "nominal", "rough" -> SizeMetric.NOMINAL;
            default -> SizeMetric.NONE;
        };
        s.originFetchPrice = readDouble("prices.origin", 0);
        s.crossZonePrice = readDouble("prices.cross_zone", 0);
        s.probePrice = readDouble("prices.probe", 0);
        s.peerMessagePrice = readDouble("prices.peer", 0);
        s.wastedWorkPrice = readDouble("prices.waste", 0);
        s.lateFailurePrice = readDouble("prices.late_fail", 0);
        s.overShareValue = readShare("over_share_worth", 1);
        s.jobStartReported = readFlag("family_info.tells_start");
        s.progressIntervalUs = readLong("family_info.progress_us", 0);
        s.headOfLineBlocking = readText("family_info.queue_order", "fifo").equals("fifo");
        reportFields = readNames("stats.fields");
        zoneNames = readNames("zones");
        kindNames = readNames("kinds");
        connectTimeoutUs = readLong("limits.dial_timeout_us", 250_000);
        s.connectTimeoutUs = 2 * connectTimeoutUs; // the wait for a descriptor and the connection attempt
        connectionIdleTimeoutUs = readLong("limits.conn_idle_us", 15_000_000);
    }

    /**
     * Renumbers the classes for a running scheduler that reloads its settings. Jobs in progress keep the number that they were accepted
     * with, so a class that changed gets a new number, and the number of a removed class is not reused for another one. The longest deadline
     * remains that of the classes in the configuration.
     */
    void keepClassNumbersOf(SettingsMapping running) throws InvalidSettingException {
        if (!Arrays.equals(zoneNames, running.zoneNames) || !Arrays.equals(kindNames, running.kindNames)) {
            throw new InvalidSettingException(Arrays.equals(zoneNames, running.zoneNames) ? "kinds" : "zones",
                "can't change without a restart: the worker list refers to its entries by number");
        }
        List<RequestClass> classes = new ArrayList<>(running.policySettings.classes);
        List<String> names = new ArrayList<>(running.classNames);
        for (Map.Entry<String, Integer> e : classNumbers.entrySet()) {
            RequestClass c = policySettings.classes.get(e.getValue());
            int number = classes.size() - 1;
            while (number >= 0 && !(names.get(number).equals(e.getKey()) && sameDefinition(classes.get(number), c))) {
                number--;
            }
            if (number < 0) {
                number = classes.size();
                classes.add(c);
                names.add(e.getKey());
            }
            e.setValue(number);
        }
        policySettings.classes.clear();
        policySettings.classes.addAll(classes);
        classNames.clear();
        classNames.addAll(names);
    }

    private static boolean sameDefinition(RequestClass a, RequestClass b) {
        return a.softDeadlineUs == b.softDeadlineUs && a.softDeadlineStretch == b.softDeadlineStretch && a.deadlineUs == b.deadlineUs && a.value == b.value
            && a.lateValueShare == b.lateValueShare && a.idempotency == b.idempotency && a.dedupScope == b.dedupScope && a.dedupWindowUs == b.dedupWindowUs
            && a.requiredKind == b.requiredKind && a.priority == b.priority;
    }

    private void readTenant(String path, int index) throws InvalidSettingException {
        String name = readText(path + "name", "");
        if (!name.isEmpty() && tenantNumbers.putIfAbsent(name, index) != null) {
            throw new InvalidSettingException(path + "name", "repeats the name '" + name + "'");
        }
        policySettings.tenantRatePerS[index] = readDouble(path + "allowance_per_s", 0);
        if (policySettings.tenantRatePerS[index] < 0) {
            throw unusable(path + "allowance_per_s", values.get(path + "allowance_per_s"));
        }
        readShare(path + "portion", 0);
    }

    /** Reads a fraction from 0 to 1. */
    private double readShare(String key, double defaultValue) throws InvalidSettingException {
        double v = readDouble(key, defaultValue);
        if (v < 0 || v > 1) {
            throw new InvalidSettingException(key, "must be a share from 0 to 1, not '" + values.get(key) + "'");
        }
        return v;
    }

    private RequestClass readClass(String path, int index) throws InvalidSettingException {
        RequestClass c = new RequestClass();
        c.softDeadlineUs = readLong(path + "aim_us", c.softDeadlineUs);
        c.softDeadlineStretch = readDouble(path + "aim_stretch", readListItem("family_info.class_stretch", index, 0));
        c.deadlineUs = readLong(path + "deadline_us", c.deadlineUs);
        c.value = readDouble(path + "importance", 1);
        c.lateValueShare = readDouble(path + "late_value", 0);
        c.dedupWindowUs = readLong(path + "window_us", 0);
        c.requiredKind = (int) readListItem("family_info.class_kind", index, -1);
        c.priority = (int) readListItem("family_info.class_priority", index, 0);
        String effect = readText(path + "semantics", "non_idempotent");
        c.idempotency = switch (effect) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.KEYED;
            case "non_idempotent" -> Idempotency.NON_IDEMPOTENT;
            default -> throw unusable(path + "semantics", effect);
        };
        String scope = readText(path + "key_scope", "cell");
        c.dedupScope = switch (scope) {
            case "all" -> DedupScope.ALL;
            case "zone" -> DedupScope.ZONE;
            case "cell" -> DedupScope.CELL;
            default -> throw unusable(path + "key_scope", scope);
        };
        return c;
    }

    private static InvalidSettingException unusable(String key, String value) {
        return new InvalidSettingException(key, "has the unusable value '" + value + "'");
    }

    private String[] readNames(String key) {
        String list = readText(key, "");
        return list.isEmpty() ? new String[0] : list.split(",");
    }

    private String readText(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    private boolean readFlag(String key) throws InvalidSettingException {
        String v = values.get(key);
        if (v == null || v.equals("false")) {
            return false;
        }
        if (v.equals("true")) {
            return true;
        }
        throw unusable(key, v);
    }

    private int readCount(String key) throws InvalidSettingException {
        long n = readLong(key, 0);
        if (n < 0 || n > MAX_ITEMS) {
            throw unusable(key, values.get(key));
        }
        return (int) n;
    }

    private long readLong(String key, long defaultValue) throws InvalidSettingException {
        String v = values.get(key);
        if (v == null || v.isEmpty()) {
            return defaultValue;
        }
        try {
            return Long.parseLong(v);
        } catch (NumberFormatException e) {
            return (long) parseDouble(key, v);
        }
    }

    private double readDouble(String key, double defaultValue) throws InvalidSettingException {
        String v = values.get(key);
        return v == null || v.isEmpty() ? defaultValue : parseDouble(key, v);
    }

    private double readListItem(String key, int index, double defaultValue) throws InvalidSettingException {
        String v = values.get(key);
        if (v == null || v.isEmpty()) {
            return defaultValue;
        }
        String[] parts = v.split(",");
        return index < parts.length ? parseDouble(key, parts[index]) : defaultValue;
    }

    private double parseDouble(String key, String v) throws InvalidSettingException {
        try {
            double d = Double.parseDouble(v);
            if (Double.isFinite(d)) {
                return d;
            }
        } catch (NumberFormatException e) {
            // reported below, as infinite numbers are
        }
        throw unusable(key, v);
    }
}
