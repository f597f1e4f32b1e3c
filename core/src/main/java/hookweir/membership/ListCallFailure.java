package hookweir.membership;

/** How a call to the list service failed. */
public enum ListCallFailure {
    /** The connection failed or was closed at once, or the peer does not serve a worker list: the service is unreachable. */
    REFUSED,
    /**
     * The service was reached but sent no usable response in time, or sent 503. It may be overloaded, and the time within which the
     * scheduler counts as notified of its updates still runs.
     */
    UNANSWERED,
    /** A watch that had delivered the list was closed, for example because the service shut down. */
    WATCH_ENDED,
    /** A watch that had delivered the list stopped sending; updates may have been missed since then. */
    WATCH_SILENT
}
