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
        ResourceBudget room = new ResourceBudget(bytes, jobs);
        room.setClasses(List.of(requestClass(Idempotency.NON_IDEMPOTENT, 1), requestClass(Idempotency.IDEMPOTENT, 1), requestClass(Idempotency.IDEMPOTENT, 5), requestClass(Idempotency.KEYED, 1)));
        return room;
    }

    private static int admitJobs(ResourceBudget room, int requestClass) {
        int n = 0;
        while (room.admitJob(requestClass) == Admission.ADMIT) {
            n++;
        }
        return n;
    }

    /** The cheap and repeatable are turned away first, the ones that must not run twice last. */
    @Test
    void cheapAndRepeatableJobsAreRejectedFirst() {
        ResourceBudget room = newBudget(1 << 24, 100);
        assertEquals(75, admitJobs(room, 1));
        assertEquals(9, admitJobs(room, 2));
        assertEquals(8, admitJobs(room, 3));
        assertEquals(8, admitJobs(room, 0));
        assertEquals(Admission.REJECT, room.admitJob(-1));
        assertEquals(100, room.heldJobs());
    }

    /** Where all classes are alike none has less room than another. */
    @Test
    void aSingleClassMayUseTheWholeCapacity() {
        ResourceBudget room = new ResourceBudget(1 << 24, 100);
        room.setClasses(List.of(requestClass(Idempotency.IDEMPOTENT, 1)));
        assertEquals(100, admitJobs(room, 0));
    }

    /** Bodies wait, small ones never; results still find room when jobs have taken all of theirs. */
    @Test
    void bodiesWaitAndResultsDoNot() {
        ResourceBudget room = newBudget(1_000_000, 1000);
        int taken = 0;
        while (room.reserveBody(0, LARGE_BODY_BYTES) == Admission.ADMIT) {
            taken++;
        }
        assertEquals(10, taken);
        assertEquals(Admission.ADMIT, room.reserveBody(0, 4));
        assertEquals(Admission.ADMIT, room.reserveResult(LARGE_BODY_BYTES));
        room.addOutput(340_000);
        assertEquals(Admission.WAIT, room.reserveResult(LARGE_BODY_BYTES));
        assertTrue(room.isOutputBacklogged());
        room.releaseOutput(340_000);
        room.releaseBody(LARGE_BODY_BYTES + 4);
        assertEquals(Admission.ADMIT, room.reserveBody(0, LARGE_BODY_BYTES));
    }

    /** Limits that fall below what is held: nothing is let in until enough has ended, and nothing breaks. */
    @Test
    void limitsMayBeLoweredBelowCurrentUsage() {
        ResourceBudget room = newBudget(1_000_000, 100);
        assertEquals(100, admitJobs(room, 0));
        assertEquals(Admission.ADMIT, room.reserveBody(0, 500_000));
        room.setLimits(256 * 1024, 16);
        assertEquals(Admission.REJECT, room.admitJob(0));
        assertEquals(Admission.WAIT, room.reserveBody(0, LARGE_BODY_BYTES));
        room.releaseBody(500_000);
        for (int i = 0; i < 85; i++) {
            room.releaseJob();
        }
        assertEquals(Admission.ADMIT, room.reserveBody(0, LARGE_BODY_BYTES));
        assertEquals(Admission.ADMIT, room.admitJob(0));
        assertEquals(Admission.REJECT, room.admitJob(0));
    }

    /** Whatever comes and goes: what is held never passes the limits but by small bodies, and ends at nothing. */
    @Property(tries = 60)
    void usageNeverExceedsTheLimits(@ForAll long seed) {
        Random random = new Random(seed);
        ResourceBudget room = newBudget(2_000_000, 50);
        Deque<Integer> bodies = new ArrayDeque<>();
        Deque<Integer> results = new ArrayDeque<>();
        int small = 0;
        for (int i = 0; i < 2000; i++) {
            int bytes = random.nextInt(random.nextBoolean() ? ResourceBudget.SMALL_BODY_BYTES : 65_536);
            if (random.nextBoolean()) {
                if (room.reserveBody(random.nextInt(4), bytes) == Admission.ADMIT) {
                    bodies.add(bytes);
                    small += bytes <= ResourceBudget.SMALL_BODY_BYTES ? bytes : 0;
                }
            } else if (room.reserveResult(bytes) == Admission.ADMIT) {
                results.add(bytes);
                small += bytes <= ResourceBudget.SMALL_BODY_BYTES ? bytes : 0;
            }
            if (random.nextInt(3) == 0 && !bodies.isEmpty()) {
                room.releaseBody(bodies.poll());
            }
            if (random.nextInt(3) == 0 && !results.isEmpty()) {
                room.releaseResult(results.poll());
            }
            assertTrue(room.heldBytes() <= room.maxBytes() + small);
        }
        bodies.forEach(room::releaseBody);
        results.forEach(room::releaseResult);
        assertEquals(0, room.heldBytes());
    }
}
