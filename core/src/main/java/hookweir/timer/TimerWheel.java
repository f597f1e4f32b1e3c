package hookweir.timer;

/**
 * A hashed timing wheel (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987, scheme 6). The cost of a timer does not depend
 * on how many there are. Each timer is a node of its slot's linked list, so cancelling it unlinks it and releases its task at once.
 *
 * <p>Times are microseconds of the caller's clock. A timer fires up to {@link #TICK_US} late and never early; timers of the same tick fire
 * in the order in which they were scheduled. Not thread-safe; reads no clock.
 */
public final class TimerWheel {
    /** Resolution of the timers, in microseconds. */
    public static final int TICK_US = 1 << 10;
    private static final int TICK_BITS = 10;
    private static final int SLOT_COUNT = 1 << 13;
    /** {@link #idleTimeUs} looks at most this many ticks ahead, so that it does not search the whole of an idle wheel. */
    private static final int LOOKAHEAD_TICKS = 64;

    private final Timer[] slotHeads = new Timer[SLOT_COUNT];
    private final Timer[] slotTails = new Timer[SLOT_COUNT];
    /** List of timers whose tick has passed, in order, that {@link #poll} has not returned yet. */
    private Timer dueHead;
    private Timer dueTail;
    private long currentTick;
    private int pendingTimers;

    /** A timer, created by {@link #schedule}. */
    public static final class Timer {
        private static final int UNLINKED = -1;
        private static final int DUE_LIST = -2;

        private final TimerWheel wheel;
        private final long dueTick;
        private Runnable task;
        private Timer previous;
        private Timer next;
        private int slot;

        private Timer(TimerWheel wheel, long atTick, Runnable task) {
            this.wheel = wheel;
            this.dueTick = atTick;
            this.task = task;
        }

        /** Cancels the timer and releases its task. Does nothing once it has fired. */
        public void cancel() {
            if (slot != UNLINKED) {
                wheel.unlink(this);
                wheel.pendingTimers--;
                task = null;
            }
        }

        /** Returns whether the timer has neither fired nor been cancelled. */
        public boolean isPending() {
            return slot != UNLINKED;
        }
    }

    /** Creates a wheel that starts at this time. */
    public TimerWheel(long nowUs) {
        currentTick = nowUs >> TICK_BITS;
    }

    /** Schedules a task; if the time is in the past, it fires at the next {@link #poll}. */
    public Timer schedule(long atUs, Runnable task) {
        long dueTick = Math.max(currentTick, atUs + TICK_US - 1 >> TICK_BITS);
        Timer t = new Timer(this, dueTick, task);
        pendingTimers++;
        if (dueTick <= currentTick) {
            append(t, Timer.DUE_LIST);
        } else {
            append(t, (int) (dueTick & SLOT_COUNT - 1));
        }
        return t;
    }

    /** Removes the next timer that is due by this time and returns its task; null if there is none. */
    public Runnable poll(long nowUs) {
        long nowTick = nowUs >> TICK_BITS;
        while (dueHead == null && currentTick < nowTick) {
            if (nowTick - currentTick > SLOT_COUNT && pendingTimers == 0) {
                currentTick = nowTick; // no timers to collect in between
                return null;
            }
            currentTick++;
            collectDue((int) (currentTick & SLOT_COUNT - 1));
        }
        Timer t = dueHead;
        if (t == null) {
            return null;
        }
        unlink(t);
        pendingTimers--;
        Runnable task = t.task;
        t.task = null;
        return task;
    }

    private void collectDue(int slot) {
        Timer t = slotHeads[slot];
        while (t != null) {
            Timer next = t.next;
            if (t.dueTick <= currentTick) {
                unlink(t);
                append(t, Timer.DUE_LIST);
            }
            t = next;
        }
    }

    /**
     * Returns for how many microseconds from this time on no timer is due: 0 if one may be due now, and at most about 65 ms
     * ({@link #LOOKAHEAD_TICKS}).
     */
    public long idleTimeUs(long nowUs) {
        if (dueHead != null) {
            return 0;
        }
        for (long tick = currentTick + 1; tick <= currentTick + LOOKAHEAD_TICKS; tick++) {
            for (Timer t = slotHeads[(int) (tick & SLOT_COUNT - 1)]; t != null; t = t.next) {
                if (t.dueTick <= tick) {
                    return Math.max(0, (tick << TICK_BITS) - nowUs);
                }
            }
        }
        return Math.max(0, (currentTick + LOOKAHEAD_TICKS << TICK_BITS) - nowUs);
    }

    /** Returns the number of pending timers. */
    public int size() {
        return pendingTimers;
    }

    private void append(Timer t, int slot) {
        Timer tail = slot == Timer.DUE_LIST ? dueTail : slotTails[slot];
        t.slot = slot;
        t.previous = tail;
        t.next = null;
        if (tail != null) {
            tail.next = t;
        } else {
            setHead(slot, t);
        }
        setTail(slot, t);
    }

    private void unlink(Timer t) {
        if (t.previous != null) {
            t.previous.next = t.next;
        } else {
            setHead(t.slot, t.next);
        }
        if (t.next != null) {
            t.next.previous = t.previous;
        } else {
            setTail(t.slot, t.previous);
        }
        t.previous = null;
        t.next = null;
        t.slot = Timer.UNLINKED;
    }

    private void setHead(int slot, Timer t) {
        if (slot == Timer.DUE_LIST) {
            dueHead = t;
        } else {
            slotHeads[slot] = t;
        }
    }

    private void setTail(int slot, Timer t) {
        if (slot == Timer.DUE_LIST) {
            dueTail = t;
        } else {
            slotTails[slot] = t;
        }
    }
}
