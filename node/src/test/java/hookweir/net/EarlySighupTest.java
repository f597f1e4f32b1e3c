package hookweir.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** SIGHUP while a process starts: a JVM without a handler ended on it. */
@Timeout(60)
final class EarlySighupTest {
    private static void run(String... command) throws Exception {
        assertTrue(new ProcessBuilder(command).inheritIO().start().waitFor() == 0, command[0]);
    }

    private static void await(BufferedReader log, String what) throws Exception {
        StringBuilder said = new StringBuilder();
        String line = log.readLine();
        while (line != null && !line.contains(what)) {
            said.append(line).append('\n');
            line = log.readLine();
        }
        assertTrue(line != null, "the process ended: " + said);
    }

    /** The configuration is a pipe: who reads it waits for the test. */
    @Test
    void sighupDuringStartReloadsOnceServing() throws Exception {
        Path folder = Files.createTempDirectory("hookweir");
        Path pipe = folder.resolve("config.json");
        run("mkfifo", pipe.toString());
        try (ServerSocket list = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            String config = ("{'listen':'127.0.0.1:0','discovery':'127.0.0.1:" + list.getLocalPort() + "','settings':{'classes':[{'name':'render',"
                + "'deadline_us':1000000,'semantics':'read_like'}],'zones':['a'],'kinds':['m'],'discovery':'ask'}}").replace('\'', '"');
            ProcessBuilder b = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1",
                "-Xmx32m", "-cp", System.getProperty("java.class.path"), "hookweir.Main", "serve");
            b.environment().put("RELAY_CONFIG", pipe.toString());
            Process p = b.redirectErrorStream(true).start();
            try (BufferedReader log = p.inputReader()) {
                var writer = Files.newBufferedWriter(pipe); // returns as the process reads, or waits to
                run("kill", "-HUP", Long.toString(p.pid()));
                writer.write(config);
                writer.close();
                await(log, "serves on port");
                Files.writeString(pipe, config); // for the reload, which waits for it
                await(log, "reloaded");
            } finally {
                p.destroyForcibly();
                Files.delete(pipe);
                Files.delete(folder);
            }
        }
    }
}
