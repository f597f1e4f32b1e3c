package hookweir;

import static hookweir.RecordingHost.settings;
import static hookweir.RecordingHost.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract.Idempotency;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When schedulers call the list service: soon enough to be notified in time, and not all at once. */
final class ListCallTimingTest {
    private static final int SCHEDULERS = 120;
    private static final long STEP_US = 5_000;
    /** Two calls have to fit between the list service's recovery and the time when schedulers count as notified. */
    private static final long MAX_PAUSE_US = 750_000;

    private static Contract.Settings pollSettings(int schedulers) {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        s.pollList = true;
        s.maxPollIntervalUs = 10_000_000;
        s.schedulerCount = schedulers;
        return s;
    }

    @Test
    void pausesStayShortAfterAnyNumberOfFailures() {
        RecordingHost h = RecordingHost.with(pollSettings(1), 8);
        h.replaceWorkers(worker(1));
        h.advance(STEP_US);
        for (int failures = 1; failures <= 100; failures++) {
            h.policy.workerListFailed(h.now);
            h.advance(MAX_PAUSE_US / 6 - STEP_US);
            assertEquals(failures, h.countActions("watch true"), "not at once");
            h.advance(MAX_PAUSE_US * 5 / 6 + 2 * STEP_US);
            assertEquals(failures + 1, h.countActions("watch true"), "after " + failures + " failures");
        }
    }

    /** Immediate repeats don't help an overloaded service: the pauses grow with the number of schedulers. */
    @Test
    void manySchedulersPauseForLonger() {
        RecordingHost h = RecordingHost.with(pollSettings(SCHEDULERS), 8);
        h.replaceWorkers();
        h.advance(1_000_000);
        for (int failures = 0; failures < 10; failures++) {
            h.policy.workerListFailed(h.now);
            h.advance(10_000_000);
        }
        int before = h.countActions("watch true");
        h.policy.workerListFailed(h.now);
        h.advance(2_000_000);
        assertEquals(before, h.countActions("watch true"));
    }

    @Test
    void aSingleSchedulerPollsAtOnce() {
        RecordingHost h = RecordingHost.with(pollSettings(1), 8);
        h.replaceWorkers();
        h.advance(STEP_US);
        assertEquals(1, h.countActions("watch true"));
    }

    /** The list service handles calls one by one: of 120 schedulers started at once, all call within 2.4 s, less than a twelfth in 50 ms. */
    @Test
    void firstCallsOfAllThatStartAtOnceAreSpread() {
        List<RecordingHost> hosts = startedHosts(pollSettings(SCHEDULERS));
        long before = 0;
        for (int window = 0; window < 48; window++) {
            hosts.forEach(h -> h.advance(50_000));
            long asked = hosts.stream().filter(h -> h.countActions("watch true") > 0).count();
            assertTrue(asked - before < SCHEDULERS / 12, asked - before + " calls within 50 ms");
            before = asked;
        }
        assertEquals(SCHEDULERS, before);
    }

    private static List<RecordingHost> startedHosts(Contract.Settings settings) {
        List<RecordingHost> hosts = new ArrayList<>();
        for (int i = 0; i < settings.schedulerCount; i++) {
            RecordingHost h = RecordingHost.with(settings, 100 + i);
            h.replaceWorkers();
            hosts.add(h);
        }
        return hosts;
    }

    /**
     * All schedulers start at once, or lose their watches at once, and the list service handles calls one by one, even those that have
     * timed out: it must not be kept busy with these. In incident 1, 70 of 100 schedulers were without a list for 20 s.
     */
    @ParameterizedTest
    @CsvSource({"100, 17, 12", "120, 17, 18", "30, 8, 8", "5, 3, 4", "1, 3, 2"})
    void allReceiveTheListInTime(int schedulers, int callsPerS, int withinS) {
        QueueingListService service = new QueueingListService(startedHosts(pollSettings(schedulers)), callsPerS);
        service.run(withinS * 1_000_000L);
        assertEquals(schedulers, service.openWatches(), "after a start");
        service.loseAllWatches();
        service.run(withinS * 1_000_000L);
        assertEquals(schedulers, service.openWatches(), "after all watches were lost");
    }

    /** All schedulers call again within some seconds after an outage. */
    @ParameterizedTest
    @CsvSource({"100, 17, 12", "30, 8, 10", "5, 3, 4"})
    void allReceiveTheListInTimeAfterAnOutage(int schedulers, int callsPerS, int withinS) {
        QueueingListService service = new QueueingListService(startedHosts(pollSettings(schedulers)), callsPerS);
        service.run(20_000_000);
        service.loseAllWatches();
        service.down(true);
        service.run(8_000_000);
        assertEquals(0, service.openWatches());
        service.down(false);
        service.run(withinS * 1_000_000L);
        assertEquals(schedulers, service.openWatches());
    }
}
