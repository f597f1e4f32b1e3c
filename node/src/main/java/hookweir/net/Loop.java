package hookweir.net;

import hookweir.timer.TimerWheel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The one thread that owns the module, the timers and all state of requests: the transport's selector, which lets it
 * take its {@link #turn} between two rounds of I/O. So what a round of I/O posted is all dealt with before the next one
 * reads on, and nothing piles up in between. Other threads only post to it.
 * Its clock is monotonic: it was set by the wall clock once and is driven by nanoTime from then on, so Unix
 * times in messages compare with it and no step of the wall clock moves it.
 */
public final class Loop {
    /** I/O gets its turn after so many tasks, or once all are done that the last round posted. */
    private static final int MOST_TASKS = 256;

    private final Queue<Runnable> fromOthers = new ConcurrentLinkedQueue<>();
    private final ArrayDeque<Runnable> own = new ArrayDeque<>();
    private final ArrayDeque<Runnable> afterRound = new ArrayDeque<>();
    private final Invariants invariants;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long wallUs = System.currentTimeMillis() * 1000;
    private final LongSupplier clock;
    private final long nanos;
    private final TimerWheel timers = new TimerWheel(wallUs);
    private volatile Runnable waker = () -> { };
    private volatile boolean running;
    private volatile Thread owner;
    private volatile Consumer<Error> death = this::die;
    private volatile Error died;
    /** When the last turn began. */
    private long turnUs;

    public Loop(Invariants invariants) {
        this(invariants, System::nanoTime);
    }

    /** By another monotonic clock, in ns. */
    Loop(Invariants invariants, LongSupplier clock) {
        this.invariants = invariants;
        this.clock = clock;
        nanos = clock.getAsLong();
    }

    /** Now, in microseconds since 1970 as this clock has it. */
    public long nowUs() {
        return wallUs + (clock.getAsLong() - nanos) / 1000;
    }

    /**
     * Nothing that the present round of I/O reads can have lain there before this time: the round before read all that there was.
     * Owner thread only.
     */
    public long unreadSinceUs() {
        return turnUs;
    }

    /** How to wake the owner thread from its wait for I/O. */
    void waker(Runnable newWaker) {
        waker = newWaker;
    }

    /** Runs the task on the owner thread, after all that the same thread posted before. Any thread. */
    public void post(Runnable task) {
        if (isOwner()) {
            own.add(task);
        } else {
            fromOthers.add(task);
            waker.run();
        }
    }

    /** Runs the task after the delay. Owner thread only. */
    public TimerWheel.Timer after(long delayUs, Runnable task) {
        return timers.schedule(nowUs() + Math.max(0, delayUs), task);
    }

    /** Runs the task once a whole round of I/O has read what is there by now. From a task or timer of the owner thread only. */
    public void afterRound(Runnable task) {
        afterRound.add(task);
    }

    /** The calling thread owns all state. */
    public boolean isOwner() {
        return Thread.currentThread() == owner;
    }

    /** Between {@link #run} and {@link #stop}. */
    boolean isRunning() {
        return running;
    }

    /** Timers that are set. Owner thread only. */
    int timers() {
        return timers.size();
    }

    /** Ends {@link #run} after the present task. Owner thread only. */
    public void stop() {
        running = false;
        stopped.countDown();
    }

    /** Lets the turns begin, and waits for {@link #stop}. An error that ended the loop is thrown here. */
    public void run() {
        running = true;
        waker.run();
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (died != null) {
            throw died;
        }
    }

    private void die(Error e) {
        died = e;
        stop();
    }

    /** What to do when an error, such as a lack of memory, hits the owner thread; without this {@link #run} throws it. */
    void onDeath(Consumer<Error> newDeath) {
        death = newDeath;
    }

    /**
     * Runs what is due and what was posted, guarded against one bad event ending the scheduler and losing all it holds.
     * Owner thread only, between two rounds of I/O.
     *
     * @return so many microseconds may be waited for I/O, if nothing is posted
     */
    long turn() {
        if (owner == null) {
            owner = Thread.currentThread();
        }
        turnUs = nowUs();
        own.addAll(afterRound);
        afterRound.clear();
        // All that the last round posted is done before the next one posts more; timers and tasks take turns, as neither may
        // hold up the other: a late timer is a deadline passed unseen.
        int most = Math.max(MOST_TASKS, 2 * own.size());
        for (int i = 0; i < most && running; i++) {
            boolean timersFirst = i % 2 == 0;
            Runnable task = timersFirst ? timers.poll(nowUs()) : posted();
            if (task == null) {
                task = timersFirst ? posted() : timers.poll(nowUs());
            }
            if (task == null) {
                return afterRound.isEmpty() ? timers.idleTimeUs(nowUs()) : 0;
            }
            now(task);
        }
        return running ? 0 : 1_000_000;
    }

    private Runnable posted() {
        Runnable task = fromOthers.poll();
        return task == null ? own.poll() : task;
    }

    /** Runs a round of I/O's event at once. Owner thread only, and from no call of the module. */
    public void now(Runnable task) {
        try {
            task.run();
        } catch (Error e) {
            // Whatever it was, state may be half changed: nothing more is decided on it.
            death.accept(e);
        } catch (RuntimeException e) {
            invariants.count("BROKEN event failed");
            StackTraceElement[] trace = e.getStackTrace();
            Log.line("event failed: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
