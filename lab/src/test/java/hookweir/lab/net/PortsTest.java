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

/** A port that waits for its process is nobody else's meanwhile. */
final class PortsTest {
    @Test
    void noneIsGivenTwiceOrByTheSystemItself() throws IOException {
        Set<Integer> given = new HashSet<>();
        for (int i = 0; i < 500; i++) {
            given.add(Ports.free());
        }
        assertEquals(500, given.size());
        for (int i = 0; i < 50; i++) {
            try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                assertTrue(any.getLocalPort() >= Ports.END, "drawn by the system: " + any.getLocalPort());
            }
        }
    }

    @Test
    void oneInUseIsPassedOver() throws IOException {
        int next = Ports.free() + 1;
        try (ServerSocket held = new ServerSocket(next < Ports.END ? next : Ports.FIRST, 1, InetAddress.getLoopbackAddress())) {
            assertNotEquals(held.getLocalPort(), Ports.free());
        }
    }
}
