package hookweir;

import hookweir.config.ConfigReader;
import hookweir.config.InvalidSettingException;
import hookweir.net.Node;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * A self-test: starts a scheduler on a free loopback port that is its own only worker and its own list service, sends it a few requests,
 * and shuts it down as SIGTERM would. It shows that the build can serve requests. The build also runs it to record the classes that are
 * loaded for a class data sharing archive, so that a restart need not parse them again.
 */
final class Rehearsal {
    private static final int CLIENT_TIMEOUT_MS = 10_000;
    private static final int POLL_MS = 20;

    private Rehearsal() {
    }

    /** Returns true if each request got the expected response. */
    static boolean run() throws IOException, InterruptedException {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        Path file = Files.createTempFile("hookweir", ".json");
        Node node;
        try {
            Files.writeString(file, config("127.0.0.1:" + port));
            node = new Node(ConfigReader.fromFile(file, Map.of()));
        } catch (InvalidSettingException e) {
            throw new IllegalStateException(e);
        } finally {
            Files.delete(file);
        }
        node.start();
        Thread loop = new Thread(() -> {
            try {
                node.run();
            } catch (IOException e) {
                System.err.println("hookweir: " + e.getMessage());
            }
        });
        loop.start();
        boolean passed = waitUntilReady(port);
        // The job is sent to this same scheduler, which already holds its id, so the attempt at the only worker fails.
        passed &= sendAndReceive(port, post("/api/1", "Req-Id: 1\r\nReq-Kind: k\r\nReq-Deadline-Ms: 1000\r\n", "work")).startsWith("HTTP/1.1 429");
        passed &= sendAndReceive(port, post("/callback", "", "{\"id\":\"2\",\"from\":\"w\",\"state\":\"done\",\"result\":\"\"}")).startsWith("HTTP/1.1 204");
        passed &= sendAndReceive(node.adminPort(), "GET /admin/health HTTP/1.1\r\nHost: h\r\n\r\n").startsWith("HTTP/1.1 200");
        passed &= sendAndReceive(node.adminPort(), "GET /admin/stats HTTP/1.1\r\nHost: h\r\n\r\n").contains("svc_success_total{type=\"k\"}");
        node.drain();
        loop.join();
        return passed;
    }

    /** The scheduler is its own list service but serves no list: it becomes ready once its calls for the list have failed. */
    private static boolean waitUntilReady(int port) throws IOException, InterruptedException {
        for (int i = 0; i < CLIENT_TIMEOUT_MS / POLL_MS; i++) {
            if (sendAndReceive(port, "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").startsWith("HTTP/1.1 200")) {
                return true;
            }
            Thread.sleep(POLL_MS);
        }
        return false;
    }

    private static String config(String address) {
        return ("{'name':'rehearsal','listen':'" + address + "','admin_addr':'127.0.0.1:0','discovery':'" + address
            + "','seed':'1','known':{'version':1,'full':true,"
            + "'servers':[{'id':'s-1','addr':'" + address + "','zone':'z','kind':'m','cell':0,'state':'SERVING','weight':1,'started_ms':0}]},"
            + "'settings':{'classes':[{'name':'k','aim_us':500000,'deadline_us':1000000,'semantics':'read_like','key_scope':'all'}],"
            + "'zones':['z'],'kinds':['m'],'discovery':'ask','rules':{'ask_within_us':1000},'stats':{'via':'pull','fields':['x0']},"
            + "'limits':{'max_attempts':3,'cancel':true,'probes':true,'retry_after':true,'max_retry_after_us':1000}}}").replace('\'', '"');
    }

    private static String post(String path, String headers, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String sendAndReceive(int port, String message) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(CLIENT_TIMEOUT_MS);
            socket.getOutputStream().write(message.getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
