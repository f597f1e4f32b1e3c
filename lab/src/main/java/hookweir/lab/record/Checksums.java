package hookweir.lab.record;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** Short forms of data that a history holds for comparison only. */
public final class Checksums {
    private static final int MAX_LITERAL_BYTES = 32;

    private Checksums() {
    }

    /** Returns a body as a history holds it: a short one unchanged, a long one as its length and checksum. */
    public static String body(byte[] body) {
        return body.length <= MAX_LITERAL_BYTES ? new String(body, StandardCharsets.ISO_8859_1)
            : body.length + "#" + Long.toHexString(MurmurHash3.hash128x64(body)[0]);
    }

    /** Returns a checksum of what must be forwarded unchanged: method, path and query of the request line, idempotency key, body. */
    public static String forwarded(String head, String key, byte[] body) {
        String line = head.substring(0, head.indexOf(" HTTP/"));
        long sum = MurmurHash3.hash128x64((line + "\n" + (key == null ? "" : key)).getBytes(StandardCharsets.ISO_8859_1))[0];
        return Long.toHexString(sum ^ 31 * MurmurHash3.hash128x64(body)[0]);
    }
}
