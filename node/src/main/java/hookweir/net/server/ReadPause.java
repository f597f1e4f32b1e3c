package hookweir.net.server;

/** Why reading from a connection is paused. */
enum ReadPause {
    /** Too many bad requests in a row. */
    THROTTLED,
    /** A body waits for memory. */
    WAITS_FOR_MEMORY,
    /** Much input was discarded in a short time. */
    DISCARDED_TOO_MUCH;

    /** Whether the input that waits in the kernel will be used. */
    boolean keepsInput() {
        return this != DISCARDED_TOO_MUCH;
    }
}
