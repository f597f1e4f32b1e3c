package hookweir.lab.scale;

/** The purpose of a message. */
enum MessageKind {
    /** A scheduler's load probe of a worker, and the response. */
    PROBE(true),
    /** A new connection opened for a probe. */
    PROBE_CONNECTION(true),
    /** A line of a watch response that lists changed workers. */
    LIST_CHANGE(true),
    /** An empty line of a watch response, sent as a heartbeat. */
    LIST_HEARTBEAT(true),
    /** A request for the whole worker list, and the response. */
    WHOLE_LIST(true),
    /** A new connection to the list service; for a watch, also its request and the response head. */
    LIST_CONNECTION(true),
    /** A poll of the configuration; the response contains the file if it changed. */
    CONFIGURATION(true),
    /** An attempt and the worker's 202 or 503 response, or the cancellation of an attempt and its response. */
    JOB(false),
    /** A new connection opened for an attempt. */
    JOB_CONNECTION(false),
    /** A worker's callback at the end of a job, and the response. */
    CALL_BACK(false),
    /** A new connection opened for a callback. */
    CALL_BACK_CONNECTION(false),
    /** A client's job request, or the final response. */
    CLIENT(false);

    /** Whether this is control traffic, which carries neither a job nor a result. */
    final boolean isControl;

    MessageKind(boolean isControl) {
        this.isControl = isControl;
    }
}
