package hookweir.lab.lives;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Open connections that send nothing, or the beginning of a request, used to exhaust a scheduler's file descriptors. */
final class IdleConnections implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 200;

    private final List<Socket> connections = new ArrayList<>();

    /** Opens {@code count} connections, or fewer if a connection attempt fails. */
    IdleConnections(int port, int count) throws IOException {
        this(port, count, "");
    }

    /** As above; each connection sends this beginning of a request, so that the scheduler waits for the rest before it closes it. */
    IdleConnections(int port, int count, String input) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket connection = new Socket();
            connections.add(connection);
            try {
                connection.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
                BlockingHttp.write(connection, input);
            } catch (IOException e) {
                return; // further attempts would time out as well
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
