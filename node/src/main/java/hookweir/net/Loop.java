package hookweir.net;

import hookweir.timer.TimerWheel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The event loop. One thread, the transport's selector thread, owns the decision module, the timers and all request state, and
 * runs one {@link #turn} between two rounds of I/O. All tasks posted by a round of I/O run before the next round reads, so no
 * backlog builds up in between. Other threads only post tasks.
 *
 * <p>The clock is monotonic: it is set from the wall clock once and advanced by nanoTime afterwards. Unix times in messages can
 * therefore be compared with it, and steps of the wall clock do not affect it.
 */
public final class Loop {
    /** A turn yields to I/O after this many tasks, or after twice the number of tasks already posted, if that is more. */
    private static final int MAX_TASKS_PER_TURN = 256;

    private final Queue<Runnable> otherThreadTasks = new ConcurrentLinkedQueue<>();
    private final ArrayDeque<Runnable> ownerTasks = new ArrayDeque<>();
    private final ArrayDeque<Runnable> nextRoundTasks = new ArrayDeque<>();
    private final Invariants invariants;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long startUnixUs = System.currentTimeMillis() * 1000;
    private final LongSupplier clock;
    private final long startNanos;
    private final TimerWheel timerWheel = new TimerWheel(startUnixUs);
    private volatile Runnable ioWaker = () -> { };
    private volatile boolean running;
    private volatile Thread owner;
    private volatile Consumer<Error> fatalErrorHandler = this::recordFatalError;
    private volatile Error fatalError;
    /** When the last turn started. */
    private long turnStartedUs;

    public Loop(Invariants invariants) {
        this(invariants, System::nanoTime);
    }

    /** Uses another monotonic clock, in ns. */
    Loop(Invariants invariants, LongSupplier clock) {
        this.invariants = invariants;
        this.clock = clock;
        startNanos = clock.getAsLong();
    }

    /** Returns the current time of this clock, in microseconds since the Unix epoch. */
    public long nowUs() {
        return startUnixUs + (clock.getAsLong() - startNanos) / 1000;
    }

    /**
     * Returns the earliest time at which data read by the current round of I/O can have arrived: the previous round read
     * everything that was available. Owner thread only.
     */
    public long earliestArrivalUs() {
        return turnStartedUs;
    }

    /** Sets the callback that wakes the owner thread from its wait for I/O. */
    void setWaker(Runnable newWaker) {
        ioWaker = newWaker;
    }

    /** Runs the task on the owner thread, after all tasks that the calling thread posted earlier. Any thread. */
    public void post(Runnable task) {
        if (isOwner()) {
            ownerTasks.add(task);
        } else {
            otherThreadTasks.add(task);
            ioWaker.run();
        }
    }

    /** Runs the task after the delay. Owner thread only. */
    public TimerWheel.Timer schedule(long delayUs, Runnable task) {
        return timerWheel.schedule(nowUs() + Math.max(0, delayUs), task);
    }

    /** Runs the task after a full round of I/O has read all data available by now. Only from a task or timer of the owner thread. */
    public void afterIoRound(Runnable task) {
        nextRoundTasks.add(task);
    }

    /** Returns whether the calling thread is the owner thread. */
    public boolean isOwner() {
        return Thread.currentThread() == owner;
    }

    /** Returns whether the loop is between {@link #run} and {@link #stop}. */
    boolean isRunning() {
        return running;
    }

    /** Returns the number of pending timers. Owner thread only. */
    int timerCount() {
        return timerWheel.size();
    }

    /** Ends {@link #run} after the current task. Owner thread only. */
    public void stop() {
        running = false;
        stopped.countDown();
    }

    /** Starts running tasks and waits for {@link #stop}. Throws the error that ended the loop, if any. */
    public void run() {
        running = true;
        ioWaker.run();
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (fatalError != null) {
            throw fatalError;
        }
    }

    private void recordFatalError(Error e) {
        fatalError = e;
        stop();
    }

    /** Sets the handler of an error on the owner thread, such as an OutOfMemoryError. Without one, {@link #run} throws the error. */
    void onFatalError(Consumer<Error> newHandler) {
        fatalErrorHandler = newHandler;
    }

    /**
     * Runs due timers and posted tasks. An exception in one of them is caught, so that it can't end the scheduler and lose all
     * pending requests. Owner thread only, between two rounds of I/O.
     *
     * @return how long to wait for I/O at most, in µs, if no task is posted
     */
    long turn() {
        if (owner == null) {
            owner = Thread.currentThread();
        }
        turnStartedUs = nowUs();
        ownerTasks.addAll(nextRoundTasks);
        nextRoundTasks.clear();
        // All tasks posted by the last round run before the next round posts more. Timers and tasks alternate, so that neither
        // delays the other: a late timer means that a missed deadline goes unnoticed.
        int maxTasks = Math.max(MAX_TASKS_PER_TURN, 2 * ownerTasks.size());
        for (int i = 0; i < maxTasks && running; i++) {
            boolean timersFirst = i % 2 == 0;
            Runnable task = timersFirst ? timerWheel.poll(nowUs()) : nextPosted();
            if (task == null) {
                task = timersFirst ? nextPosted() : timerWheel.poll(nowUs());
            }
            if (task == null) {
                return nextRoundTasks.isEmpty() ? timerWheel.idleTimeUs(nowUs()) : 0;
            }
            now(task);
        }
        return running ? 0 : 1_000_000;
    }

    private Runnable nextPosted() {
        Runnable task = otherThreadTasks.poll();
        return task == null ? ownerTasks.poll() : task;
    }

    /** Runs an I/O event immediately. Owner thread only, and never from inside a call of the decision module. */
    public void now(Runnable task) {
        try {
            task.run();
        } catch (Error e) {
            // State may be partly updated, so no further decision can rely on it.
            fatalErrorHandler.accept(e);
        } catch (RuntimeException e) {
            invariants.count("BROKEN event failed");
            StackTraceElement[] trace = e.getStackTrace();
            Log.line("event failed: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
