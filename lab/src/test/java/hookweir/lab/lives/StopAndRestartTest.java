package hookweir.lab.lives;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The real scheduler, by the line 'run', stopped at every point in every way that fits it; both lives judged by one history. */
@Timeout(240)
final class StopAndRestartTest {
    private static final Path ROOT = Path.of("..");
    private static final int CONCURRENT_SCENARIOS = 6;

    /** What may become of the job that was under way. */
    private static Set<PausableClient.Outcome> allowedOutcomes(Scenario s) {
        if (s.point() == Point.ANSWER_HALF_WRITTEN) {
            return EnumSet.of(PausableClient.Outcome.SERVED); // the kernel has the rest of it
        }
        return switch (s.stop()) {
            // One that is turned away again and again may use its attempts up before the workers let go.
            case TERM, SUCCESSOR, KILL_SUCCESSOR -> s.point() == Point.TAKEN_NOT_DRAWN ? EnumSet.of(PausableClient.Outcome.SERVED, PausableClient.Outcome.REFUSED)
                : EnumSet.of(PausableClient.Outcome.SERVED);
            case KILL, ERROR -> EnumSet.of(s.point().isRequestIncomplete() ? PausableClient.Outcome.NOT_ASKED : PausableClient.Outcome.LOST);
            case TERM_THEN_KILL -> s.point().isRequestIncomplete() ? EnumSet.of(PausableClient.Outcome.NOT_ASKED)
                : EnumSet.of(PausableClient.Outcome.LOST, PausableClient.Outcome.REFUSED, PausableClient.Outcome.FAILED);
        };
    }

    @Test
    void nextProcessServesAfterEveryStop() throws Exception {
        List<Scenario> all = StopAndRestart.scenarios(ROOT, 1, false);
        assertEquals(10 * 5 + 3 * 2, all.size());
        for (Scenario.Result r : StopAndRestart.runAll(all, CONCURRENT_SCENARIOS)) {
            assertEquals(List.of(), r.violations(), r.scenario().toString());
            assertEquals("3 of 3", r.servedByNext(), r.scenario().toString());
            assertTrue(allowedOutcomes(r.scenario()).contains(r.outcome()), r.toString());
        }
    }
}
