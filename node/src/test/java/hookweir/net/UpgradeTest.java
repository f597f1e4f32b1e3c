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

/** Two processes of one scheduler; here they are two nodes that meet by one name, each on a port of its own. */
@Timeout(60)
class UpgradeTest {
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    @TempDir
    Path folder;

    /** Unix sockets that this process holds besides those, by what the system says of its descriptors. */
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
                    continue; // closed since, the listing's own among them
                }
            }
        }
        held.retainAll(unix);
        held.removeAll(excluded);
        return held;
    }

    /** Where the hand-over is off nobody looks for another process or can be found by one, though one starts beside it. */
    @Test
    void withoutHandoverThereIsNoUnixSocket() throws Exception {
        Set<String> before = unixSockets(Set.of()); // what earlier tests left may go at any time
        try (TestNode old = startProcess(); TestNode young = startSuccessor()) {
            sendList(young);
            old.awaitCount("clients sent away", 1);
            assertTrue(unixSockets(before).size() >= 3, "the name and both ends of the wire"); // the look itself works
        }
        while (!unixSockets(before).isEmpty()) {
            Thread.sleep(5);
        }
        Files.deleteIfExists(folder.resolve("hw"));
        try (TestNode old = new TestNode("read_like", 20_000_000); TestNode young = new TestNode("read_like", 20_000_000)) {
            old.awaitLoop();
            young.awaitLoop();
            assertEquals(Set.of(), unixSockets(before));
            assertTrue(old.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
            assertTrue(young.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
            try (java.util.stream.Stream<Path> left = Files.list(folder)) {
                assertEquals(0, left.count());
            }
        }
    }

    private TestNode startProcess() throws IOException {
        return new TestNode("read_like", 20_000_000, false, folder.resolve("hw"));
    }

    /** Which has yet to hear of the list. */
    private TestNode startSuccessor() throws IOException {
        return TestNode.withUnconfirmedList("read_like", folder.resolve("hw"));
    }

    private static void sendList(TestNode n) throws IOException {
        try (Socket watch = n.acceptWatch(7)) {
            TestNode.sendListLine(watch, "{'version':8,'full':true,'servers':[" + n.workerEntry("SERVING") + "]}");
        }
    }

    /** Either process may get the other's call-backs; the old one lets no more clients in, until the new one is gone. */
    @Test
    void callbacksReachTheirProcessAndClientsAreHandedOver() throws Exception {
        try (TestNode old = startProcess(); Socket client = old.connect(); Socket resting = old.connect()) {
            send(resting, HEALTHZ);
            receive(resting);
            send(client, job("u1"));
            try (Socket w = old.workerListener.accept()) {
                receive(w);
                send(w, ACCEPTED);
                try (TestNode young = startSuccessor()) {
                    assertTrue(young.adminCall("GET", "health").startsWith("HTTP/1.1 503")); // not before it has the list
                    assertTrue(old.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
                    sendList(young);
                    old.awaitCount("clients sent away", 1);
                    assertEquals(-1, resting.getInputStream().read());
                    assertTrue(young.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
                    assertTrue(old.adminCall("GET", "health").startsWith("HTTP/1.1 503"));
                    assertTrue(young.sendCallback("nobodys", "s-01", "done").startsWith("HTTP/1.1 204"));
                    assertTrue(young.sendCallback("u1", "s-01", "done").startsWith("HTTP/1.1 204"));
                    String answer = receive(client);
                    assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("Connection: close"), answer);
                    assertEquals(1, young.node.invariants().counted("call-backs for a neighbour"));
                    assertEquals(1, young.node.invariants().counted("call-backs for nothing"));
                }
                old.awaitCount("clients welcome", 1);
                assertTrue(old.request(HEALTHZ).startsWith("HTTP/1.1 200"));
                try (TestNode third = startSuccessor()) {
                    sendList(third); // it found the old one by the name, which that took back
                    old.awaitCount("clients sent away", 2);
                }
            }
        }
    }

    /** A name left by a process that was killed is taken over. */
    @Test
    void staleSocketFileIsReplaced() throws Exception {
        try (ServerSocketChannel dead = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            dead.bind(UnixDomainSocketAddress.of(folder.resolve("hw")));
        }
        try (TestNode n = startProcess()) {
            n.awaitLoop();
            assertTrue(n.adminCall("GET", "health").startsWith("HTTP/1.1 200"));
            try (TestNode young = startSuccessor()) {
                sendList(young);
                n.awaitCount("clients sent away", 1);
            }
        }
    }

    /** A neighbour that hangs holds up a call-back for a moment, and one that talks nonsense is dropped. */
    @Test
    void silentAndInvalidPeersAreTolerated() throws Exception {
        try (TestNode n = startProcess()) {
            n.awaitLoop();
            UnixDomainSocketAddress name = UnixDomainSocketAddress.of(folder.resolve("hw"));
            try (SocketChannel silent = SocketChannel.open(name)) {
                silent.write(ByteBuffer.wrap(new byte[] {0, 0}));
                assertTrue(n.sendCallback("nobodys", "s-01", "done").startsWith("HTTP/1.1 204"));
            }
            Random random = new Random(7);
            for (int i = 0; i < 20; i++) {
                try (SocketChannel noise = SocketChannel.open(name)) {
                    byte[] garbage = new byte[1 + random.nextInt(40)];
                    random.nextBytes(garbage);
                    noise.write(ByteBuffer.wrap(garbage));
                }
            }
            assertTrue(n.sendCallback("nobodys", "s-01", "done").startsWith("HTTP/1.1 204"));
            assertTrue(n.request(HEALTHZ).startsWith("HTTP/1.1 200"));
        }
    }

    /** The platform's socket outlives a process that inherits it, and so does what that one logs. */
    @Test
    void inheritedSocketIsPassedToTheNextProcess() throws Exception {
        assumeTrue(Files.isExecutable(Path.of("/usr/bin/perl")), "perl, to hand on a socket");
        try (ServerSocket list = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Path config = folder.resolve("config.json");
            Files.writeString(config, ("{'listen':'127.0.0.1:1','discovery':'127.0.0.1:" + list.getLocalPort() + "','limits':{'sockets':128},"
                + "'settings':{'classes':[{'name':'a','semantics':'read_like'}],'discovery':'ask'}}").replace('\'', '"'));
            ProcessBuilder b = new ProcessBuilder("/usr/bin/perl", "-MSocket", "-MPOSIX=dup2", "-e",
                "socket(S,PF_INET,SOCK_STREAM,0);bind(S,sockaddr_in(0,INADDR_LOOPBACK));listen(S,9);$p=(sockaddr_in(getsockname(S)))[0];"
                    + "dup2(fileno(S),0);$|=1;for(1..2){if(!($k=fork)){exec @ARGV}print \"$p $k\\n\";waitpid($k,0)}",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1", "-cp",
                System.getProperty("java.class.path"), "hookweir.Main", "serve");
            b.environment().putAll(java.util.Map.of("RELAY_CONFIG", config.toString(), "RELAY_FD", "0", "TMPDIR", folder.toString()));
            Process both = b.redirectErrorStream(true).start();
            try (BufferedReader out = new BufferedReader(new InputStreamReader(both.getInputStream()))) {
                String[] portAndProcess = out.readLine().split(" ");
                int port = Integer.parseInt(portAndProcess[0]);
                awaitReady(port);
                ProcessHandle.of(Long.parseLong(portAndProcess[1])).orElseThrow().destroy();
                String line = out.readLine();
                while (!line.contains("leaving")) { // it still logs to the end
                    line = out.readLine();
                }
                portAndProcess = out.readLine().split(" ");
                awaitReady(port);
                ProcessHandle.of(Long.parseLong(portAndProcess[1])).orElseThrow().destroy();
            } finally {
                both.descendants().forEach(ProcessHandle::destroy);
            }
            both.waitFor();
        }
    }

    /** Its list service never answers, so it serves by the list as last held once it has waited for that. */
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
