package hookweir;

import static hookweir.RecordingHost.settings;
import static hookweir.RecordingHost.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

import hookweir.Contract.Idempotency;
import hookweir.Contract.Outcome;
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

    private void serve(int id, long serviceUs) {
        accept(id, 0);
        host.advance(serviceUs);
        host.policy.attemptEnded(host.now, id, 0, WORKER, Outcome.OK, serviceUs, true, null);
    }

    /** Accepts a request, which has to be sent to the worker (1) or rejected at once (0). */
    private void assertSent(int sent, int id, long costHintUs) {
        accept(id, costHintUs);
        assertEquals(sent, host.countActions("send " + id));
        assertEquals(1 - sent, host.countActions("reject " + id));
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

    /** Without a cost hint, a job was sent to a worker that could not end it before SIGKILL. */
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, 600000, 1300000, 1", "IDEMPOTENT, 800000, 1300000, 0", "NON_IDEMPOTENT, 600000, 1300000, 1",
        "NON_IDEMPOTENT, 800000, 1300000, 0", "KEYED, 600000, 1300000, 1", "KEYED, 1900000, 200000, 0", "KEYED, 1700000, 200000, 1"})
    void jobWithoutHintIsSentOnlyIfThereIsTimeForIt(Idempotency idempotency, long arrivalUs, long serviceUs, int sent) {
        start(idempotency);
        serve(1, serviceUs);
        startShutdown();
        host.advance(arrivalUs);
        assertSent(sent, 2, 0);
    }

    /** A job that can't be refused any more once it was sent needs as much time as its hint says; another one may run on a fast worker. */
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, 700000, 1", "IDEMPOTENT, 900000, 0", "NON_IDEMPOTENT, 700000, 0", "NON_IDEMPOTENT, 450000, 1"})
    void jobWithHintIsSentOnlyIfThereIsTimeForIt(Idempotency idempotency, long hintUs, int sent) {
        start(idempotency);
        startShutdown();
        host.advance(WINDOW_US - 500_000);
        assertSent(sent, 1, hintUs);
    }

    /** Nothing is known of the class: a job that may be refused later is tried, another one only if there is time for the usual job. */
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, 1100000, 1", "NON_IDEMPOTENT, 1100000, 0", "NON_IDEMPOTENT, 900000, 1"})
    void jobOfAClassWithoutResultsSoFar(Idempotency idempotency, long arrivalUs, int sent) {
        start(idempotency);
        startShutdown();
        host.advance(arrivalUs);
        assertSent(sent, 1, 0);
    }

    /** Requests that become whole between the last response and SIGKILL. */
    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void requestAfterTheShutdownsEndIsRefusedAtOnce(Idempotency idempotency) {
        start(idempotency);
        startShutdown();
        host.advance(WINDOW_US + 100_000);
        assertSent(0, 1, 0);
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
