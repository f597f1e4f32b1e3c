package hookweir;

import static hookweir.RecordingHost.settings;
import static hookweir.RecordingHost.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract.Idempotency;
import hookweir.Contract.Outcome;
import org.junit.jupiter.api.Test;

/** What a dispatcher has out at a worker it knows for itself; an old report tells what the others have there. */
final class OwnJobsTest {
    private static final int SLOTS = 4;

    private static RecordingHost filledByOwnJobs(Contract.Settings s, int jobs) {
        RecordingHost h = RecordingHost.with(s, 5);
        h.fleet(worker(1));
        h.report(1, SLOTS);
        for (int id = 1; id <= jobs; id++) {
            h.take(id, s);
        }
        assertEquals(jobs, h.sentTo.size());
        return h;
    }

    @Test
    void longJobsOfItsOwnFillAWorkerUntilTheyEnd() {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        RecordingHost h = filledByOwnJobs(s, SLOTS);
        h.pass(4_000_000);
        h.take(9, s);
        assertEquals(SLOTS, h.sentTo.size(), "held: all slots are taken by own jobs, however long ago");
        h.ends(1, 0, 1, Outcome.OK, true);
        h.pass(400_000);
        assertEquals(SLOTS + 1, h.sentTo.size());
    }

    @Test
    void whatEndedSinceAReportFreesItsSlotAtOnce() {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        RecordingHost h = filledByOwnJobs(s, SLOTS);
        h.pass(500_000);
        h.report(1, 0); // these four, and nobody else's
        h.ends(1, 0, 1, Outcome.OK, true);
        h.ends(2, 0, 1, Outcome.OK, true);
        h.take(9, s);
        assertEquals(SLOTS + 1, h.sentTo.size());
    }

    @Test
    void jobsOfOthersStandInAReportBesideOwnOnes() {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        RecordingHost h = filledByOwnJobs(s, 1);
        h.pass(500_000);
        h.report(1, 0); // one own, three of others
        h.ends(1, 0, 1, Outcome.OK, true);
        h.take(8, s);
        h.take(9, s);
        assertEquals(2, h.sentTo.size(), "one slot came free, and was taken again");
    }

    /** Over two workers: one that own jobs nearly fill draws by the room that they leave, with no report of them at all. */
    @Test
    void theDrawSeesOwnJobsBeforeAnyReportDoes() {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        int crowded = 0;
        int seeds = 400;
        for (int seed = 0; seed < seeds; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            h.fleet(worker(1));
            h.report(1, SLOTS);
            for (int id = 1; id < SLOTS; id++) {
                h.take(id, s);
            }
            h.pass(3_000_000);
            h.fleet(worker(1), worker(2));
            h.report(1, 1);
            h.report(2, SLOTS);
            h.take(9, s);
            crowded += h.sentTo.get(SLOTS - 1) == 1 ? 1 : 0;
        }
        assertEquals(1.0 / (1 + SLOTS), crowded / (double) seeds, 0.06);
        assertTrue(crowded > 0);
    }
}
