package hookweir.lab.check;

import java.util.Locale;
import java.util.Set;

/**
 * An event observed from outside a scheduler; one line of a history. Strings that do not apply to an event are empty.
 *
 * @param line       line number in the history, from 1
 * @param atMs       when it was observed, on the history's only clock
 * @param type       the type of the event ("ev")
 * @param id         the request's id (Req-Id)
 * @param worker     the worker's id
 * @param scheduler  the scheduler: NAME, or NAME/PROCESS where the process is known
 * @param kind       the request's class, for ASK
 * @param how        how an attempt ended, or how a process changed
 * @param text       a response's body or a job's result
 * @param checksum   for ASK and ATTEMPT: a checksum of what must be forwarded unchanged
 * @param zone       a worker's zone
 * @param number     deadline_ms, status, per_s, cell, or an attempt's cost; else 0
 * @param firstMs    when the first byte of an attempt arrived; else atMs
 * @param notified   for DRAIN and SERVING: already sent to the scheduler, rather than only due to be sent
 * @param reused     for CUT ("kept"): the connection had carried an earlier request and response
 * @param retryAfter the unparsed Retry-After header of a response
 */
public record Event(long line, long atMs, Type type, String id, String worker, String scheduler, String kind, String how,
        String text, String checksum, String zone, double number, long firstMs, boolean notified, boolean reused, String retryAfter) {

    /** The event types, with the fields that each must have and may have besides t_ms and ev. */
    public enum Type {
        /** A client sent the last byte of a request. */
        ASK(Set.of("id", "kind", "deadline_ms"), Set.of("scheduler", "sum")),
        /** The client resent a request on a new connection because the scheduler closed the old one while it was being sent. */
        AGAIN(Set.of("id"), Set.of("scheduler")),
        /** A client received the last byte of its response. */
        ANSWER(Set.of("id", "status"), Set.of("body", "retry_after")),
        /** The scheduler closed a client's connection without a complete response. */
        CUT(Set.of("id"), Set.of("kept")),
        /** The client closed its connection or timed out. */
        GONE(Set.of("id"), Set.of()),
        /** A worker received the last byte of an attempt. */
        ATTEMPT(Set.of("id", "worker"), Set.of("scheduler", "first_ms", "cost", "sum")),
        /** A worker started the job. */
        STARTED(Set.of("id", "worker"), Set.of()),
        /** An attempt ended; its outcome as reported by the worker. */
        END(Set.of("id", "worker", "how"), Set.of("result")),
        /** The scheduler abandoned an attempt: it sent DELETE, or closed the connection before the 202. */
        CANCEL(Set.of("id", "worker"), Set.of()),
        /** A worker received the response to its callback. */
        CALL(Set.of("id", "worker", "status"), Set.of()),
        /** The zone and cell of a worker. */
        WORKER(Set.of("worker", "zone"), Set.of("cell")),
        /** The list service reports that a worker drains or is gone. */
        DRAIN(Set.of("worker"), Set.of("scheduler", "told")),
        /** The list service reports that a worker serves, or serves again. */
        SERVING(Set.of("worker"), Set.of("scheduler", "told")),
        /** The current capacity of a cold worker, in jobs per second. */
        CAPACITY(Set.of("worker", "per_s"), Set.of()),
        /** A worker has warmed up. */
        WARM(Set.of("worker"), Set.of()),
        /** A scheduler process starts, receives SIGTERM, is killed, or exits. */
        LIFE(Set.of("scheduler", "how"), Set.of()),
        /** The recording ended here; no event follows. */
        CLOSE(Set.of(), Set.of());

        final Set<String> requiredFields;
        final Set<String> optionalFields;

        Type(Set<String> must, Set<String> may) {
            this.requiredFields = must;
            this.optionalFields = may;
        }

        /** The value of "ev" in a history. */
        public String jsonName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** An event with these values only; the others are empty. */
    public static Event of(long line, long atMs, Type type, String id, String worker, String scheduler) {
        return new Event(line, atMs, type, id, worker, scheduler, "", "", "", "", "", type == Type.ATTEMPT ? 1 : 0, atMs, true, false, "");
    }

    /** As {@link #of(long, long, Type, String, String, String)}, without line and time, which the sink sets. */
    public static Event of(Type type, String id, String worker, String scheduler) {
        return of(0, 0, type, id, worker, scheduler);
    }

    /** A client's request. */
    public static Event ask(String id, String scheduler, String kind, long deadlineMs, String sum) {
        return new Event(0, 0, Type.ASK, id, "", scheduler, kind, "", "", sum, "", deadlineMs, 0, true, false, "");
    }

    /** The end of an attempt, with the result if the job was done. */
    public static Event end(String id, String worker, String how, String result) {
        return new Event(0, 0, Type.END, id, worker, "", "", how, result, "", "", 0, 0, true, false, "");
    }

    /** A client's connection that ended without a complete response. */
    public static Event cut(String id, boolean kept) {
        return new Event(0, 0, Type.CUT, id, "", "", "", "", "", "", "", 0, 0, true, kept, "");
    }

    /** The zone and cell of a worker. */
    public static Event location(String worker, String zone, int cell) {
        return new Event(0, 0, Type.WORKER, "", worker, "", "", "", "", "", zone, cell, 0, true, false, "");
    }

    /** Returns a copy with another time. */
    public Event at(long ms) {
        return new Event(line, ms, type, id, worker, scheduler, kind, how, text, checksum, zone, number, ms, notified, reused, retryAfter);
    }

    /** Returns a copy with a response's status and body. */
    public Event withResponse(int status, String body) {
        return new Event(line, atMs, type, id, worker, scheduler, kind, how, body, checksum, zone, status, firstMs, notified, reused, retryAfter);
    }

    /** Returns a copy with another {@code how} and no text. */
    public Event how(String other) {
        return new Event(line, atMs, type, id, worker, scheduler, kind, other, "", checksum, zone, number, firstMs, notified, reused, retryAfter);
    }

    /** Returns a copy with another number. */
    public Event number(double other) {
        return new Event(line, atMs, type, id, worker, scheduler, kind, how, text, checksum, zone, other, firstMs, notified, reused, retryAfter);
    }

    /** Returns a copy with another checksum. */
    public Event checksum(String other) {
        return new Event(line, atMs, type, id, worker, scheduler, kind, how, text, other, zone, number, firstMs, notified, reused, retryAfter);
    }

    /** Returns a copy that was sent to the scheduler or not. */
    public Event notified(boolean other) {
        return new Event(line, atMs, type, id, worker, scheduler, kind, how, text, checksum, zone, number, firstMs, other, reused, retryAfter);
    }

    /** Returns a copy with another Retry-After. */
    public Event retryAfter(String other) {
        return new Event(line, atMs, type, id, worker, scheduler, kind, how, text, checksum, zone, number, firstMs, notified, reused, other);
    }
}
