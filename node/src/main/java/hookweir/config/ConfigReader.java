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

/** Reads and validates the configuration and applies its defaults. */
public final class ConfigReader {
    private static final int DEFAULT_MAX_DESCRIPTORS = 1024;
    private static final int MIN_MAX_DESCRIPTORS = 64;
    /** Large enough that a body of the maximum size fits into the share for job bodies. */
    private static final int MIN_HELD_BYTES = 256 * 1024;
    private static final int MIN_HELD_JOBS = 16;
    private static final double HELD_SHARE_OF_HEAP = 0.3;
    /** Memory per job beside its body: its request, the policy's state, its attempt and its connection. */
    private static final int OVERHEAD_BYTES_PER_JOB = 4096;

    private ConfigReader() {
    }

    /** Reads the file that RELAY_CONFIG names; the other RELAY_ variables, if set, override its keys. */
    public static Config fromEnvironment(Map<String, String> env) throws InvalidSettingException {
        String file = env.get("RELAY_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidSettingException("RELAY_CONFIG", "is not set: it must name the configuration file");
        }
        return fromFile(Path.of(file), env);
    }

    /**
     * Reloads the file for a running scheduler. Environment variables still override it, except for RELAY_DISCOVERY, as the file may
     * name another list service by now. It is an error if a key of the running configuration is missing: applying the default instead would
     * change a setting that nobody meant to change.
     */
    public static Config reload(Map<String, String> env, Config running) throws InvalidSettingException {
        Map<String, String> overrides = new HashMap<>(env);
        overrides.remove("RELAY_DISCOVERY");
        Config next = fromEnvironment(overrides);
        checkReloadable("", running.sourceJson(), next.sourceJson());
        next.settings().keepClassNumbersOf(running.settings());
        return next;
    }

    private static void checkReloadable(String path, JsonNode running, JsonNode next) throws InvalidSettingException {
        String dot = path.isEmpty() ? "" : path + ".";
        if (running.isNumber() && !next.isNumber() || running.isObject() && !next.isObject() || running.isArray() && !next.isArray()) {
            throw new InvalidSettingException(path, "does not have the same JSON type as in the running configuration");
        }
        for (Map.Entry<String, JsonNode> e : running.properties()) {
            if (!next.hasNonNull(e.getKey()) && !e.getValue().isNull()) {
                throw new InvalidSettingException(dot + e.getKey(), "is missing, but the running configuration has it");
            }
            if (!path.isEmpty() || !e.getKey().equals("known")) { // the set of workers may change
                checkReloadable(dot + e.getKey(), e.getValue(), next.path(e.getKey()));
            }
        }
        if (running.isArray() && !running.isEmpty() && running.get(0).isObject()) {
            ObjectNode common = running.get(0).deepCopy(); // the keys that all items have; the number of items may change
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

    /** Reads a configuration file. */
    public static Config fromFile(Path file, Map<String, String> env) throws InvalidSettingException {
        JsonNode root;
        try {
            root = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).readTree(Files.readAllBytes(file));
        } catch (IOException e) {
            throw new InvalidSettingException("RELAY_CONFIG", "names a file that can't be read as JSON: " + e.getMessage());
        }
        return parse(root, env);
    }

    /** Validates a parsed configuration. */
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
                throw new InvalidSettingException("orgs." + i + ".name", "is missing"); // requests name their owner by it
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
            readSeed(root),
            readMaxDescriptors(root),
            readLimit(root, "held_bytes", MIN_HELD_BYTES, ProcessLimits.maxHeapBytes() * HELD_SHARE_OF_HEAP),
            (int) readLimit(root, "held_jobs", MIN_HELD_JOBS, ProcessLimits.maxHeapBytes() * HELD_SHARE_OF_HEAP / OVERHEAD_BYTES_PER_JOB),
            known.isObject() ? known : null,
            settings,
            readInherited(env), handover, readInherited(env) && handover ? handoverSocketPath(env, listen) : null, root);
    }

    /** The platform names the descriptor of a listening socket that it passes on; Java can inherit descriptor 0 only. */
    private static boolean readInherited(Map<String, String> env) throws InvalidSettingException {
        String descriptor = env.getOrDefault("RELAY_FD", "");
        if (!descriptor.isEmpty() && !descriptor.equals("0")) {
            throw new InvalidSettingException("RELAY_FD", "must be 0, the only descriptor that can be inherited, not '" + descriptor + "'");
        }
        return !descriptor.isEmpty();
    }

    /** Handover can be disabled where the platform does not permit Unix sockets or nobody should be able to connect to one. */
    private static boolean readHandover(JsonNode root, Map<String, String> env) throws InvalidSettingException {
        String variable = env.getOrDefault("RELAY_HANDOVER", "");
        JsonNode key = root.path("upgrade").path("handover");
        String value = variable.isEmpty() ? key.isMissingNode() || key.isNull() ? "on" : key.asText() : variable;
        if (!value.equals("on") && !value.equals("off")) {
            throw new InvalidSettingException(variable.isEmpty() ? "upgrade.handover" : "RELAY_HANDOVER", "must be on or off, not '" + value + "'");
        }
        return value.equals("on");
    }

    /** Returns the shorter of the absolute and the relative path, as the system limits the path of a Unix socket to about 100 bytes. */
    private static Path handoverSocketPath(Map<String, String> env, InetSocketAddress listen) {
        String directory = env.getOrDefault("TMPDIR", "");
        Path absolute = Path.of(directory.isEmpty() ? System.getProperty("java.io.tmpdir") : directory,
            "hw-" + Integer.toHexString(listen.hashCode())).toAbsolutePath();
        Path relative = Path.of("").toAbsolutePath().relativize(absolute);
        return relative.toString().length() < absolute.toString().length() ? relative : absolute;
    }

    /** The configured number is capped at the system's limit for this process. */
    private static int readMaxDescriptors(JsonNode root) throws InvalidSettingException {
        long configured = readLimit(root, "sockets", MIN_MAX_DESCRIPTORS, DEFAULT_MAX_DESCRIPTORS);
        return (int) Math.max(MIN_MAX_DESCRIPTORS, Math.min(configured, ProcessLimits.maxOpenFiles()));
    }

    private static long readLimit(JsonNode root, String key, int min, double defaultValue) throws InvalidSettingException {
        JsonNode n = root.path("limits").path(key);
        if (n.isMissingNode() || n.isNull()) {
            return (long) Math.max(min, defaultValue);
        }
        if (!n.isNumber() || n.asLong() < min || n.asLong() > Integer.MAX_VALUE) {
            throw new InvalidSettingException("limits." + key, "must be a number of at least " + min);
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
            String defaultValue) {
        String override = env.get(variable);
        return override != null && !override.isEmpty() ? override : root.path(key).asText(defaultValue);
    }

    /** Parses a host:port pair; the host is a numeric address, as no DNS is available. */
    static InetSocketAddress requireAddress(String key, String text) throws InvalidSettingException {
        InetSocketAddress address = parseAddress(text);
        if (address == null) {
            throw new InvalidSettingException(key, "must be ADDRESS:PORT, not '" + text + "'");
        }
        return address;
    }

    /** Parses ADDRESS:PORT; returns null if the address is not numeric, as names can't be resolved here. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || colon == text.length() - 1 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            return null;
        }
        try {
            InetSocketAddress address = new InetSocketAddress(text.substring(0, colon),
                Integer.parseInt(text.substring(colon + 1)));
            return address.isUnresolved() ? null : address;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Flattens nested JSON to the simulator's format: lists of scalars are joined with commas, lists of objects get a count and indices. */
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

    /** Converts a value to the simulator's format: spaces and commas become underscores. */
    public static String toWireToken(String value) {
        return value.replace(' ', '_').replace(',', '_');
    }
}
