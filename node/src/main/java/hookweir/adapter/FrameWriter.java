package hookweir.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Gathers the records of one reply and writes them as one frame. */
final class FrameWriter {
    private static final int HEADER = 8;

    private final OutputStream out;
    private byte[] buf = new byte[1 << 16];
    private int at = HEADER;
    private int records;

    FrameWriter(OutputStream out) {
        this.out = out;
    }

    private void room(int bytes) {
        if (buf.length - at < bytes) {
            buf = Arrays.copyOf(buf, Math.max(2 * buf.length, at + bytes));
        }
    }

    FrameWriter record(int code, int instance) {
        records++;
        return u8(code).i32(instance);
    }

    FrameWriter u8(int v) {
        room(1);
        buf[at++] = (byte) v;
        return this;
    }

    FrameWriter u16(int v) {
        return u8(v >> 8).u8(v);
    }

    FrameWriter i32(int v) {
        room(4);
        buf[at] = (byte) (v >> 24);
        buf[at + 1] = (byte) (v >> 16);
        buf[at + 2] = (byte) (v >> 8);
        buf[at + 3] = (byte) v;
        at += 4;
        return this;
    }

    /** A time that the wire carries in 32 bits: held inside them. */
    FrameWriter time32(long v) {
        return i32((int) Math.max(0, Math.min(v, 0xffffffffL)));
    }

    FrameWriter i64(long v) {
        return i32((int) (v >> 32)).i32((int) v);
    }

    FrameWriter bytes(byte[] v, int from, int count) {
        room(count);
        System.arraycopy(v, from, buf, at, count);
        at += count;
        return this;
    }

    FrameWriter text(String v) {
        byte[] b = v.getBytes(StandardCharsets.UTF_8);
        int n = Math.min(b.length, 0xffff);
        return u16(n).bytes(b, 0, n);
    }

    /** Writes the frame and starts a new one. */
    void flush() throws IOException {
        int end = at;
        int n = records;
        at = 0;
        i32(end).i32(n);
        out.write(buf, 0, end);
        out.flush();
        at = HEADER;
        records = 0;
    }
}
