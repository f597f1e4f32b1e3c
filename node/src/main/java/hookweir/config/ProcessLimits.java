package hookweir.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Resource limits of this process, as far as the system reports them. */
final class ProcessLimits {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String OPEN_FILES = "Max open files";

    private ProcessLimits() {
    }

    /** Returns the maximum heap size in bytes. */
    static long maxHeapBytes() {
        return Runtime.getRuntime().maxMemory();
    }

    /** Returns the soft limit of open file descriptors; {@link Integer#MAX_VALUE} if the system does not report one. */
    static long maxOpenFiles() {
        try {
            for (String line : Files.readAllLines(LIMITS, StandardCharsets.US_ASCII)) {
                if (line.startsWith(OPEN_FILES)) {
                    String soft = line.substring(OPEN_FILES.length()).strip().split("\\s+")[0];
                    return soft.equals("unlimited") ? Integer.MAX_VALUE : Long.parseLong(soft);
                }
            }
        } catch (IOException | NumberFormatException e) {
            return Integer.MAX_VALUE; // not reported here: the configured number applies
        }
        return Integer.MAX_VALUE;
    }
}
