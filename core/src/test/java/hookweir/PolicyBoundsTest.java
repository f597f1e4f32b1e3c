package hookweir;

import static hookweir.RecordingHost.settings;
import static hookweir.RecordingHost.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract.Idempotency;
import hookweir.Contract.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The tables of a policy don't grow with the number of past jobs and workers. They are read by reflection, as their sizes aren't
 * visible from outside.
 */
final class PolicyBoundsTest {
    /**
     * A client abandons a job while its candidates are being probed, and then one of these is removed from the list, so that the end
     * of its probe is ignored. The job must still be removed from the table of probing jobs, or it would stay there for good and slow
     * down the handling of every later probe.
     */
    @Test
    void anAbandonedProbingJobIsRemovedWhenAWorkerLeavesTheList() throws ReflectiveOperationException {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        s.probesAllowed = true;
        RecordingHost h = RecordingHost.with(s, 3);
        int rounds = 200;
        for (int round = 0; round < rounds; round++) {
            int first = 10 * round + 1;
            h.replaceWorkers(worker(first), worker(first + 1), worker(first + 2));
            for (int w = first; w < first + 3; w++) {
                h.reportFreeSlots(w, 8);
            }
            h.advance(1_000_000);
            h.probes.clear();
            h.accept(round + 1, s);
            assertTrue(h.probes.size() > 0, "the job probes candidates before it is sent");
            h.policy.requestAbandoned(h.now, round + 1);
            Contract.Worker removed = worker(h.probes.get(0));
            removed.state = Contract.WorkerState.GONE;
            h.changeWorkers(removed);
            for (int w : h.probes) {
                h.policy.probeEnded(h.now, w, Outcome.OK, 500, RecordingHost.reportOf(8));
            }
            h.advance(1_000_000);
        }
        assertEquals(0, sizeOfTable(h.policy, "probingJobs"), "jobs that still probe after their end");
        assertEquals(0, sizeOfTable(h.policy, "jobs"), "jobs held after their end");
    }

    private static int sizeOfTable(Policy p, String field) throws ReflectiveOperationException {
        java.lang.reflect.Field f = Policy.class.getDeclaredField(field);
        f.setAccessible(true);
        Object table = f.get(p);
        return table instanceof List<?> list ? list.size() : ((java.util.Map<?, ?>) table).size();
    }
}
