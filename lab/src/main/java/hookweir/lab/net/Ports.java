package hookweir.lab.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback ports for processes that are started later, and started again. They lie below every range from which a system
 * draws ports by itself (from 32768 on Linux, from 49152 by RFC 6335), as one that it had drawn and got back goes to the next
 * who asks for any while the process that is to have it is still starting, or dead for a moment.
 */
public final class Ports {
    static final int FIRST_PORT = 12_000;
    static final int END_PORT = 32_000;

    // Another process that asks here begins elsewhere; where the two meet, a port in use is passed over.
    private static final AtomicInteger NEXT_OFFSET = new AtomicInteger((int) (ProcessHandle.current().pid() * 409 % (END_PORT - FIRST_PORT)));

    private Ports() {
    }

    /**
     * A port that nobody has, and that nobody in this process gets again before all others were given.
     *
     * @throws IOException none is free
     */
    public static int allocate() throws IOException {
        for (int tries = 0; tries < END_PORT - FIRST_PORT; tries++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), END_PORT - FIRST_PORT);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (IOException e) {
                continue; // somebody has it
            }
        }
        throw new IOException("no loopback port from " + FIRST_PORT + " to " + END_PORT + " is free");
    }
}
