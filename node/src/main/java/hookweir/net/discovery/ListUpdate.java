package hookweir.net.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hookweir.Contract.State;
import hookweir.Contract.Worker;
import hookweir.config.ConfigReader;
import hookweir.net.Invariants;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

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

        private final Names zones;
        private final Names kinds;
        private final WorkerIds ids = new WorkerIds();
        private final Invariants invariants;

        public Parser(String[] zones, String[] kinds, Invariants invariants) {
            this.zones = new Names(zones);
            this.kinds = new Names(kinds);
            this.invariants = invariants;
        }

        /** Workers numbered now: those listed, by the last whole list and the changes since. */
        public int size() {
            return ids.size();
        }

        /** Parses one line; null, and a count, where it is no such object. */
        public ListUpdate parse(byte[] line) {
            try {
                return parse(JSON.readTree(line));
            } catch (IOException e) {
                invariants.count("discovery bad line");
                return null;
            }
        }

        /** Takes one object; null, and a count, where it is none. Entries that can't be used are left out. */
        public ListUpdate parse(JsonNode o) {
            if (o == null || !o.path("version").isIntegralNumber() || !o.path("servers").isArray()) {
                invariants.count("discovery bad line");
                return null;
            }
            List<Entry> entries = new ArrayList<>();
            for (JsonNode one : o.get("servers")) {
                Entry e = entry(one);
                if (e == null) {
                    invariants.count("discovery bad entry");
                } else {
                    entries.add(e);
                }
            }
            boolean full = o.path("full").asBoolean(false);
            if (full) {
                ids.keepOnly(entries.stream().filter(e -> e.worker().state != State.GONE).map(Entry::name)
                    .collect(java.util.stream.Collectors.toSet()));
            }
            entries.stream().filter(e -> e.worker().state == State.GONE).forEach(e -> ids.forget(e.name()));
            return new ListUpdate(o.get("version").asLong(), full, entries);
        }

        private Entry entry(JsonNode one) {
            State state = switch (one.path("state").asText()) {
                case "SERVING" -> State.READY;
                case "DRAINING" -> State.DRAINING;
                case "DELETED" -> State.GONE;
                default -> null;
            };
            String name = one.path("id").asText();
            InetSocketAddress address = ConfigReader.parseAddress(one.path("addr").asText());
            if (state == null || name.isEmpty() || address == null && state != State.GONE) {
                return null;
            }
            Worker w = new Worker();
            w.id = ids.number(name);
            w.state = state;
            w.startedAtUs = Math.max(0, one.path("started_ms").asLong(0)) * 1000;
            w.zone = zones.number(one.path("zone").asText());
            w.kind = kinds.number(one.path("kind").asText());
            w.cell = one.path("cell").asInt(0);
            w.size = one.path("weight").asDouble(1);
            return new Entry(name, address, w);
        }
    }
}
