package hookweir.net.server;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A worker's callback: its report on one job.
 *
 * @param id the request's id
 * @param workerId the worker's id
 * @param state what became of the job
 * @param completedShare the completed share of the job, for running
 * @param result the result's bytes, unaltered, for done
 * @param loadReport a load report, or null
 */
public record Callback(String id, String workerId, State state, double completedShare, byte[] result, JsonNode loadReport) {
    /** What a worker reports; the names in lower case stand in callbacks. */
    public enum State {
        /** The job began to run. */
        STARTED,
        /** The job has run in part. */
        RUNNING,
        /** The job has run, and the callback has its result. */
        DONE,
        /** The job ended without a result; it may have run. */
        FAILED,
        /** The worker hands the job back; it never ran. */
        RETURNED,
        /** The job was killed or its worker died; it may have run. */
        LOST,
        /** Any other text. */
        UNKNOWN;

        private static final Map<String, State> BY_NAME = Map.of("started", STARTED, "running", RUNNING, "done", DONE, "failed", FAILED,
            "returned", RETURNED, "lost", LOST);

        static State of(String name) {
            return BY_NAME.getOrDefault(name, UNKNOWN);
        }

        /** Returns whether the job is at the worker and runs. */
        public boolean isProgress() {
            return this == STARTED || this == RUNNING;
        }
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] EMPTY_RESULT = new byte[0];

    /** Parses the body of a callback; returns null if it is not a valid callback object. */
    public static Callback parse(byte[] body) {
        String id = null;
        String from = null;
        String state = null;
        double share = 0;
        byte[] result = EMPTY_RESULT;
        JsonNode load = null;
        // Streamed field by field: most callbacks are short, and a tree of the whole object would take several times their
        // size.
        try (JsonParser in = JSON.createParser(body)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                return null;
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                boolean isString = in.nextToken() == JsonToken.VALUE_STRING;
                switch (field) {
                    case "id" -> id = isString ? in.getText() : null;
                    case "from" -> from = isString ? in.getText() : null;
                    case "state" -> state = isString ? in.getText() : null;
                    case "share" -> share = in.getValueAsDouble(0);
                    case "result" -> result = (isString ? in.getText() : in.readValueAsTree().toString()).getBytes(StandardCharsets.UTF_8);
                    case "load" -> load = in.readValueAsTree();
                    default -> in.skipChildren();
                }
            }
            if (in.currentToken() != JsonToken.END_OBJECT) {
                return null;
            }
        } catch (IOException e) {
            return null;
        }
        return id == null || from == null || state == null ? null : new Callback(id, from, State.of(state), share, result, load);
    }
}
