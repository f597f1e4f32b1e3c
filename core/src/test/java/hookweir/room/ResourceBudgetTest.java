package hookweir.room;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract.Idempotency;
import hookweir.Contract.RequestClass;
import hookweir.room.ResourceBudget.Admission;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ResourceBudgetTest {
    private static final int LARGE_BODY_BYTES = 60_000;

    private static RequestClass requestClass(Idempotency effect, double worth) {
        RequestClass c = new RequestClass();
        c.idempotency = effect;
        c.value = worth;
        return c;
    }

    private static ResourceBudget newBudget(long bytes, int jobs) {
        ResourceBudget budget = new ResourceBudget(bytes, jobs);
        budget.setClasses(List.of(requestClass(Idempotency.NON_IDEMPOTENT, 1), requestClass(Idempotency.IDEMPOTENT, 1),
            requestClass(Idempotency.IDEMPOTENT, 5), requestClass(Idempotency.KEYED, 1)));
        return budget;
    }

    private static int admitJobs(ResourceBudget budget, int requestClass) {
        int n = 0;
        while (budget.admitJob(requestClass) == Admission.ADMIT) {
            n++;
        }
        return n;
    }

    /** Jobs that are cheap and safe to repeat are rejected first, those that must not run twice last. */
    @Test
    void cheapAndRepeatableJobsAreRejectedFirst() {
        ResourceBudget budget = newBudget(1 << 24, 100);
        assertEquals(75, admitJobs(budget, 1));
        assertEquals(9, admitJobs(budget, 2));
        assertEquals(8, admitJobs(budget, 3));
        assertEquals(8, admitJobs(budget, 0));
        assertEquals(Admission.REJECT, budget.admitJob(-1));
        assertEquals(100, budget.heldJobs());
    }

    /** If all classes have the same rejection cost, each may use the whole capacity. */
    @Test
    void aSingleClassMayUseTheWholeCapacity() {
        ResourceBudget budget = new ResourceBudget(1 << 24, 100);
        budget.setClasses(List.of(requestClass(Idempotency.IDEMPOTENT, 1)));
        assertEquals(100, admitJobs(budget, 0));
    }

    /** Bodies wait, except small ones; there is still memory for results when job bodies have used up their share. */
    @Test
    void bodiesWaitAndResultsDoNot() {
        ResourceBudget budget = newBudget(1_000_000, 1000);
        int admitted = 0;
        while (budget.reserveBody(0, LARGE_BODY_BYTES) == Admission.ADMIT) {
            admitted++;
        }
        assertEquals(10, admitted);
        assertEquals(Admission.ADMIT, budget.reserveBody(0, 4));
        assertEquals(Admission.ADMIT, budget.reserveResult(LARGE_BODY_BYTES));
        budget.addOutput(340_000);
        assertEquals(Admission.WAIT, budget.reserveResult(LARGE_BODY_BYTES));
        assertTrue(budget.isOutputBacklogged());
        budget.releaseOutput(340_000);
        budget.releaseBody(LARGE_BODY_BYTES + 4);
        assertEquals(Admission.ADMIT, budget.reserveBody(0, LARGE_BODY_BYTES));
    }

    /** If the limits are lowered below the current usage, nothing is admitted until enough has been released. */
    @Test
    void limitsMayBeLoweredBelowCurrentUsage() {
        ResourceBudget budget = newBudget(1_000_000, 100);
        assertEquals(100, admitJobs(budget, 0));
        assertEquals(Admission.ADMIT, budget.reserveBody(0, 500_000));
        budget.setLimits(256 * 1024, 16);
        assertEquals(Admission.REJECT, budget.admitJob(0));
        assertEquals(Admission.WAIT, budget.reserveBody(0, LARGE_BODY_BYTES));
        budget.releaseBody(500_000);
        for (int i = 0; i < 85; i++) {
            budget.releaseJob();
        }
        assertEquals(Admission.ADMIT, budget.reserveBody(0, LARGE_BODY_BYTES));
        assertEquals(Admission.ADMIT, budget.admitJob(0));
        assertEquals(Admission.REJECT, budget.admitJob(0));
    }

    /** In any order of reservations and releases, usage exceeds the limits by small bodies at most, and returns to zero. */
    @Property(tries = 60)
    void usageNeverExceedsTheLimits(@ForAll long seed) {
        Random random = new Random(seed);
        ResourceBudget budget = newBudget(2_000_000, 50);
        Deque<Integer> bodies = new ArrayDeque<>();
        Deque<Integer> results = new ArrayDeque<>();
        int smallBytes = 0;
        for (int i = 0; i < 2000; i++) {
            int bytes = random.nextInt(random.nextBoolean() ? ResourceBudget.SMALL_BODY_BYTES : 65_536);
            if (random.nextBoolean()) {
                if (budget.reserveBody(random.nextInt(4), bytes) == Admission.ADMIT) {
                    bodies.add(bytes);
                    smallBytes += bytes <= ResourceBudget.SMALL_BODY_BYTES ? bytes : 0;
                }
            } else if (budget.reserveResult(bytes) == Admission.ADMIT) {
                results.add(bytes);
                smallBytes += bytes <= ResourceBudget.SMALL_BODY_BYTES ? bytes : 0;
            }
            if (random.nextInt(3) == 0 && !bodies.isEmpty()) {
                budget.releaseBody(bodies.poll());
            }
            if (random.nextInt(3) == 0 && !results.isEmpty()) {
                budget.releaseResult(results.poll());
            }
            assertTrue(budget.heldBytes() <= budget.maxBytes() + smallBytes);
        }
        bodies.forEach(budget::releaseBody);
        results.forEach(budget::releaseResult);
        assertEquals(0, budget.heldBytes());
    }
}
