package hookweir.room;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract.Idempotency;
import hookweir.Contract.RequestClass;
import hookweir.room.Room.Verdict;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RoomTest {
    private static final int BIG = 60_000;

    private static RequestClass of(Idempotency effect, double worth) {
        RequestClass c = new RequestClass();
        c.idempotency = effect;
        c.value = worth;
        return c;
    }

    private static Room room(long bytes, int jobs) {
        Room room = new Room(bytes, jobs);
        room.classes(List.of(of(Idempotency.NON_IDEMPOTENT, 1), of(Idempotency.IDEMPOTENT, 1), of(Idempotency.IDEMPOTENT, 5), of(Idempotency.KEYED, 1)));
        return room;
    }

    private static int jobsTaken(Room room, int requestClass) {
        int n = 0;
        while (room.job(requestClass) == Verdict.TAKE) {
            n++;
        }
        return n;
    }

    /** The cheap and repeatable are turned away first, the ones that must not run twice last. */
    @Test
    void theCheapAndRepeatableGoFirst() {
        Room room = room(1 << 24, 100);
        assertEquals(75, jobsTaken(room, 1));
        assertEquals(9, jobsTaken(room, 2));
        assertEquals(8, jobsTaken(room, 3));
        assertEquals(8, jobsTaken(room, 0));
        assertEquals(Verdict.REFUSE, room.job(-1));
        assertEquals(100, room.jobs());
    }

    /** Where all classes are alike none has less room than another. */
    @Test
    void oneClassHasAllOfIt() {
        Room room = new Room(1 << 24, 100);
        room.classes(List.of(of(Idempotency.IDEMPOTENT, 1)));
        assertEquals(100, jobsTaken(room, 0));
    }

    /** Bodies wait, small ones never; results still find room when jobs have taken all of theirs. */
    @Test
    void bodiesWaitAndResultsDoNot() {
        Room room = room(1_000_000, 1000);
        int taken = 0;
        while (room.body(0, BIG) == Verdict.TAKE) {
            taken++;
        }
        assertEquals(10, taken);
        assertEquals(Verdict.TAKE, room.body(0, 4));
        assertEquals(Verdict.TAKE, room.result(BIG));
        room.output(340_000);
        assertEquals(Verdict.WAIT, room.result(BIG));
        assertTrue(room.choked());
        room.outputGone(340_000);
        room.bodyGone(BIG + 4);
        assertEquals(Verdict.TAKE, room.body(0, BIG));
    }

    /** Limits that fall below what is held: nothing is let in until enough has ended, and nothing breaks. */
    @Test
    void limitsFallBelowWhatIsHeld() {
        Room room = room(1_000_000, 100);
        assertEquals(100, jobsTaken(room, 0));
        assertEquals(Verdict.TAKE, room.body(0, 500_000));
        room.limit(256 * 1024, 16);
        assertEquals(Verdict.REFUSE, room.job(0));
        assertEquals(Verdict.WAIT, room.body(0, BIG));
        room.bodyGone(500_000);
        for (int i = 0; i < 85; i++) {
            room.jobGone();
        }
        assertEquals(Verdict.TAKE, room.body(0, BIG));
        assertEquals(Verdict.TAKE, room.job(0));
        assertEquals(Verdict.REFUSE, room.job(0));
    }

    /** Whatever comes and goes: what is held never passes the limits but by small bodies, and ends at nothing. */
    @Property(tries = 60)
    void neverBeyondItsLimits(@ForAll long seed) {
        Random random = new Random(seed);
        Room room = room(2_000_000, 50);
        Deque<Integer> bodies = new ArrayDeque<>();
        Deque<Integer> results = new ArrayDeque<>();
        int small = 0;
        for (int i = 0; i < 2000; i++) {
            int bytes = random.nextInt(random.nextBoolean() ? Room.SMALL_BYTES : 65_536);
            if (random.nextBoolean()) {
                if (room.body(random.nextInt(4), bytes) == Verdict.TAKE) {
                    bodies.add(bytes);
                    small += bytes <= Room.SMALL_BYTES ? bytes : 0;
                }
            } else if (room.result(bytes) == Verdict.TAKE) {
                results.add(bytes);
                small += bytes <= Room.SMALL_BYTES ? bytes : 0;
            }
            if (random.nextInt(3) == 0 && !bodies.isEmpty()) {
                room.bodyGone(bodies.poll());
            }
            if (random.nextInt(3) == 0 && !results.isEmpty()) {
                room.resultGone(results.poll());
            }
            assertTrue(room.bytes() <= room.mostBytes() + small);
        }
        bodies.forEach(room::bodyGone);
        results.forEach(room::resultGone);
        assertEquals(0, room.bytes());
    }
}
