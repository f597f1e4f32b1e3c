package hookweir;

import static hookweir.RecordingHost.settings;
import static hookweir.RecordingHost.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

import hookweir.Contract.Idempotency;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** What the policy does with requests between SIGTERM and the time by which all of them need their responses. */
final class PolicyShutdownTest {
    private static final long WINDOW_US = 2_000_000;
    private static final int WORKER = 1;

    private Contract.Settings settings;
    private RecordingHost host;

    private void start(Idempotency idempotency) {
        settings = settings(idempotency);
        settings.classes.get(0).dedupScope = Contract.DedupScope.ALL;
        host = RecordingHost.with(settings, 4);
        host.replaceWorkers(worker(WORKER));
    }

    private void startShutdown() {
        host.policy.shutdownStarted(host.now, host.now + WINDOW_US);
    }

    private void accept(int id, long costHintUs) {
        Contract.Request request = host.newRequest(id, settings);
        request.costHintUs = costHintUs;
        host.policy.requestAccepted(host.now, request);
    }

    private int responses(int id) {
        return host.countActions("reject " + id) + host.countActions("fail " + id);
    }

    /** A job at a worker that hangs got no response if it must not run twice and its client waits for longer than the shutdown takes. */
    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void hungJobHasItsResponseWhenTheShutdownEnds(Idempotency idempotency) {
        start(idempotency);
        accept(1, 0);
        startShutdown();
        host.advance(WINDOW_US - 1);
        assertEquals(0, responses(1));
        host.advance(1);
        assertEquals(1, responses(1));
        assertEquals(idempotency == Idempotency.NON_IDEMPOTENT ? 1 : 0, host.countActions("fail 1"), "refused only where a repeat does no harm");
    }

    /** Requests that become whole between the last response and SIGKILL. */
    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void requestAfterTheShutdownsEndIsRefusedAtOnce(Idempotency idempotency) {
        start(idempotency);
        startShutdown();
        host.advance(WINDOW_US + 100_000);
        accept(1, 0);
        assertEquals(1, host.countActions("reject 1"));
        assertEquals(0, host.countActions("send"));
    }

    /** A reload during the shutdown leaves less time, or none. */
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, 800000, 400000", "IDEMPOTENT, 300000, 0", "NON_IDEMPOTENT, 800000, 400000", "NON_IDEMPOTENT, 300000, 0"})
    void shutdownThatMovesToAnEarlierTimeIsFollowed(Idempotency idempotency, long newWindowUs, long leftUs) {
        start(idempotency);
        accept(1, 0);
        startShutdown();
        host.advance(400_000);
        host.policy.shutdownStarted(host.now, host.now - 400_000 + newWindowUs);
        host.advance(leftUs);
        assertEquals(1, responses(1));
        accept(2, 0);
        assertEquals(1, host.countActions("reject 2"));
        host.advance(WINDOW_US);
        assertEquals(1, responses(1), "one response");
    }
}
