package hookweir.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Builds the bytes of one message in an array that is used again for the next. Owned by the {@link Transport}, on the
 * {@link Loop}'s thread.
 */
public final class MessageBuilder {
    private static final byte[] CRLF = {'\r', '\n'};

    private byte[] bytes = new byte[1024];
    private int length;

    /** Begins anew. */
    MessageBuilder reset() {
        length = 0;
        return this;
    }

    /** Adds Latin text. */
    @SuppressWarnings("deprecation") // the one way to get at a string's bytes without a copy of them
    public MessageBuilder add(String text) {
        int n = text.length();
        ensureCapacity(n);
        text.getBytes(0, n, bytes, length);
        length += n;
        return this;
    }

    /** Adds a whole number. */
    public MessageBuilder add(long number) {
        return add(Long.toString(number));
    }

    /** Adds a header; nothing where it has no value. */
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
