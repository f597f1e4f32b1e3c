package hookweir.timer;

/**
 * Timers that cost the same however many there are, and nothing once cancelled: a hashed timing wheel (Varghese and
 * Lauck, "Hashed and Hierarchical Timing Wheels", 1987, scheme 6). Each timer is a link of its slot's list, so
 * cancelling takes it out and lets go of its task at once.
 *
 * <p>Times are microseconds of the caller's clock; a timer comes due up to {@link #TICK_US} late and never early. Of
 * timers in one tick the first set comes first. Not thread-safe; it has no clock of its own.
 */
public final class TimerWheel {
    /** The grain of all timers, in microseconds. */
    public static final int TICK_US = 1 << 10;
    private static final int TICK_BITS = 10;
    private static final int SLOTS = 1 << 13;
    /** So many ticks ahead {@link #waitUs} looks, lest an idle wheel be searched whole. */
    private static final int HORIZON = 64;

    private final Timer[] first = new Timer[SLOTS];
    private final Timer[] last = new Timer[SLOTS];
    /** Timers of the ticks passed, in order, not yet handed out. */
    private Timer due;
    private Timer dueEnd;
    private long tick;
    private int live;

    /** One timer, from {@link #set} until it came due or was cancelled. */
    public static final class Timer {
        private static final int NOWHERE = -1;
        private static final int DUE = -2;

        private final TimerWheel wheel;
        private final long atTick;
        private Runnable task;
        private Timer before;
        private Timer after;
        private int slot;

        private Timer(TimerWheel wheel, long atTick, Runnable task) {
            this.wheel = wheel;
            this.atTick = atTick;
            this.task = task;
        }

        /** It won't come due any more, and its task is let go of. Harmless once it came due. */
        public void cancel() {
            if (slot != NOWHERE) {
                wheel.unlink(this);
                wheel.live--;
                task = null;
            }
        }

        /** It is still to come. */
        public boolean isSet() {
            return slot != NOWHERE;
        }
    }

    /** A wheel whose clock shows this time. */
    public TimerWheel(long nowUs) {
        tick = nowUs >> TICK_BITS;
    }

    /** Sets a timer for that time; one that is past comes due at the next {@link #poll}. */
    public Timer set(long atUs, Runnable task) {
        long at = Math.max(tick, atUs + TICK_US - 1 >> TICK_BITS);
        Timer t = new Timer(this, at, task);
        live++;
        if (at <= tick) {
            append(t, Timer.DUE);
        } else {
            append(t, (int) (at & SLOTS - 1));
        }
        return t;
    }

    /** The task of the next timer that is due by that time, which is now over; null where none is. */
    public Runnable poll(long nowUs) {
        long now = nowUs >> TICK_BITS;
        while (due == null && tick < now) {
            if (now - tick > SLOTS && live == 0) {
                tick = now; // nothing to look for on the way
                return null;
            }
            tick++;
            pass((int) (tick & SLOTS - 1));
        }
        Timer t = due;
        if (t == null) {
            return null;
        }
        unlink(t);
        live--;
        Runnable task = t.task;
        t.task = null;
        return task;
    }

    private void pass(int slot) {
        Timer t = first[slot];
        while (t != null) {
            Timer next = t.after;
            if (t.atTick <= tick) {
                unlink(t);
                append(t, Timer.DUE);
            }
            t = next;
        }
    }

    /** How long nothing comes due from that time on, in microseconds: 0 where something may, at most some 65 ms. */
    public long waitUs(long nowUs) {
        if (due != null) {
            return 0;
        }
        for (long ahead = tick + 1; ahead <= tick + HORIZON; ahead++) {
            for (Timer t = first[(int) (ahead & SLOTS - 1)]; t != null; t = t.after) {
                if (t.atTick <= ahead) {
                    return Math.max(0, (ahead << TICK_BITS) - nowUs);
                }
            }
        }
        return Math.max(0, (tick + HORIZON << TICK_BITS) - nowUs);
    }

    /** Timers that are still to come. */
    public int size() {
        return live;
    }

    private void append(Timer t, int slot) {
        Timer tail = slot == Timer.DUE ? dueEnd : last[slot];
        t.slot = slot;
        t.before = tail;
        t.after = null;
        if (tail != null) {
            tail.after = t;
        } else {
            head(slot, t);
        }
        tail(slot, t);
    }

    private void unlink(Timer t) {
        if (t.before != null) {
            t.before.after = t.after;
        } else {
            head(t.slot, t.after);
        }
        if (t.after != null) {
            t.after.before = t.before;
        } else {
            tail(t.slot, t.before);
        }
        t.before = null;
        t.after = null;
        t.slot = Timer.NOWHERE;
    }

    private void head(int slot, Timer t) {
        if (slot == Timer.DUE) {
            due = t;
        } else {
            first[slot] = t;
        }
    }

    private void tail(int slot, Timer t) {
        if (slot == Timer.DUE) {
            dueEnd = t;
        } else {
            last[slot] = t;
        }
    }
}
