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

/** A scheduler on a free port with one worker and one list service, both plain server sockets on which the test sends each response itself. */
final class TestNode implements AutoCloseable {
    /** A worker's response by which it accepts a job. */
    static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    /** The head of the list service's response to a watch. */
    static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    final ServerSocket workerListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    final ServerSocket listService = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    final Node node;
    final int port;
    final Thread loopThread;
    /** The watch of the worker list that the scheduler opened at its start; null where the test accepts it itself. */
    final Socket watch;
    /** How many nanoseconds the scheduler's clock is ahead of the system clock. */
    volatile LongSupplier clockOffsetNs = () -> 0;
    private static final long FIRST_TIMER_US = 2_000;
    private static final long HEARTBEAT_INTERVAL_MS = 1_000;
    private static final long CLOCK_STEP_US = 20_000;
    private long frozenAtNs;
    private final String semantics;
    private final long deadlineUs;
    private final boolean probesEnabled;
    private final String limits;
    private final String listMode;
    /** The cached worker list, with ' in place of "; null for a list of one serving worker. */
    private final String cachedList;
    private final boolean cancelEnabled;

    /** The semantics of the request class: read_like, non_idempotent or idempotency_key. */
    TestNode(String semantics) throws IOException {
        this(semantics, 20_000_000);
    }

    TestNode(String semantics, long deadlineUs) throws IOException {
        this(semantics, deadlineUs, false);
    }

    TestNode(String semantics, long deadlineUs, boolean probesEnabled) throws IOException {
        this(semantics, deadlineUs, probesEnabled, null);
    }

    /** With the given process limits, as JSON members with ' in place of ". */
    TestNode(String semantics, long deadlineUs, String limits) throws IOException {
        this(semantics, deadlineUs, false, null, limits, "ask");
    }

    /** With a Unix socket path under which it finds other processes of its scheduler. */
    TestNode(String semantics, long deadlineUs, boolean probesEnabled, Path handoverPath) throws IOException {
        this(semantics, deadlineUs, probesEnabled, handoverPath, "'sockets':128", "ask");
    }

    /** The test plays the list service from the start: the scheduler has requested the changes and sends no job before the response. */
    static TestNode withUnconfirmedList(String semantics) throws IOException {
        return new TestNode(semantics, 20_000_000, false, null, "'sockets':128", "ask", true, false, false, null);
    }

    /** As {@link #withUnconfirmedList(String)}, with another cached worker list. */
    static TestNode withCachedList(String cachedList) throws IOException {
        return new TestNode("read_like", 20_000_000, false, null, "'sockets':128", "ask", true, false, false, cachedList);
    }

    /** As {@link #withUnconfirmedList(String)}, with a Unix socket path under which it finds other processes of its scheduler. */
    static TestNode withUnconfirmedList(String semantics, Path handoverPath) throws IOException {
        return new TestNode(semantics, 20_000_000, false, handoverPath, "'sockets':128", "ask", true, false, false, null);
    }

    /** The worker list is pushed to an agent on the same machine, which the scheduler watches. */
    static TestNode withPushedList() throws IOException {
        return new TestNode("read_like", 20_000_000, false, null, "'sockets':128", "push");
    }

    /** The scheduler's clock is frozen from its start. */
    static TestNode withFrozenClock(String semantics) throws IOException {
        return withFrozenClock(semantics, 20_000_000);
    }

    /** As above, with the deadline of the request class. */
    static TestNode withFrozenClock(String semantics, long deadlineUs) throws IOException {
        return withFrozenClock(semantics, deadlineUs, "'sockets':128");
    }

    /** The scheduler's clock is frozen from its start, with the given process limits, as JSON members with ' in place of ". */
    static TestNode withFrozenClock(String semantics, long deadlineUs, String limits) throws IOException {
        return new TestNode(semantics, deadlineUs, false, null, limits, "ask", true, true, true, null);
    }

    /** Attempts cannot be cancelled. */
    static TestNode withoutCancellation() throws IOException {
        return new TestNode("read_like", 20_000_000, false, null, "'sockets':128", "ask", false, false, true, null);
    }

    private TestNode(String semantics, long deadlineUs, boolean probesEnabled, Path handoverPath, String limits, String listMode)
            throws IOException {
        this(semantics, deadlineUs, probesEnabled, handoverPath, limits, listMode, true, false, listMode.equals("ask"), null);
    }

    private TestNode(String semantics, long deadlineUs, boolean probesEnabled, Path handoverPath, String limits, String listMode,
            boolean cancelEnabled, boolean startsFrozen, boolean confirmList, String cachedList) throws IOException {
        this.cachedList = cachedList;
        this.cancelEnabled = cancelEnabled;
        if (startsFrozen) {
            freezeClock();
        }
        this.limits = limits;
        this.listMode = listMode;
        this.probesEnabled = probesEnabled;
        this.semantics = semantics;
        this.deadlineUs = deadlineUs;
        workerListener.setSoTimeout(20_000);
        listService.setSoTimeout(20_000);
        Path file = Files.createTempFile("hookweir", ".json");
        Files.writeString(file, config("127.0.0.1:" + listService.getLocalPort()));
        Config config;
        try {
            Config parsed = ConfigReader.fromFile(file, Map.of());
            config = new Config(parsed.name(), parsed.listenAddress(), parsed.adminAddress(), parsed.listServiceAddress(), parsed.seed(),
                parsed.maxDescriptors(), parsed.maxHeldBytes(), parsed.maxHeldJobs(), parsed.cachedWorkerList(), parsed.settings(),
                false, true, handoverPath, parsed.sourceJson());
        } catch (InvalidSettingException e) {
            throw new IllegalStateException(e);
        }
        Files.delete(file);
        node = new Node(config, () -> System.nanoTime() + clockOffsetNs.getAsLong());
        port = node.start();
        loopThread = new Thread(() -> {
            try {
                node.run();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        loopThread.start();
        watch = confirmList ? confirmCachedList() : null;
    }

    /** Accepts the watch and confirms that the cached worker list is current. */
    private Socket confirmCachedList() throws IOException {
        try {
            if (frozenAtNs != 0) {
                awaitIoRounds();
                advanceFrozenClock(FIRST_TIMER_US); // the first call to the list service is started by a timer
            }
            Socket watch = acceptWatch(7);
            sendListLine(watch, "{'version':7,'full':false,'servers':[]}");
            awaitCount("list updates", 2);
            sendHeartbeats(watch);
            return watch;
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Sends the heartbeats of a watch without changes, which are empty lines, until the watch ends. */
    private static void sendHeartbeats(Socket watch) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Thread.sleep(HEARTBEAT_INTERVAL_MS);
                    sendListLine(watch, "");
                }
            } catch (IOException | InterruptedException e) {
                Thread.currentThread().interrupt(); // the watch has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** The configuration, with the list service at this address. */
    String config(String listServiceAddress) {
        return ("{'listen':'127.0.0.1:0','admin_addr':'127.0.0.1:0','discovery':'" + listServiceAddress + "','seed':'1','limits':{" + limits + "},"
            + "'known':" + (cachedList == null ? "{'version':7,'full':true,'servers':[" + workerEntry("SERVING") + "]}" : cachedList) + ","
            + "'settings':{'classes':[{'name':'render','aim_us':" + deadlineUs / 2 + ",'deadline_us':" + deadlineUs + ",'semantics':'"
            + semantics + "','key_scope':'all','window_us':20000000}],'zones':['a'],'kinds':['m'],"
            + "'discovery':'" + listMode + "','rules':{'ask_within_us':4000},"
            + "'stats':{'via':'pull','fields':['x0','errors_per_s']},"
            + "'limits':{'max_attempts':3,'probes':" + probesEnabled + ",'cancel':" + cancelEnabled + ",'dial_timeout_us':5000000}}}").replace('\'', '"');
    }

    String workerEntry(String state) {
        return "{'id':'s-01','addr':'127.0.0.1:" + workerListener.getLocalPort() + "','zone':'a','kind':'m','cell':0,'state':'"
            + state + "','weight':1.0,'started_ms':0}";
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(20_000);
        return socket;
    }

    /** Sends a request to the admin address on its own connection and returns everything that comes back. */
    String adminCall(String method, String path) throws IOException {
        try (Socket socket = connectAdmin()) {
            send(socket, method + " /admin/" + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    Socket connectAdmin() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.adminPort());
        socket.setSoTimeout(20_000);
        return socket;
    }

    /** Serves a job of this client by the worker, and returns the connection to the worker, which is idle then. */
    Socket serveJob(Socket client, String id) throws IOException {
        return serveJob(client, id, workerListener, "s-01");
    }

    /** As above, by the worker of this name, which listens on this socket. */
    Socket serveJob(Socket client, String id, ServerSocket listener, String workerId) throws IOException {
        send(client, job(id));
        Socket idleConnection = listener.accept();
        receive(idleConnection);
        send(idleConnection, ACCEPTED);
        sendCallback(id, workerId, "done");
        receive(client);
        return idleConnection;
    }

    /** Keeps the loop busy with one task after another until the latch is counted down; this is counted as "let go". */
    CountDownLatch keepLoopBusy() {
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

    /** Freezes the scheduler's clock until {@link #resumeClock}. */
    void freezeClock() {
        freezeClockAt(System.nanoTime() + clockOffsetNs.getAsLong());
    }

    /** Advances the frozen clock by this time; it stays frozen. */
    void advanceFrozenClock(long us) {
        freezeClockAt(frozenAtNs + us * 1000);
    }

    private void freezeClockAt(long ns) {
        frozenAtNs = ns;
        clockOffsetNs = () -> ns - System.nanoTime();
    }

    /** Advances the frozen clock by this time in steps, and handles what is due after each of them. */
    void advanceInSteps(long us) throws InterruptedException {
        for (long left = us; left > 0; left -= CLOCK_STEP_US) {
            advanceFrozenClock(Math.min(left, CLOCK_STEP_US));
            awaitIoRounds();
        }
    }

    /** Lets the clock run again, as if this time had passed. */
    void resumeClock(long us) {
        long offsetNs = clockOffsetNs.getAsLong() + us * 1000;
        clockOffsetNs = () -> offsetNs;
    }

    /** Blocks the loop, so that it reads nothing, until the latch is counted down. */
    CountDownLatch blockLoop() throws InterruptedException {
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

    /** Plays the agent of a pushed list: responds to the first call with the cached worker list and accepts the watch that follows. */
    Socket acceptListCallAndWatch() throws IOException {
        try (Socket call = listService.accept()) {
            assertTrue(receive(call).startsWith("GET /v1/servers HTTP/1.1\r\n"));
            sendWholeList(call, 7, "SERVING");
        }
        return acceptWatch(7);
    }

    /** Accepts a watch of the changes after this version and sends the head of the response. */
    Socket acceptWatch(long version) throws IOException {
        Socket watch = listService.accept();
        assertTrue(receive(watch).startsWith("GET /v1/servers?watch=1&after=" + version + " HTTP/1.1\r\n"));
        send(watch, CHUNKED_HEAD);
        return watch;
    }

    /** Accepts the first watch and sends a whole list of this worker on it, which then ends. */
    void acceptWatchAndSendList(String workerEntry) throws IOException {
        try (Socket firstWatch = acceptWatch(7)) {
            sendListLine(firstWatch, "{'version':8,'full':true,'servers':[" + workerEntry + "]}");
        }
    }

    /** Responds with a whole list of one worker in this state. */
    void sendWholeList(Socket call, long version, String state) throws IOException {
        String text = ("{'version':" + version + ",'full':true,'servers':[" + workerEntry(state) + "]}").replace('\'', '"');
        send(call, "HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
    }

    /** Waits until the loop has read all input that has arrived by now and handled what followed from it. */
    void awaitIoRounds() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            CountDownLatch done = new CountDownLatch(1);
            node.afterIoRound(done::countDown);
            done.await();
        }
    }

    /** Waits until the loop has run all tasks that it has by now. */
    void awaitLoop() throws IOException {
        request("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    /** Waits until the counter has reached this value. */
    void awaitCount(String name, long times) throws InterruptedException {
        while (node.invariants().counted(name) < times) {
            Thread.sleep(5);
        }
    }

    /** Sends one request on its own connection and returns the response. */
    String request(String message) throws IOException {
        try (Socket socket = connect()) {
            send(socket, message);
            return receive(socket);
        }
    }

    static String post(String path, String headers, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: app.svc\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String job(String id) {
        return job(id, 20_000);
    }

    static String job(String id, long deadlineMs) {
        return post("/api", "Req-Id: " + id + "\r\nReq-Kind: render\r\nReq-Deadline-Ms: " + deadlineMs + "\r\n", "work");
    }

    String sendCallback(String id, String workerId, String state) throws IOException {
        return request(post("/callback", "",
            ("{'id':'" + id + "','from':'" + workerId + "','state':'" + state + "','result':'r\\u00e9s'}").replace('\'', '"')));
    }

    /** Sends one line of a watch as the list service does, as a chunk; the JSON has ' in place of ". */
    static void sendListLine(Socket watch, String json) throws IOException {
        String text = json.replace('\'', '"') + "\n";
        send(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    static void send(Socket socket, String message) throws IOException {
        socket.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads one whole message with a Content-Length, or what has arrived of it if the connection ends sooner. */
    static String receive(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
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
        workerListener.close();
        listService.close();
    }
}
