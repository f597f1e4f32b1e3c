package hookweir.config;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The one place where configuration is read, checked and given defaults. */
public final class ConfigReader {
    private static final int DEFAULT_MAX_DESCRIPTORS = 1024;
    private static final int MIN_MAX_DESCRIPTORS = 64;
    /** One body of the largest size must fit into what jobs may take. */
    private static final int MIN_HELD_BYTES = 256 * 1024;
    private static final int MIN_HELD_JOBS = 16;
    private static final double HELD_SHARE_OF_HEAP = 0.3;
    /** What a job takes beside its body: its request, the module's own, its attempt and its link. */
    private static final int OVERHEAD_BYTES_PER_JOB = 4096;

    private ConfigReader() {
    }

    /** Reads the file that RELAY_CONFIG names; the other RELAY_ variables, where set, win over its keys. */
    public static Config fromEnvironment(Map<String, String> env) throws InvalidSettingException {
        String file = env.get("RELAY_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidSettingException("RELAY_CONFIG", "is not set: it names the configuration file");
        }
        return fromFile(Path.of(file), env);
    }

    /**
     * Reads the file anew for a scheduler that runs: what was told by variable at the start stands, but for
     * discovery, as the file may name another by now. A key that the running configuration has and this one lacks is
     * a fault, as a default in its place would change what nobody asked to change.
     */
    public static Config reload(Map<String, String> env, Config running) throws InvalidSettingException {
        Map<String, String> told = new HashMap<>(env);
        told.remove("RELAY_DISCOVERY");
        Config next = fromEnvironment(told);
        checkReloadable("", running.sourceJson(), next.sourceJson());
        next.settings().keepClassNumbersOf(running.settings());
        return next;
    }

    private static void checkReloadable(String path, JsonNode running, JsonNode next) throws InvalidSettingException {
        String dot = path.isEmpty() ? "" : path + ".";
        if (running.isNumber() && !next.isNumber() || running.isObject() && !next.isObject() || running.isArray() && !next.isArray()) {
            throw new InvalidSettingException(path, "is not of the kind that the running configuration has");
        }
        for (Map.Entry<String, JsonNode> e : running.properties()) {
            if (!next.hasNonNull(e.getKey()) && !e.getValue().isNull()) {
                throw new InvalidSettingException(dot + e.getKey(), "is missing, and the running configuration has it");
            }
            if (!path.isEmpty() || !e.getKey().equals("known")) { // workers come and go
                checkReloadable(dot + e.getKey(), e.getValue(), next.path(e.getKey()));
            }
        }
        if (running.isArray() && !running.isEmpty() && running.get(0).isObject()) {
            ObjectNode common = running.get(0).deepCopy(); // what each has of a list whose items may come and go
            running.forEach(item -> common.retain(fieldNames(item)));
            for (int i = 0; i < next.size(); i++) {
                checkReloadable(dot + i, common, next.get(i));
            }
        }
    }

    private static List<String> fieldNames(JsonNode object) {
        List<String> names = new ArrayList<>();
        object.fieldNames().forEachRemaining(names::add);
        return names;
    }

    /** Reads one file. */
    public static Config fromFile(Path file, Map<String, String> env) throws InvalidSettingException {
        JsonNode root;
        try {
            root = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new InvalidSettingException("RELAY_CONFIG", "names a file that can't be read as JSON: " + e.getMessage());
        }
        return parse(root, env);
    }

    /** Checks a parsed configuration. */
    static Config parse(JsonNode root, Map<String, String> env) throws InvalidSettingException {
        if (root == null || !root.isObject()) {
            throw new InvalidSettingException("RELAY_CONFIG", "must hold a JSON object");
        }
        JsonNode nested = root.path("settings");
        if (!nested.isObject()) {
            throw new InvalidSettingException("settings", "must be an object");
        }
        Map<String, String> pairs = new HashMap<>();
        flatten("", nested, pairs);
        SettingsMapping settings = SettingsMapping.of(pairs);
        if (settings.policySettings.classes.isEmpty()) {
            throw new InvalidSettingException("settings.classes", "must list at least one class");
        }
        for (int i = 0; i < settings.policySettings.classes.size(); i++) {
            if (settings.policySettings.classes.get(i).deadlineUs <= 0) {
                throw new InvalidSettingException("classes." + i + ".deadline_us", "must be above 0");
            }
        }
        for (int i = 0; i < settings.policySettings.tenantRatePerS.length; i++) {
            if (!settings.tenantNumbers.containsValue(i)) {
                throw new InvalidSettingException("orgs." + i + ".name", "is missing"); // clients' requests say whose they are by it
            }
        }
        if (settings.policySettings.maxAttempts <= 0) {
            throw new InvalidSettingException("limits.max_attempts", "must be above 0");
        }
        if (settings.connectTimeoutUs <= 0) {
            throw new InvalidSettingException("limits.dial_timeout_us", "must be above 0");
        }
        if (settings.connectionIdleTimeoutUs <= 0) {
            throw new InvalidSettingException("limits.conn_idle_us", "must be above 0");
        }
        JsonNode known = root.path("known");
        if (!known.isMissingNode() && !known.isNull() && !known.path("servers").isArray()) {
            throw new InvalidSettingException("known", "must hold a list 'servers'");
        }
        boolean handover = readHandover(root, env);
        InetSocketAddress listen = requireAddress("listen", readText(root, "listen", env, "RELAY_LISTEN", ""));
        String admin = readText(root, "admin_addr", env, "RELAY_ADMIN_ADDR", "");
        return new Config(readText(root, "name", env, "RELAY_NAME", "hookweir"),
            listen,
            admin.isEmpty() ? null : requireAddress("admin_addr", admin),
            requireAddress("discovery", readText(root, "discovery", env, "RELAY_DISCOVERY", "")),
            readSeed(root), readMaxDescriptors(root), readLimit(root, "held_bytes", MIN_HELD_BYTES, ProcessLimits.maxHeapBytes() * HELD_SHARE_OF_HEAP),
            (int) readLimit(root, "held_jobs", MIN_HELD_JOBS, ProcessLimits.maxHeapBytes() * HELD_SHARE_OF_HEAP / OVERHEAD_BYTES_PER_JOB), known.isObject() ? known : null, settings,
            readInherited(env), handover, readInherited(env) && handover ? handoverSocketPath(env, listen) : null, root);
    }

    /** A platform that hands on a listening socket says so by its descriptor; the class library inherits 0 only. */
    private static boolean readInherited(Map<String, String> env) throws InvalidSettingException {
        String descriptor = env.getOrDefault("RELAY_FD", "");
        if (!descriptor.isEmpty() && !descriptor.equals("0")) {
            throw new InvalidSettingException("RELAY_FD", "must be 0, the one descriptor that can be inherited, not '" + descriptor + "'");
        }
        return !descriptor.isEmpty();
    }

    /** Off where the platform refuses Unix sockets, or nobody should come to one. */
    private static boolean readHandover(JsonNode root, Map<String, String> env) throws InvalidSettingException {
        String variable = env.getOrDefault("RELAY_HANDOVER", "");
        JsonNode key = root.path("upgrade").path("handover");
        String told = variable.isEmpty() ? key.isMissingNode() || key.isNull() ? "on" : key.asText() : variable;
        if (!told.equals("on") && !told.equals("off")) {
            throw new InvalidSettingException(variable.isEmpty() ? "upgrade.handover" : "RELAY_HANDOVER", "must be on or off, not '" + told + "'");
        }
        return told.equals("on");
    }

    /** As short as it can be: the system takes some hundred bytes of it. */
    private static Path handoverSocketPath(Map<String, String> env, InetSocketAddress listen) {
        String folder = env.getOrDefault("TMPDIR", "");
        Path name = Path.of(folder.isEmpty() ? System.getProperty("java.io.tmpdir") : folder,
            "hw-" + Integer.toHexString(listen.hashCode())).toAbsolutePath();
        Path near = Path.of("").toAbsolutePath().relativize(name);
        return near.toString().length() < name.toString().length() ? near : name;
    }

    /** What the system lets the process hold counts, however much more it was promised. */
    private static int readMaxDescriptors(JsonNode root) throws InvalidSettingException {
        long told = readLimit(root, "sockets", MIN_MAX_DESCRIPTORS, DEFAULT_MAX_DESCRIPTORS);
        return (int) Math.max(MIN_MAX_DESCRIPTORS, Math.min(told, ProcessLimits.maxOpenFiles()));
    }

    private static long readLimit(JsonNode root, String key, int least, double otherwise) throws InvalidSettingException {
        JsonNode n = root.path("limits").path(key);
        if (n.isMissingNode() || n.isNull()) {
            return (long) Math.max(least, otherwise);
        }
        if (!n.isNumber() || n.asLong() < least || n.asLong() > Integer.MAX_VALUE) {
            throw new InvalidSettingException("limits." + key, "must be a number of at least " + least);
        }
        return n.asLong();
    }

    private static long readSeed(JsonNode root) throws InvalidSettingException {
        JsonNode n = root.path("seed");
        if (n.isMissingNode() || n.isNull()) {
            return System.nanoTime();
        }
        try {
            return n.isNumber() ? n.asLong() : Long.parseUnsignedLong(n.asText(), 16);
        } catch (NumberFormatException e) {
            throw new InvalidSettingException("seed", "must be a number or up to 16 hex digits");
        }
    }

    private static String readText(JsonNode root, String key, Map<String, String> env, String variable,
            String otherwise) {
        String told = env.get(variable);
        return told != null && !told.isEmpty() ? told : root.path(key).asText(otherwise);
    }

    /** A host:port pair; the host is an address, as there is no DNS. */
    static InetSocketAddress requireAddress(String key, String text) throws InvalidSettingException {
        InetSocketAddress at = parseAddress(text);
        if (at == null) {
            throw new InvalidSettingException(key, "must be ADDRESS:PORT, not '" + text + "'");
        }
        return at;
    }

    /** Null where the text is no ADDRESS:PORT with a numeric address, as no name can be resolved here. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || colon == text.length() - 1 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            return null;
        }
        try {
            InetSocketAddress at = new InetSocketAddress(text.substring(0, colon),
                Integer.parseInt(text.substring(colon + 1)));
            return at.isUnresolved() ? null : at;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Nested JSON as the wire has it: plain lists joined with commas, lists of objects counted and numbered. */
    static void flatten(String path, JsonNode node, Map<String, String> into) {
        String dot = path.isEmpty() ? "" : path + ".";
        if (node.isObject()) {
            for (Map.Entry<String, JsonNode> e : node.properties()) {
                flatten(dot + e.getKey(), e.getValue(), into);
            }
        } else if (node.isArray() && !node.isEmpty() && node.get(0).isContainerNode()) {
            into.put(dot + "count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(dot + i, node.get(i), into);
            }
        } else if (node.isArray()) {
            StringBuilder joined = new StringBuilder();
            for (JsonNode item : node) {
                joined.append(joined.length() == 0 ? "" : ",").append(toWireToken(item.asText()));
            }
            into.put(path, joined.toString());
        } else if (!node.isNull()) {
            into.put(path, toWireToken(node.asText()));
        }
    }

    /** A value as the wire would carry it: spaces and commas become underscores. */
    public static String toWireToken(String value) {
        return value.replace(' ', '_').replace(',', '_');
    }
}
