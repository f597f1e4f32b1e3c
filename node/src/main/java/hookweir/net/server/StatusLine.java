package hookweir.net.server;

import java.util.HashMap;
import java.util.Map;
import org.glassfish.grizzly.http.util.HttpStatus;

/** First lines of answers, with the reasons that the registry has (IANA, HTTP Status Codes). */
public final class StatusLine {
    /** Those that the library does not know by name. */
    private static final Map<Integer, String> ADDITIONAL_REASONS = Map.of(429, "Too Many Requests", 431, "Request Header Fields Too Large");
    private static final Map<Integer, String> LINES = new HashMap<>();

    private StatusLine() {
    }

    /** The line of this status, its end included. Loop only. */
    public static String of(int status) {
        return LINES.computeIfAbsent(status, s ->
            "HTTP/1.1 " + s + " " + ADDITIONAL_REASONS.getOrDefault(s, HttpStatus.getHttpStatus(s).getReasonPhrase()) + "\r\n");
    }
}
