package hookweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clocks that are seconds or an hour ahead or behind must not make a newly started worker look warm, nor a worker look cold for longer
 * than it is.
 */
final class WorkerStartTimesTest {
    private static final long NOW_US = 1_700_000_000_000_000L;
    private static final long SECOND_US = 1_000_000;
    private final WorkerStartTimes starts = new WorkerStartTimes();

    @ParameterizedTest
    @ValueSource(longs = {-3600, -30, -11, -1, 0, 5, 3600})
    void aNewStartIsRecentWhateverItsTimestamp(long aheadS) {
        long started = starts.startTimeUs(1, NOW_US + (aheadS - 2) * SECOND_US, NOW_US, true);
        assertTrue(started <= NOW_US && started >= NOW_US - WorkerStartTimes.MAX_LIST_DELAY_US, "age " + (NOW_US - started));
    }

    @Test
    void aPlausibleTimestampIsUsed() {
        assertEquals(NOW_US - 3 * SECOND_US, starts.startTimeUs(1, NOW_US - 3 * SECOND_US, NOW_US, true));
        assertEquals(NOW_US - 60 * SECOND_US, starts.startTimeUs(2, NOW_US - 60 * SECOND_US, NOW_US, false));
    }

    @Test
    void aWorkerKeepsItsAgeInLaterLists() {
        long started = starts.startTimeUs(1, NOW_US - 3600 * SECOND_US, NOW_US, true);
        assertEquals(started, starts.startTimeUs(1, NOW_US - 3600 * SECOND_US, NOW_US + 60 * SECOND_US, true));
    }

    @Test
    void aRestartGetsANewStartTime() {
        starts.startTimeUs(1, NOW_US - 3 * SECOND_US, NOW_US, true);
        assertEquals(NOW_US + 50 * SECOND_US, starts.startTimeUs(1, NOW_US + 3600 * SECOND_US, NOW_US + 50 * SECOND_US, true));
    }

    @Test
    void zeroMeansLongAgo() {
        assertEquals(0, starts.startTimeUs(1, 0, NOW_US, true));
        assertEquals(0, starts.size());
    }

    @Test
    void theNumberOfRememberedWorkersIsLimited() {
        for (int id = 0; id < 3 * WorkerStartTimes.MAX_WORKERS; id++) {
            starts.startTimeUs(id, NOW_US, NOW_US, true);
        }
        assertEquals(WorkerStartTimes.MAX_WORKERS, starts.size());
    }
}
