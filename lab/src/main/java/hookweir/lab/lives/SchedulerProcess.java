package hookweir.lab.lives;

import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.load.Target;
import hookweir.lab.net.Ports;
import hookweir.lab.record.EventSink;
import hookweir.lab.standin.Fleet;
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

/** One process of the scheduler, started by the line 'run' of deploy/balancer.toml, and its end. */
final class SchedulerProcess {
    static final String SCHEDULER_NAME = Fleet.SCHEDULER;
    private static final long STATE_TIMEOUT_MS = 30_000;
    private static final long EXIT_TIMEOUT_S = 20;

    private final ProcessHandle process;
    private final EventSink witness;
    private final String historyName;
    private final int adminPort;
    private final int debugPort;
    private final Path log;

    private SchedulerProcess(ProcessHandle process, EventSink witness, String as, int port, int debugPort, Path log) {
        this.process = process;
        this.witness = witness;
        this.historyName = as;
        this.adminPort = port;
        this.debugPort = debugPort;
        this.log = log;
        witness.accept(Event.of(Type.LIFE, "", "", as).how("start"));
    }

    /**
     * Starts a life; {@link #awaitReady} is to follow.
     *
     * @param number of this life among those of the scheduler, from 1
     * @param debugged an Error can be thrown in its loop
     */
    static SchedulerProcess start(Path root, Path folder, ListeningSocketHolder socketHolder, int port, int number, boolean debugged, EventSink witness) throws IOException {
        return start(root, folder, socketHolder, port, number, debugged, witness, Map.of());
    }

    /** As {@link #start(Path, Path, ListeningSocketHolder, int, int, boolean, EventSink)}, with further variables in its environment. */
    static SchedulerProcess start(Path root, Path folder, ListeningSocketHolder socketHolder, int port, int number, boolean debugged, EventSink witness,
            Map<String, String> extraEnvironment) throws IOException {
        int debugPort = debugged ? Ports.free() : 0;
        String command = debugged ? Target.runLine(root).replace(" -jar ", " " + Debugger.jvmFlag(debugPort) + " -jar ") : Target.runLine(root);
        Map<String, String> environment = new TreeMap<>(Map.of("RELAY_CONFIG", folder.resolve("config.json").toString(), "TMPDIR", folder.toString(),
            "RELAY_LISTEN", "127.0.0.1:" + port, "RELAY_ADMIN_ADDR", "127.0.0.1:" + Ports.free()));
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
        return new SchedulerProcess(process, witness, SCHEDULER_NAME + "/" + number, Integer.parseInt(environment.get("RELAY_ADMIN_ADDR").substring(10)), debugPort, log);
    }

    /** Waits until it takes clients, as it tells operators. */
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
        throw new IOException("the scheduler was not " + what + (process.isAlive() ? " in time" : ", it ended") + ": " + Files.readString(log));
    }

    /** What it tells operators of itself; 0 where nobody answers. */
    int healthStatus() {
        return getStatus(adminPort, "/admin/health");
    }

    /** A round trip through its loop: what was written to it before has been read. */
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

    /** Waits for a line of its log. */
    void awaitLog(String text) throws IOException, InterruptedException {
        awaitCondition("heard to say '" + text + "'", () -> Files.exists(log) && Files.readString(log).contains(text)); // a holder makes it late
    }

    /** All that it has logged so far. */
    String log() throws IOException {
        return Files.readString(log);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The process, as histories name it. */
    String historyName() {
        return historyName;
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** SIGKILL, and its end. */
    void kill() throws IOException {
        witness.accept(Event.of(Type.LIFE, "", "", historyName).how("kill"));
        process.destroyForcibly();
        awaitProcessEnd();
    }

    /** An Error in its loop, which ends it: the deed of the rig, as a SIGKILL would be. */
    void throwErrorInLoop() throws IOException, InterruptedException {
        Debugger.throwErrorInLoop(debugPort, () -> witness.accept(Event.of(Type.LIFE, "", "", historyName).how("kill")));
        awaitProcessEnd();
        if (!Files.readString(log).contains("the loop ended by")) {
            throw new IOException("an Error in the loop did not end the process as it should: " + Files.readString(log));
        }
    }

    /** SIGTERM. */
    void terminate() throws IOException, InterruptedException {
        witness.accept(Event.of(Type.LIFE, "", "", historyName).how("term"));
        signal("TERM");
    }

    /** Waits until it has ended by itself. */
    void awaitExit() throws IOException {
        awaitProcessEnd();
        witness.accept(Event.of(Type.LIFE, "", "", historyName).how("exit"));
    }

    private void awaitProcessEnd() throws IOException {
        try {
            process.onExit().get(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | CompletionException | TimeoutException e) {
            throw new IOException("the process did not end: " + e + " " + Files.readString(log));
        }
    }

    /** Ends it if it still runs, in no history. */
    void destroy() {
        process.destroyForcibly();
    }
}
