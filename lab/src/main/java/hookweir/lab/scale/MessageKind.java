package hookweir.lab.scale;

/** What a message is for. */
enum MessageKind {
    /** A scheduler asks a worker for its load, and the answer. */
    PROBE(true),
    /** A connection that was opened for a probe. */
    PROBE_CONNECTION(true),
    /** A line of a watch that names changed workers. */
    LIST_CHANGE(true),
    /** An empty line of a watch. */
    LIST_HEARTBEAT(true),
    /** The whole list, and its request. */
    WHOLE_LIST(true),
    /** A connection to the list service, with the request that begins a watch. */
    LIST_CONNECTION(true),
    /** A poll of the configuration, with the file where it changed. */
    CONFIGURATION(true),
    /** An attempt, with the worker's 202 or refusal, and its cancellation. */
    JOB(false),
    /** A connection that was opened for an attempt. */
    JOB_CONNECTION(false),
    /** A worker's call at the end of a job, and the answer. */
    CALL_BACK(false),
    /** A connection that was opened for a call-back. */
    CALL_BACK_CONNECTION(false),
    /** A client's job and the final answer. */
    CLIENT(false);

    /** It is control traffic: it carries no job and no result. */
    final boolean isControl;

    MessageKind(boolean isControl) {
        this.isControl = isControl;
    }
}
