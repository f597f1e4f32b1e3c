package hookweir.lab.load;

import hookweir.lab.net.Ports;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process under load: a scheduler, started by the same command that operators use, or the {@link Echo} server it is compared with. */
public final class TargetProcess implements AutoCloseable {
    /** Attempts a job may have under the configuration that {@link #startScheduler} writes. */
    static final int MAX_ATTEMPTS = 3;

    private static final long READY_TIMEOUT_MS = 20_000;
    private static final double CLOCK_TICKS_PER_SECOND = 100;
    private static final Pattern GC_PAUSE = Pattern.compile("(\\d+)([KM])->(\\d+)([KM])\\(");

    private final Process process;
    private final int port;
    private final Path directory;

    private TargetProcess(Process process, int port, Path folder) {
        this.process = process;
        this.port = port;
        this.directory = folder;
    }

    /**
     * Starts a scheduler by the command 'run' of deploy/balancer.toml, pinned to the given CPU.
     *
     * @param root the folder that the command is run in
     * @param cpu the CPU, or -1 for any
     * @param listPort the port that serves the worker list
     * @param aimMs the target latency of the request class; its deadline is twice as long
     * @param sockets the setting limits.sockets
     * @param via how workers report their load: the value of the setting stats.via
     * @param flags additional flags for the JVM, which override earlier ones
     */
    public static TargetProcess startScheduler(Path root, int cpu, int listPort, long aimMs, int sockets, String via, String flags)
            throws IOException, InterruptedException {
        int port = Ports.allocate();
        Path folder = Files.createTempDirectory("hookweir-load");
        Path config = folder.resolve("config.json");
        Files.writeString(config, configJson(port, listPort, aimMs, sockets, via));
        String run = runCommand(root).replace(" -jar ", " " + flags + " -Xlog:gc:file=" + folder.resolve("gc.log") + ":none -jar ");
        return start(root, cpu, run, Map.of("RELAY_CONFIG", config.toString(), "TMPDIR", folder.toString()), port, folder);
    }

    /** Starts {@link Echo} in its own process, with the scheduler's JVM flags but without a class data archive. */
    public static TargetProcess startEcho(Path root, int cpu, Path jar) throws IOException, InterruptedException {
        int port = Ports.allocate();
        Path folder = Files.createTempDirectory("hookweir-echo");
        String run = "java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms24m -Xmx48m -XX:MaxDirectMemorySize=16m -Xlog:gc:file="
            + folder.resolve("gc.log") + ":none -cp " + jar + " hookweir.lab.load.Echo " + port;
        return start(root, cpu, run, Map.of(), port, folder);
    }

    private static TargetProcess start(Path root, int cpu, String run, Map<String, String> env, int port, Path folder)
            throws IOException, InterruptedException {
        String pinned = (cpu < 0 ? "" : "taskset -c " + cpu + " ") + run;
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec " + pinned).directory(root.toFile());
        builder.environment().putAll(env);
        builder.redirectErrorStream(true).redirectOutput(new File(folder.toFile(), "log"));
        TargetProcess target = new TargetProcess(builder.start(), port, folder);
        target.awaitReady();
        return target;
    }

    private void awaitReady() throws IOException, InterruptedException {
        for (long end = System.currentTimeMillis() + READY_TIMEOUT_MS; System.currentTimeMillis() < end; Thread.sleep(20)) {
            if (!process.isAlive()) {
                break;
            }
            try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
                s.setSoTimeout(2000);
                s.getOutputStream().write("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                if (new String(s.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith("200")) {
                    return;
                }
            } catch (IOException e) {
                continue; // not listening yet
            }
        }
        throw new IOException("the process did not become ready: " + logTail());
    }

    /** The command that 'run' in deploy/balancer.toml executes. */
    public static String runCommand(Path root) throws IOException {
        Matcher line = Pattern.compile("(?m)^run = \"exec (.*?)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("deploy/balancer.toml: no line 'run = \"exec ...\"'");
        }
        return line.group(1);
    }

    private static String configJson(int port, int listPort, long aimMs, int sockets, String via) {
        return ("{'name':'load','listen':'127.0.0.1:" + port + "','discovery':'127.0.0.1:" + listPort + "','seed':'1',"
            + "'limits':{'sockets':" + sockets + "},'settings':{'classes':[{'name':'job','aim_us':" + aimMs * 1000 + ",'deadline_us':"
            + 2 * aimMs * 1000 + ",'semantics':'read_like','key_scope':'all'}],'zones':['a'],'kinds':['m'],'discovery':'ask',"
            + "'rules':{'ask_within_us':4000000},'stats':{'via':'" + via + "','fields':['x0']},'limits':{'max_attempts':" + MAX_ATTEMPTS + ",'probes':true,"
            + "'cancel':true,'retry_after':true,'max_retry_after_us':1000000,'dial_timeout_us':250000,'conn_idle_us':10000000}}}").replace('\'', '"');
    }

    /** The port on which the process listens. */
    public int port() {
        return port;
    }

    /** CPU time used so far, in seconds. */
    public double cpuSeconds() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / CLOCK_TICKS_PER_SECOND;
    }

    /** Current resident memory, in bytes. */
    public long residentBytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
            }
        }
        return 0;
    }

    /** Bytes allocated up to the last garbage collection, summed from the heap's growth between collections in the GC log. */
    public long allocatedBytes() throws IOException {
        long sum = 0;
        long usedAfterGc = 0;
        for (String line : Files.readAllLines(directory.resolve("gc.log"))) {
            Matcher m = GC_PAUSE.matcher(line);
            if (m.find()) {
                sum += toBytes(m.group(1), m.group(2)) - usedAfterGc;
                usedAfterGc = toBytes(m.group(3), m.group(4));
            }
        }
        return sum;
    }

    private static long toBytes(String n, String unit) {
        return Long.parseLong(n) * (unit.equals("K") ? 1 << 10 : 1 << 20);
    }

    /** Whether the process is running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** The process id, for profilers. */
    public long pid() {
        return process.pid();
    }

    /** The last lines of the process's output. */
    public String logTail() throws IOException {
        List<String> lines = Files.readAllLines(directory.resolve("log"), StandardCharsets.ISO_8859_1);
        return String.join("\n", lines.subList(Math.max(0, lines.size() - 5), lines.size()));
    }

    @Override
    public void close() throws IOException {
        process.destroy();
        try {
            if (!process.waitFor(8, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
