package hookweir.lab.record;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** Short forms of what is compared only. */
public final class Checksums {
    private static final int MAX_LITERAL_BYTES = 32;

    private Checksums() {
    }

    /** A body as a history holds it: a short one as it is, of a long one its length and a sum. */
    public static String body(byte[] body) {
        return body.length <= MAX_LITERAL_BYTES ? new String(body, StandardCharsets.ISO_8859_1)
            : body.length + "#" + Long.toHexString(MurmurHash3.hash128x64(body)[0]);
    }

    /** A sum over what must pass on unchanged: method, path and query as the first line has them, body and key. */
    public static String forwarded(String head, String key, byte[] body) {
        String line = head.substring(0, head.indexOf(" HTTP/"));
        long sum = MurmurHash3.hash128x64((line + "\n" + (key == null ? "" : key)).getBytes(StandardCharsets.ISO_8859_1))[0];
        return Long.toHexString(sum ^ 31 * MurmurHash3.hash128x64(body)[0]);
    }
}
