package hookweir.lab.record;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import hookweir.lab.check.Event;
import hookweir.lab.check.RuleLimits;
import java.io.IOException;
import java.io.Writer;
import java.util.Locale;
import java.util.Map;

/** Writes a history, in the form that {@link hookweir.lab.check.HistoryReader} reads. */
final class HistoryWriter implements AutoCloseable {
    private final JsonGenerator json;

    HistoryWriter(Writer to, RuleLimits terms) throws IOException {
        json = new JsonFactory().createGenerator(to);
        json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
        json.writeStartObject();
        json.writeStringField("ev", "terms");
        json.writeNumberField("version", RuleLimits.VERSION);
        json.writeBooleanField("recorded", terms.recorded());
        json.writeArrayFieldStart("never_twice");
        for (String c : terms.neverTwice()) {
            json.writeString(c);
        }
        json.writeEndArray();
        json.writeObjectFieldStart("keyed");
        for (Map.Entry<String, RuleLimits.KeyedClass> k : terms.keyed().entrySet()) {
            json.writeObjectFieldStart(k.getKey());
            json.writeStringField("scope", k.getValue().scope().name().toLowerCase(Locale.ROOT));
            json.writeNumberField("window_ms", k.getValue().windowMs());
            json.writeEndObject();
        }
        json.writeEndObject();
        json.writeNumberField("max_attempts", terms.maxAttempts());
        json.writeNumberField("drain_ms", terms.drainMs());
        json.writeNumberField("slack_ms", terms.slackMs());
        json.writeNumberField("told_ms", terms.noticeDelayMs());
        json.writeNumberField("term_ms", terms.termGraceMs());
        json.writeNumberField("kill_ms", terms.killDelayMs());
        json.writeNumberField("cold_times", terms.coldFactor());
        json.writeNumberField("cold_ms", terms.coldWindowMs());
        json.writeNumberField("grain_ms", terms.toleranceMs());
        json.writeEndObject();
    }

    /** Writes an event as seen at that time. */
    void write(long atMs, Event e) throws IOException {
        json.writeStartObject();
        json.writeNumberField("t_ms", atMs);
        json.writeStringField("ev", e.type().jsonName());
        writeIfPresent("id", e.id());
        writeIfPresent("worker", e.worker());
        writeIfPresent("scheduler", e.scheduler());
        writeIfPresent("kind", e.kind());
        writeIfPresent("how", e.how());
        writeIfPresent("sum", e.checksum());
        writeIfPresent("retry_after", e.retryAfter());
        switch (e.type()) {
            case ASK -> json.writeNumberField("deadline_ms", (long) e.number());
            case ANSWER -> {
                json.writeNumberField("status", (int) e.number());
                writeIfPresent("body", e.text());
            }
            case CALL -> json.writeNumberField("status", (int) e.number());
            case END -> writeIfPresent("result", e.text());
            case CAPACITY -> json.writeNumberField("per_s", e.number());
            case WORKER -> {
                json.writeStringField("zone", e.zone());
                json.writeNumberField("cell", (long) e.number());
            }
            case ATTEMPT -> {
                if (e.number() != 1) {
                    json.writeNumberField("cost", e.number());
                }
            }
            case CUT -> json.writeBooleanField("kept", e.reused());
            case DRAIN, SERVING -> json.writeBooleanField("told", e.notified());
            default -> { }
        }
        json.writeEndObject();
    }

    private void writeIfPresent(String key, String value) throws IOException {
        if (!value.isEmpty()) {
            json.writeStringField(key, value);
        }
    }

    /** All that was written has left. */
    void flush() throws IOException {
        json.flush();
    }

    @Override
    public void close() throws IOException {
        json.writeRaw("\n");
        json.close();
    }
}
