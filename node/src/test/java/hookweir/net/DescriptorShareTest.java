package hookweir.net;

import static hookweir.net.TestNode.ACCEPTED;
import static hookweir.net.TestNode.CHUNKED_HEAD;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.post;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static hookweir.net.TestNode.sendListLine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against idle clients that use up all descriptors of a process. Its descriptor limit is low, and idle client and admin
 * connections take all they can get while the list service is down; when that returns, the watch, the connection to a worker and
 * its callback must still get a descriptor.
 */
@Timeout(60)
final class DescriptorShareTest {
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static final int DESCRIPTORS = 160;
    private static final int IDLE_CLIENTS = 300;
    private static final int ADMIN_CONNECTIONS = 20;
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    private final List<Socket> idleConnections = new ArrayList<>();

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, HERE)) {
            return socket.getLocalPort();
        }
    }

    private static Socket connect(int port) throws IOException {
        Socket socket = new Socket(HERE, port);
        socket.setSoTimeout(20_000);
        return socket;
    }

    /** A third of the connections are idle after a request, a third have sent half of one, and the others have sent nothing. */
    private void fill(int port, int clients) throws IOException {
        for (int i = 0; i < clients; i++) {
            Socket socket = connect(port);
            idleConnections.add(socket);
            if (i % 3 != 0) {
                send(socket, HEALTHZ.substring(0, i % 3 == 1 ? HEALTHZ.length() : 20));
            }
        }
    }

    private static String entry(String id, int port, String state) {
        return "{'id':'" + id + "','addr':'127.0.0.1:" + port + "','zone':'a','kind':'m','cell':0,'state':'" + state
            + "','weight':1.0,'started_ms':0}";
    }

    /** Answers calls to the list service with this list until one of them is a watch. */
    private static Socket acceptWatch(ServerSocket list, String servers) throws IOException {
        String whole = "{'version':9,'full':true,'servers':[" + servers + "]}";
        while (true) {
            Socket call = list.accept();
            if (receive(call).contains("watch=1")) {
                send(call, CHUNKED_HEAD);
                sendListLine(call, whole);
                return call;
            }
            send(call, "HTTP/1.1 200 OK\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole.replace('\'', '"'));
        }
    }

    /** Sends a request, again on a new connection whenever the server closes the connection without a response. */
    private static String ask(int port, String message) throws IOException {
        String response = "";
        while (response.isEmpty()) {
            try (Socket socket = connect(port)) {
                send(socket, message);
                response = receive(socket);
            } catch (java.net.SocketException shut) {
                response = "";
            }
        }
        return response;
    }

    private static long openDescriptors(Process process) throws IOException {
        try (var all = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return all.count();
        }
    }

    private static Process start(Path config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", "ulimit -n " + DESCRIPTORS + "; exec \"$@\"", "sh",
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1", "-Xmx64m",
            "-cp", System.getProperty("java.class.path"), "hookweir.Main", "serve");
        builder.environment().put("RELAY_CONFIG", config.toString());
        return builder.redirectErrorStream(true).start();
    }

    private static int port(BufferedReader log) throws IOException {
        String text = log.readLine();
        while (text != null && !text.contains("serves on port ")) {
            text = log.readLine();
        }
        return Integer.parseInt(text.replaceAll(".*serves on port (\\d+).*", "$1"));
    }

    @Test
    void listAndWorkerConnectionsKeepDescriptorsUnderManyClients() throws Exception {
        int discovery = freePort(); // nobody listens there yet: the list service is down
        int admin = freePort();
        Path config = Files.createTempFile("hookweir", ".json");
        try (ServerSocket drainingWorker = new ServerSocket(0, 50, HERE); ServerSocket worker = new ServerSocket(0, 50, HERE)) {
            worker.setSoTimeout(20_000);
            Files.writeString(config, ("{'listen':'127.0.0.1:0','admin_addr':'127.0.0.1:" + admin + "','discovery':'127.0.0.1:" + discovery
                + "','seed':'1','known':{'version':7,'full':true,'servers':[" + entry("s-01", drainingWorker.getLocalPort(), "SERVING") + "]},"
                + "'settings':{'classes':[{'name':'render','aim_us':10000000,'deadline_us':20000000,'semantics':'read_like'}],"
                + "'zones':['a'],'kinds':['m'],'discovery':'ask','rules':{'ask_within_us':1000000},"
                + "'limits':{'max_attempts':3,'dial_timeout_us':1000000}}}").replace('\'', '"'));
            Process process = start(config);
            try (BufferedReader log = process.inputReader()) {
                int port = port(log);
                ask(port, HEALTHZ);
                fill(port, IDLE_CLIENTS);
                fill(admin, ADMIN_CONNECTIONS);
                ask(port, HEALTHZ); // by now all earlier connections have been accepted, or closed to make way
                long full = openDescriptors(process);
                assertTrue(full > DESCRIPTORS / 2 && full < DESCRIPTORS, "open descriptors: " + full);
                try (ServerSocket list = new ServerSocket()) {
                    list.setReuseAddress(true);
                    list.bind(new InetSocketAddress(HERE, discovery), 50);
                    list.setSoTimeout(20_000);
                    String changes = entry("s-01", drainingWorker.getLocalPort(), "DRAINING") + "," + entry("s-02", worker.getLocalPort(), "SERVING");
                    try (Socket watch = acceptWatch(list, changes); Socket client = connect(port)) {
                        fill(port, IDLE_CLIENTS / 3);
                        send(client, job("a1"));
                        try (Socket connection = worker.accept()) {
                            assertTrue(receive(connection).contains("Req-Id: a1\r\n"));
                            send(connection, ACCEPTED);
                            fill(port, IDLE_CLIENTS / 3);
                            String done = "{'id':'a1','from':'s-02','state':'done','result':'r'}".replace('\'', '"');
                            assertTrue(ask(port, post("/callback", "", done)).startsWith("HTTP/1.1 204"));
                            assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                        }
                        assertTrue(openDescriptors(process) < DESCRIPTORS);
                        assertFalse(watch.isClosed());
                    }
                }
                for (Socket socket : idleConnections) {
                    socket.close();
                }
                process.toHandle().destroy(); // Process.destroy would close its output here
                String end = String.join("\n", log.lines().toList());
                assertTrue(end.contains("leaving; "), end);
                assertFalse(end.contains("accept failed"), end);
            } finally {
                process.destroyForcibly();
            }
            drainingWorker.setSoTimeout(1);
            assertEquals("nobody", readFromNextConnection(drainingWorker));
        } finally {
            Files.delete(config);
        }
    }

    private static String readFromNextConnection(ServerSocket listener) throws IOException {
        try (Socket socket = listener.accept()) {
            return receive(socket);
        } catch (java.net.SocketTimeoutException none) {
            return "nobody";
        }
    }
}
