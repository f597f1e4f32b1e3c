package hookweir.lab.lives;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Open connections that send nothing, used to exhaust a scheduler's file descriptors. */
final class IdleConnections implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 200;

    private final List<Socket> connections = new ArrayList<>();

    /** Opens {@code count} connections, or fewer if a connection attempt fails. */
    IdleConnections(int port, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket connection = new Socket();
            connections.add(connection);
            try {
                connection.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
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
