package hookweir.lab.check;

import java.util.Locale;
import java.util.Set;

/**
 * One thing seen from outside a scheduler, as a line of a history. Texts that an event has not are empty.
 *
 * @param line      the line of the history that holds it, from 1
 * @param atMs      when it was seen, on the history's one clock
 * @param type      what was seen
 * @param id        the request's id (Req-Id)
 * @param worker    the worker's id
 * @param scheduler the scheduler, NAME or, where it is known which of its processes, NAME/PROCESS
 * @param kind      the request's class, for an ask
 * @param how       the manner of an end or of a life's change
 * @param text      an answer's body or a job's result
 * @param checksum       for an ask and an attempt: a sum over what must pass on unchanged
 * @param zone      a worker's zone
 * @param number    deadline_ms, status, per_s, cell, or an attempt's cost; else 0
 * @param firstMs   when an attempt's first byte came; else atMs
 * @param notified      for drain and serving: written to the scheduler, rather than only due to be
 * @param reused      for a cut: on a connection that had carried an exchange before
 * @param retryAfter    an answer's Retry-After as it stood
 */
public record Event(long line, long atMs, Type type, String id, String worker, String scheduler, String kind, String how,
        String text, String checksum, String zone, double number, long firstMs, boolean notified, boolean reused, String retryAfter) {

    /** The events of a history, with the fields each must and may have beside t_ms and ev. */
    public enum Type {
        /** A client's last byte of a request. */
        ASK(Set.of("id", "kind", "deadline_ms"), Set.of("scheduler", "sum")),
        /** The same request once more on a new connection, as its first one's end crossed it. */
        AGAIN(Set.of("id"), Set.of("scheduler")),
        /** The last byte of a client's answer. */
        ANSWER(Set.of("id", "status"), Set.of("body", "retry_after")),
        /** The scheduler's side ended a client's connection with no whole answer. */
        CUT(Set.of("id"), Set.of("kept")),
        /** The client closed or gave up. */
        GONE(Set.of("id"), Set.of()),
        /** An attempt's last byte at a worker. */
        ATTEMPT(Set.of("id", "worker"), Set.of("scheduler", "first_ms", "cost", "sum")),
        /** A worker began the job. */
        STARTED(Set.of("id", "worker"), Set.of()),
        /** What became of an attempt, as the worker told it. */
        END(Set.of("id", "worker", "how"), Set.of("result")),
        /** The scheduler gave an attempt up: DELETE, or the connection closed before the 202. */
        CANCEL(Set.of("id", "worker"), Set.of()),
        /** What a worker's call-back was answered. */
        CALL(Set.of("id", "worker", "status"), Set.of()),
        /** A worker's place. */
        WORKER(Set.of("worker", "zone"), Set.of("cell")),
        /** Discovery says that a worker drains or is gone. */
        DRAIN(Set.of("worker"), Set.of("scheduler", "told")),
        /** Discovery says that it serves, anew where it had gone. */
        SERVING(Set.of("worker"), Set.of("scheduler", "told")),
        /** What a cold worker can do now, jobs a second. */
        CAPACITY(Set.of("worker", "per_s"), Set.of()),
        /** A worker is cold no more. */
        WARM(Set.of("worker"), Set.of()),
        /** A scheduler's process starts, gets SIGTERM, is killed, or exits by itself. */
        LIFE(Set.of("scheduler", "how"), Set.of()),
        /** The watch ended here; nothing follows. */
        CLOSE(Set.of(), Set.of());

        final Set<String> requiredFields;
        final Set<String> optionalFields;

        Type(Set<String> must, Set<String> may) {
            this.requiredFields = must;
            this.optionalFields = may;
        }

        /** The word in a history. */
        public String jsonName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** An event with nothing but these; the others are empty. */
    public static Event of(long line, long atMs, Type what, String id, String worker, String scheduler) {
        return new Event(line, atMs, what, id, worker, scheduler, "", "", "", "", "", what == Type.ATTEMPT ? 1 : 0, atMs, true, false, "");
    }

    /** As {@link #of(long, long, Type, String, String, String)}, for a witness that knows line and time itself. */
    public static Event of(Type what, String id, String worker, String scheduler) {
        return of(0, 0, what, id, worker, scheduler);
    }

    /** An ask. */
    public static Event ask(String id, String scheduler, String kind, long deadlineMs, String sum) {
        return new Event(0, 0, Type.ASK, id, "", scheduler, kind, "", "", sum, "", deadlineMs, 0, true, false, "");
    }

    /** The end of an attempt, with the job's result where it was done. */
    public static Event end(String id, String worker, String how, String result) {
        return new Event(0, 0, Type.END, id, worker, "", "", how, result, "", "", 0, 0, true, false, "");
    }

    /** A client's connection that ended with no whole answer. */
    public static Event cut(String id, boolean kept) {
        return new Event(0, 0, Type.CUT, id, "", "", "", "", "", "", "", 0, 0, true, kept, "");
    }

    /** A worker's place. */
    public static Event location(String worker, String zone, int cell) {
        return new Event(0, 0, Type.WORKER, "", worker, "", "", "", "", "", zone, cell, 0, true, false, "");
    }

    /** The same at another time. */
    public Event at(long ms) {
        return new Event(line, ms, type, id, worker, scheduler, kind, how, text, checksum, zone, number, ms, notified, reused, retryAfter);
    }

    /** The same with another number and text: an answer's status and body. */
    public Event withResponse(int status, String body) {
        return new Event(line, atMs, type, id, worker, scheduler, kind, how, body, checksum, zone, status, firstMs, notified, reused, retryAfter);
    }

    /** The same with another manner. */
    public Event how(String other) {
        return new Event(line, atMs, type, id, worker, scheduler, kind, other, "", checksum, zone, number, firstMs, notified, reused, retryAfter);
    }

    /** The same with this number. */
    public Event number(double other) {
        return new Event(line, atMs, type, id, worker, scheduler, kind, how, text, checksum, zone, other, firstMs, notified, reused, retryAfter);
    }

    /** The same with another sum over what passes on. */
    public Event checksum(String other) {
        return new Event(line, atMs, type, id, worker, scheduler, kind, how, text, other, zone, number, firstMs, notified, reused, retryAfter);
    }

    /** The same, written to the scheduler or not. */
    public Event notified(boolean other) {
        return new Event(line, atMs, type, id, worker, scheduler, kind, how, text, checksum, zone, number, firstMs, other, reused, retryAfter);
    }

    /** The same with this advice. */
    public Event retryAfter(String other) {
        return new Event(line, atMs, type, id, worker, scheduler, kind, how, text, checksum, zone, number, firstMs, notified, reused, other);
    }
}
