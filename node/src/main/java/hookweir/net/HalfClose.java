package hookweir.net;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * The first half of a lingering close. A close over bytes that nobody read resets the connection, and what was written
 * before may be lost with it; so the output is shut, the rest of the input is read and dropped until the peer's end or a
 * bound, and only then the connection is closed. Whoever owns the connection reads and bounds.
 */
public final class HalfClose {
    /** A peer has so long to read its answer and to end its side. */
    public static final long LINGER_US = 500_000;

    private HalfClose() {
    }

    /** Tells the peer that nothing more comes; false where the connection is gone already, and is closed. */
    public static boolean shutdownOutput(Connection<?> c) {
        try {
            ((SocketChannel) ((NIOConnection) c).getChannel()).shutdownOutput();
            return true;
        } catch (IOException e) {
            c.closeSilently();
            return false;
        }
    }
}
