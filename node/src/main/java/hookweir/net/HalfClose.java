package hookweir.net;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * The first step of a lingering close. Closing a connection with unread input resets it, which may discard data written before.
 * Therefore the output is shut down first, remaining input is read and discarded until the peer closes or a time limit, and only
 * then the connection is closed. The owner of the connection reads the input and applies the limit.
 */
public final class HalfClose {
    /** The time that a peer has to read its response and to close its side. */
    public static final long LINGER_US = 500_000;

    private HalfClose() {
    }

    /** Shuts down the output. Returns false, and closes the connection, if it is already broken. */
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
