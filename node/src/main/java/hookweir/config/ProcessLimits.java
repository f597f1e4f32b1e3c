package hookweir.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the system lets this process have, as far as it says so. */
final class ProcessLimits {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String OPEN_FILES = "Max open files";

    private ProcessLimits() {
    }

    /** The heap's most bytes. */
    static long maxHeapBytes() {
        return Runtime.getRuntime().maxMemory();
    }

    /** Descriptors that it may open; the largest number where the system does not say. */
    static long maxOpenFiles() {
        try {
            for (String line : Files.readAllLines(LIMITS, StandardCharsets.US_ASCII)) {
                if (line.startsWith(OPEN_FILES)) {
                    String soft = line.substring(OPEN_FILES.length()).strip().split("\\s+")[0];
                    return soft.equals("unlimited") ? Integer.MAX_VALUE : Long.parseLong(soft);
                }
            }
        } catch (IOException | NumberFormatException e) {
            return Integer.MAX_VALUE; // not told here: the configuration's number stands
        }
        return Integer.MAX_VALUE;
    }
}
