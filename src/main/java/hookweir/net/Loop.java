package hookweir.net;

import java.util.PriorityQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The one thread that owns the module, the timers and all state of exchanges. Other threads only post to it.
 * Its clock is monotonic: it was set by the wall clock once and is driven by nanoTime from then on, so Unix
 * times in messages compare with it and no step of the wall clock moves it.
 */
public final class Loop implements Runnable {
    private final BlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Invariants invariants;
    private final long wallUs = System.currentTimeMillis() * 1000;
    private final long nanos = System.nanoTime();
    private long timerCount;
    private boolean stopped;

    /** A timer that may be cancelled. */
    public static final class Timer implements Comparable<Timer> {
        private final long atUs;
        private final long number;
        private Runnable task;

        private Timer(long atUs, long number, Runnable task) {
            this.atUs = atUs;
            this.number = number;
            this.task = task;
        }

        /** It won't run any more. Owner thread only. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Timer o) {
            return atUs != o.atUs ? Long.compare(atUs, o.atUs) : Long.compare(number, o.number);
        }

        @Override
        public boolean equals(Object o) {
            return this == o;
        }

        @Override
        public int hashCode() {
            return Long.hashCode(number);
        }
    }

    public Loop(Invariants invariants) {
        this.invariants = invariants;
    }

    /** Now, in microseconds since 1970 as this clock has it. */
    public long nowUs() {
        return wallUs + (System.nanoTime() - nanos) / 1000;
    }

    /** Runs the task on the owner thread, after all posted before. Any thread. */
    public void post(Runnable task) {
        posted.add(task);
    }

    /** Runs the task after the delay. Owner thread only. */
    public Timer after(long delayUs, Runnable task) {
        Timer t = new Timer(nowUs() + Math.max(0, delayUs), timerCount++, task);
        timers.add(t);
        return t;
    }

    /** Ends {@link #run} after the present task. Owner thread only. */
    public void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopped) {
            Timer next = timers.peek();
            long waitUs = next == null ? 1_000_000 : next.atUs - nowUs();
            Runnable task = null;
            if (next != null && (waitUs <= 0 || next.task == null)) {
                timers.poll();
                task = next.task;
                if (task != null) {
                    guarded(task);
                }
                task = posted.poll();
            } else {
                try {
                    task = posted.poll(waitUs, TimeUnit.MICROSECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
            if (task != null) {
                guarded(task);
            }
        }
    }

    /** Guards against one bad event ending the scheduler and losing all it holds. */
    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            invariants.count("BROKEN event failed");
            StackTraceElement[] trace = e.getStackTrace();
            Log.line("event failed: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
