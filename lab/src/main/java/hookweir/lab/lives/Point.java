package hookweir.lab.lives;

import java.util.Locale;

/**
 * A point in a scheduler's work at which a scenario stops it; a stub client, worker or list service pauses there. Each is a row of
 * docs/readiness-review.md.
 */
public enum Point {
    /** The client has sent half of a request's head. */
    HEAD_HALF_READ,
    /** The client has sent the head and half of the body. */
    BODY_HALF_READ,
    /** The scheduler has accepted the job, every worker has rejected it, and the scheduler holds it. */
    TAKEN_NOT_DRAWN,
    /** The listen backlogs of the workers are full, so the scheduler's connection is not established. */
    DIALLING,
    /** The worker has received the whole attempt and has not responded. */
    SENT_NO_202,
    /** The worker has accepted the job and does not finish it. */
    AFTER_202,
    /** The worker has sent half of its callback. */
    CALL_BACK_HALF_READ,
    /** The client has read part of its response. */
    ANSWER_HALF_WRITTEN,
    /** The list service has sent half of an update line about a draining worker; a worker runs a job. */
    LIST_MID_LINE,
    /** The configuration file is half written and SIGHUP was sent; a worker runs a job. */
    CONFIGURATION_HALF_WRITTEN,
    /** Two processes: the second waits for the worker list; a worker runs a job of the first. */
    SUCCESSOR_WAITS_FOR_LIST,
    /** Two processes: the second serves; a worker runs a job of the first. */
    SUCCESSOR_SERVES,
    /** Two processes: the second received a callback for a job of the first, which is suspended and has not yet claimed the callback. */
    CALL_BACK_BETWEEN_PROCESSES;

    /** Whether the point needs a second process, which shares the listening socket, before the stop. */
    boolean needsSecondProcess() {
        return compareTo(SUCCESSOR_WAITS_FOR_LIST) >= 0;
    }

    /** Whether the client has sent only part of its request at the time of the stop. */
    boolean isRequestIncomplete() {
        return this == HEAD_HALF_READ || this == BODY_HALF_READ;
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
