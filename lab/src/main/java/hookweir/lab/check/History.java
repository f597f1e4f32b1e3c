package hookweir.lab.check;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A whole history in memory, for the mutator and for tests; long ones are streamed by {@link HistoryReader}.
 *
 * @param source names it in errors
 * @param limits  what the rules are measured by
 * @param events all the rest, in order
 */
public record History(String source, RuleLimits limits, List<Event> events) {
    /** Reads a history from a file. */
    public static History read(Path file) throws IOException {
        try (HistoryReader r = HistoryReader.open(file)) {
            return readAll(file.toString(), r);
        }
    }

    /** Reads a history from its lines; source names it in errors. */
    public static History parse(String source, List<String> lines) throws IOException {
        try (HistoryReader r = new HistoryReader(source, new StringReader(String.join("\n", lines)))) {
            return readAll(source, r);
        }
    }

    private static History readAll(String source, HistoryReader r) throws IOException {
        List<Event> events = new ArrayList<>();
        for (Event e = r.next(); e != null; e = r.next()) {
            events.add(e);
        }
        return new History(source, r.limits(), events);
    }
}
