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
 * The one mapping from settings, as path=value pairs, to {@link Settings}: the adapter gets the pairs from the
 * wire, {@link ConfigReader} by flattening JSON. Unknown keys are ignored; missing ones keep the defaults.
 */
public final class SettingsMapping {
    private static final int MOST_ITEMS = 10_000;

    /** What the module is told. */
    public final Settings settings = new Settings();
    /** Names of a load report's figures, in their order. */
    public String[] reportFields = new String[0];
    /** Class, zone and kind names; a name's place is its number. Classes that are gone keep theirs. */
    public final List<String> classNames = new ArrayList<>();
    /** The numbers of the classes that there are now. */
    public final Map<String, Integer> classNumbers = new LinkedHashMap<>();
    /** The numbers of the tenants; none where requests have no owner. */
    public final Map<String, Integer> tenantNumbers = new LinkedHashMap<>();
    public String[] zones = new String[0];
    public String[] kinds = new String[0];
    /** A connection not up by then counts as failed. */
    public long dialTimeoutUs;
    /** Idle connections are closed by the worker's machine after this. */
    public long connIdleUs;

    private final Map<String, String> values;

    private SettingsMapping(Map<String, String> values) {
        this.values = values;
    }

    /** Maps the pairs; a value that can't be used is reported with its key. */
    public static SettingsMapping of(Map<String, String> values) throws BadSetting {
        SettingsMapping p = new SettingsMapping(values);
        p.read();
        return p;
    }

    private void read() throws BadSetting {
        Settings s = settings;
        int n = count("classes.count");
        for (int i = 0; i < n; i++) {
            s.classes.add(readClass("classes." + i + ".", i));
            classNames.add(word("classes." + i + ".name", ""));
            classNumbers.put(classNames.get(i), i);
        }
        n = count("orgs.count");
        s.tenantRatePerS = new double[n];
        for (int i = 0; i < n; i++) {
            readTenant("orgs." + i + ".", i);
        }
        s.schedulerIndex = (int) whole("me", 0);
        s.schedulerCount = (int) whole("instances", 1);
        s.zone = (int) whole("zone", 0);
        s.pollList = word("discovery", "push").equals("ask");
        s.maxPollIntervalUs = whole("rules.ask_within_us", 0);
        s.drainGraceUs = whole("rules.drain_grace_us", 0);
        s.coldCapacityShare = share("rules.cold_share", s.coldCapacityShare);
        s.warmUpUs = whole("rules.warm_within_us", 0);
        s.collapseLoadFactor = number("rules.fall_multiple", s.collapseLoadFactor);
        s.collapseAfterUs = whole("rules.fall_us", s.collapseAfterUs);
        s.responseSlackUs = whole("rules.answer_slack_us", 0);
        s.tickUs = whole("tick_us", s.tickUs);
        s.maxAttempts = (int) whole("limits.max_attempts", 1);
        s.concurrentAttemptsAllowed = flag("limits.second_copies");
        s.cancelAllowed = flag("limits.cancel");
        s.probesAllowed = flag("limits.probes");
        s.peerMessagesAllowed = flag("limits.peers");
        s.retryAfterAllowed = flag("limits.retry_after");
        s.maxRetryAfterUs = whole("limits.max_retry_after_us", 0);
        s.loadReportSource = switch (word("stats.via", "silent")) {
            case "piggyback" -> LoadReportSource.RESPONSES_AND_PROBES;
            case "pull" -> LoadReportSource.PROBES;
            default -> LoadReportSource.NONE;
        };
        s.sizeMetric = switch (word("weights", "silent")) {
            case "live" -> SizeMetric.LIVE;
            case "nominal", "rough" -> SizeMetric.NOMINAL;
            default -> SizeMetric.NONE;
        };
        s.originFetchPrice = number("prices.origin", 0);
        s.crossZonePrice = number("prices.cross_zone", 0);
        s.probePrice = number("prices.probe", 0);
        s.peerMessagePrice = number("prices.peer", 0);
        s.wastedWorkPrice = number("prices.waste", 0);
        s.lateFailurePrice = number("prices.late_fail", 0);
        s.overShareValue = share("over_share_worth", 1);
        s.jobStartReported = flag("family_info.tells_start");
        s.progressIntervalUs = whole("family_info.progress_us", 0);
        s.headOfLineBlocking = word("family_info.queue_order", "fifo").equals("fifo");
        reportFields = names("stats.fields");
        zones = names("zones");
        kinds = names("kinds");
        dialTimeoutUs = whole("limits.dial_timeout_us", 250_000);
        s.connectTimeoutUs = 2 * dialTimeoutUs; // the wait for a descriptor, and the dial
        connIdleUs = whole("limits.conn_idle_us", 15_000_000);
    }

    /**
     * Numbers the classes for a scheduler that runs with other settings: jobs under way keep the number that they came
     * with, so a class that changed gets a new one, and one that is gone leaves its own unused.
     */
    void continues(SettingsMapping running) throws BadSetting {
        if (!Arrays.equals(zones, running.zones) || !Arrays.equals(kinds, running.kinds)) {
            throw new BadSetting(Arrays.equals(zones, running.zones) ? "kinds" : "zones", "can't change while serving: the list is numbered by it");
        }
        List<RequestClass> classes = new ArrayList<>(running.settings.classes);
        List<String> names = new ArrayList<>(running.classNames);
        for (Map.Entry<String, Integer> e : classNumbers.entrySet()) {
            RequestClass c = settings.classes.get(e.getValue());
            int number = classes.size() - 1;
            while (number >= 0 && !(names.get(number).equals(e.getKey()) && alike(classes.get(number), c))) {
                number--;
            }
            if (number < 0) {
                number = classes.size();
                classes.add(c);
                names.add(e.getKey());
            }
            e.setValue(number);
        }
        settings.classes.clear();
        settings.classes.addAll(classes);
        classNames.clear();
        classNames.addAll(names);
    }

    private static boolean alike(RequestClass a, RequestClass b) {
        return a.softDeadlineUs == b.softDeadlineUs && a.softDeadlineStretch == b.softDeadlineStretch && a.deadlineUs == b.deadlineUs && a.value == b.value
            && a.lateValueShare == b.lateValueShare && a.idempotency == b.idempotency && a.dedupScope == b.dedupScope && a.dedupWindowUs == b.dedupWindowUs
            && a.requiredKind == b.requiredKind && a.priority == b.priority;
    }

    private void readTenant(String path, int index) throws BadSetting {
        String name = word(path + "name", "");
        if (!name.isEmpty() && tenantNumbers.putIfAbsent(name, index) != null) {
            throw new BadSetting(path + "name", "names '" + name + "', which an earlier one does");
        }
        settings.tenantRatePerS[index] = number(path + "allowance_per_s", 0);
        if (settings.tenantRatePerS[index] < 0) {
            throw bad(path + "allowance_per_s", values.get(path + "allowance_per_s"));
        }
        share(path + "portion", 0);
    }

    /** A share of something, from 0 to 1. */
    private double share(String key, double otherwise) throws BadSetting {
        double v = number(key, otherwise);
        if (v < 0 || v > 1) {
            throw new BadSetting(key, "must be a share from 0 to 1, not '" + values.get(key) + "'");
        }
        return v;
    }

    private RequestClass readClass(String path, int index) throws BadSetting {
        RequestClass c = new RequestClass();
        c.softDeadlineUs = whole(path + "aim_us", c.softDeadlineUs);
        c.softDeadlineStretch = number(path + "aim_stretch", item("family_info.class_stretch", index, 0));
        c.deadlineUs = whole(path + "deadline_us", c.deadlineUs);
        c.value = number(path + "importance", 1);
        c.lateValueShare = number(path + "late_value", 0);
        c.dedupWindowUs = whole(path + "window_us", 0);
        c.requiredKind = (int) item("family_info.class_kind", index, -1);
        c.priority = (int) item("family_info.class_priority", index, 0);
        String effect = word(path + "semantics", "non_idempotent");
        c.idempotency = switch (effect) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.KEYED;
            case "non_idempotent" -> Idempotency.NON_IDEMPOTENT;
            default -> throw bad(path + "semantics", effect);
        };
        String scope = word(path + "key_scope", "cell");
        c.dedupScope = switch (scope) {
            case "all" -> DedupScope.ALL;
            case "zone" -> DedupScope.ZONE;
            case "cell" -> DedupScope.CELL;
            default -> throw bad(path + "key_scope", scope);
        };
        return c;
    }

    private static BadSetting bad(String key, String value) {
        return new BadSetting(key, "has the unusable value '" + value + "'");
    }

    private String[] names(String key) {
        String list = word(key, "");
        return list.isEmpty() ? new String[0] : list.split(",");
    }

    private String word(String key, String otherwise) {
        return values.getOrDefault(key, otherwise);
    }

    private boolean flag(String key) throws BadSetting {
        String v = values.get(key);
        if (v == null || v.equals("false")) {
            return false;
        }
        if (v.equals("true")) {
            return true;
        }
        throw bad(key, v);
    }

    private int count(String key) throws BadSetting {
        long n = whole(key, 0);
        if (n < 0 || n > MOST_ITEMS) {
            throw bad(key, values.get(key));
        }
        return (int) n;
    }

    private long whole(String key, long otherwise) throws BadSetting {
        String v = values.get(key);
        if (v == null || v.isEmpty()) {
            return otherwise;
        }
        try {
            return Long.parseLong(v);
        } catch (NumberFormatException e) {
            return (long) parse(key, v);
        }
    }

    private double number(String key, double otherwise) throws BadSetting {
        String v = values.get(key);
        return v == null || v.isEmpty() ? otherwise : parse(key, v);
    }

    private double item(String key, int index, double otherwise) throws BadSetting {
        String v = values.get(key);
        if (v == null || v.isEmpty()) {
            return otherwise;
        }
        String[] parts = v.split(",");
        return index < parts.length ? parse(key, parts[index]) : otherwise;
    }

    private double parse(String key, String v) throws BadSetting {
        try {
            double d = Double.parseDouble(v);
            if (Double.isFinite(d)) {
                return d;
            }
        } catch (NumberFormatException e) {
            // falls through to the plain message
        }
        throw bad(key, v);
    }
}
