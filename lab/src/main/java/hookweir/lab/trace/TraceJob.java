package hookweir.lab.trace;

/**
 * One run of a trace.
 *
 * @param startUs   when it starts, in the trace's own time
 * @param durationUs how long it ran, at least 1
 * @param key    a hash of the trace's job or function: the same for runs of the same
 * @param priority  the figure by which rules map classes: priority for google-2011, 0 where there is none
 */
record TraceJob(long startUs, long durationUs, long key, int priority) implements Comparable<TraceJob> {
    /** Takes jobs in the order in which their rows tell them. */
    interface Sink {
        void accept(TraceJob job) throws java.io.IOException;
    }

    @Override
    public int compareTo(TraceJob o) {
        int by = Long.compare(startUs, o.startUs);
        by = by != 0 ? by : Long.compare(key, o.key);
        return by != 0 ? by : Long.compare(durationUs, o.durationUs);
    }
}
