package hookweir.timer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TimerWheelTest {
    private static final Runnable NO_OP = () -> { };

    /** Compares the wheel with a sorted map: unless cancelled, each timer fires once, never early and at most one tick late. */
    @Property(tries = 40)
    void agreesWithASortedMap(@ForAll long seed) {
        Random random = new Random(seed);
        long now = Math.abs(random.nextInt()) * 1000L;
        TimerWheel wheel = new TimerWheel(now);
        TreeMap<Integer, Long> expected = new TreeMap<>();
        Map<Integer, TimerWheel.Timer> timers = new TreeMap<>();
        List<Integer> fired = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
            int number = i;
            if (random.nextInt(3) > 0) {
                long at = now + (random.nextInt(4) == 0 ? random.nextInt(30_000_000) : random.nextInt(20_000)) - 2_000;
                timers.put(i, wheel.schedule(at, () -> fired.add(number)));
                expected.put(i, at);
            }
            if (random.nextInt(4) == 0 && !expected.isEmpty()) {
                int cancelled = expected.firstKey();
                timers.get(cancelled).cancel();
                expected.remove(cancelled);
            }
            now += random.nextInt(10) == 0 ? random.nextInt(12_000_000) : random.nextInt(3_000);
            assertTrue(wheel.idleTimeUs(now) <= 70_000);
            for (Runnable task = wheel.poll(now); task != null; task = wheel.poll(now)) {
                task.run();
            }
            for (int timer : fired) {
                assertTrue(expected.remove(timer) <= now, "early");
            }
            fired.clear();
            for (long at : expected.values()) {
                assertTrue(at > now - TimerWheel.TICK_US, "late by " + (now - at));
            }
            assertEquals(expected.size(), wheel.size());
        }
    }

    /** A million cancelled timers leave neither list nodes nor references to their tasks. */
    @Test
    void cancelledTimersUseNoMemory() {
        TimerWheel wheel = new TimerWheel(0);
        WeakReference<Object> taskState = null;
        for (int i = 0; i < 1_000_000; i++) {
            byte[] held = new byte[100];
            TimerWheel.Timer t = wheel.schedule(25_000_000L + i, () -> held[0]++);
            if (i == 500_000) {
                taskState = new WeakReference<>(held);
            }
            t.cancel();
        }
        assertEquals(0, wheel.size());
        for (int i = 0; i < 50 && taskState.get() != null; i++) {
            System.gc();
        }
        assertNull(taskState.get());
    }

    /** A timer that is due but has not been returned by poll yet can be cancelled, as by the task of the timer before it. */
    @Test
    void aDueTimerCanBeCancelled() {
        TimerWheel wheel = new TimerWheel(0);
        wheel.schedule(10_000, NO_OP);
        TimerWheel.Timer second = wheel.schedule(10_000, NO_OP);
        assertEquals(NO_OP, wheel.poll(20_000));
        assertTrue(second.isPending());
        second.cancel();
        second.cancel();
        assertNull(wheel.poll(20_000));
        assertFalse(second.isPending());
        assertEquals(0, wheel.size());
    }

    /** No timer is lost if the wheel is not polled for an hour, whether it is empty or has a timer pending. */
    @Test
    void longClockJumpsLoseNoTimer() {
        TimerWheel wheel = new TimerWheel(0);
        assertNull(wheel.poll(3_600_000_000L));
        wheel.schedule(7_200_000_000L, NO_OP);
        assertNull(wheel.poll(7_199_999_000L));
        assertEquals(NO_OP, wheel.poll(7_200_001_024L));
    }
}
