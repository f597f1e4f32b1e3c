package hookweir.net.server;

/** Why the scheduler closes an accepted connection. */
enum CloseReason {
    /** The final response, sent with Connection: close, has been written. */
    LAST_ANSWER,
    /** An error response ended the connection: its input could not be parsed, was rejected, or took too long. */
    ERROR_ANSWER,
    /** A worker's callback took too long. It gets no response, as any response would end the worker's retries. */
    SLOW_CALLBACK,
    /** There is no memory for the head of a worker's callback. It gets no response, for the same reason. */
    CALLBACK_REFUSED,
    /** The connection is idle while clients are being moved to other schedulers. */
    SENT_AWAY,
    /** No request came in time, or the connection was idle for too long. */
    SILENT,
    /** Its descriptor is needed for another connection. */
    EVICTED,
    /** The client does not read its response while memory for results is short. */
    ANSWER_NOT_READ
}
