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

/** Writes a history in the format that {@link hookweir.lab.check.HistoryReader} reads. */
final class HistoryWriter implements AutoCloseable {
    private final JsonGenerator json;

    HistoryWriter(Writer out, RuleLimits limits) throws IOException {
        json = new JsonFactory().createGenerator(out);
        json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
        json.writeStartObject();
        json.writeStringField("ev", "terms");
        json.writeNumberField("version", RuleLimits.VERSION);
        json.writeBooleanField("recorded", limits.recorded());
        json.writeArrayFieldStart("never_twice");
        for (String name : limits.neverTwice()) {
            json.writeString(name);
        }
        json.writeEndArray();
        json.writeObjectFieldStart("keyed");
        for (Map.Entry<String, RuleLimits.KeyedClass> keyed : limits.keyed().entrySet()) {
            json.writeObjectFieldStart(keyed.getKey());
            json.writeStringField("scope", keyed.getValue().scope().name().toLowerCase(Locale.ROOT));
            json.writeNumberField("window_ms", keyed.getValue().windowMs());
            json.writeEndObject();
        }
        json.writeEndObject();
        json.writeNumberField("max_attempts", limits.maxAttempts());
        json.writeNumberField("drain_ms", limits.drainMs());
        json.writeNumberField("slack_ms", limits.slackMs());
        json.writeNumberField("told_ms", limits.noticeDelayMs());
        json.writeNumberField("term_ms", limits.termGraceMs());
        json.writeNumberField("kill_ms", limits.killDelayMs());
        json.writeNumberField("cold_times", limits.coldFactor());
        json.writeNumberField("cold_ms", limits.coldWindowMs());
        json.writeNumberField("grain_ms", limits.toleranceMs());
        json.writeEndObject();
    }

    /** Writes an event with the given time. */
    void write(long atMs, Event event) throws IOException {
        json.writeStartObject();
        json.writeNumberField("t_ms", atMs);
        json.writeStringField("ev", event.type().jsonName());
        writeIfPresent("id", event.id());
        writeIfPresent("worker", event.worker());
        writeIfPresent("scheduler", event.scheduler());
        writeIfPresent("kind", event.kind());
        writeIfPresent("how", event.how());
        writeIfPresent("sum", event.checksum());
        writeIfPresent("retry_after", event.retryAfter());
        switch (event.type()) {
            case ASK -> json.writeNumberField("deadline_ms", (long) event.number());
            case ANSWER -> {
                json.writeNumberField("status", (int) event.number());
                writeIfPresent("body", event.text());
            }
            case CALL -> json.writeNumberField("status", (int) event.number());
            case END -> writeIfPresent("result", event.text());
            case CAPACITY -> json.writeNumberField("per_s", event.number());
            case WORKER -> {
                json.writeStringField("zone", event.zone());
                json.writeNumberField("cell", (long) event.number());
            }
            case ATTEMPT -> {
                if (event.number() != 1) {
                    json.writeNumberField("cost", event.number());
                }
            }
            case CUT -> json.writeBooleanField("kept", event.reused());
            case DRAIN, SERVING -> json.writeBooleanField("told", event.notified());
            default -> { }
        }
        json.writeEndObject();
    }

    private void writeIfPresent(String key, String value) throws IOException {
        if (!value.isEmpty()) {
            json.writeStringField(key, value);
        }
    }

    /** Flushes everything written so far. */
    void flush() throws IOException {
        json.flush();
    }

    @Override
    public void close() throws IOException {
        json.writeRaw("\n");
        json.close();
    }
}
