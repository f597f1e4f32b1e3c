package hookweir.membership;

/** How a call to the list service failed. */
public enum ListCallFailure {
    /** No connection came up, or it was ended at once, or whoever answered knows no list: the service can't be reached. */
    REFUSED,
    /** The service was reached, but gave no usable answer in time or said 503: it may be busy, and its news counts as told all the same. */
    UNANSWERED,
    /** A watch that had brought the list was ended: perhaps as the service went down. */
    WATCH_ENDED,
    /** A watch that had brought the list fell silent, and may have missed something since. */
    WATCH_SILENT
}
