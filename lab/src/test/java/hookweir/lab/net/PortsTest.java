package hookweir.lab.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** An allocated port is given to no other process before the one it is meant for has bound it. */
final class PortsTest {
    @Test
    void portsAreUniqueAndBelowTheEphemeralRange() throws IOException {
        Set<Integer> given = new HashSet<>();
        for (int i = 0; i < 500; i++) {
            given.add(Ports.allocate());
        }
        assertEquals(500, given.size());
        for (int i = 0; i < 50; i++) {
            try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                assertTrue(any.getLocalPort() >= Ports.END_PORT, "ephemeral port in the allocated range: " + any.getLocalPort());
            }
        }
    }

    @Test
    void portInUseIsSkipped() throws IOException {
        int next = Ports.allocate() + 1;
        try (ServerSocket occupied = new ServerSocket(next < Ports.END_PORT ? next : Ports.FIRST_PORT, 1, InetAddress.getLoopbackAddress())) {
            assertNotEquals(occupied.getLocalPort(), Ports.allocate());
        }
    }
}
