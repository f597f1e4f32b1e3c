package hookweir.lab.lives;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Connections that say nothing, as many as fill a scheduler's descriptors. */
final class IdleConnections implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 200;

    private final List<Socket> connections = new ArrayList<>();

    /** Opens so many connections, or as many as come up. */
    IdleConnections(int port, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Socket connection = new Socket();
            connections.add(connection);
            try {
                connection.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
            } catch (IOException e) {
                return; // the rest would wait as well
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
