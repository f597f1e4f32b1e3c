package hookweir.lab.lives;

import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.load.TargetProcess;
import hookweir.lab.net.Ports;
import hookweir.lab.record.EventSink;
import hookweir.lab.standin.StubWorkers;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** One scheduler process, started with the command 'run' of deploy/balancer.toml; records its start and its end in the history. */
final class SchedulerProcess {
    static final String SCHEDULER_NAME = StubWorkers.SCHEDULER_NAME;
    /** The longest wait for a process to become ready or to write a log line. */
    private static final long STATE_TIMEOUT_MS = 30_000;
    private static final long EXIT_TIMEOUT_S = 20;

    private final ProcessHandle process;
    private final EventSink witness;
    private final String historyName;
    private final int adminPort;
    private final int debugPort;
    private final Path log;

    private SchedulerProcess(ProcessHandle process, EventSink witness, String historyName, int adminPort, int debugPort, Path log) {
        this.process = process;
        this.witness = witness;
        this.historyName = historyName;
        this.adminPort = adminPort;
        this.debugPort = debugPort;
        this.log = log;
        witness.accept(Event.of(Type.LIFE, "", "", historyName).how("start"));
    }

    /**
     * Starts a process; call {@link #awaitReady} before using it.
     *
     * @param socketHolder passes the listening socket to the process; null: the process opens its own
     * @param number       of this process among those of the scheduler, from 1
     * @param debugged     whether {@link #throwErrorInLoop} can be used
     */
    static SchedulerProcess start(Path root, Path folder, ListeningSocketHolder socketHolder, int port, int number, boolean debugged,
            EventSink witness) throws IOException {
        return start(root, folder, socketHolder, port, number, debugged, witness, Map.of());
    }

    /** As {@link #start(Path, Path, ListeningSocketHolder, int, int, boolean, EventSink)}, with additional environment variables. */
    static SchedulerProcess start(Path root, Path folder, ListeningSocketHolder socketHolder, int port, int number, boolean debugged,
            EventSink witness, Map<String, String> extraEnvironment) throws IOException {
        int debugPort = debugged ? Ports.allocate() : 0;
        String command = debugged ? TargetProcess.runCommand(root).replace(" -jar ", " " + Debugger.jvmFlag(debugPort) + " -jar ")
            : TargetProcess.runCommand(root);
        Map<String, String> environment = new TreeMap<>(Map.of("RELAY_CONFIG", folder.resolve("config.json").toString(), "TMPDIR", folder.toString(),
            "RELAY_LISTEN", "127.0.0.1:" + port, "RELAY_ADMIN_ADDR", "127.0.0.1:" + Ports.allocate()));
        environment.putAll(extraEnvironment);
        Path log = folder.resolve("log" + number);
        ProcessHandle process;
        if (socketHolder == null) {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec " + command).directory(root.toFile());
            builder.environment().putAll(environment);
            builder.redirectErrorStream(true).redirectOutput(new File(log.toString()));
            process = builder.start().toHandle();
        } else {
            StringBuilder shellCommand = new StringBuilder("cd '" + root.toAbsolutePath() + "' && RELAY_FD=0");
            environment.forEach((k, v) -> shellCommand.append(' ').append(k).append("='").append(v).append('\''));
            process = socketHolder.start(shellCommand + " exec " + command, log);
        }
        return new SchedulerProcess(process, witness, SCHEDULER_NAME + "/" + number, Integer.parseInt(environment.get("RELAY_ADMIN_ADDR").substring(10)),
            debugPort, log);
    }

    /** Waits until the health page reports that the scheduler accepts clients. */
    void awaitReady() throws IOException, InterruptedException {
        awaitCondition("ready", () -> healthStatus() == 200);
    }

    private interface Condition {
        boolean isMet() throws IOException;
    }

    private void awaitCondition(String what, Condition condition) throws IOException, InterruptedException {
        for (long end = System.currentTimeMillis() + STATE_TIMEOUT_MS; System.currentTimeMillis() < end && process.isAlive(); Thread.sleep(5)) {
            if (condition.isMet()) {
                return;
            }
        }
        throw new IOException("the scheduler was not " + what + (process.isAlive() ? " in time" : ", the process ended") + ": " + Files.readString(log));
    }

    /** The HTTP status of the health page; 0 without a response. */
    int healthStatus() {
        return getStatus(adminPort, "/admin/health");
    }

    /** Returns a page of the admin address, with its head. */
    String adminPage(String name) throws IOException {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), adminPort)) {
            s.getOutputStream().write(("GET /admin/" + name + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** The id of the process. */
    long pid() {
        return process.pid();
    }

    /**
     * Requests a page and returns its HTTP status, 0 without a response. As the request passes through the event loop, a response means
     * that the scheduler has read everything written to it before.
     */
    static int getStatus(int port, String path) {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(5000);
            OutputStream out = s.getOutputStream();
            out.write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            String head = new String(s.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
            return head.length() < 12 ? 0 : Integer.parseInt(head.substring(9));
        } catch (IOException e) {
            return 0;
        }
    }

    /** Waits until the log contains the text. */
    void awaitLog(String text) throws IOException, InterruptedException {
        // A process started by a socket holder creates its log only after its start has been reported.
        awaitCondition("seen to log '" + text + "'", () -> Files.exists(log) && Files.readString(log).contains(text));
    }

    /** The log so far. */
    String log() throws IOException {
        return Files.readString(log);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The name of this process in histories. */
    String historyName() {
        return historyName;
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Sends SIGKILL and waits for the end of the process. */
    void kill() throws IOException {
        witness.accept(Event.of(Type.LIFE, "", "", historyName).how("kill"));
        process.destroyForcibly();
        awaitProcessEnd();
    }

    /** Throws an Error in the event loop, which ends the process. The history records it as a kill, because the test caused the end. */
    void throwErrorInLoop() throws IOException, InterruptedException {
        Debugger.throwErrorInLoop(debugPort, () -> witness.accept(Event.of(Type.LIFE, "", "", historyName).how("kill")));
        awaitProcessEnd();
        if (!Files.readString(log).contains("the loop ended by")) {
            throw new IOException("an Error in the loop did not end the process as it should: " + Files.readString(log));
        }
    }

    /** Sends SIGTERM. */
    void terminate() throws IOException, InterruptedException {
        witness.accept(Event.of(Type.LIFE, "", "", historyName).how("term"));
        signal("TERM");
    }

    /** Waits until the process has ended by itself, and records that. */
    void awaitExit() throws IOException {
        awaitProcessEnd();
        witness.accept(Event.of(Type.LIFE, "", "", historyName).how("exit"));
    }

    /**
     * Waits until the process has ended by itself, and records that.
     *
     * @param untilNs the end of the wait, by {@link System#nanoTime}
     * @return whether it has ended
     */
    boolean awaitExitUntil(long untilNs) throws IOException, InterruptedException {
        try {
            process.onExit().get(Math.max(0, untilNs - System.nanoTime()), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            throw new IOException("the process can't be watched: " + e, e);
        }
        witness.accept(Event.of(Type.LIFE, "", "", historyName).how("exit"));
        return true;
    }

    private void awaitProcessEnd() throws IOException {
        try {
            process.onExit().get(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | CompletionException | TimeoutException e) {
            throw new IOException("the process did not end: " + e + ", log: " + Files.readString(log));
        }
    }

    /** Kills the process if it still runs, without recording it. */
    void destroy() {
        process.destroyForcibly();
    }
}
