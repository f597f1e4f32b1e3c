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
    private static final int MAX_TASKS_PER_TURN = 256;

    private final Queue<Runnable> otherThreadTasks = new ConcurrentLinkedQueue<>();
    private final ArrayDeque<Runnable> ownerTasks = new ArrayDeque<>();
    private final ArrayDeque<Runnable> afterIoRound = new ArrayDeque<>();
    private final Invariants invariants;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final long startUnixUs = System.currentTimeMillis() * 1000;
    private final LongSupplier clock;
    private final long startNanos;
    private final TimerWheel timerCount = new TimerWheel(startUnixUs);
    private volatile Runnable setWaker = () -> { };
    private volatile boolean running;
    private volatile Thread owner;
    private volatile Consumer<Error> fatalErrorHandler = this::recordFatalError;
    private volatile Error fatalError;
    /** When the last turn began. */
    private long turnStartedUs;

    public Loop(Invariants invariants) {
        this(invariants, System::nanoTime);
    }

    /** By another monotonic clock, in ns. */
    Loop(Invariants invariants, LongSupplier clock) {
        this.invariants = invariants;
        this.clock = clock;
        startNanos = clock.getAsLong();
    }

    /** Now, in microseconds since 1970 as this clock has it. */
    public long nowUs() {
        return startUnixUs + (clock.getAsLong() - startNanos) / 1000;
    }

    /**
     * Nothing that the present round of I/O reads can have lain there before this time: the round before read all that there was.
     * Owner thread only.
     */
    public long earliestArrivalUs() {
        return turnStartedUs;
    }

    /** How to wake the owner thread from its wait for I/O. */
    void setWaker(Runnable newWaker) {
        setWaker = newWaker;
    }

    /** Runs the task on the owner thread, after all that the same thread posted before. Any thread. */
    public void post(Runnable task) {
        if (isOwner()) {
            ownerTasks.add(task);
        } else {
            otherThreadTasks.add(task);
            setWaker.run();
        }
    }

    /** Runs the task after the delay. Owner thread only. */
    public TimerWheel.Timer schedule(long delayUs, Runnable task) {
        return timerCount.schedule(nowUs() + Math.max(0, delayUs), task);
    }

    /** Runs the task once a whole round of I/O has read what is there by now. From a task or timer of the owner thread only. */
    public void afterIoRound(Runnable task) {
        afterIoRound.add(task);
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
    int timerCount() {
        return timerCount.size();
    }

    /** Ends {@link #run} after the present task. Owner thread only. */
    public void stop() {
        running = false;
        stopped.countDown();
    }

    /** Lets the turns begin, and waits for {@link #stop}. An error that ended the loop is thrown here. */
    public void run() {
        running = true;
        setWaker.run();
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

    /** What to do when an error, such as a lack of memory, hits the owner thread; without this {@link #run} throws it. */
    void onFatalError(Consumer<Error> newDeath) {
        fatalErrorHandler = newDeath;
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
        turnStartedUs = nowUs();
        ownerTasks.addAll(afterIoRound);
        afterIoRound.clear();
        // All that the last round posted is done before the next one posts more; timers and tasks take turns, as neither may
        // hold up the other: a late timer is a deadline passed unseen.
        int most = Math.max(MAX_TASKS_PER_TURN, 2 * ownerTasks.size());
        for (int i = 0; i < most && running; i++) {
            boolean timersFirst = i % 2 == 0;
            Runnable task = timersFirst ? timerCount.poll(nowUs()) : nextPosted();
            if (task == null) {
                task = timersFirst ? nextPosted() : timerCount.poll(nowUs());
            }
            if (task == null) {
                return afterIoRound.isEmpty() ? timerCount.idleTimeUs(nowUs()) : 0;
            }
            now(task);
        }
        return running ? 0 : 1_000_000;
    }

    private Runnable nextPosted() {
        Runnable task = otherThreadTasks.poll();
        return task == null ? ownerTasks.poll() : task;
    }

    /** Runs a round of I/O's event at once. Owner thread only, and from no call of the module. */
    public void now(Runnable task) {
        try {
            task.run();
        } catch (Error e) {
            // Whatever it was, state may be half changed: nothing more is decided on it.
            fatalErrorHandler.accept(e);
        } catch (RuntimeException e) {
            invariants.count("BROKEN event failed");
            StackTraceElement[] trace = e.getStackTrace();
            Log.line("event failed: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
