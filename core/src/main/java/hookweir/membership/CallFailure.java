package hookweir.membership;

/** How a call to the list service failed. */
public enum CallFailure {
    /** No connection came up, or it was ended at once, or whoever answered knows no list: the service can't be reached. */
    REFUSED,
    /** The service was reached, but gave no usable answer in time or said 503: it may be busy, and its news counts as told all the same. */
    UNANSWERED
}
