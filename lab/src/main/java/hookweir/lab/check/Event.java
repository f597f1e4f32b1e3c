package hookweir.lab.check;

/**
 * One thing seen from outside a scheduler, as a line of a history: by a client, a worker or discovery.
 *
 * @param line    the line of the history that holds it, from 1
 * @param atMs    when it was seen, in milliseconds on the history's one clock
 * @param what    ask, answer, gone, attempt, end, cancel, drain or capacity
 * @param id      the request's id (Req-Id), where the event has one
 * @param worker  the worker's id, where the event has one
 * @param kind    the request's class, for ask
 * @param number  deadline_ms for ask, status for answer, per_s for capacity; else 0
 * @param text    the body for answer, the result for end with how=done; else empty
 * @param how     for end: done, failed, lost, returned or refused
 */
public record Event(int line, long atMs, String what, String id, String worker, String kind, double number,
        String text, String how) {
}
