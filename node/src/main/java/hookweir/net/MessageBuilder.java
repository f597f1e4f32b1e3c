package hookweir.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Builds the bytes of one message in an array that is reused for the next message. Owned by the {@link Transport} and used on the
 * thread of the {@link Loop}.
 */
public final class MessageBuilder {
    private static final byte[] CRLF = {'\r', '\n'};

    private byte[] bytes = new byte[1024];
    private int length;

    /** Starts an empty message. */
    MessageBuilder reset() {
        length = 0;
        return this;
    }

    /** Adds ISO 8859-1 text. */
    @SuppressWarnings("deprecation") // the only way to read the bytes of a string without copying them first
    public MessageBuilder add(String text) {
        int n = text.length();
        ensureCapacity(n);
        text.getBytes(0, n, bytes, length);
        length += n;
        return this;
    }

    /** Adds an integer. */
    public MessageBuilder add(long number) {
        return add(Long.toString(number));
    }

    /** Adds a header field, unless the value is null. */
    public MessageBuilder header(String name, String value) {
        return value == null ? this : add(name).add(": ").add(value).endLine();
    }

    /** Ends a line. */
    public MessageBuilder endLine() {
        return add(CRLF);
    }

    /** Adds bytes. */
    public MessageBuilder add(byte[] more) {
        ensureCapacity(more.length);
        System.arraycopy(more, 0, bytes, length, more.length);
        length += more.length;
        return this;
    }

    private void ensureCapacity(int n) {
        if (length + n > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + n));
        }
    }

    byte[] bytes() {
        return bytes;
    }

    int length() {
        return length;
    }

    @Override
    public String toString() {
        return new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
    }
}
