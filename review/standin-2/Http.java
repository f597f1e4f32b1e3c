import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message with its body, and the code that reads one. */
final class Http {
    final String startLine;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    private Http(String startLine) {
        this.startLine = startLine;
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String method() {
        return startLine.split(" ")[0];
    }

    String target() {
        return startLine.split(" ")[1];
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads a message with a length or no body; null at the end of the input. */
    static Http read(BufferedInputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Http message = new Http(start);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        String length = message.header("content-length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) {
                throw new EOFException("the body is cut off");
            }
        }
        return message;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                out.write(b);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
