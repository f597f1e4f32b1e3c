package hookweir.membership;

/** How a call to the list service failed. */
public enum CallFailure {
    /** No connection came up, or the call was turned away at once: the service can't be reached. */
    REFUSED,
    /** The service was reached, but gave no usable answer in time: it may be busy, and its news counts as told all the same. */
    UNANSWERED
}
