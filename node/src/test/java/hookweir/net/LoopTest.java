package hookweir.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The loop's turn, between two rounds of I/O, played by hand. */
class LoopTest {
    private final Loop loop = new Loop(new Invariants());
    private int tasks;
    private int timers;

    /** Runs on this thread from here on, as on the selector's. */
    @BeforeEach
    void startLoop() {
        loop.stop(); // so that run returns
        loop.run();
        loop.turn();
    }

    /** A round of I/O that posts much, and whose tasks post more, holds up no timer: else deadlines pass unseen. */
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
            Thread.onSpinWait(); // the wheel turns by the millisecond
        }
        loop.turn();
        assertEquals(50, timers);
        assertTrue(tasks >= 2000, "what was posted before the turn is done in it: " + tasks);
    }

    /** Nor do due timers, however many, hold up what was posted. */
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
