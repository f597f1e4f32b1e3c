package hookweir.lab.trace;

/**
 * One run of a trace.
 *
 * @param startUs    start, in the trace's own time
 * @param durationUs duration, at least 1
 * @param key        a hash that identifies the trace's job or function
 * @param priority   the priority of a google-2011 job, by which rules assign classes; 0 for other formats
 */
record TraceJob(long startUs, long durationUs, long key, int priority) implements Comparable<TraceJob> {
    /** Receives jobs in the order of their rows, or sorted by start. */
    interface Sink {
        void accept(TraceJob job) throws java.io.IOException;
    }

    @Override
    public int compareTo(TraceJob other) {
        int order = Long.compare(startUs, other.startUs);
        order = order != 0 ? order : Long.compare(key, other.key);
        return order != 0 ? order : Long.compare(durationUs, other.durationUs);
    }
}
