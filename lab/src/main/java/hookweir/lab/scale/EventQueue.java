package hookweir.lab.scale;

import java.util.PriorityQueue;

/** One virtual clock, in µs, and what is due by it; events of one instant run in the order in which they were added. */
final class EventQueue {
    private record Due(long atUs, long order, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long nowUs;
    private long order;

    /** The time. */
    long nowUs() {
        return nowUs;
    }

    /** Runs the task so much later. */
    void after(long delayUs, Runnable task) {
        due.add(new Due(nowUs + Math.max(0, delayUs), order++, task));
    }

    /** Runs all that is due by then. */
    void runUntil(long endUs) {
        while (!due.isEmpty() && due.peek().atUs <= endUs) {
            Due next = due.poll();
            nowUs = next.atUs;
            next.task.run();
        }
        nowUs = endUs;
    }
}
