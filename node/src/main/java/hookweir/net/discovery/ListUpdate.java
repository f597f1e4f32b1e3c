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
 * One object of the list: the whole of it, or the entries that changed.
 *
 * @param version the list's version
 * @param full it holds every worker that there is
 * @param entries the workers
 */
public record ListUpdate(long version, boolean full, List<Entry> entries) {
    /** A worker for the module, with its name and address for the sockets. */
    public record Entry(String name, InetSocketAddress address, Worker worker) {
    }

    /** Makes updates of JSON. Numbers zones and kinds by the settings' names, and ids while they are listed. */
    public static final class Parser {
        private static final ObjectMapper JSON = new ObjectMapper();
        /** Clocks of one fleet differ by less. */
        private static final long MAX_CLOCK_SKEW_US = 1_000_000;

        private final NameNumbers zones;
        private final NameNumbers kinds;
        private final WorkerIds ids = new WorkerIds();
        private final ListErrorLog errorLog;
        private final LongSupplier nowUs;

        /**
         * With the settings' names.
         *
         * @param nowUs the clock that all machines read, Unix time in µs
         */
        public Parser(String[] zones, String[] kinds, Invariants invariants, LongSupplier nowUs) {
            this.nowUs = nowUs;
            this.zones = new NameNumbers(zones);
            this.kinds = new NameNumbers(kinds);
            errorLog = new ListErrorLog(invariants);
        }

        /** Workers numbered now: those listed, by the last whole list and the changes since. */
        public int workerCount() {
            return ids.size();
        }

        ListErrorLog errorLog() {
            return errorLog;
        }

        /** Parses one line; null, and a count, where it is no such object. */
        public ListUpdate parse(byte[] line) {
            try {
                return parse(JSON.readTree(line));
            } catch (IOException e) {
                errorLog.report("discovery bad line", new String(line, StandardCharsets.ISO_8859_1), "is no JSON");
                return null;
            }
        }

        /**
         * Takes one object; null, and a complaint, where it is none, or is a whole list none of whose entries can be read: a
         * fleet is not empty by mistake. Single entries that can't be used are left out; of two for one id the later holds.
         */
        public ListUpdate parse(JsonNode o) {
            if (o == null || !o.path("version").isIntegralNumber() || !o.path("servers").isArray()) {
                errorLog.report("discovery bad line", String.valueOf(o), "lacks a whole 'version' or a list 'servers'");
                return null;
            }
            Map<String, Entry> byName = new LinkedHashMap<>();
            for (JsonNode one : o.get("servers")) {
                Entry e = parseEntry(one);
                if (e != null && byName.remove(e.name()) != null) {
                    errorLog.report("discovery entry twice", e.name(), "is listed twice in one object; the later holds");
                }
                if (e != null) {
                    byName.put(e.name(), e);
                }
            }
            List<Entry> entries = List.copyOf(byName.values());
            if (entries.isEmpty() && !o.get("servers").isEmpty()) {
                errorLog.report("discovery bad line", "version " + o.get("version").asLong(), "has no entry that can be read");
                return null;
            }
            boolean full = o.path("full").asBoolean(false);
            if (full) {
                ids.retainOnly(entries.stream().filter(e -> e.worker().state != WorkerState.GONE).map(Entry::name)
                    .collect(java.util.stream.Collectors.toSet()));
            }
            entries.stream().filter(e -> e.worker().state == WorkerState.GONE).forEach(e -> ids.remove(e.name()));
            return new ListUpdate(o.get("version").asLong(), full, entries);
        }

        /** Null, and a complaint, where the entry can't be used. */
        private Entry parseEntry(JsonNode one) {
            String text = one.path("state").asText();
            WorkerState state = switch (text) {
                case "SERVING" -> WorkerState.READY;
                case "DRAINING" -> WorkerState.DRAINING;
                case "DELETED" -> WorkerState.GONE;
                default -> null;
            };
            String name = one.path("id").asText();
            InetSocketAddress address = ConfigReader.parseAddress(one.path("addr").asText());
            String fault = name.isEmpty() ? "has no 'id'" : state == null ? "has the unknown 'state' '" + text + "'"
                : address == null && state != WorkerState.GONE ? "has no 'addr' of the form ADDRESS:PORT" : null;
            if (fault != null) {
                errorLog.report("discovery bad entry", one.toString(), fault);
                return null;
            }
            Worker w = new Worker();
            w.id = ids.idOf(name);
            w.state = state;
            w.startedAtUs = Math.max(0, one.path("started_ms").asLong(0)) * 1000;
            if (w.startedAtUs > nowUs.getAsLong() + MAX_CLOCK_SKEW_US) {
                errorLog.report("discovery start ahead", name, "has 'started_ms' " + w.startedAtUs / 1000 + ", which is yet to come; now holds");
            }
            w.zone = zones.numberOf(one.path("zone").asText());
            w.kind = kinds.numberOf(one.path("kind").asText());
            w.cell = one.path("cell").asInt(0);
            w.size = one.path("weight").asDouble(1);
            return new Entry(name, address, w);
        }
    }
}
