package hookweir.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** The option checks and the help text of the scale command. */
class ScaleCommandTest {
    @ParameterizedTest
    @CsvSource({"--workers,0", "--schedulers,1001", "--rate,0", "--rate,NaN", "--service-ms,0", "--full,1", "--restarts,-1", "--changes,-1", "--seconds,2"})
    void reportsABadValueAndExitsWith2(String option, String value) throws Exception {
        ScaleCommand command = new ScaleCommand();
        new CmdLineParser(command).parseArgument(option, value);
        PrintStream previousErr = System.err;
        ByteArrayOutputStream errorOutput = new ByteArrayOutputStream();
        System.setErr(new PrintStream(errorOutput, true, StandardCharsets.UTF_8));
        try {
            assertEquals(2, command.run());
        } finally {
            System.setErr(previousErr);
        }
        assertTrue(errorOutput.toString(StandardCharsets.UTF_8).contains(option), errorOutput.toString(StandardCharsets.UTF_8));
    }

    @Test
    void helpHasAnExample() throws CmdLineException {
        assertTrue(new ScaleCommand().description().contains("example: java -jar lab/target/hookweir-lab.jar scale --workers"));
    }
}
