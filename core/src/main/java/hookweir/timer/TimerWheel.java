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
    private static final int SLOT_COUNT = 1 << 13;
    /** So many ticks ahead {@link #idleTimeUs} looks, lest an idle wheel be searched whole. */
    private static final int LOOKAHEAD_TICKS = 64;

    private final Timer[] slotHeads = new Timer[SLOT_COUNT];
    private final Timer[] slotTails = new Timer[SLOT_COUNT];
    /** Timers of the ticks passed, in order, not yet handed out. */
    private Timer dueHead;
    private Timer dueTail;
    private long currentTick;
    private int pendingTimers;

    /** One timer, from {@link #schedule} until it came due or was cancelled. */
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

        /** It won't come due any more, and its task is let go of. Harmless once it came due. */
        public void cancel() {
            if (slot != UNLINKED) {
                wheel.unlink(this);
                wheel.pendingTimers--;
                task = null;
            }
        }

        /** It is still to come. */
        public boolean isPending() {
            return slot != UNLINKED;
        }
    }

    /** A wheel whose clock shows this time. */
    public TimerWheel(long nowUs) {
        currentTick = nowUs >> TICK_BITS;
    }

    /** Sets a timer for that time; one that is past comes due at the next {@link #poll}. */
    public Timer schedule(long atUs, Runnable task) {
        long at = Math.max(currentTick, atUs + TICK_US - 1 >> TICK_BITS);
        Timer t = new Timer(this, at, task);
        pendingTimers++;
        if (at <= currentTick) {
            append(t, Timer.DUE_LIST);
        } else {
            append(t, (int) (at & SLOT_COUNT - 1));
        }
        return t;
    }

    /** The task of the next timer that is due by that time, which is now over; null where none is. */
    public Runnable poll(long nowUs) {
        long now = nowUs >> TICK_BITS;
        while (dueHead == null && currentTick < now) {
            if (now - currentTick > SLOT_COUNT && pendingTimers == 0) {
                currentTick = now; // nothing to look for on the way
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

    /** How long nothing comes due from that time on, in microseconds: 0 where something may, at most some 65 ms. */
    public long idleTimeUs(long nowUs) {
        if (dueHead != null) {
            return 0;
        }
        for (long ahead = currentTick + 1; ahead <= currentTick + LOOKAHEAD_TICKS; ahead++) {
            for (Timer t = slotHeads[(int) (ahead & SLOT_COUNT - 1)]; t != null; t = t.next) {
                if (t.dueTick <= ahead) {
                    return Math.max(0, (ahead << TICK_BITS) - nowUs);
                }
            }
        }
        return Math.max(0, (currentTick + LOOKAHEAD_TICKS << TICK_BITS) - nowUs);
    }

    /** Timers that are still to come. */
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
