package hookweir.lab.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates loopback ports for processes that are started later or restarted. The ports lie below the ephemeral ranges (from
 * 32768 on Linux, from 49152 by RFC 6335): the system could hand a released ephemeral port to another process while the process
 * it was meant for is still starting or restarting.
 */
public final class Ports {
    static final int FIRST_PORT = 12_000;
    static final int END_PORT = 32_000;

    // Derived from the process id, so that concurrent processes start at different ports; ports in use are skipped.
    private static final AtomicInteger NEXT_OFFSET = new AtomicInteger((int) (ProcessHandle.current().pid() * 409 % (END_PORT - FIRST_PORT)));

    private Ports() {
    }

    /**
     * Returns a port that is not in use, and that this process does not return again before all others.
     *
     * @throws IOException if no port is free
     */
    public static int allocate() throws IOException {
        for (int tries = 0; tries < END_PORT - FIRST_PORT; tries++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), END_PORT - FIRST_PORT);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (IOException e) {
                continue; // the port is in use
            }
        }
        throw new IOException("no loopback port from " + FIRST_PORT + " to " + END_PORT + " is free");
    }
}
