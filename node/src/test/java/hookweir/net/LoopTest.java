package hookweir.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The loop's turn between two rounds of I/O, called directly by the test. */
class LoopTest {
    private final Loop loop = new Loop(new Invariants());
    private int tasks;
    private int timers;

    /** Makes this thread the loop's thread, as the selector thread is otherwise. */
    @BeforeEach
    void startLoop() {
        loop.stop(); // so that run() returns at once
        loop.run();
        loop.turn();
    }

    /** Many posted tasks that post further tasks must not delay due timers, or deadlines would pass unnoticed. */
    @Test
    void dueTimersRunDespiteManyTasks() {
        Runnable again = new Runnable() {
            @Override
            public void run() {
                tasks++;
                loop.post(this);
            }
        };
        for (int i = 0; i < 2000; i++) {
            loop.post(again);
        }
        for (int i = 0; i < 50; i++) {
            loop.schedule(0, () -> timers++);
        }
        long until = loop.nowUs() + 5000;
        while (loop.nowUs() < until) {
            Thread.onSpinWait(); // the timer wheel has a resolution of 1 ms
        }
        loop.turn();
        assertEquals(50, timers);
        assertTrue(tasks >= 2000, "tasks posted before the turn run in it: " + tasks);
    }

    /** Many due timers that schedule further timers must not delay posted tasks. */
    @Test
    void postedTasksRunDespiteManyDueTimers() {
        Runnable again = new Runnable() {
            @Override
            public void run() {
                timers++;
                loop.schedule(0, this);
            }
        };
        for (int i = 0; i < 2000; i++) {
            loop.schedule(0, again);
        }
        loop.post(() -> tasks++);
        long until = loop.nowUs() + 5000;
        while (loop.nowUs() < until) {
            Thread.onSpinWait();
        }
        loop.turn();
        assertEquals(1, tasks);
    }
}
