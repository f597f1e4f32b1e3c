package hookweir.adapter;

import java.io.IOException;
import java.io.InputStream;

/** Reads one frame at a time into a buffer and takes big-endian fields off it. */
final class FrameReader {
    static final int HEADER = 16;
    private static final int MAX_FRAME = 1 << 30;

    private final InputStream in;
    private byte[] buf = new byte[1 << 16];
    private int at;
    private int end;
    private long base;

    FrameReader(InputStream in) {
        this.in = in;
    }

    /** Reads the next frame; false at a clean end of input. */
    boolean next() throws IOException, BadInput {
        base += end;
        at = 0;
        end = 0;
        int got = in.readNBytes(buf, 0, HEADER);
        if (got == 0) {
            return false;
        }
        end = got;
        if (got < HEADER) {
            throw new BadInput("input ends inside a frame header", base + got);
        }
        at = 4;
        long length = u32();
        if (length < HEADER || length > MAX_FRAME) {
            throw new BadInput("frame length " + length + " is out of range", base + 4);
        }
        if (length > buf.length) {
            buf = java.util.Arrays.copyOf(buf, (int) Math.max(length, Math.min(2L * buf.length, MAX_FRAME)));
        }
        int rest = (int) length - HEADER;
        int body = in.readNBytes(buf, HEADER, rest);
        end = HEADER + body;
        if (body < rest) {
            throw new BadInput("input ends inside a frame of " + length + " bytes", base + end);
        }
        at = 0;
        return true;
    }

    /** Position in the whole input of the next field. */
    long position() {
        return base + at;
    }

    boolean atEnd() {
        return at == end;
    }

    private int need(int bytes) throws BadInput {
        if (bytes < 0 || bytes > end - at) {
            throw new BadInput("a record runs past the end of its frame", base + at);
        }
        int from = at;
        at += bytes;
        return from;
    }

    void skip(int bytes) throws BadInput {
        need(bytes);
    }

    int u8() throws BadInput {
        return buf[need(1)] & 0xff;
    }

    int u16() throws BadInput {
        int i = need(2);
        return (buf[i] & 0xff) << 8 | buf[i + 1] & 0xff;
    }

    int i32() throws BadInput {
        int i = need(4);
        return buf[i] << 24 | (buf[i + 1] & 0xff) << 16 | (buf[i + 2] & 0xff) << 8 | buf[i + 3] & 0xff;
    }

    long u32() throws BadInput {
        return i32() & 0xffffffffL;
    }

    long i64() throws BadInput {
        long high = u32();
        return high << 32 | u32();
    }

    float f32() throws BadInput {
        return Float.intBitsToFloat(i32());
    }

    byte[] bytes(long count) throws BadInput {
        int from = need((int) Math.min(count, Integer.MAX_VALUE));
        return java.util.Arrays.copyOfRange(buf, from, at);
    }
}
