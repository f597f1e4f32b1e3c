import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** What all cases share: the record, the scheduler's process, its configuration, threads, and the end of everything. */
final class Rig implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    /** A case may run for 120 s. */
    private static final long TIME_LIMIT_MS = 110_000;
    private static final long START_NS = System.nanoTime();

    private final PrintStream record;
    private final Path root;
    private final String run;
    private final Path folder;
    private final List<AutoCloseable> resources = new ArrayList<>();
    final int port;

    /** Arguments: the project's root, the record's file, and the run command of the deploy file. */
    Rig(String[] args) throws IOException {
        root = Path.of(args[0]);
        record = new PrintStream(Files.newOutputStream(Path.of(args[1])), true);
        run = args[2];
        folder = Files.createTempDirectory("review-2-");
        port = freePort();
        log("disruption: " + (TROUBLE ? "yes" : "no"));
    }

    interface Case {
        /** Returns null if the rule held, else how it was broken. */
        String play(Rig rig) throws Exception;
    }

    /** Plays a case and ends the process: 0 the rule held, 1 it was broken, 2 the case could not run. */
    static void main(String[] args, Case played) {
        int status = 2;
        spawn(() -> {
            Thread.sleep(TIME_LIMIT_MS);
            System.out.println("could not run: the case took too long");
            System.exit(2);
        });
        try (Rig rig = new Rig(args)) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::close));
            try {
                String broken = played.play(rig);
                rig.log(broken == null ? "RULE HELD" : "RULE BROKEN: " + broken);
                System.out.println(broken == null ? "rule held" : "rule broken: " + broken);
                status = broken == null ? 0 : 1;
            } catch (Exception e) {
                rig.log("COULD NOT RUN: " + e);
                System.out.println("could not run: " + e);
            }
        } catch (Exception e) {
            System.out.println("could not run: " + e);
        }
        Runtime.getRuntime().halt(status);
    }

    static long nowMs() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    synchronized void log(String text) {
        record.printf(Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - START_NS) / 1e9, text);
    }

    /** A free port below the range from which the system takes ports for connections. */
    static int freePort() throws IOException {
        for (int i = 0; i < 200; i++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return port;
            } catch (IOException e) {
                continue; // in use
            }
        }
        throw new IOException("no free port");
    }

    <T extends AutoCloseable> T closeLater(T resource) {
        synchronized (resources) {
            resources.add(resource);
        }
        return resource;
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread spawn(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // a connection ended, or the case is over
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Listens on a free loopback port and handles each connection on its own thread. */
    ServerSocket listen(Consumer<Socket> handler) throws IOException {
        ServerSocket server = closeLater(new ServerSocket(0, 256, InetAddress.getLoopbackAddress()));
        spawn(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                spawn(() -> handler.accept(socket));
            }
        });
        return server;
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 5000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** The settings of a small deployment, in the words of the wire page; classes as JSON objects. */
    String config(int discoveryPort, String classes, String known, boolean probes) {
        return ("{'name':'n0','listen':'127.0.0.1:" + port + "','discovery':'127.0.0.1:" + discoveryPort + "','seed':'8c1f30d27a5be964',"
            + "'limits':{'cores':1.0,'memory_mb':192,'sockets':1024},"
            + "'known':" + known + ",'settings':{'classes':[" + classes + "],'clients':{'marks_retry':false},'discovery':'ask',"
            + "'family_info':{'class_kind':[-1,-1],'class_priority':[0,0],'class_stretch':[2.0,2.0],'progress_us':0,'queue_order':'fifo',"
            + "'report_x0':'free slots','tells_start':true},'goal':{'whole':0.6,'worst_class':0.3,'worst_tenant':0.0,'worst_window':0.1},"
            + "'instances':1,'kinds':['large'],'layer':0,'limits':{'cancel':true,'conn_idle_us':15000000,'cpu_us_per_request':0.0,"
            + "'cpu_us_per_s':40000,'dial_timeout_us':250000,'max_attempts':5,'max_open':20000,'max_retry_after_us':2000000,'peers':false,"
            + "'probes':" + probes + ",'retry_after':true,'second_copies':false,'streams_per_conn':1},'me':0,'orgs':[],'over_share_worth':0.1,"
            + "'prices':{'cross_zone':0.0,'handshake':0.02,'late_fail':0.08,'probe':0.01,'waste':0.055},"
            + "'rules':{'answer_slack_us':8000,'ask_within_us':10000000,'cold_share':0.16,'drain_grace_us':250000,'fall_multiple':3.0,"
            + "'fall_us':1000000,'warm_within_us':24000000},'stages':['calc-workers'],"
            + "'stats':{'fields':['x0','utilization','errors_per_s'],'via':'" + (probes ? "pull" : "piggyback") + "'},"
            + "'tick_us':2000,'value_by':'work','weights':'nominal','workload':'jobs','zone':0,'zones':['tallinn']}}").replace('\'', '"');
    }

    /** Starts the scheduler by the command of the deploy file, and waits until it says that it is ready. */
    Process startScheduler(String configuration) throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, configuration);
        Path temporary = Files.createDirectories(folder.resolve("tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
        builder.environment().putAll(Map.of("RELAY_CONFIG", config.toString(), "TMPDIR", temporary.toString()));
        builder.environment().keySet().removeAll(List.of("RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_FD", "RELAY_ADMIN_ADDR"));
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        Process process = builder.start();
        closeLater(() -> {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        });
        for (long end = nowMs() + 30_000; nowMs() < end && process.isAlive(); Thread.sleep(50)) {
            try (Socket socket = connect(port)) {
                socket.setSoTimeout(2000);
                socket.getOutputStream().write(Http.bytes("GET /healthz HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"));
                Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
                if (answer != null && answer.status() == 200 && process.isAlive()) {
                    log("scheduler is ready");
                    return process;
                }
            } catch (IOException e) {
                continue; // not yet
            }
        }
        throw new IOException("the scheduler did not become ready");
    }

    /** Copies the scheduler's log to the end of the record. */
    private void copyLog() {
        try {
            record.println("--- the scheduler's log ---");
            Files.readAllLines(folder.resolve("log")).forEach(record::println);
        } catch (IOException e) {
            record.println("no log");
        }
    }

    @Override
    public void close() {
        synchronized (resources) {
            if (resources.isEmpty()) {
                return;
            }
            for (int i = resources.size() - 1; i >= 0; i--) {
                try {
                    resources.get(i).close();
                } catch (Exception e) {
                    // ended already
                }
            }
            resources.clear();
        }
        copyLog();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // left behind in the temporary folder
        }
    }
}
