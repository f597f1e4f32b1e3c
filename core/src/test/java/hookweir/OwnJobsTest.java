package hookweir;

import static hookweir.RecordingHost.settings;
import static hookweir.RecordingHost.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract.Idempotency;
import hookweir.Contract.Outcome;
import org.junit.jupiter.api.Test;

/** A scheduler knows the slots of its own jobs exactly; load reports only count for the jobs of other schedulers. */
final class OwnJobsTest {
    private static final int SLOTS = 4;

    private static RecordingHost hostWithOwnJobs(Contract.Settings s, int jobs) {
        RecordingHost h = RecordingHost.with(s, 5);
        h.replaceWorkers(worker(1));
        h.reportFreeSlots(1, SLOTS);
        for (int id = 1; id <= jobs; id++) {
            h.accept(id, s);
        }
        assertEquals(jobs, h.sentTo.size());
        return h;
    }

    @Test
    void ownJobsHoldTheirSlotsUntilTheyEnd() {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        RecordingHost h = hostWithOwnJobs(s, SLOTS);
        h.advance(4_000_000);
        h.accept(9, s);
        assertEquals(SLOTS, h.sentTo.size(), "waits: own jobs hold all slots, however long ago they were sent");
        h.endAttempt(1, 0, 1, Outcome.OK, true);
        h.advance(400_000);
        assertEquals(SLOTS + 1, h.sentTo.size());
    }

    @Test
    void aJobThatEndsAfterAReportFreesItsSlot() {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        RecordingHost h = hostWithOwnJobs(s, SLOTS);
        h.advance(500_000);
        h.reportFreeSlots(1, 0); // the four own jobs and no others
        h.endAttempt(1, 0, 1, Outcome.OK, true);
        h.endAttempt(2, 0, 1, Outcome.OK, true);
        h.accept(9, s);
        assertEquals(SLOTS + 1, h.sentTo.size());
    }

    @Test
    void aReportCountsJobsOfOtherSchedulers() {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        RecordingHost h = hostWithOwnJobs(s, 1);
        h.advance(500_000);
        h.reportFreeSlots(1, 0); // one own job, three of other schedulers
        h.endAttempt(1, 0, 1, Outcome.OK, true);
        h.accept(8, s);
        h.accept(9, s);
        assertEquals(2, h.sentTo.size(), "one slot became free and was used again");
    }

    /** A worker that own jobs nearly fill is weighted by its remaining slots, without any report of these jobs. */
    @Test
    void selectionCountsOwnJobsBeforeAReport() {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        int crowded = 0;
        int seeds = 400;
        for (int seed = 0; seed < seeds; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            h.replaceWorkers(worker(1));
            h.reportFreeSlots(1, SLOTS);
            for (int id = 1; id < SLOTS; id++) {
                h.accept(id, s);
            }
            h.advance(3_000_000);
            h.replaceWorkers(worker(1), worker(2));
            h.reportFreeSlots(1, 1);
            h.reportFreeSlots(2, SLOTS);
            h.accept(9, s);
            crowded += h.sentTo.get(SLOTS - 1) == 1 ? 1 : 0;
        }
        assertEquals(1.0 / (1 + SLOTS), crowded / (double) seeds, 0.06);
        assertTrue(crowded > 0);
    }
}
