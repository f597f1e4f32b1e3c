package hookweir;

import static hookweir.RecordingHost.probingSettings;
import static hookweir.RecordingHost.workers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract.Idempotency;
import org.junit.jupiter.api.Test;

/**
 * One of many schedulers sees few requests, so its load reports are old: these must not decide where a job goes while there is time
 * to probe workers again.
 */
final class StaleReportsTest {
    private static final int WORKERS = 12;
    private static final int SEEDS = 200;

    /** All workers last reported free slots; since then all but some have become full. Returns the job's probe count and target. */
    private static int[] probesAndTarget(int withFreeSlots, int seed) {
        Contract.Settings s = probingSettings(Idempotency.IDEMPOTENT);
        RecordingHost h = RecordingHost.with(s, seed);
        h.replaceWorkers(workers(WORKERS));
        for (int w = 0; w < WORKERS; w++) {
            h.reportFreeSlots(w, 4);
        }
        h.advance(200_000);
        h.probes.clear();
        h.accept(1, s);
        for (int i = 0; i < h.probes.size(); i++) {
            h.reportFreeSlots(h.probes.get(i), h.probes.get(i) < withFreeSlots ? 4 : 0);
        }
        return new int[] {h.probes.size(), h.sentTo.isEmpty() ? -1 : h.sentTo.get(0)};
    }

    @Test
    void probesFurtherWorkersIfTheFirstIsFull() {
        int withFreeSlots = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            withFreeSlots += probesAndTarget(WORKERS / 3, seed)[1] < WORKERS / 3 ? 1 : 0;
        }
        // One probe in three finds free slots; if the first one fails and old reports decide, 0.33 + 0.67 * 0.36 = 0.57 of the jobs do.
        assertTrue(withFreeSlots > 0.75 * SEEDS, "sent to a worker with free slots: " + withFreeSlots + " of " + SEEDS);
    }

    @Test
    void limitsProbesOfAFullFleet() {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertEquals(5, probesAndTarget(0, seed)[0], "the first probe and four further ones, seed " + seed);
        }
    }

    /** Number of jobs, over all seeds, sent to worker 0 of two that both last reported free slots, with these results of probes. */
    private static int jobsSentToFirst(Contract.Outcome check, double errorsFirst, double errorsSecond) {
        int first = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Contract.Settings s = probingSettings(Idempotency.IDEMPOTENT);
            RecordingHost h = RecordingHost.with(s, seed);
            h.replaceWorkers(workers(2));
            endProbe(h, 0, Contract.Outcome.OK, errorsFirst);
            endProbe(h, 1, Contract.Outcome.OK, errorsSecond);
            h.advance(200_000);
            h.probes.clear();
            h.accept(1, s);
            for (int i = 0; i < h.probes.size(); i++) {
                boolean toFirst = h.probes.get(i) == 0;
                endProbe(h, h.probes.get(i), toFirst ? check : Contract.Outcome.OK, toFirst ? errorsFirst : errorsSecond);
            }
            first += !h.sentTo.isEmpty() && h.sentTo.get(0) == 0 ? 1 : 0;
        }
        return first;
    }

    @Test
    void sendsNothingToAWorkerWhoseProbeFails() {
        assertEquals(0, jobsSentToFirst(Contract.Outcome.ERROR, 0, 0));
    }

    @Test
    void avoidsAWorkerThatReportsMoreErrorsThanOthers() {
        assertEquals(0, jobsSentToFirst(Contract.Outcome.OK, 2, 0));
        assertEquals(0.5, jobsSentToFirst(Contract.Outcome.OK, 2, 2) / (double) SEEDS, 0.12);
        assertEquals(0.5, jobsSentToFirst(Contract.Outcome.OK, 0.002, 0) / (double) SEEDS, 0.12, "a single error has no effect");
    }

    private static void endProbe(RecordingHost h, int worker, Contract.Outcome check, double errors) {
        Contract.Report r = RecordingHost.reportOf(4);
        r.errorsPerS = errors;
        h.policy.probeEnded(h.now, worker, check, 500, check == Contract.Outcome.OK ? r : null);
    }
}
