package hookweir.lab.lives;

import java.util.Locale;

/** Where a scheduler is stopped; a stand-in holds its side there. The rows of docs/readiness-review.md. */
public enum Point {
    /** Half of a request's head is written. */
    HEAD_HALF_READ,
    /** The head and half of the body are. */
    BODY_HALF_READ,
    /** Taken, turned away by every worker, and held in the module. */
    TAKEN_NOT_DRAWN,
    /** The only worker's backlog is full, so the hop's connection does not come up. */
    DIALLING,
    /** The worker has the whole attempt and says nothing. */
    SENT_NO_202,
    /** The worker took the job and does not end it. */
    AFTER_202,
    /** Half of the worker's call-back is written. */
    CALL_BACK_HALF_READ,
    /** The client has read half of its answer. */
    ANSWER_HALF_WRITTEN,
    /** Half a line of the list, which tells of a drain, is written; a job is out. */
    LIST_MID_LINE,
    /** The configuration file is half written, and SIGHUP was sent; a job is out. */
    CONFIGURATION_HALF_WRITTEN,
    /** Two processes: the second waits for the list; the first has a job out. */
    SUCCESSOR_WAITS_FOR_LIST,
    /** Two processes: the second serves; the first has a job out. */
    SUCCESSOR_SERVES,
    /** Two processes: the second got the first one's call-back, and the first, which is halted, has not said whose it is. */
    CALL_BACK_BETWEEN_PROCESSES;

    /** Needs a second process from the start, which shares the listening socket. */
    boolean needsSecondProcess() {
        return compareTo(SUCCESSOR_WAITS_FOR_LIST) >= 0;
    }

    /** The client's request is not whole when the stop comes. */
    boolean isRequestIncomplete() {
        return this == HEAD_HALF_READ || this == BODY_HALF_READ;
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
