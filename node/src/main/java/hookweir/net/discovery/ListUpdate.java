package hookweir.net.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hookweir.Contract.Worker;
import hookweir.Contract.WorkerState;
import hookweir.config.ConfigReader;
import hookweir.net.Invariants;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * An object sent by the list service: the whole worker list, or the entries that changed.
 *
 * @param version the version of the list
 * @param full whether the object contains all workers
 * @param entries the workers
 */
public record ListUpdate(long version, boolean full, List<Entry> entries) {
    /** A worker as the scheduling module sees it, with its name and address for connections. */
    public record Entry(String name, InetSocketAddress address, Worker worker) {
    }

    /** Parses updates from JSON. Numbers zones and kinds by their position in the settings, and workers while they are listed. */
    public static final class Parser {
        private static final ObjectMapper JSON = new ObjectMapper();
        /** The clocks of one fleet differ by less than this. */
        private static final long MAX_CLOCK_SKEW_US = 1_000_000;

        private final NameNumbers zones;
        private final NameNumbers kinds;
        private final WorkerIds ids = new WorkerIds();
        private final ListErrorLog errorLog;
        private final LongSupplier nowUs;

        /**
         * Creates a parser with the names of zones and kinds from the settings.
         *
         * @param nowUs the wall clock, Unix time in µs
         */
        public Parser(String[] zones, String[] kinds, Invariants invariants, LongSupplier nowUs) {
            this.nowUs = nowUs;
            this.zones = new NameNumbers(zones);
            this.kinds = new NameNumbers(kinds);
            errorLog = new ListErrorLog(invariants);
        }

        /** Returns the number of workers listed by the last whole list and the changes since. */
        public int workerCount() {
            return ids.size();
        }

        ListErrorLog errorLog() {
            return errorLog;
        }

        /** Parses one line; returns null and reports an error if it is not a valid list object. */
        public ListUpdate parse(byte[] line) {
            try {
                return parse(JSON.readTree(line));
            } catch (IOException e) {
                errorLog.report("discovery bad line", new String(line, StandardCharsets.ISO_8859_1), "is not valid JSON");
                return null;
            }
        }

        /**
         * Converts one object; returns null and reports an error if it is not a valid list object, or if it has entries but none of
         * them is valid, so that a faulty list is not taken for an empty fleet. Single invalid entries are skipped; of two
         * entries for one id the later is used.
         */
        public ListUpdate parse(JsonNode object) {
            if (object == null || !object.path("version").isIntegralNumber() || !object.path("servers").isArray()) {
                errorLog.report("discovery bad line", String.valueOf(object), "lacks an integer 'version' or an array 'servers'");
                return null;
            }
            Map<String, Entry> byName = new LinkedHashMap<>();
            for (JsonNode node : object.get("servers")) {
                Entry entry = parseEntry(node);
                if (entry != null && byName.remove(entry.name()) != null) {
                    errorLog.report("discovery entry twice", entry.name(), "is listed twice in one object; the later entry is used");
                }
                if (entry != null) {
                    byName.put(entry.name(), entry);
                }
            }
            List<Entry> entries = List.copyOf(byName.values());
            if (entries.isEmpty() && !object.get("servers").isEmpty()) {
                errorLog.report("discovery bad line", "version " + object.get("version").asLong(), "has no valid entry");
                return null;
            }
            boolean full = object.path("full").asBoolean(false);
            if (full) {
                ids.retainOnly(entries.stream().filter(entry -> entry.worker().state != WorkerState.GONE).map(Entry::name)
                    .collect(java.util.stream.Collectors.toSet()));
            }
            entries.stream().filter(entry -> entry.worker().state == WorkerState.GONE).forEach(entry -> ids.remove(entry.name()));
            return new ListUpdate(object.get("version").asLong(), full, entries);
        }

        /** Parses one entry; returns null and reports an error if it is invalid. */
        private Entry parseEntry(JsonNode node) {
            String stateText = node.path("state").asText();
            WorkerState state = switch (stateText) {
                case "SERVING" -> WorkerState.READY;
                case "DRAINING" -> WorkerState.DRAINING;
                case "DELETED" -> WorkerState.GONE;
                default -> null;
            };
            String name = node.path("id").asText();
            InetSocketAddress address = ConfigReader.parseAddress(node.path("addr").asText());
            String fault = name.isEmpty() ? "has no 'id'" : state == null ? "has the unknown 'state' '" + stateText + "'"
                : address == null && state != WorkerState.GONE ? "has no 'addr' of the form ADDRESS:PORT" : null;
            if (fault != null) {
                errorLog.report("discovery bad entry", node.toString(), fault);
                return null;
            }
            Worker worker = new Worker();
            worker.id = ids.idOf(name);
            worker.state = state;
            worker.startedAtUs = Math.max(0, node.path("started_ms").asLong(0)) * 1000;
            if (worker.startedAtUs > nowUs.getAsLong() + MAX_CLOCK_SKEW_US) {
                errorLog.report("discovery start ahead", name, "has 'started_ms' " + worker.startedAtUs / 1000
                    + ", which is in the future; the worker counts as started now");
            }
            worker.zone = zones.numberOf(node.path("zone").asText());
            worker.kind = kinds.numberOf(node.path("kind").asText());
            worker.cell = node.path("cell").asInt(0);
            worker.size = node.path("weight").asDouble(1);
            return new Entry(name, address, worker);
        }
    }
}
