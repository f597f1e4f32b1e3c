package hookweir.lab.lives;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Simulates a platform that owns a scheduler's listening socket and passes it to each process as descriptor 0. The Java class
 * library can't pass a socket to a child process, so a short Perl script does it (every Debian installation has Perl). The socket
 * stays open until the holder is closed.
 */
final class ListeningSocketHolder implements AutoCloseable {
    private static final String PERL_SCRIPT = String.join("\n",
        "use Socket; $| = 1; $SIG{CHLD} = 'IGNORE';",
        "socket(my $s, PF_INET, SOCK_STREAM, 0) or die; setsockopt($s, SOL_SOCKET, SO_REUSEADDR, 1);",
        "bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or die; listen($s, 512) or die;",
        "my ($port) = sockaddr_in(getsockname($s)); print \"$port\\n\";",
        "while (my $l = <STDIN>) { chomp $l; my ($log, $cmd) = split /\\t/, $l; my $p = fork();",
        "  if (!$p) { open(STDIN, '<&', $s) or die; open(STDOUT, '>>', $log) or die; open(STDERR, '>&', \\*STDOUT); exec '/bin/sh', '-c', $cmd; }",
        "  print \"$p\\n\"; }");

    private final Process perl;
    private final BufferedReader output;
    private final Writer input;
    private final int port;

    ListeningSocketHolder() throws IOException {
        perl = new ProcessBuilder("perl", "-e", PERL_SCRIPT).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        output = new BufferedReader(new InputStreamReader(perl.getInputStream(), StandardCharsets.US_ASCII));
        input = perl.outputWriter(StandardCharsets.US_ASCII);
        port = readNumber();
    }

    private int readNumber() throws IOException {
        String line = output.readLine();
        if (line == null) {
            throw new IOException("the process that holds the listening socket ended (is perl installed?)");
        }
        return Integer.parseInt(line.strip());
    }

    int port() {
        return port;
    }

    /** Starts a command with the listening socket as its descriptor 0 and returns its process. */
    ProcessHandle start(String command, Path log) throws IOException {
        input.write(log + "\t" + command + "\n");
        input.flush();
        int pid = readNumber();
        return ProcessHandle.of(pid).orElseThrow(() -> new IOException("process " + pid + " ended immediately, see " + log));
    }

    @Override
    public void close() throws IOException {
        input.close();
        perl.destroy();
    }
}
