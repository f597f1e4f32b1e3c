package hookweir.net.server;

import java.util.HashMap;
import java.util.Map;
import org.glassfish.grizzly.http.util.HttpStatus;

/** HTTP/1.1 status lines with the reason phrases of the IANA registry of status codes. */
public final class StatusLine {
    /** Reason phrases that the library does not have. */
    private static final Map<Integer, String> ADDITIONAL_REASONS = Map.of(429, "Too Many Requests", 431, "Request Header Fields Too Large");
    private static final Map<Integer, String> LINES = new HashMap<>();

    private StatusLine() {
    }

    /** The line for this status, including its line end. Only the loop may call this. */
    public static String of(int status) {
        return LINES.computeIfAbsent(status, s ->
            "HTTP/1.1 " + s + " " + ADDITIONAL_REASONS.getOrDefault(s, HttpStatus.getHttpStatus(s).getReasonPhrase()) + "\r\n");
    }
}
