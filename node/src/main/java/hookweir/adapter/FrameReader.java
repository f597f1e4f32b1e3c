package hookweir.adapter;

import java.io.IOException;
import java.io.InputStream;

/** Reads one frame at a time into a buffer and decodes its big-endian fields. */
final class FrameReader {
    static final int HEADER_BYTES = 16;
    private static final int MAX_FRAME_BYTES = 1 << 30;

    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int offset;
    private int end;
    private long frameStart;

    FrameReader(InputStream in) {
        this.in = in;
    }

    /** Reads the next frame; returns false if the input ends before it. */
    boolean readFrame() throws IOException, InvalidInputException {
        frameStart += end;
        offset = 0;
        end = 0;
        int headerBytes = in.readNBytes(buffer, 0, HEADER_BYTES);
        if (headerBytes == 0) {
            return false;
        }
        end = headerBytes;
        if (headerBytes < HEADER_BYTES) {
            throw new InvalidInputException("input ends inside a frame header", frameStart + headerBytes);
        }
        offset = 4;
        long length = u32();
        if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
            throw new InvalidInputException("frame length " + length + " is out of range", frameStart + 4);
        }
        if (length > buffer.length) {
            buffer = java.util.Arrays.copyOf(buffer, (int) Math.max(length, Math.min(2L * buffer.length, MAX_FRAME_BYTES)));
        }
        int expected = (int) length - HEADER_BYTES;
        int received = in.readNBytes(buffer, HEADER_BYTES, expected);
        end = HEADER_BYTES + received;
        if (received < expected) {
            throw new InvalidInputException("input ends inside a frame of " + length + " bytes", frameStart + end);
        }
        offset = 0;
        return true;
    }

    /** Returns the byte position of the next field in the whole input. */
    long position() {
        return frameStart + offset;
    }

    boolean isAtEnd() {
        return offset == end;
    }

    /** Returns the offset of the next field and moves past it. */
    private int advance(int bytes) throws InvalidInputException {
        if (bytes < 0 || bytes > end - offset) {
            throw new InvalidInputException("a record runs past the end of its frame", frameStart + offset);
        }
        int from = offset;
        offset += bytes;
        return from;
    }

    void skip(int bytes) throws InvalidInputException {
        advance(bytes);
    }

    int u8() throws InvalidInputException {
        return buffer[advance(1)] & 0xff;
    }

    int u16() throws InvalidInputException {
        int i = advance(2);
        return (buffer[i] & 0xff) << 8 | buffer[i + 1] & 0xff;
    }

    int i32() throws InvalidInputException {
        int i = advance(4);
        return buffer[i] << 24 | (buffer[i + 1] & 0xff) << 16 | (buffer[i + 2] & 0xff) << 8 | buffer[i + 3] & 0xff;
    }

    long u32() throws InvalidInputException {
        return i32() & 0xffffffffL;
    }

    long i64() throws InvalidInputException {
        long high = u32();
        return high << 32 | u32();
    }

    float f32() throws InvalidInputException {
        return Float.intBitsToFloat(i32());
    }

    byte[] bytes(long count) throws InvalidInputException {
        int from = advance((int) Math.min(count, Integer.MAX_VALUE));
        return java.util.Arrays.copyOfRange(buffer, from, offset);
    }
}
