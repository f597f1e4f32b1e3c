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
final class Life {
    static final String NAME = Fleet.SCHEDULER;
    private static final long READY_MS = 30_000;
    private static final long DEAD_S = 20;

    private final ProcessHandle process;
    private final EventSink witness;
    private final String as;
    private final int port;
    private final int debugPort;
    private final Path log;

    private Life(ProcessHandle process, EventSink witness, String as, int port, int debugPort, Path log) {
        this.process = process;
        this.witness = witness;
        this.as = as;
        this.port = port;
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
    static Life start(Path root, Path folder, Holder shared, int port, int number, boolean debugged, EventSink witness) throws IOException {
        return start(root, folder, shared, port, number, debugged, witness, Map.of());
    }

    /** As {@link #start(Path, Path, Holder, int, int, boolean, EventSink)}, with further variables in its environment. */
    static Life start(Path root, Path folder, Holder shared, int port, int number, boolean debugged, EventSink witness,
            Map<String, String> variables) throws IOException {
        int debugPort = debugged ? Ports.free() : 0;
        String run = debugged ? Target.runLine(root).replace(" -jar ", " " + Debugger.flag(debugPort) + " -jar ") : Target.runLine(root);
        Map<String, String> env = new TreeMap<>(Map.of("RELAY_CONFIG", folder.resolve("config.json").toString(), "TMPDIR", folder.toString(),
            "RELAY_LISTEN", "127.0.0.1:" + port, "RELAY_ADMIN_ADDR", "127.0.0.1:" + Ports.free()));
        env.putAll(variables);
        Path log = folder.resolve("log" + number);
        ProcessHandle process;
        if (shared == null) {
            ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", "exec " + run).directory(root.toFile());
            b.environment().putAll(env);
            b.redirectErrorStream(true).redirectOutput(new File(log.toString()));
            process = b.start().toHandle();
        } else {
            StringBuilder told = new StringBuilder("cd '" + root.toAbsolutePath() + "' && RELAY_FD=0");
            env.forEach((k, v) -> told.append(' ').append(k).append("='").append(v).append('\''));
            process = shared.start(told + " exec " + run, log);
        }
        return new Life(process, witness, NAME + "/" + number, Integer.parseInt(env.get("RELAY_ADMIN_ADDR").substring(10)), debugPort, log);
    }

    /** Waits until it takes clients, as it tells operators. */
    void awaitReady() throws IOException, InterruptedException {
        await("ready", () -> health() == 200);
    }

    private interface Sign {
        boolean seen() throws IOException;
    }

    private void await(String what, Sign sign) throws IOException, InterruptedException {
        for (long end = System.currentTimeMillis() + READY_MS; System.currentTimeMillis() < end && process.isAlive(); Thread.sleep(5)) {
            if (sign.seen()) {
                return;
            }
        }
        throw new IOException("the scheduler was not " + what + (process.isAlive() ? " in time" : ", it ended") + ": " + Files.readString(log));
    }

    /** What it tells operators of itself; 0 where nobody answers. */
    int health() {
        return ask(port, "/admin/health");
    }

    /** A round trip through its loop: what was written to it before has been read. */
    static int ask(int port, String path) {
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
        await("heard to say '" + text + "'", () -> Files.exists(log) && Files.readString(log).contains(text)); // a holder makes it late
    }

    /** All that it has logged so far. */
    String log() throws IOException {
        return Files.readString(log);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The process, as histories name it. */
    String as() {
        return as;
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** SIGKILL, and its end. */
    void kill() throws IOException {
        witness.accept(Event.of(Type.LIFE, "", "", as).how("kill"));
        process.destroyForcibly();
        awaitEnd();
    }

    /** An Error in its loop, which ends it: the deed of the rig, as a SIGKILL would be. */
    void strike() throws IOException, InterruptedException {
        Debugger.strike(debugPort, () -> witness.accept(Event.of(Type.LIFE, "", "", as).how("kill")));
        awaitEnd();
        if (!Files.readString(log).contains("the loop ended by")) {
            throw new IOException("an Error in the loop did not end the process as it should: " + Files.readString(log));
        }
    }

    /** SIGTERM. */
    void term() throws IOException, InterruptedException {
        witness.accept(Event.of(Type.LIFE, "", "", as).how("term"));
        signal("TERM");
    }

    /** Waits until it has ended by itself. */
    void left() throws IOException {
        awaitEnd();
        witness.accept(Event.of(Type.LIFE, "", "", as).how("exit"));
    }

    private void awaitEnd() throws IOException {
        try {
            process.onExit().get(DEAD_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | CompletionException | TimeoutException e) {
            throw new IOException("the process did not end: " + e + " " + Files.readString(log));
        }
    }

    /** Ends it if it still runs, in no history. */
    void discard() {
        process.destroyForcibly();
    }
}
