package hookweir;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the requirements on the deployment's {@code run} command (STANDING.md): it ends by exec in one Java process, and that process
 * starts no other program and uses no fork, io_uring, splice or sendfile. A Unix socket is used only for the handover between two
 * processes of one scheduler, which RELAY_FD alone enables and which fails safe where such sockets are not permitted.
 */
final class DeployTest {
    private static final Path DEPLOY = Path.of("../deploy/balancer.toml");
    private static final Path SOURCES = Path.of("src/main/java");

    private static String key(String name) throws IOException {
        return Files.readAllLines(DEPLOY).stream().filter(l -> l.startsWith(name + " = \""))
            .map(l -> l.substring(name.length() + 4, l.indexOf('"', name.length() + 4))).findFirst().orElseThrow();
    }

    @Test
    void runEndsByExecInOneJavaProcess() throws IOException {
        String run = key("run");
        assertTrue(run.startsWith("exec java "), run);
        for (String operator : List.of("&&", "||", ";", "|", "&", "$(", "`")) {
            assertFalse(run.contains(operator), "run joins commands by " + operator);
        }
        assertTrue(run.endsWith(" serve"), run);
    }

    /** All operators run the same program: differences between them are in the settings, never in code that checks a name. */
    @Test
    void noOperatorSiteOrClassIsNamedInTheSources() throws IOException {
        Pattern names = Pattern.compile("\\b(kyte|k[uü]ttel|r[eé]par'?armor|reparo|kemper|tallinn|tartu|parnu|rennes|brest|atelier|calc-workers|live-status"
            + "|usage-report|billing-post|load-order|part-reserve|repair-quote)", Pattern.CASE_INSENSITIVE | Pattern.UNICODE_CASE);
        int read = 0;
        for (Path sources : List.of(SOURCES, Path.of("../core").resolve(SOURCES))) {
            try (Stream<Path> files = Files.walk(sources)) {
                for (Path f : files.filter(p -> p.toString().endsWith(".java")).toList()) {
                    Matcher match = names.matcher(Files.readString(f));
                    assertFalse(match.find(), () -> f + " names " + match.group());
                    read++;
                }
            }
        }
        assertTrue(read > 50, "sources read: " + read);
        assertTrue(names.matcher("if (site.equals(\"Kyte-main\"))").find());
    }

    @Test
    void theSchedulerStartsNoProgramAndSendsNoFile() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path f : files.filter(p -> p.toString().endsWith(".java")).toList()) {
                String text = Files.readString(f);
                for (String call : List.of("ProcessBuilder", "Runtime.getRuntime().exec", "transferTo(", "transferFrom(",
                        "ProcessHandle")) {
                    assertFalse(text.contains(call), f + " uses " + call);
                }
                boolean unix = text.contains("StandardProtocolFamily.UNIX") || text.contains("UnixDomainSocketAddress");
                assertTrue(!unix || f.endsWith(Path.of("hookweir/net/upgrade/PeerProcesses.java")),
                    f + " opens a Unix socket outside the handover");
            }
        }
    }
}
