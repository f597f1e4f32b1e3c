package hookweir.lab.lives;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.lab.lives.DeparturePlan.Moment;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests were sent on to workers up to 0.6 s after their clients had left: the end of a connection stood behind unread input. */
@Timeout(180)
final class DepartedClientsTest {
    private static final Path ROOT = Path.of("..");
    private static final int DIALLING_STAY_MS = 800;
    private static final long FIRST_SEED = 1;
    private static final int SEEDS = 12;

    @TempDir
    Path kept;

    @ParameterizedTest
    @CsvSource({"BETWEEN_ATTEMPTS,false,SMALL_JOBS,300000", "BETWEEN_ATTEMPTS,false,SMALL_JOBS,1000000", "BETWEEN_ATTEMPTS,true,SMALL_JOBS,1000000",
        "BETWEEN_ATTEMPTS,false,LARGE_JOBS,1000000", "BETWEEN_ATTEMPTS,false,SMALL_JOBS,3000000", "WAITING,false,GARBAGE,1000000"})
    void requestIsNotSentOnWhenMuchInputIsUnread(Moment moment, boolean reset, UnreadInput unread, int unreadBytes) throws Exception {
        DepartureRun.Result result = DepartureRun.of(ROOT, DeparturePlan.of(moment, reset, unread, unreadBytes));
        assertTrue(result.attempts() > 0, result.log());
        assertEquals(List.of(), result.violations(), result.log());
    }

    @ParameterizedTest
    @CsvSource({"NOTHING,4000", "SMALL_JOBS,1000000"})
    void requestIsNotSentOnWhenItsConnectionComesUp(UnreadInput unread, int unreadBytes) throws Exception {
        DeparturePlan plan = DeparturePlan.of(Moment.DIALLING, false, unread, unreadBytes).staying(DIALLING_STAY_MS);
        DepartureRun.Result result = DepartureRun.of(ROOT, plan);
        assertEquals(List.of(), result.violations(), result.log());
    }

    /** A request was sent on 3.4 s after its client had left, as a crowd of connections kept the scheduler from accepting it before. */
    @Test
    void requestThatWasAcceptedLateIsNotSentOn() throws Exception {
        DeparturePlan plan = DeparturePlan.of(Moment.BETWEEN_ATTEMPTS, false, UnreadInput.NOTHING, 0).behindCrowd();
        DepartureRun.Result result = DepartureRun.of(ROOT, plan);
        assertEquals(List.of(), result.violations(), result.log());
    }

    @ParameterizedTest
    @CsvSource({"AT_WORKER,20000", "AT_WORKER,1000000", "BETWEEN_ATTEMPTS,1000000"})
    void requestThatComesAgainAtTheOtherProcessDoesNotRunTwice(Moment moment, int unreadBytes) throws Exception {
        DepartureRun.Result result = DepartureRun.of(ROOT, DeparturePlan.of(moment, false, UnreadInput.SMALL_JOBS, unreadBytes).duringUpgrade());
        assertEquals(List.of(), result.violations(), result.log());
    }

    /** Runs of fifty seeds and more are started by hand: lab departures. */
    @Test
    void departuresOfTheFirstSeedsViolateNoRule() throws Exception {
        assertEquals(0, new Departures().with(ROOT.toString(), kept.toString(), FIRST_SEED, SEEDS).run());
    }
}
