package hookweir.lab.scale;

import java.util.PriorityQueue;

/** A virtual clock in µs with a queue of scheduled tasks. Tasks for the same time run in the order in which they were added. */
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

    /** Returns the current virtual time. */
    long nowUs() {
        return nowUs;
    }

    /** Schedules a task to run after this delay. */
    void schedule(long delayUs, Runnable task) {
        events.add(new Event(nowUs + Math.max(0, delayUs), nextSequence++, task));
    }

    /** Runs all tasks that are due by this time, and advances the clock to it. */
    void runUntil(long endUs) {
        while (!events.isEmpty() && events.peek().atUs <= endUs) {
            Event next = events.poll();
            nowUs = next.atUs;
            next.task.run();
        }
        nowUs = endUs;
    }
}
