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
 * What the module holds stays bounded after days of churn: each table is read through the field that holds it, as
 * nothing outside shows its size until memory runs out.
 */
final class PolicyBoundsTest {
    /**
     * A job that is looking at workers when its client leaves, one of whose workers is then struck from the list:
     * that worker's check comes back to a module that no longer knows it. The job must still leave the table of
     * probing, or each such case stays there for good (and every later check walks past it).
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
            assertTrue(h.probes.size() > 0, "the job looks before it is sent");
            h.policy.requestAbandoned(h.now, round + 1);
            Contract.Worker struck = worker(h.probes.get(0));
            struck.state = Contract.WorkerState.GONE;
            h.changeWorkers(struck);
            for (int w : h.probes) {
                h.policy.probeEnded(h.now, w, Outcome.OK, 500, RecordingHost.reportOf(8));
            }
            h.advance(1_000_000);
        }
        assertEquals(0, sizeOfTable(h.policy, "probing"), "jobs left looking after their end");
        assertEquals(0, sizeOfTable(h.policy, "jobs"), "jobs held after their end");
    }

    private static int sizeOfTable(Policy p, String field) throws ReflectiveOperationException {
        java.lang.reflect.Field f = Policy.class.getDeclaredField(field);
        f.setAccessible(true);
        Object table = f.get(p);
        return table instanceof List<?> list ? list.size() : ((java.util.Map<?, ?>) table).size();
    }
}
