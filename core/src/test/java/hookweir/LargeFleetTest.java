package hookweir;

import static hookweir.RecordingHost.settings;
import static hookweir.RecordingHost.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract.Outcome;
import org.junit.jupiter.api.Test;

/** Each job considers only a sample of a large fleet: the shares over many jobs are those of the whole fleet. */
class LargeFleetTest {
    private static final int WORKERS = 1000;
    private static final int JOBS = 20_000;
    private static final int FEW_JOBS = 400;

    private static RecordingHost host(Contract.Settings s) {
        RecordingHost h = RecordingHost.with(s, 11);
        Contract.Worker[] fleet = new Contract.Worker[WORKERS];
        for (int i = 0; i < WORKERS; i++) {
            fleet[i] = worker(i);
            fleet[i].kind = i % 250 == 7 ? 1 : 0;
        }
        h.replaceWorkers(fleet);
        return h;
    }

    private static int[] sends(RecordingHost h, Contract.Settings s, boolean reported, int jobs, long gapUs) {
        int[] to = new int[WORKERS];
        for (int id = 0; id < jobs; id++) {
            h.now += gapUs;
            if (reported && id % 20 == 0) {
                for (int i = 0; i < WORKERS; i++) {
                    h.reportFreeSlots(i, i % 2 == 0 ? 8 : i % 4 == 1 ? 4 : 0);
                }
            }
            h.accept(id, s);
            int worker = h.sentTo.get(id);
            to[worker]++;
            h.policy.attemptEnded(h.now, id, 0, worker, Outcome.OK, 500_000, true, null);
        }
        return to;
    }

    @Test
    void sharesFollowFreeSlotsOverTheWholeFleet() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.probesAllowed = false;
        int[] to = sends(host(s), s, true, JOBS, 10);
        long roomy = 0;
        long half = 0;
        long full = 0;
        for (int i = 0; i < WORKERS; i++) {
            roomy += i % 2 == 0 ? to[i] : 0;
            half += i % 4 == 1 ? to[i] : 0;
            full += i % 4 == 3 ? to[i] : 0;
        }
        assertEquals(0.8, roomy / (double) JOBS, 0.06); // 500 workers of 8 slots, 250 of 4, 250 of none
        assertEquals(0.2, half / (double) JOBS, 0.06);
        assertTrue(full < JOBS / 100, "sent to full workers: " + full);
    }

    @Test
    void everyWorkerIsReached() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.probesAllowed = false;
        int[] to = sends(host(s), s, false, JOBS, 2_000);
        for (int i = 0; i < WORKERS; i++) {
            assertTrue(to[i] > 2 && to[i] < 60, "worker " + i + " got " + to[i]);
        }
    }

    /** Four of a thousand workers can run this class: a sample may contain none of them, and then all workers are considered. */
    @Test
    void findsTheFewEligibleWorkers() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.probesAllowed = false;
        s.classes.get(0).requiredKind = 1;
        int[] to = sends(host(s), s, false, FEW_JOBS, 4_000_000);
        for (int i = 0; i < WORKERS; i++) {
            assertTrue(i % 250 == 7 ? to[i] > FEW_JOBS / 8 : to[i] == 0, "worker " + i + " got " + to[i]);
        }
    }

    private static Contract.Worker[] workersNumbered(int from, int to) {
        Contract.Worker[] fleet = new Contract.Worker[to - from];
        for (int i = from; i < to; i++) {
            fleet[i - from] = worker(i);
        }
        return fleet;
    }

    /** The workers, of 20, that get jobs, as a bit mask. */
    private static int workersReached(RecordingHost h, Contract.Settings s, int firstJob) {
        int bits = 0;
        for (int id = firstJob; id < firstJob + FEW_JOBS; id++) {
            h.now += 4_000_000;
            h.accept(id, s);
            int worker = h.sentTo.get(h.sentTo.size() - 1);
            bits |= 1 << worker;
            h.policy.attemptEnded(h.now, id, 0, worker, Outcome.OK, 500_000, true, null);
        }
        return bits;
    }

    /** The list shrinks by half and recovers: removed workers get no jobs, and all that return do. */
    @Test
    void followsAListThatShrinksByHalfAndRecovers() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        RecordingHost h = RecordingHost.with(s, 3);
        h.replaceWorkers(workersNumbered(0, 20));
        assertEquals(0xfffff, workersReached(h, s, 1));
        h.replaceWorkers(workersNumbered(0, 10));
        assertEquals(0x3ff, workersReached(h, s, 1_001));
        h.replaceWorkers(workersNumbered(0, 20));
        assertEquals(0xfffff, workersReached(h, s, 2_001));
    }

    /** Six in ten workers are replaced within a second; the end of an attempt at a removed worker is still delivered. */
    @Test
    void sixOfTenWorkersReplacedWithinASecond() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        RecordingHost h = RecordingHost.with(s, 3);
        h.replaceWorkers(workersNumbered(0, 12));
        h.accept(9_999, s);
        int first = h.sentTo.get(0);
        for (int gone = 0; gone < 7; gone++) {
            h.now += 100_000;
            Contract.Worker w = worker(gone);
            w.state = Contract.WorkerState.GONE;
            h.changeWorkers(w, worker(13 + gone));
        }
        h.policy.attemptEnded(h.now, 9_999, 0, first, Outcome.RESET, 700_000, false, null);
        assertTrue(h.sentTo.get(1) >= 7 && h.sentTo.get(1) != first, "second attempt at " + h.sentTo.get(1));
        assertEquals(0xfff80 & ~(1 << 12), workersReached(h, s, 1));
    }
}
