package hookweir.lab.scale;

import java.util.PriorityQueue;

/** One virtual clock, in µs, and what is due by it; events of one instant run in the order in which they were added. */
final class EventQueue {
    private record Event(long atUs, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowUs;
    private long nextSequence;

    /** The time. */
    long nowUs() {
        return nowUs;
    }

    /** Runs the task so much later. */
    void schedule(long delayUs, Runnable task) {
        events.add(new Event(nowUs + Math.max(0, delayUs), nextSequence++, task));
    }

    /** Runs all that is due by then. */
    void runUntil(long endUs) {
        while (!events.isEmpty() && events.peek().atUs <= endUs) {
            Event next = events.poll();
            nowUs = next.atUs;
            next.task.run();
        }
        nowUs = endUs;
    }
}
