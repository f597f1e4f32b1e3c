package hookweir;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module is ported by hand one day: it stays small and names its interface. */
class ModuleLimitsTest {
    private static final Path MODULE = Path.of("src/main/java/hookweir/Policy.java");

    @Test
    void linesAndWidth() throws IOException {
        List<String> lines = Files.readAllLines(MODULE);
        long filled = lines.stream().filter(l -> !l.isBlank()).count();
        assertTrue(filled <= 640, "non-blank lines: " + filled);
        for (int i = 0; i < lines.size(); i++) {
            assertTrue(lines.get(i).length() <= 110, "line " + (i + 1) + " is " + lines.get(i).length() + " wide");
        }
    }

    @Test
    void headNamesTheInterface() throws IOException {
        String head = String.join("\n", Files.readAllLines(MODULE).subList(0, 25));
        assertTrue(head.contains("Contract.java"));
    }
}
