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

/** Measures the cost of timers: with a given number live, cancels one, schedules one and advances the clock by 100 µs. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx256m"})
public class TimersBenchmark {
    private static final Runnable NOTHING = () -> { };
    private static final int DELAY_RANGE_US = 25_000_000;

    @Param({"1000", "100000"})
    private int live;

    private final Random random = new Random(7);
    private long nowUs;
    private int next;
    private TimerWheel wheel;
    private TimerWheel.Timer[] wheelTimers;
    private IndexedHeap heap;
    private IndexedHeap.Timer[] heapTimers;
    private DeadlineTimerWheel agrona;
    private long[] agronaTimers;

    /** Fills all implementations with the same timers. */
    @Setup(Level.Trial)
    public void setUp() {
        wheel = new TimerWheel(0);
        heap = new IndexedHeap();
        agrona = new DeadlineTimerWheel(TimeUnit.MICROSECONDS, 0, 1 << 10, 1 << 13);
        wheelTimers = new TimerWheel.Timer[live];
        heapTimers = new IndexedHeap.Timer[live];
        agronaTimers = new long[live];
        for (int i = 0; i < live; i++) {
            long at = DELAY_RANGE_US / 2 + random.nextInt(DELAY_RANGE_US);
            wheelTimers[i] = wheel.schedule(at, NOTHING);
            heapTimers[i] = heap.schedule(at, NOTHING);
            agronaTimers[i] = agrona.scheduleTimer(at);
        }
    }

    private long advance() {
        nowUs += 100;
        next = next + 1 == live ? 0 : next + 1;
        return nowUs + DELAY_RANGE_US / 2 + random.nextInt(DELAY_RANGE_US);
    }

    /** The hashed timer wheel that the scheduler uses. */
    @Benchmark
    public Runnable wheel() {
        long at = advance();
        wheelTimers[next].cancel();
        wheelTimers[next] = wheel.schedule(at, NOTHING);
        return wheel.poll(nowUs);
    }

    /** The indexed binary heap. */
    @Benchmark
    public Runnable heap() {
        long at = advance();
        heap.cancel(heapTimers[next]);
        heapTimers[next] = heap.schedule(at, NOTHING);
        return heap.poll(nowUs);
    }

    /** Agrona's timer wheel, without the map from timer ids to tasks that it would need in use. */
    @Benchmark
    public int agrona() {
        long at = advance();
        agrona.cancelTimer(agronaTimers[next]);
        agronaTimers[next] = agrona.scheduleTimer(at);
        return agrona.poll(nowUs, (unit, now, id) -> true, 16);
    }
}
