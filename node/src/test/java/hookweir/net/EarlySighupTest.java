package hookweir.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a process that ends on a SIGHUP during its start: a JVM without a handler for the signal exits. */
@Timeout(60)
final class EarlySighupTest {
    private static void run(String... command) throws Exception {
        assertTrue(new ProcessBuilder(command).inheritIO().start().waitFor() == 0, command[0]);
    }

    private static void await(BufferedReader log, String expected) throws Exception {
        StringBuilder output = new StringBuilder();
        String line = log.readLine();
        while (line != null && !line.contains(expected)) {
            output.append(line).append('\n');
            line = log.readLine();
        }
        assertTrue(line != null, "the process ended: " + output);
    }

    /** The configuration file is a named pipe, so that the process waits in the middle of its start until the test writes. */
    @Test
    void sighupDuringStartReloadsOnceServing() throws Exception {
        Path folder = Files.createTempDirectory("hookweir");
        Path pipe = folder.resolve("config.json");
        run("mkfifo", pipe.toString());
        try (ServerSocket list = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            String config = ("{'listen':'127.0.0.1:0','discovery':'127.0.0.1:" + list.getLocalPort() + "','settings':{'classes':[{'name':'render',"
                + "'deadline_us':1000000,'semantics':'read_like'}],'zones':['a'],'kinds':['m'],'discovery':'ask'}}").replace('\'', '"');
            ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1",
                "-Xmx32m", "-cp", System.getProperty("java.class.path"), "hookweir.Main", "serve");
            builder.environment().put("RELAY_CONFIG", pipe.toString());
            Process process = builder.redirectErrorStream(true).start();
            try (BufferedReader log = process.inputReader()) {
                var writer = Files.newBufferedWriter(pipe); // returns once the process has opened the pipe for reading
                run("kill", "-HUP", Long.toString(process.pid()));
                writer.write(config);
                writer.close();
                await(log, "serves on port");
                Files.writeString(pipe, config); // the reload that SIGHUP asked for reads the file again
                await(log, "reloaded");
            } finally {
                process.destroyForcibly();
                Files.delete(pipe);
                Files.delete(folder);
            }
        }
    }
}
