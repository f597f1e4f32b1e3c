package hookweir.net;

import static hookweir.net.TestNode.CHUNKED;
import static hookweir.net.TestNode.TAKEN;
import static hookweir.net.TestNode.hear;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.line;
import static hookweir.net.TestNode.post;
import static hookweir.net.TestNode.say;
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
 * A process that may hold few descriptors, by the system's own limit. Idle clients and operators take all that they can get
 * while discovery is down: at its return the watch, a link to a worker and its call-back find theirs.
 */
@Timeout(60)
final class DescriptorShareTest {
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static final int DESCRIPTORS = 160;
    private static final int CROWD = 300;
    private static final int OPERATORS = 20;
    private static final String HEALTHZ = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    private final List<Socket> crowd = new ArrayList<>();

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, HERE)) {
            return s.getLocalPort();
        }
    }

    private static Socket connect(int port) throws IOException {
        Socket s = new Socket(HERE, port);
        s.setSoTimeout(20_000);
        return s;
    }

    /** A third of them rest after a request, a third have begun one, and the others say nothing. */
    private void fill(int port, int clients) throws IOException {
        for (int i = 0; i < clients; i++) {
            Socket s = connect(port);
            crowd.add(s);
            if (i % 3 != 0) {
                say(s, HEALTHZ.substring(0, i % 3 == 1 ? HEALTHZ.length() : 20));
            }
        }
    }

    private static String entry(String id, int port, String state) {
        return "{'id':'" + id + "','addr':'127.0.0.1:" + port + "','zone':'a','kind':'m','cell':0,'state':'" + state
            + "','weight':1.0,'started_ms':0}";
    }

    /** Answers discovery's calls with this list until a watch stands. */
    private static Socket acceptWatch(ServerSocket list, String servers) throws IOException {
        String whole = "{'version':9,'full':true,'servers':[" + servers + "]}";
        while (true) {
            Socket call = list.accept();
            if (hear(call).contains("watch=1")) {
                say(call, CHUNKED);
                line(call, whole);
                return call;
            }
            say(call, "HTTP/1.1 200 OK\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole.replace('\'', '"'));
        }
    }

    /** A client that finds its connection shut unread comes again. */
    private static String ask(int port, String message) throws IOException {
        String answer = "";
        while (answer.isEmpty()) {
            try (Socket s = connect(port)) {
                say(s, message);
                answer = hear(s);
            } catch (java.net.SocketException shut) {
                answer = "";
            }
        }
        return answer;
    }

    private static long openDescriptors(Process p) throws IOException {
        try (var all = Files.list(Path.of("/proc", Long.toString(p.pid()), "fd"))) {
            return all.count();
        }
    }

    private static Process start(Path config) throws IOException {
        ProcessBuilder b = new ProcessBuilder("sh", "-c", "ulimit -n " + DESCRIPTORS + "; exec \"$@\"", "sh",
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1", "-Xmx64m",
            "-cp", System.getProperty("java.class.path"), "hookweir.Main", "serve");
        b.environment().put("RELAY_CONFIG", config.toString());
        return b.redirectErrorStream(true).start();
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
        int discovery = freePort(); // nobody listens there yet: discovery is down
        int admin = freePort();
        Path config = Files.createTempFile("hookweir", ".json");
        try (ServerSocket leaves = new ServerSocket(0, 50, HERE); ServerSocket worker = new ServerSocket(0, 50, HERE)) {
            worker.setSoTimeout(20_000);
            Files.writeString(config, ("{'listen':'127.0.0.1:0','admin_addr':'127.0.0.1:" + admin + "','discovery':'127.0.0.1:" + discovery
                + "','seed':'1','known':{'version':7,'full':true,'servers':[" + entry("s-01", leaves.getLocalPort(), "SERVING") + "]},"
                + "'settings':{'classes':[{'name':'render','aim_us':10000000,'deadline_us':20000000,'semantics':'read_like'}],"
                + "'zones':['a'],'kinds':['m'],'discovery':'ask','rules':{'ask_within_us':1000000},"
                + "'limits':{'max_attempts':3,'dial_timeout_us':1000000}}}").replace('\'', '"'));
            Process p = start(config);
            try (BufferedReader log = p.inputReader()) {
                int port = port(log);
                ask(port, HEALTHZ);
                fill(port, CROWD);
                fill(admin, OPERATORS);
                ask(port, HEALTHZ); // by now all of the crowd that came before was let in, or made way
                long full = openDescriptors(p);
                assertTrue(full > DESCRIPTORS / 2 && full < DESCRIPTORS, "open descriptors: " + full);
                try (ServerSocket list = new ServerSocket()) {
                    list.setReuseAddress(true);
                    list.bind(new InetSocketAddress(HERE, discovery), 50);
                    list.setSoTimeout(20_000);
                    String news = entry("s-01", leaves.getLocalPort(), "DRAINING") + "," + entry("s-02", worker.getLocalPort(), "SERVING");
                    try (Socket watch = acceptWatch(list, news); Socket client = connect(port)) {
                        fill(port, CROWD / 3);
                        say(client, job("a1"));
                        try (Socket link = worker.accept()) {
                            assertTrue(hear(link).contains("Req-Id: a1\r\n"));
                            say(link, TAKEN);
                            fill(port, CROWD / 3);
                            String done = "{'id':'a1','from':'s-02','state':'done','result':'r'}".replace('\'', '"');
                            assertTrue(ask(port, post("/callback", "", done)).startsWith("HTTP/1.1 204"));
                            assertTrue(hear(client).startsWith("HTTP/1.1 200"));
                        }
                        assertTrue(openDescriptors(p) < DESCRIPTORS);
                        assertFalse(watch.isClosed());
                    }
                }
                for (Socket s : crowd) {
                    s.close();
                }
                p.toHandle().destroy(); // the process's own would end its log here
                String end = String.join("\n", log.lines().toList());
                assertTrue(end.contains("leaving; "), end);
                assertFalse(end.contains("accept failed"), end);
            } finally {
                p.destroyForcibly();
            }
            leaves.setSoTimeout(1);
            assertEquals("nobody", readFromNextConnection(leaves));
        } finally {
            Files.delete(config);
        }
    }

    private static String readFromNextConnection(ServerSocket door) throws IOException {
        try (Socket s = door.accept()) {
            return hear(s);
        } catch (java.net.SocketTimeoutException none) {
            return "nobody";
        }
    }
}
