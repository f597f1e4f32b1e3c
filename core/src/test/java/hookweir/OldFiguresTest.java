package hookweir;

import static hookweir.RecordingHost.settings;
import static hookweir.RecordingHost.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract.Effect;
import org.junit.jupiter.api.Test;

/**
 * One of many dispatchers sees few requests, so its figures are old: what a worker said a while ago must not decide
 * where a job goes while there is time to ask again.
 */
final class OldFiguresTest {
    private static final int WORKERS = 12;
    private static final int SEEDS = 200;

    /** All workers had room when last heard; since then all but the roomy ones have filled up. The job's probes so far. */
    private static int[] looksAndTarget(int roomy, int seed) {
        Contract.Settings s = settings(Effect.SAFE);
        s.probes = true;
        s.reports = Contract.ReportsBy.PROBES;
        s.priceProbe = 0.01;
        RecordingHost h = RecordingHost.with(s, seed);
        Contract.Worker[] fleet = new Contract.Worker[WORKERS];
        for (int w = 0; w < WORKERS; w++) {
            fleet[w] = worker(w);
        }
        h.fleet(fleet);
        for (int w = 0; w < WORKERS; w++) {
            h.report(w, 4);
        }
        h.pass(200_000);
        h.probes.clear();
        h.take(1, s);
        for (int i = 0; i < h.probes.size(); i++) {
            h.report(h.probes.get(i), h.probes.get(i) < roomy ? 4 : 0);
        }
        return new int[] {h.probes.size(), h.sentTo.isEmpty() ? -1 : h.sentTo.get(0)};
    }

    @Test
    void whereAWorkerLookedAtIsFullFurtherOnesAreLookedAt() {
        int roomy = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            roomy += looksAndTarget(WORKERS / 3, seed)[1] < WORKERS / 3 ? 1 : 0;
        }
        // One look in three finds room; sent on an old figure after the first, 0.33 + 0.67 * 0.36 = 0.57 of the jobs do.
        assertTrue(roomy > 0.75 * SEEDS, "sent to a worker with room: " + roomy + " of " + SEEDS);
    }

    @Test
    void aFullFleetIsLookedAtOnlySoOften() {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertEquals(5, looksAndTarget(0, seed)[0], "the first look and four further ones, seed " + seed);
        }
    }
}
