package hookweir.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.config.Config;
import hookweir.config.ConfigReader;
import hookweir.config.InvalidSettingException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;

/** A scheduler on a free port with one worker, which is a plain server socket that the test plays by hand. */
final class TestNode implements AutoCloseable {
    /** A worker's answer: it has the job. */
    static final String TAKEN = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    /** The head of a watch's answer. */
    static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    final ServerSocket worker = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    final ServerSocket list = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    final Node node;
    final int port;
    final Thread loop;
    /** The watch of the list as the scheduler opened it at its start; null where the test plays the list service itself. */
    final Socket watch;
    /** By so many nanoseconds the scheduler's clock is ahead of the system's. */
    volatile LongSupplier ahead = () -> 0;
    private static final long TICK_US = 2_000;
    private static final long BEAT_MS = 1_000;
    private long stoodAt;
    private final String semantics;
    private final long deadlineUs;
    private final boolean probes;
    private final String limits;
    private final String listMode;
    /** The list as last held, with ' for "; null for one worker that serves. */
    private final String known;
    private final boolean cancels;

    /** The class's semantics: read_like, non_idempotent or idempotency_key. */
    TestNode(String semantics) throws IOException {
        this(semantics, 20_000_000);
    }

    TestNode(String semantics, long deadlineUs) throws IOException {
        this(semantics, deadlineUs, false);
    }

    TestNode(String semantics, long deadlineUs, boolean probes) throws IOException {
        this(semantics, deadlineUs, probes, null);
    }

    /** With limits of its own, as JSON. */
    TestNode(String semantics, long deadlineUs, String limits) throws IOException {
        this(semantics, deadlineUs, false, null, limits, "ask");
    }

    /** With a name by which it meets other processes of its scheduler. */
    TestNode(String semantics, long deadlineUs, boolean probes, Path meeting) throws IOException {
        this(semantics, deadlineUs, probes, meeting, "'sockets':128", "ask");
    }

    /** Whose list service the test plays from the start: it has been asked for the changes, and nothing is sent before it answers. */
    static TestNode unconfirmed(String semantics) throws IOException {
        return new TestNode(semantics, 20_000_000, false, null, "'sockets':128", "ask", true, false, false, null);
    }

    /** As {@link #unconfirmed(String)}, with another list as last held. */
    static TestNode withKnown(String known) throws IOException {
        return new TestNode("read_like", 20_000_000, false, null, "'sockets':128", "ask", true, false, false, known);
    }

    /** As {@link #unconfirmed(String)}, with a name by which it meets other processes of its scheduler. */
    static TestNode unconfirmed(String semantics, Path meeting) throws IOException {
        return new TestNode(semantics, 20_000_000, false, meeting, "'sockets':128", "ask", true, false, false, null);
    }

    /** Where an agent on the own machine holds the list as it is pushed. */
    static TestNode pushed() throws IOException {
        return new TestNode("read_like", 20_000_000, false, null, "'sockets':128", "push");
    }

    /** Whose clock stands still from its start. */
    static TestNode frozen(String semantics) throws IOException {
        return new TestNode(semantics, 20_000_000, false, null, "'sockets':128", "ask", true, true, true, null);
    }

    /** Where attempts can't be called off. */
    static TestNode withoutCancels() throws IOException {
        return new TestNode("read_like", 20_000_000, false, null, "'sockets':128", "ask", false, false, true, null);
    }

    private TestNode(String semantics, long deadlineUs, boolean probes, Path meeting, String limits, String listMode)
            throws IOException {
        this(semantics, deadlineUs, probes, meeting, limits, listMode, true, false, listMode.equals("ask"), null);
    }

    private TestNode(String semantics, long deadlineUs, boolean probes, Path meeting, String limits, String listMode, boolean cancels,
            boolean startsFrozen, boolean confirmed, String known) throws IOException {
        this.known = known;
        this.cancels = cancels;
        if (startsFrozen) {
            freeze();
        }
        this.limits = limits;
        this.listMode = listMode;
        this.probes = probes;
        this.semantics = semantics;
        this.deadlineUs = deadlineUs;
        worker.setSoTimeout(20_000);
        list.setSoTimeout(20_000);
        Path file = Files.createTempFile("hookweir", ".json");
        Files.writeString(file, config("127.0.0.1:" + list.getLocalPort()));
        Config config;
        try {
            Config c = ConfigReader.fromFile(file, Map.of());
            config = new Config(c.name(), c.listenAddress(), c.adminAddress(), c.listServiceAddress(), c.seed(), c.maxDescriptors(), c.maxHeldBytes(),
                c.maxHeldJobs(), c.cachedWorkerList(), c.settings(), false, true, meeting, c.sourceJson());
        } catch (InvalidSettingException e) {
            throw new IllegalStateException(e);
        }
        Files.delete(file);
        node = new Node(config, () -> System.nanoTime() + ahead.getAsLong());
        port = node.start();
        loop = new Thread(() -> {
            try {
                node.run();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        loop.start();
        watch = confirmed ? confirmed() : null;
    }

    /** Plays a list service that has no news for the list as last held. */
    private Socket confirmed() throws IOException {
        try {
            if (stoodAt != 0) {
                rounds();
                step(TICK_US); // the first call is a timer's
            }
            Socket opened = watchedFrom(7);
            line(opened, "{'version':7,'full':false,'servers':[]}");
            awaitCount("list updates", 2);
            beat(opened);
            return opened;
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Writes the empty lines of a watch on which nothing changes, until it ends. */
    private static void beat(Socket watch) {
        Thread beats = new Thread(() -> {
            try {
                while (true) {
                    Thread.sleep(BEAT_MS);
                    line(watch, "");
                }
            } catch (IOException | InterruptedException e) {
                Thread.currentThread().interrupt(); // the watch is over
            }
        });
        beats.setDaemon(true);
        beats.start();
    }

    /** The configuration, with discovery at this address. */
    String config(String discovery) {
        return ("{'listen':'127.0.0.1:0','admin_addr':'127.0.0.1:0','discovery':'" + discovery + "','seed':'1','limits':{" + limits + "},"
            + "'known':" + (known == null ? "{'version':7,'full':true,'servers':[" + entry("SERVING") + "]}" : known) + ","
            + "'settings':{'classes':[{'name':'render','aim_us':" + deadlineUs / 2 + ",'deadline_us':" + deadlineUs + ",'semantics':'"
            + semantics + "','key_scope':'all','window_us':20000000}],'zones':['a'],'kinds':['m'],"
            + "'discovery':'" + listMode + "','rules':{'ask_within_us':4000},"
            + "'stats':{'via':'pull','fields':['x0','errors_per_s']},"
            + "'limits':{'max_attempts':3,'probes':" + probes + ",'cancel':" + cancels + ",'dial_timeout_us':5000000}}}").replace('\'', '"');
    }

    String entry(String state) {
        return "{'id':'s-01','addr':'127.0.0.1:" + worker.getLocalPort() + "','zone':'a','kind':'m','cell':0,'state':'"
            + state + "','weight':1.0,'started_ms':0}";
    }

    Socket connect() throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
        s.setSoTimeout(20_000);
        return s;
    }

    /** An operators' call, on a connection of its own; all that comes of it. */
    String call(String method, String path) throws IOException {
        try (Socket s = admin()) {
            say(s, method + " /admin/" + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    Socket admin() throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), node.adminPort());
        s.setSoTimeout(20_000);
        return s;
    }

    /** Gives the loop one task after the other until the latch is let go; counted as "let go" then. */
    CountDownLatch busy() {
        CountDownLatch gate = new CountDownLatch(1);
        node.post(new Runnable() {
            @Override
            public void run() {
                if (gate.getCount() > 0) {
                    node.post(this);
                } else {
                    node.invariants().count("let go");
                }
            }
        });
        return gate;
    }

    /** Stops the scheduler's clock, until {@link #goOn}. */
    void freeze() {
        stand(System.nanoTime() + ahead.getAsLong());
    }

    /** Lets the clock that stands be so much later, and stand there. */
    void step(long us) {
        stand(stoodAt + us * 1000);
    }

    private void stand(long at) {
        stoodAt = at;
        ahead = () -> at - System.nanoTime();
    }

    /** Lets its clock go on, as if so much had passed. */
    void goOn(long us) {
        long by = ahead.getAsLong() + us * 1000;
        ahead = () -> by;
    }

    /** Keeps the loop from reading until the latch is let go. */
    CountDownLatch deaf() throws InterruptedException {
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch gate = new CountDownLatch(1);
        node.post(() -> {
            entered.countDown();
            try {
                gate.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        entered.await();
        return gate;
    }

    /** Plays the agent of a pushed list: answers the first call with the list as last held, and opens the watch behind it. */
    Socket watched() throws IOException {
        try (Socket call = list.accept()) {
            assertTrue(hear(call).startsWith("GET /v1/servers HTTP/1.1\r\n"));
            sayList(call, 7, "SERVING");
        }
        return watchedFrom(7);
    }

    /** Takes a call for a watch, and begins to answer it. */
    Socket watchedFrom(long version) throws IOException {
        Socket watch = list.accept();
        assertTrue(hear(watch).startsWith("GET /v1/servers?watch=1&after=" + version + " HTTP/1.1\r\n"));
        say(watch, CHUNKED);
        return watch;
    }

    /** The whole list, its one worker in this state. */
    void sayList(Socket call, long version, String state) throws IOException {
        String text = ("{'version':" + version + ",'full':true,'servers':[" + entry(state) + "]}").replace('\'', '"');
        say(call, "HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
    }

    /** Waits until the loop has read what is there by now, and done what that led to. */
    void rounds() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            CountDownLatch over = new CountDownLatch(1);
            node.afterIoRound(over::countDown);
            over.await();
        }
    }

    /** Waits until the loop has done all that it had to do by now. */
    void settle() throws IOException {
        ask("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    /** Waits until something was counted so often. */
    void awaitCount(String name, long times) throws InterruptedException {
        while (node.invariants().counted(name) < times) {
            Thread.sleep(5);
        }
    }

    /** A whole request and its answer on a connection of its own. */
    String ask(String message) throws IOException {
        try (Socket s = connect()) {
            say(s, message);
            return hear(s);
        }
    }

    static String post(String path, String headers, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: app.svc\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String job(String id) {
        return post("/api", "Req-Id: " + id + "\r\nReq-Kind: render\r\nReq-Deadline-Ms: 20000\r\n", "work");
    }

    String tell(String id, String from, String state) throws IOException {
        return ask(post("/callback", "", ("{'id':'" + id + "','from':'" + from + "','state':'" + state + "','result':'r\\u00e9s'}").replace('\'', '"')));
    }

    /** One line of a watch, with ' for ", as discovery sends it. */
    static void line(Socket watch, String json) throws IOException {
        String text = json.replace('\'', '"') + "\n";
        say(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    static void say(Socket s, String message) throws IOException {
        s.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** One whole message with a length; what came of it, where the connection ends sooner. */
    static String hear(Socket s) throws IOException {
        InputStream in = s.getInputStream();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int end = -1;
        for (int b = in.read(); b >= 0; b = in.read()) {
            out.write(b);
            String text = out.toString(StandardCharsets.ISO_8859_1);
            if (end < 0 && text.endsWith("\r\n\r\n")) {
                int at = text.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
                end = out.size() + (at < 0 ? 0 : Integer.parseInt(text.substring(at + 16, text.indexOf('\r', at))));
            }
            if (out.size() == end) {
                break;
            }
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        node.stop();
        worker.close();
        list.close();
    }
}
