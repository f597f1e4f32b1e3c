package hookweir.lab.check;

import hookweir.lab.check.Event.Type;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Breaks a history that keeps the rules, one breach at a time, in each place where the rule can be broken. What is a breach
 * is worked out here from the pages anew, with no code of the checker. Each mutant is a whole history, made and handed on
 * in turn.
 */
public final class Mutator {
    /**
     * A history with one breach.
     *
     * @param operator    how it was broken
     * @param rule   what the breach's name begins with
     * @param line   of the history that was broken
     * @param events the broken history
     */
    public record Mutant(String operator, String rule, long line, List<Event> events) {
    }

    /** What a kept history tells of one request. */
    private static final class RequestEvents {
        int ask = -1;
        int answer = -1;
        boolean clientLeft;
        final List<Integer> attempts = new ArrayList<>();
        final Map<Integer, List<Integer>> outcomes = new HashMap<>();

        /** By attempt: its ends, cancels and starts. */
        List<Integer> outcomes(int attempt) {
            return outcomes.getOrDefault(attempt, List.of());
        }
    }

    private final History original;
    private final List<Event> events;
    private final Map<String, RequestEvents> requests = new LinkedHashMap<>();
    private final Map<String, Event> workerLocations = new LinkedHashMap<>();
    private final Consumer<Mutant> consumer;

    private Mutator(History kept, Consumer<Mutant> to) {
        this.original = kept;
        this.consumer = to;
        events = kept.events();
        for (int i = 0; i < events.size(); i++) {
            index(i, events.get(i));
        }
    }

    /** Hands on each mutant of a history that keeps the rules. */
    public static void generate(History kept, Consumer<Mutant> to) {
        Mutator m = new Mutator(kept, to);
        m.requests.values().forEach(m::mutateRequest);
        m.mutateProcessEvents();
        m.mutateColdStarts();
    }

    private void index(int i, Event e) {
        if (e.type() == Type.WORKER) {
            workerLocations.put(e.worker(), e);
        }
        if (e.id().isEmpty()) {
            return;
        }
        RequestEvents t = requests.computeIfAbsent(e.id(), id -> new RequestEvents());
        switch (e.type()) {
            case ASK -> t.ask = i;
            case ANSWER -> t.answer = i;
            case GONE, CUT, AGAIN -> t.clientLeft = true;
            case ATTEMPT -> t.attempts.add(i);
            case END, CANCEL, STARTED -> {
                for (int k = t.attempts.size() - 1; k >= 0; k--) {
                    if (events.get(t.attempts.get(k)).worker().equals(e.worker())) {
                        t.outcomes.computeIfAbsent(t.attempts.get(k), a -> new ArrayList<>()).add(i);
                        break;
                    }
                }
            }
            default -> { }
        }
    }

    private List<Event> withInserted(int at, Event... more) {
        List<Event> out = new ArrayList<>(events);
        out.addAll(at, List.of(more));
        return out;
    }

    private List<Event> without(int at) {
        List<Event> out = new ArrayList<>(events);
        out.remove(at);
        return out;
    }

    private List<Event> withReplaced(int at, Event e) {
        List<Event> out = new ArrayList<>(events);
        out.set(at, e);
        return out;
    }

    /** Puts the event where its time belongs, after what else was seen then. */
    private static List<Event> insertByTime(List<Event> in, Event e) {
        int at = in.size();
        while (at > 0 && in.get(at - 1).atMs() > e.atMs()) {
            at--;
        }
        in.add(at, e);
        return in;
    }

    private void emit(String way, String rule, int at, List<Event> broken) {
        consumer.accept(new Mutant(way, rule, events.get(at).line(), broken));
    }

    private long endMs() {
        return events.get(events.size() - 1).atMs();
    }

    /** Seen from outside: an attempt that never ran was handed back, and had not told of a start. */
    private boolean neverRan(RequestEvents t, int attempt) {
        boolean back = false;
        for (int i : t.outcomes(attempt)) {
            Event e = events.get(i);
            if (e.type() == Type.STARTED || e.type() == Type.END && !e.how().equals("returned") && !e.how().equals("refused")) {
                return false;
            }
            back |= e.type() == Type.END;
        }
        return back;
    }

    private boolean neverTwice(Event ask) {
        return original.limits().neverTwice().contains(ask.kind());
    }

    /** No refusal once it may have run. */
    private boolean mustNotRejectAfterRun(Event ask) {
        RuleLimits.KeyedClass k = original.limits().keyed().get(ask.kind());
        return neverTwice(ask) || k != null && k.scope() != RuleLimits.Scope.ALL;
    }

    private void mutateRequest(RequestEvents t) {
        if (t.ask < 0) {
            return;
        }
        Event ask = events.get(t.ask);
        if (t.answer >= 0 && !t.clientLeft) {
            mutateResponse(t, ask, events.get(t.answer));
        }
        for (int k = 0; k < t.attempts.size(); k++) {
            int at = t.attempts.get(k);
            int next = k + 1 < t.attempts.size() ? t.attempts.get(k + 1) : Integer.MAX_VALUE;
            mutateAttempt(t, ask, at, next);
        }
        if (!t.attempts.isEmpty()) {
            List<Event> unasked = without(t.ask);
            unasked.removeIf(e -> e.id().equals(ask.id()) && e.type() != Type.ATTEMPT);
            emit("ask-removed", "R2 an attempt of nothing asked", t.ask, unasked);
        } else if (t.answer >= 0) {
            List<Event> unasked = without(t.ask);
            unasked.removeIf(e -> e.id().equals(ask.id()) && e.type() != Type.ANSWER);
            emit("ask-removed", "R1 an answer to nothing asked", t.ask, unasked);
        }
    }

    private void mutateResponse(RequestEvents t, Event ask, Event answer) {
        long until = ask.atMs() + (long) ask.number() + original.limits().slackMs();
        if (until <= endMs()) {
            emit("answer-removed", "R1 no answer within the deadline", t.answer, without(t.answer));
        }
        emit("answer-late", "R1 no answer within the deadline", t.answer, insertByTime(without(t.answer), answer.at(until + 1)));
        emit("answer-twice", "R1 a second answer", t.answer, withInserted(t.answer + 1, answer));
        emit("answer-twice-later", "R1 a second answer", t.answer, insertByTime(new ArrayList<>(events), answer.at(until + 60_000)));
        emit("answer-cut", "R1 lost", t.answer, withReplaced(t.answer, Event.of(answer.line(), answer.atMs(), Type.CUT, ask.id(), "", "")));
        int status = (int) answer.number();
        if (status == 200) {
            emit("result-changed", "R1 served with what no worker made", t.answer, withReplaced(t.answer, answer.withResponse(200, answer.text() + "!")));
        } else {
            emit("result-made-up", "R1 served with what no worker made", t.answer, withReplaced(t.answer, answer.withResponse(200, "made up")));
        }
        emit("retry-after-garbled", "P a Retry-After", t.answer, withReplaced(t.answer, answer.withResponse(429, "").retryAfter("soon")));
        boolean mayHaveRun = t.attempts.stream().anyMatch(a -> a < t.answer && !neverRan(t, a));
        if (mayHaveRun && mustNotRejectAfterRun(ask)) {
            emit("refused-429", "R2 refused though it may have run", t.answer, withReplaced(t.answer, answer.withResponse(429, "")));
            emit("refused-503", "R2 refused though it may have run", t.answer, withReplaced(t.answer, answer.withResponse(503, "")));
        }
        String worker = t.attempts.isEmpty() ? workerLocations.keySet().stream().findFirst().orElse("s-none")
            : events.get(t.attempts.get(0)).worker();
        Event late = Event.of(answer.line(), answer.atMs() + original.limits().slackMs() + original.limits().toleranceMs() + 1, Type.ATTEMPT, ask.id(),
            worker, ask.scheduler());
        emit("attempt-after-answer", "R1 an attempt after its end", t.answer, insertByTime(new ArrayList<>(events), late));
    }

    private void mutateAttempt(RequestEvents t, Event ask, int at, int next) {
        Event a = events.get(at);
        RuleLimits terms = original.limits();
        Event copy = Event.of(a.line(), a.atMs(), Type.ATTEMPT, a.id(), a.worker() + "-other", a.scheduler());
        if (terms.keyed().getOrDefault(ask.kind(), new RuleLimits.KeyedClass(RuleLimits.Scope.ALL, 0)).scope() == RuleLimits.Scope.ALL) {
            boolean over = t.outcomes(at).stream().anyMatch(i -> events.get(i).type() != Type.STARTED
                && events.get(i).atMs() <= a.atMs() + terms.toleranceMs());
            if (!over || neverTwice(ask) && terms.toleranceMs() > 0) {
                emit("copy-at-once", "R2 two attempts out at once", at, withInserted(at + 1, copy));
            }
        }
        if (!a.checksum().isEmpty()) {
            emit("body-changed", "P passed on changed", at, withReplaced(at, a.checksum(a.checksum() + "!")));
        }
        List<Event> many = new ArrayList<>();
        for (int i = 0; i < terms.maxAttempts(); i++) {
            many.add(a);
            many.add(Event.of(a.line(), a.atMs(), Type.END, a.id(), a.worker(), "").how("returned"));
        }
        emit("too-many", "R2 more than", at, withInserted(at, many.toArray(Event[]::new)));
        for (long early : new long[] {0, terms.noticeDelayMs()}) {
            long drainMs = a.firstMs() - terms.drainMs() - terms.slackMs() - 1 - early;
            Event drain = Event.of(a.line(), drainMs, Type.DRAIN, "", a.worker(), a.scheduler()).notified(early == 0);
            boolean anew = events.stream().anyMatch(e -> e.type() == Type.SERVING && e.worker().equals(a.worker())
                && e.atMs() >= drainMs && e.atMs() <= a.atMs());
            if (drainMs >= events.get(0).atMs() && !anew) {
                emit(early == 0 ? "drain-told" : "drain-due", "R3 new work", at, insertByTime(new ArrayList<>(events), drain));
            }
        }
        for (int i : t.outcomes(at)) {
            mutateAttemptOutcome(t, ask, a, i, next);
        }
    }

    /** What follows from an attempt's end, cancel or start on that place. */
    private void mutateAttemptOutcome(RequestEvents t, Event ask, Event a, int at, int next) {
        Event e = events.get(at);
        boolean before = at < next && (t.answer < 0 || at < t.answer) && !t.clientLeft;
        boolean again = next < Integer.MAX_VALUE && at < next;
        boolean refused = !again && t.answer > at && (events.get(t.answer).number() == 429 || events.get(t.answer).number() == 503);
        if (e.type() == Type.END && (e.how().equals("returned") || e.how().equals("refused")) && !t.clientLeft
                && (neverTwice(ask) && again || mustNotRejectAfterRun(ask) && refused)) {
            emit("returned-as-lost", "R2", at, withReplaced(at, e.how("lost")));
            emit("returned-after-start", "R2", at, withInserted(at, Event.of(e.line(), e.atMs(), Type.STARTED, e.id(), e.worker(), "")));
        }
        boolean longOut = next < Integer.MAX_VALUE && events.get(next).atMs() > a.atMs() + original.limits().toleranceMs();
        if (e.type() == Type.CANCEL && again && longOut && t.outcomes(t.attempts.get(t.attempts.indexOf(next) - 1)).size() == 1) {
            emit("cancel-removed", "R2 two attempts out at once", at, without(at));
        }
        boolean mayHaveRun = e.type() == Type.CANCEL || e.type() == Type.END && !e.how().equals("returned") && !e.how().equals("refused");
        if (!before || !mayHaveRun) {
            return;
        }
        if (neverTwice(ask)) {
            emit("sent-again", "R2 sent again after it may have run", at,
                withInserted(at + 1, Event.of(e.line(), e.atMs(), Type.ATTEMPT, e.id(), e.worker(), a.scheduler())));
        }
        RuleLimits.KeyedClass k = original.limits().keyed().get(ask.kind());
        if (k != null && k.scope() == RuleLimits.Scope.ZONE) {
            for (Event p : workerLocations.values()) {
                if (!p.zone().equals(workerLocations.get(a.worker()).zone())) {
                    emit("keyed-elsewhere", "R2 a keyed repeat outside", at,
                        withInserted(at + 1, Event.of(e.line(), e.atMs(), Type.ATTEMPT, e.id(), p.worker(), a.scheduler())));
                    break;
                }
            }
            long lateMs = a.atMs() + k.windowMs() + original.limits().slackMs() + 1;
            long overMs = t.answer < 0 ? Long.MAX_VALUE : events.get(t.answer).atMs();
            if (lateMs < overMs && next == Integer.MAX_VALUE) {
                emit("keyed-late", "R2 a keyed repeat after its window", at, insertByTime(new ArrayList<>(events),
                    Event.of(e.line(), lateMs, Type.ATTEMPT, e.id(), a.worker(), a.scheduler())));
            }
        }
    }

    private void mutateProcessEvents() {
        for (int i = 0; i < events.size(); i++) {
            Event e = events.get(i);
            boolean termed = events.subList(0, i).stream().anyMatch(x -> x.type() == Type.LIFE && x.scheduler().equals(e.scheduler())
                && x.how().equals("term"));
            if (e.type() == Type.LIFE && e.how().equals("kill") && !termed) {
                emit("killed-as-crashed", "R0", i, withReplaced(i, e.how("exit")));
            }
            if (e.type() == Type.CALL) {
                emit("call-back-turned-away", "P a call-back answered", i, withReplaced(i, e.number(500)));
            }
        }
    }

    /** For each attempt that is not the first at its worker within a window: the worker was cold, and could stand one less. */
    private void mutateColdStarts() {
        Map<String, List<Integer>> window = new HashMap<>();
        RuleLimits terms = original.limits();
        for (int i = 0; i < events.size(); i++) {
            Event e = events.get(i);
            if (e.type() != Type.ATTEMPT) {
                continue;
            }
            List<Integer> w = window.computeIfAbsent(e.worker(), x -> new ArrayList<>());
            w.add(i);
            w.removeIf(x -> events.get(x).atMs() <= e.atMs() - terms.coldWindowMs());
            boolean toldToSome = events.subList(0, i).stream().anyMatch(x -> x.type() == Type.SERVING && x.worker().equals(e.worker()));
            if (w.size() > 1 && !toldToSome) {
                double perS = (w.size() - 1) * 0.999 / terms.coldFactor() / terms.coldWindowMs() * 1000;
                Event cold = Event.of(e.line(), events.get(w.get(0)).atMs(), Type.CAPACITY, "", e.worker(), "").number(perS);
                emit("pushed-over", "R4", i, withInserted(w.get(0), cold));
            }
        }
    }
}
