package hookweir.bench;

import hookweir.timer.TimerWheel;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.agrona.DeadlineTimerWheel;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** What a job's timers cost: with so many live, one is set, one cancelled, and the clock goes on by 100 µs. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx256m"})
public class TimersBenchmark {
    private static final Runnable NOTHING = () -> { };
    private static final int SPREAD_US = 25_000_000;

    @Param({"1000", "100000"})
    private int live;

    private final Random random = new Random(7);
    private long nowUs;
    private int next;
    private TimerWheel wheel;
    private TimerWheel.Timer[] inWheel;
    private IndexedHeap heap;
    private IndexedHeap.Timer[] inHeap;
    private DeadlineTimerWheel agrona;
    private long[] inAgrona;

    /** Fills all of them alike. */
    @Setup(Level.Trial)
    public void fill() {
        wheel = new TimerWheel(0);
        heap = new IndexedHeap();
        agrona = new DeadlineTimerWheel(TimeUnit.MICROSECONDS, 0, 1 << 10, 1 << 13);
        inWheel = new TimerWheel.Timer[live];
        inHeap = new IndexedHeap.Timer[live];
        inAgrona = new long[live];
        for (int i = 0; i < live; i++) {
            long at = SPREAD_US / 2 + random.nextInt(SPREAD_US);
            inWheel[i] = wheel.schedule(at, NOTHING);
            inHeap[i] = heap.set(at, NOTHING);
            inAgrona[i] = agrona.scheduleTimer(at);
        }
    }

    private long step() {
        nowUs += 100;
        next = next + 1 == live ? 0 : next + 1;
        return nowUs + SPREAD_US / 2 + random.nextInt(SPREAD_US);
    }

    /** The hashed wheel of the product. */
    @Benchmark
    public Runnable wheel() {
        long at = step();
        inWheel[next].cancel();
        inWheel[next] = wheel.schedule(at, NOTHING);
        return wheel.poll(nowUs);
    }

    /** An indexed heap. */
    @Benchmark
    public Runnable heap() {
        long at = step();
        heap.cancel(inHeap[next]);
        inHeap[next] = heap.set(at, NOTHING);
        return heap.poll(nowUs);
    }

    /** Agrona's wheel, without the map from its numbers to tasks that a user would need beside it. */
    @Benchmark
    public int agrona() {
        long at = step();
        agrona.cancelTimer(inAgrona[next]);
        inAgrona[next] = agrona.scheduleTimer(at);
        return agrona.poll(nowUs, (unit, now, id) -> true, 16);
    }
}
