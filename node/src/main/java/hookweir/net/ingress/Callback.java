package hookweir.net.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * What a worker tells of a job.
 *
 * @param id the request's id
 * @param from the worker's id
 * @param state started, running, done, failed, returned or lost
 * @param share how much is done, for running
 * @param result the result's bytes, unaltered, for done
 * @param load a load report, or null
 */
public record Callback(String id, String from, String state, double share, byte[] result, JsonNode load) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Reads the body of a call; null where it is no such object. */
    public static Callback parse(byte[] body) {
        JsonNode o;
        try {
            o = JSON.readTree(body);
        } catch (IOException e) {
            return null;
        }
        if (o == null || !o.path("id").isTextual() || !o.path("from").isTextual() || !o.path("state").isTextual()) {
            return null;
        }
        JsonNode result = o.path("result");
        String text = result.isTextual() ? result.textValue() : result.isMissingNode() ? "" : result.toString();
        return new Callback(o.get("id").textValue(), o.get("from").textValue(), o.get("state").textValue(),
            o.path("share").asDouble(0), text.getBytes(StandardCharsets.UTF_8), o.get("load"));
    }
}
