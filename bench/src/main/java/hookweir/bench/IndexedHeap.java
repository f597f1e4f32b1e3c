package hookweir.bench;

import java.util.Arrays;

/** An alternative to the timer wheel: a binary heap whose timers store their index, so that cancelling takes O(log n). */
final class IndexedHeap {
    private Timer[] heap = new Timer[1024];
    private int size;

    /** A scheduled timer. */
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
        Timer timer = new Timer(atUs, task);
        place(timer, size++);
        siftUp(timer);
        return timer;
    }

    void cancel(Timer timer) {
        if (timer.index < 0) {
            return;
        }
        Timer last = heap[--size];
        heap[size] = null;
        if (last != timer) {
            place(last, timer.index);
            siftUp(last);
            siftDown(last);
        }
        timer.index = -1;
        timer.task = null;
    }

    Runnable poll(long nowUs) {
        if (size == 0 || heap[0].atUs > nowUs) {
            return null;
        }
        Timer timer = heap[0];
        Runnable task = timer.task;
        cancel(timer);
        return task;
    }

    private void place(Timer timer, int index) {
        heap[index] = timer;
        timer.index = index;
    }

    private void siftUp(Timer timer) {
        while (timer.index > 0 && heap[(timer.index - 1) / 2].atUs > timer.atUs) {
            swap(timer, heap[(timer.index - 1) / 2]);
        }
    }

    private void siftDown(Timer timer) {
        while (2 * timer.index + 1 < size) {
            int child = 2 * timer.index + 1;
            if (child + 1 < size && heap[child + 1].atUs < heap[child].atUs) {
                child++;
            }
            if (heap[child].atUs >= timer.atUs) {
                return;
            }
            swap(timer, heap[child]);
        }
    }

    private void swap(Timer a, Timer b) {
        int index = a.index;
        place(a, b.index);
        place(b, index);
    }
}
