package hookweir.net;

import static hookweir.net.TestNode.ACCEPTED;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two processes of one scheduler during an upgrade. Here they are two nodes with the same Unix socket path and a port each. */
@Timeout(60)
class UpgradeTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    @TempDir
    Path folder;

    /** The Unix sockets among the open descriptors of this process, without the excluded ones. */
    private static Set<String> unixSockets(Set<String> excluded) throws IOException {
        Set<String> unix = new HashSet<>();
        for (String line : Files.readAllLines(Path.of("/proc/self/net/unix"))) {
            String[] fields = line.strip().split("\\s+");
            unix.add(fields.length > 6 ? "socket:[" + fields[6] + "]" : "");
        }
        Set<String> held = new HashSet<>();
        try (java.util.stream.Stream<Path> all = Files.list(Path.of("/proc/self/fd"))) {
            for (Path link : all.toList()) {
                try {
                    held.add(Files.readSymbolicLink(link).toString());
                } catch (java.nio.file.NoSuchFileException e) {
                    continue; // closed since, such as the descriptor of the listing itself
                }
            }
        }
        held.retainAll(unix);
        held.removeAll(excluded);
        return held;
    }

    /** Without handover no process looks for another or can be found by one, even if both run at the same time. */
    @Test
    void withoutHandoverThereIsNoUnixSocket() throws Exception {
        Set<String> before = unixSockets(Set.of()); // sockets of earlier tests may be closed at any time
        try (TestNode old = startProcess(); TestNode successor = startSuccessor()) {
            sendList(successor);
            old.awaitCount("clients sent away", 1);
            assertTrue(unixSockets(before).size() >= 3, "the listening socket and both ends of the connection"); // the search itself works
        }
        while (!unixSockets(before).isEmpty()) {
            Thread.sleep(5);
        }
        Files.deleteIfExists(folder.resolve("hw"));
        try (TestNode old = new TestNode("read_like", 20_000_000); TestNode successor = new TestNode("read_like", 20_000_000)) {
            old.awaitLoop();
            successor.awaitLoop();
            assertEquals(Set.of(), unixSockets(before));
            assertTrue(old.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
            assertTrue(successor.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
            try (java.util.stream.Stream<Path> left = Files.list(folder)) {
                assertEquals(0, left.count());
            }
        }
    }

    private TestNode startProcess() throws IOException {
        return new TestNode("read_like", 20_000_000, false, folder.resolve("hw"));
    }

    /** Starts a second process, whose worker list is not confirmed yet. */
    private TestNode startSuccessor() throws IOException {
        return TestNode.withUnconfirmedList("read_like", folder.resolve("hw"));
    }

    private static void sendList(TestNode scheduler) throws IOException {
        scheduler.acceptWatchAndSendList(scheduler.workerEntry("SERVING"));
    }

    /** Either process may receive the other's callbacks. The old one stops accepting clients until the new one has ended. */
    @Test
    void callbacksReachTheirProcessAndClientsAreHandedOver() throws Exception {
        try (TestNode old = startProcess(); Socket client = old.connect(); Socket idle = old.connect()) {
            send(idle, HEALTHZ);
            receive(idle);
            send(client, job("u1"));
            try (Socket worker = old.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                try (TestNode successor = startSuccessor()) {
                    assertTrue(successor.adminCall("GET", "health").startsWith("HTTP/1.1 503")); // not ready before it has the list
                    assertTrue(old.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
                    sendList(successor);
                    old.awaitCount("clients sent away", 1);
                    assertEquals(-1, idle.getInputStream().read());
                    assertTrue(successor.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
                    assertTrue(old.adminCall("GET", "health").startsWith("HTTP/1.1 503"));
                    assertTrue(successor.sendCallback("nobodys", "s-01", "done").startsWith("HTTP/1.1 204"));
                    assertTrue(successor.sendCallback("u1", "s-01", "done").startsWith("HTTP/1.1 204"));
                    String response = receive(client);
                    assertTrue(response.startsWith("HTTP/1.1 200") && response.contains("Connection: close"), response);
                    assertEquals(1, successor.node.invariants().counted("call-backs for a neighbour"));
                    assertEquals(1, successor.node.invariants().counted("call-backs for nothing"));
                }
                old.awaitCount("clients welcome", 1);
                assertTrue(old.request(HEALTHZ).startsWith("HTTP/1.1 200"));
                try (TestNode third = startSuccessor()) {
                    sendList(third); // it finds the old process, which has bound the path again
                    old.awaitCount("clients sent away", 2);
                }
            }
        }
    }

    /** The socket file of a process that was killed is replaced. */
    @Test
    void staleSocketFileIsReplaced() throws Exception {
        try (ServerSocketChannel stale = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            stale.bind(UnixDomainSocketAddress.of(folder.resolve("hw")));
        }
        try (TestNode scheduler = startProcess()) {
            scheduler.awaitLoop();
            assertTrue(scheduler.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
            try (TestNode successor = startSuccessor()) {
                sendList(successor);
                scheduler.awaitCount("clients sent away", 1);
            }
        }
    }

    /** A peer process that hangs delays a callback only briefly, and one that sends garbage is disconnected. */
    @Test
    void silentAndInvalidPeersAreTolerated() throws Exception {
        try (TestNode scheduler = startProcess()) {
            scheduler.awaitLoop();
            UnixDomainSocketAddress name = UnixDomainSocketAddress.of(folder.resolve("hw"));
            try (SocketChannel silent = SocketChannel.open(name)) {
                silent.write(ByteBuffer.wrap(new byte[] {0, 0}));
                assertTrue(scheduler.sendCallback("nobodys", "s-01", "done").startsWith("HTTP/1.1 204"));
            }
            Random random = new Random(7);
            for (int i = 0; i < 20; i++) {
                try (SocketChannel noise = SocketChannel.open(name)) {
                    byte[] garbage = new byte[1 + random.nextInt(40)];
                    random.nextBytes(garbage);
                    noise.write(ByteBuffer.wrap(garbage));
                }
            }
            assertTrue(scheduler.sendCallback("nobodys", "s-01", "done").startsWith("HTTP/1.1 204"));
            assertTrue(scheduler.request(HEALTHZ).startsWith("HTTP/1.1 200"));
        }
    }

    /** A listening socket inherited from the platform survives the process that inherits it, and that process logs until its end. */
    @Test
    void inheritedSocketIsPassedToTheNextProcess() throws Exception {
        assumeTrue(Files.isExecutable(Path.of("/usr/bin/perl")), "perl is needed to pass on a socket");
        try (ServerSocket list = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Path config = folder.resolve("config.json");
            Files.writeString(config, ("{'listen':'127.0.0.1:1','discovery':'127.0.0.1:" + list.getLocalPort() + "','limits':{'sockets':128},"
                + "'settings':{'classes':[{'name':'a','semantics':'read_like'}],'discovery':'ask'}}").replace('\'', '"'));
            ProcessBuilder builder = new ProcessBuilder("/usr/bin/perl", "-MSocket", "-MPOSIX=dup2", "-e",
                "socket(S,PF_INET,SOCK_STREAM,0);bind(S,sockaddr_in(0,INADDR_LOOPBACK));listen(S,9);$p=(sockaddr_in(getsockname(S)))[0];"
                    + "dup2(fileno(S),0);$|=1;for(1..2){if(!($k=fork)){exec @ARGV}print \"$p $k\\n\";waitpid($k,0)}",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1", "-cp",
                System.getProperty("java.class.path"), "hookweir.Main", "serve");
            builder.environment().putAll(java.util.Map.of("RELAY_CONFIG", config.toString(), "RELAY_FD", "0", "TMPDIR", folder.toString()));
            Process processes = builder.redirectErrorStream(true).start();
            try (BufferedReader out = new BufferedReader(new InputStreamReader(processes.getInputStream()))) {
                String[] portAndProcess = out.readLine().split(" ");
                int port = Integer.parseInt(portAndProcess[0]);
                awaitReady(port);
                ProcessHandle.of(Long.parseLong(portAndProcess[1])).orElseThrow().destroy();
                String line = out.readLine();
                while (!line.contains("leaving")) { // it still logs until its end
                    line = out.readLine();
                }
                portAndProcess = out.readLine().split(" ");
                awaitReady(port);
                ProcessHandle.of(Long.parseLong(portAndProcess[1])).orElseThrow().destroy();
            } finally {
                processes.descendants().forEach(ProcessHandle::destroy);
            }
            processes.waitFor();
        }
    }

    /** Waits until the process is ready: its list service never responds, so it serves by the cached worker list after a wait. */
    private static void awaitReady(int port) throws Exception {
        while (!requestHealth(port).startsWith("HTTP/1.1 200")) {
            Thread.sleep(20);
        }
    }

    private static String requestHealth(int port) throws IOException {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            send(s, HEALTHZ);
            return receive(s);
        }
    }
}
