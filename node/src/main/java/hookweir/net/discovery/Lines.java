package hookweir.net.discovery;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/** Cuts a stream of chunks, however cut, into lines. A line over the limit is dropped and reported as null. */
public final class Lines {
    private final int mostBytes;
    private final Consumer<byte[]> sink;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private boolean tooLong;

    /** Lines of at most so many bytes go to the sink. */
    public Lines(int mostBytes, Consumer<byte[]> sink) {
        this.mostBytes = mostBytes;
        this.sink = sink;
    }

    /** Takes the next chunk. */
    public void feed(byte[] chunk) {
        for (byte b : chunk) {
            if (b == '\n') {
                end();
            } else if (line.size() < mostBytes) {
                line.write(b);
            } else {
                tooLong = true;
            }
        }
    }

    private void end() {
        byte[] whole = line.toByteArray();
        line.reset();
        boolean dropped = tooLong;
        tooLong = false;
        sink.accept(dropped ? null : whole);
    }
}
