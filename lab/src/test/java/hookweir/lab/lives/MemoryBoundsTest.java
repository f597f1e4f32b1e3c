package hookweir.lab.lives;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.lab.net.Ports;
import hookweir.lab.record.EventSink;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Bad clients make the scheduler hold as much as it allows, in each state of a request: it lives, stays within its budget, and serves other
 * clients. Heads that waited behind another request on their connection were counted by no limit, and the process ran out of memory.
 */
@Timeout(120)
final class MemoryBoundsTest {
    private static final Path ROOT = Path.of("..");
    private static final String HELD_CLASS = "held";
    /** Jobs of this class have a worker of their own, so that they don't wait for one that holds the others. */
    private static final String USUAL_CLASS = "usual";
    /** What a head may take at most, with some space for its other lines. */
    private static final String LONG_QUERY = "q=" + "a".repeat(15_600);
    private static final String UNFINISHED = "a".repeat(15_000);
    private static final int PIPELINED = 9;
    private static final int BODY_BYTES = 60_000;
    private static final int SMALL_BODY_BYTES = 2_000;
    /** Writes without progress until the scheduler has read all that it wants to. */
    private static final int IDLE_ROUNDS = 60;
    private static final int ROUND_MS = 5;
    /** Heap in use in relation to the bytes that the budget counts. */
    private static final double MAX_HEAP_FACTOR = 2;
    /** What a job takes beside those bytes, as `limits.held_jobs` assumes. */
    private static final int JOB_BYTES = 4096;
    /** What a connection may hold beside the budget: input that can't be parsed yet. */
    private static final int CONNECTION_BYTES = 16 * 1024;

    @TempDir
    Path folder;

    /** What the bad clients make the scheduler hold. */
    private enum State {
        /** The head of a request that is being read. */
        HEAD,
        /** A line of a trailer that is being read. */
        TRAILER,
        /** Large heads of requests that wait behind another one on their connection. */
        WAITING_HEADS,
        /** Short requests that wait behind another one. */
        WAITING_REQUESTS,
        /** Large heads of jobs that a worker holds. */
        JOB_HEADS,
        /** Bodies that are being read. */
        BODY,
        /** Bodies of jobs that a worker holds. */
        JOB_BODIES,
        /** Input behind as many requests as may wait. */
        UNPARSED;

        /** What one connection sends. */
        String input(String id) {
            return switch (this) {
                case HEAD -> "GET /api?" + UNFINISHED;
                case TRAILER -> "POST /api HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nx: " + UNFINISHED;
                case WAITING_HEADS -> requests(id, PIPELINED, LONG_QUERY, SMALL_BODY_BYTES);
                case WAITING_REQUESTS -> requests(id, PIPELINED, "q=1", SMALL_BODY_BYTES);
                case JOB_HEADS -> requests(id, 1, LONG_QUERY, 1);
                case BODY -> requests(id, 1, "q=1", BODY_BYTES).substring(0, BODY_BYTES);
                case JOB_BODIES -> requests(id, 1, "q=1", BODY_BYTES);
                case UNPARSED -> requests(id, PIPELINED, "q=1", 1) + "GET /healthz?" + UNFINISHED;
            };
        }

        private static String requests(String id, int count, String query, int bodyBytes) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < count; i++) {
                all.append(job(id + "-" + i, HELD_CLASS, query, bodyBytes));
            }
            return all.toString();
        }
    }

    private static String job(String id, String requestClass, String query, int bodyBytes) {
        return "POST /api?" + query + " HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Kind: " + requestClass
            + "\r\nReq-Deadline-Ms: 20000\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "b".repeat(bodyBytes);
    }

    /** A worker that runs the jobs of usual clients at once and never ends others. */
    private static final class Worker implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        private final int schedulerPort;

        Worker(int schedulerPort) throws IOException {
            this.schedulerPort = schedulerPort;
            startThread(() -> {
                while (true) {
                    Socket connection = listener.accept();
                    startThread(() -> serve(connection));
                }
            });
        }

        private interface IoTask {
            void run() throws IOException;
        }

        private static void startThread(IoTask task) {
            Thread thread = new Thread(() -> {
                try {
                    task.run();
                } catch (IOException e) {
                    Thread.currentThread().interrupt(); // the connection or the test has ended
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        private void serve(Socket connection) throws IOException {
            InputStream in = connection.getInputStream();
            for (BlockingHttp.Message request = BlockingHttp.readMessage(in); request != null; request = BlockingHttp.readMessage(in)) {
                BlockingHttp.write(connection, "HTTP/1.1 202 A\r\nContent-Length: 0\r\n\r\n");
                String id = BlockingHttp.header(request.head(), "Req-Id");
                if (id != null && id.startsWith("usual-")) {
                    String body = "{\"id\":\"" + id + "\",\"from\":\"usual\",\"state\":\"done\",\"result\":\"r\"}";
                    exchange(schedulerPort, "POST /callback HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** Sends a message on a connection of its own and returns the head of the response; empty if the connection ends before. */
    private static String exchange(int port, String message) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(15_000);
            BlockingHttp.write(socket, message);
            BlockingHttp.Message response = BlockingHttp.readMessage(socket.getInputStream());
            return response == null ? "" : response.head();
        }
    }

    /** Opens connections, each with the input of the next state, and writes until the scheduler reads no more. */
    private static List<SocketChannel> fill(int port, int connections, List<State> states) throws IOException, InterruptedException {
        List<SocketChannel> channels = new ArrayList<>();
        List<ByteBuffer> inputs = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            SocketChannel channel = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            channel.configureBlocking(false);
            channels.add(channel);
            inputs.add(ByteBuffer.wrap(states.get(i % states.size()).input("bad-" + i).getBytes(StandardCharsets.ISO_8859_1)));
        }
        for (int idle = 0; idle < IDLE_ROUNDS; idle++) {
            for (int i = 0; i < connections; i++) {
                try {
                    idle = channels.get(i).write(inputs.get(i)) > 0 ? 0 : idle;
                } catch (IOException closed) {
                    inputs.get(i).position(inputs.get(i).limit()); // rejected
                }
            }
            Thread.sleep(ROUND_MS);
        }
        return channels;
    }

    private static double metric(String page, String name) {
        Matcher value = Pattern.compile("(?m)^svc_" + name + " ([0-9.eE+]+)").matcher(page);
        assertTrue(value.find(), page);
        return Double.parseDouble(value.group(1));
    }

    /** Heap in use after a full collection, in bytes. */
    private static double heapInUse(SchedulerProcess scheduler, Path gcLog) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder("jcmd", Long.toString(scheduler.pid()), "GC.run").redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD).start().waitFor());
        Matcher pauses = Pattern.compile("Pause Full.*->(\\d+)([KM])\\(").matcher(Files.readString(gcLog));
        double used = 0;
        while (pauses.find()) {
            used = Double.parseDouble(pauses.group(1)) * (pauses.group(2).equals("K") ? 1 << 10 : 1 << 20);
        }
        return used;
    }

    private static String workerEntry(String id, int port, String kind) {
        return "{'id':'" + id + "','addr':'127.0.0.1:" + port + "','zone':'a','kind':'" + kind + "','cell':0,'state':'SERVING','weight':1.0,"
            + "'started_ms':0}";
    }

    private static String classEntry(String name) {
        return "{'name':'" + name + "','aim_us':10000000,'deadline_us':20000000,'semantics':'read_like','key_scope':'all'}";
    }

    /** The list service can't be reached, so the scheduler serves by the cached worker list. */
    private static String config(int workerPort, int closedPort, int descriptors) {
        return ("{'listen':'127.0.0.1:1','discovery':'127.0.0.1:" + closedPort + "','seed':'1','limits':{'sockets':" + descriptors + "},"
            + "'known':{'version':1,'full':true,'servers':[" + workerEntry("w", workerPort, HELD_CLASS) + ","
            + workerEntry("usual", workerPort, USUAL_CLASS) + "]},'settings':{'classes':[" + classEntry(HELD_CLASS) + "," + classEntry(USUAL_CLASS)
            + "],'family_info':{'class_kind':[0,1]},'zones':['a'],'kinds':['" + HELD_CLASS + "','" + USUAL_CLASS + "'],'discovery':'ask',"
            + "'rules':{'ask_within_us':4000000},'stats':{'via':'pull','fields':['x0']},'limits':{'max_attempts':3,'probes':false,"
            + "'cancel':true,'dial_timeout_us':250000,'conn_idle_us':10000000}}}").replace('\'', '"');
    }

    @ParameterizedTest
    @CsvSource({"HEAD,48,1024", "TRAILER,48,1024", "WAITING_HEADS,48,1024", "WAITING_REQUESTS,48,1024", "JOB_HEADS,48,1024", "BODY,48,1024",
        "JOB_BODIES,48,1024", "UNPARSED,48,1024", "ALL,32,256", "ALL,32,1024", "ALL,48,256", "ALL,48,1024", "ALL,64,256", "ALL,64,1024"})
    void schedulerStaysWithinItsBudget(String held, int heapMb, int descriptors) throws Exception {
        List<State> states = held.equals("ALL") ? List.of(State.values()) : List.of(State.valueOf(held));
        int port = Ports.allocate();
        Path gcLog = folder.resolve("gc.log");
        try (Worker worker = new Worker(port)) {
            Files.writeString(folder.resolve("config.json"), config(worker.listener.getLocalPort(), Ports.allocate(), descriptors));
            SchedulerProcess scheduler = SchedulerProcess.start(ROOT, folder, null, port, 1, false, EventSink.NONE,
                Map.of("_JAVA_OPTIONS", "-Xmx" + heapMb + "m -Xlog:gc:file=" + gcLog));
            try {
                scheduler.awaitReady();
                assertTrue(exchange(port, job("usual-0", USUAL_CLASS, "q", 10)).startsWith("HTTP/1.1 200"));
                double heapBefore = heapInUse(scheduler, gcLog);
                List<SocketChannel> channels = fill(port, descriptors / 3, states);
                String page = scheduler.adminPage("stats");
                double heapUsed = heapInUse(scheduler, gcLog) - heapBefore;
                String response = exchange(port, job("usual-1", USUAL_CLASS, "q", 10));
                double max = metric(page, "held_bytes_max");
                String figures = held + " " + heapMb + " " + descriptors + ": held " + metric(page, "held_bytes") + " of " + max + ", heap " + heapUsed;
                System.out.println(figures);
                assertTrue(scheduler.isAlive(), figures);
                assertTrue(metric(page, "held_bytes") <= max, figures);
                double expected = MAX_HEAP_FACTOR * metric(page, "held_bytes") + JOB_BYTES * metric(page, "held_jobs")
                    + CONNECTION_BYTES * channels.size();
                assertTrue(heapUsed <= expected, figures + ", expected at most " + expected);
                assertTrue(response.startsWith("HTTP/1.1 200"), figures + ", " + response);
                for (SocketChannel channel : channels) {
                    channel.close();
                }
            } finally {
                scheduler.destroy();
            }
        }
    }
}
