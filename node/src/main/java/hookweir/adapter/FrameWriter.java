package hookweir.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the records of one reply and writes them as one frame. */
final class FrameWriter {
    private static final int HEADER_BYTES = 8;

    private final OutputStream out;
    private byte[] buffer = new byte[1 << 16];
    private int offset = HEADER_BYTES;
    private int records;

    FrameWriter(OutputStream out) {
        this.out = out;
    }

    private void ensureCapacity(int bytes) {
        if (buffer.length - offset < bytes) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, offset + bytes));
        }
    }

    /** Starts a record. */
    FrameWriter record(int code, int instance) {
        records++;
        return u8(code).i32(instance);
    }

    FrameWriter u8(int v) {
        ensureCapacity(1);
        buffer[offset++] = (byte) v;
        return this;
    }

    FrameWriter u16(int v) {
        return u8(v >> 8).u8(v);
    }

    FrameWriter i32(int v) {
        ensureCapacity(4);
        buffer[offset] = (byte) (v >> 24);
        buffer[offset + 1] = (byte) (v >> 16);
        buffer[offset + 2] = (byte) (v >> 8);
        buffer[offset + 3] = (byte) v;
        offset += 4;
        return this;
    }

    /** Writes a time as an unsigned 32-bit field; values out of range are clamped. */
    FrameWriter clampedU32(long v) {
        return i32((int) Math.max(0, Math.min(v, 0xffffffffL)));
    }

    FrameWriter i64(long v) {
        return i32((int) (v >> 32)).i32((int) v);
    }

    FrameWriter bytes(byte[] v, int from, int count) {
        ensureCapacity(count);
        System.arraycopy(v, from, buffer, offset, count);
        offset += count;
        return this;
    }

    /** Writes a UTF-8 string with a 16-bit length; longer strings are truncated. */
    FrameWriter text(String v) {
        byte[] b = v.getBytes(StandardCharsets.UTF_8);
        int n = Math.min(b.length, 0xffff);
        return u16(n).bytes(b, 0, n);
    }

    /** Writes the frame and starts a new one. */
    void flush() throws IOException {
        int end = offset;
        int n = records;
        offset = 0;
        i32(end).i32(n);
        out.write(buffer, 0, end);
        out.flush();
        offset = HEADER_BYTES;
        records = 0;
    }
}
