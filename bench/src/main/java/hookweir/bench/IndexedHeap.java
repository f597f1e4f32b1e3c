package hookweir.bench;

import java.util.Arrays;

/** The timers' other candidate: a binary heap whose timers know their place, so that cancelling takes log n steps. */
final class IndexedHeap {
    private Timer[] heap = new Timer[1024];
    private int size;

    /** One timer. */
    static final class Timer {
        private final long atUs;
        private Runnable task;
        private int index;

        private Timer(long atUs, Runnable task) {
            this.atUs = atUs;
            this.task = task;
        }
    }

    Timer schedule(long atUs, Runnable task) {
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, 2 * size);
        }
        Timer t = new Timer(atUs, task);
        place(t, size++);
        siftUp(t);
        return t;
    }

    void cancel(Timer t) {
        if (t.index < 0) {
            return;
        }
        Timer moved = heap[--size];
        heap[size] = null;
        if (moved != t) {
            place(moved, t.index);
            siftUp(moved);
            siftDown(moved);
        }
        t.index = -1;
        t.task = null;
    }

    Runnable poll(long nowUs) {
        if (size == 0 || heap[0].atUs > nowUs) {
            return null;
        }
        Timer t = heap[0];
        Runnable task = t.task;
        cancel(t);
        return task;
    }

    private void place(Timer t, int at) {
        heap[at] = t;
        t.index = at;
    }

    private void siftUp(Timer t) {
        while (t.index > 0 && heap[(t.index - 1) / 2].atUs > t.atUs) {
            swap(t, heap[(t.index - 1) / 2]);
        }
    }

    private void siftDown(Timer t) {
        while (2 * t.index + 1 < size) {
            int child = 2 * t.index + 1;
            if (child + 1 < size && heap[child + 1].atUs < heap[child].atUs) {
                child++;
            }
            if (heap[child].atUs >= t.atUs) {
                return;
            }
            swap(t, heap[child]);
        }
    }

    private void swap(Timer a, Timer b) {
        int at = a.index;
        place(a, b.index);
        place(b, at);
    }
}
