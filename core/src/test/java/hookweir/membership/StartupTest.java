package hookweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.membership.Startup.Phase;
import org.junit.jupiter.api.Test;

/** Every transition of a start. */
final class StartupTest {
    private final Startup startup = new Startup();

    @Test
    void nothingIsSentBeforeTheListServiceHasSpoken() {
        assertTrue(startup.isPending());
        startup.confirmed();
        assertEquals(Phase.CONFIRMED, startup.phase());
    }

    @Test
    void oneRefusalIsNotYetOutOfReach() {
        startup.callFailed(CallFailure.REFUSED);
        assertEquals(Phase.PENDING, startup.phase());
        startup.callFailed(CallFailure.REFUSED);
        assertEquals(Phase.CACHED, startup.phase());
    }

    @Test
    void aBusyListServiceIsWaitedFor() {
        for (int i = 0; i < 10; i++) {
            startup.callFailed(CallFailure.REFUSED);
            startup.callFailed(CallFailure.UNANSWERED);
        }
        assertEquals(Phase.PENDING, startup.phase());
        startup.timeLimitReached();
        assertEquals(Phase.CACHED, startup.phase());
    }

    @Test
    void aListThatComesLateIsTakenOver() {
        startup.timeLimitReached();
        startup.confirmed();
        assertEquals(Phase.CONFIRMED, startup.phase());
    }

    @Test
    void whatIsConfirmedStaysSo() {
        startup.confirmed();
        startup.timeLimitReached();
        startup.callFailed(CallFailure.REFUSED);
        startup.callFailed(CallFailure.REFUSED);
        assertEquals(Phase.CONFIRMED, startup.phase());
    }
}
