package hookweir.lab.check;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A complete history in memory, for the mutator and for tests; {@link HistoryReader} streams long ones.
 *
 * @param source its name in error messages
 * @param limits the limits that the rules are checked by
 * @param events all events, in order
 */
public record History(String source, RuleLimits limits, List<Event> events) {
    /** Reads a history from a file. */
    public static History read(Path file) throws IOException {
        try (HistoryReader reader = HistoryReader.open(file)) {
            return readAll(file.toString(), reader);
        }
    }

    /** Reads a history from its lines; source is its name in error messages. */
    public static History parse(String source, List<String> lines) throws IOException {
        try (HistoryReader reader = new HistoryReader(source, new StringReader(String.join("\n", lines)))) {
            return readAll(source, reader);
        }
    }

    private static History readAll(String source, HistoryReader reader) throws IOException {
        List<Event> events = new ArrayList<>();
        for (Event event = reader.next(); event != null; event = reader.next()) {
            events.add(event);
        }
        return new History(source, reader.limits(), events);
    }
}
