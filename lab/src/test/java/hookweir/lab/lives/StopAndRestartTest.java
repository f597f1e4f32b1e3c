package hookweir.lab.lives;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Stops the real scheduler at every point in every applicable way and restarts it; the history of both processes must violate no rule. */
@Timeout(240)
final class StopAndRestartTest {
    private static final Path ROOT = Path.of("..");
    private static final int CONCURRENT_SCENARIOS = 6;

    /** The permitted outcomes of the job in progress at the stop. */
    private static Set<PausableClient.Outcome> allowedOutcomes(Scenario scenario) {
        if (scenario.point() == Point.ANSWER_HALF_WRITTEN) {
            return EnumSet.of(PausableClient.Outcome.SERVED); // the kernel already holds the rest of the response
        }
        return switch (scenario.stop()) {
            // A job that workers keep rejecting may use up its attempts before the workers resume.
            case TERM, SUCCESSOR, KILL_SUCCESSOR -> scenario.point() == Point.TAKEN_NOT_DRAWN
                ? EnumSet.of(PausableClient.Outcome.SERVED, PausableClient.Outcome.REFUSED) : EnumSet.of(PausableClient.Outcome.SERVED);
            case KILL, ERROR -> EnumSet.of(scenario.point().isRequestIncomplete() ? PausableClient.Outcome.NOT_ASKED : PausableClient.Outcome.LOST);
            case TERM_THEN_KILL -> scenario.point().isRequestIncomplete() ? EnumSet.of(PausableClient.Outcome.NOT_ASKED)
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
