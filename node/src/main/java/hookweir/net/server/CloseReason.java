package hookweir.net.server;

/** Why the scheduler ends a connection that it accepted. */
enum CloseReason {
    /** The answer that was announced as the last one is written. */
    LAST_ANSWER,
    /** Its input can't be parsed, or took too long; it had an error. */
    ERROR_ANSWER,
    /** A worker's call-back took too long; no answer may end its retries. */
    SLOW_CALLBACK,
    /** Clients are sent to other schedulers, and it rests. */
    SENT_AWAY,
    /** It brought no request in time, or rested for too long. */
    SILENT,
    /** Its descriptor is needed. */
    EVICTED,
    /** It does not take its answer while room for results is short. */
    ANSWER_NOT_READ
}
