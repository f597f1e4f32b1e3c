package hookweir.lab.check;

import hookweir.lab.check.Event.Type;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Inserts rule violations into a history without any: one per mutant, at each place where the rule can be violated. What
 * violates a rule is decided here independently, without using code of the checker. Each mutant is a complete history;
 * mutants are made and passed to the consumer one by one.
 */
public final class Mutator {
    /**
     * A history with one violation.
     *
     * @param operator the mutation operator that made it
     * @param rule     what the text of the expected rule begins with
     * @param line     line of the original history where it was mutated
     * @param events   the mutated history
     */
    public record Mutant(String operator, String rule, long line, List<Event> events) {
    }

    /** Indexes of the original history's events that concern one request. */
    private static final class RequestEvents {
        int ask = -1;
        int answer = -1;
        boolean clientLeft;
        final List<Integer> attempts = new ArrayList<>();
        final Map<Integer, List<Integer>> outcomes = new HashMap<>();

        /** The END, CANCEL and STARTED events of an attempt. */
        List<Integer> outcomes(int attempt) {
            return outcomes.getOrDefault(attempt, List.of());
        }
    }

    private final History original;
    private final List<Event> events;
    private final Map<String, RequestEvents> requests = new LinkedHashMap<>();
    private final Map<String, Event> workerLocations = new LinkedHashMap<>();
    private final Consumer<Mutant> consumer;

    private Mutator(History original, Consumer<Mutant> consumer) {
        this.original = original;
        this.consumer = consumer;
        events = original.events();
        for (int i = 0; i < events.size(); i++) {
            index(i, events.get(i));
        }
    }

    /** Passes each mutant of a history without violations to the consumer. */
    public static void generate(History original, Consumer<Mutant> consumer) {
        Mutator mutator = new Mutator(original, consumer);
        mutator.requests.values().forEach(mutator::mutateRequest);
        mutator.mutateProcessEvents();
        mutator.mutateColdStarts();
    }

    private void index(int i, Event e) {
        if (e.type() == Type.WORKER) {
            workerLocations.put(e.worker(), e);
        }
        if (e.id().isEmpty()) {
            return;
        }
        RequestEvents request = requests.computeIfAbsent(e.id(), id -> new RequestEvents());
        switch (e.type()) {
            case ASK -> request.ask = i;
            case ANSWER -> request.answer = i;
            case GONE, CUT, AGAIN -> request.clientLeft = true;
            case ATTEMPT -> request.attempts.add(i);
            case END, CANCEL, STARTED -> {
                for (int k = request.attempts.size() - 1; k >= 0; k--) {
                    if (events.get(request.attempts.get(k)).worker().equals(e.worker())) {
                        request.outcomes.computeIfAbsent(request.attempts.get(k), a -> new ArrayList<>()).add(i);
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

    /** Inserts the event by its time, after other events of the same time. */
    private static List<Event> insertByTime(List<Event> in, Event e) {
        int at = in.size();
        while (at > 0 && in.get(at - 1).atMs() > e.atMs()) {
            at--;
        }
        in.add(at, e);
        return in;
    }

    private void emit(String operator, String rule, int at, List<Event> mutated) {
        consumer.accept(new Mutant(operator, rule, events.get(at).line(), mutated));
    }

    private long endMs() {
        return events.get(events.size() - 1).atMs();
    }

    /** Whether an attempt is known never to have run: the worker returned it and did not report its start. */
    private boolean neverRan(RequestEvents request, int attempt) {
        boolean returned = false;
        for (int i : request.outcomes(attempt)) {
            Event e = events.get(i);
            if (e.type() == Type.STARTED || e.type() == Type.END && !e.how().equals("returned") && !e.how().equals("refused")) {
                return false;
            }
            returned |= e.type() == Type.END;
        }
        return returned;
    }

    private boolean neverTwice(Event ask) {
        return original.limits().neverTwice().contains(ask.kind());
    }

    /** Whether a request of this class must not be rejected once it may have run. */
    private boolean mustNotRejectAfterRun(Event ask) {
        RuleLimits.KeyedClass keyed = original.limits().keyed().get(ask.kind());
        return neverTwice(ask) || keyed != null && keyed.scope() != RuleLimits.Scope.ALL;
    }

    private void mutateRequest(RequestEvents request) {
        if (request.ask < 0) {
            return;
        }
        Event ask = events.get(request.ask);
        if (request.answer >= 0 && !request.clientLeft) {
            mutateResponse(request, ask, events.get(request.answer));
        }
        for (int k = 0; k < request.attempts.size(); k++) {
            int at = request.attempts.get(k);
            int next = k + 1 < request.attempts.size() ? request.attempts.get(k + 1) : Integer.MAX_VALUE;
            mutateAttempt(request, ask, at, next);
        }
        if (!request.attempts.isEmpty()) {
            List<Event> withoutRequest = without(request.ask);
            withoutRequest.removeIf(e -> e.id().equals(ask.id()) && e.type() != Type.ATTEMPT);
            emit("ask-removed", "R2 an attempt of nothing asked", request.ask, withoutRequest);
        } else if (request.answer >= 0) {
            List<Event> withoutRequest = without(request.ask);
            withoutRequest.removeIf(e -> e.id().equals(ask.id()) && e.type() != Type.ANSWER);
            emit("ask-removed", "R1 an answer to nothing asked", request.ask, withoutRequest);
        }
    }

    private void mutateResponse(RequestEvents request, Event ask, Event answer) {
        long until = ask.atMs() + (long) ask.number() + original.limits().slackMs();
        if (until <= endMs()) {
            emit("answer-removed", "R1 no answer within the deadline", request.answer, without(request.answer));
        }
        emit("answer-late", "R1 no answer within the deadline", request.answer, insertByTime(without(request.answer), answer.at(until + 1)));
        emit("answer-twice", "R1 a second answer", request.answer, withInserted(request.answer + 1, answer));
        emit("answer-twice-later", "R1 a second answer", request.answer, insertByTime(new ArrayList<>(events), answer.at(until + 60_000)));
        emit("answer-cut", "R1 lost", request.answer, withReplaced(request.answer, Event.of(answer.line(), answer.atMs(), Type.CUT, ask.id(), "", "")));
        int status = (int) answer.number();
        if (status == 200) {
            emit("result-changed", "R1 served with what no worker made", request.answer,
                withReplaced(request.answer, answer.withResponse(200, answer.text() + "!")));
        } else {
            emit("result-made-up", "R1 served with what no worker made", request.answer,
                withReplaced(request.answer, answer.withResponse(200, "made up")));
        }
        emit("retry-after-garbled", "P a Retry-After", request.answer, withReplaced(request.answer, answer.withResponse(429, "").retryAfter("soon")));
        boolean mayHaveRun = request.attempts.stream().anyMatch(a -> a < request.answer && !neverRan(request, a));
        if (mayHaveRun && mustNotRejectAfterRun(ask)) {
            emit("refused-429", "R2 refused though it may have run", request.answer, withReplaced(request.answer, answer.withResponse(429, "")));
            emit("refused-503", "R2 refused though it may have run", request.answer, withReplaced(request.answer, answer.withResponse(503, "")));
        }
        String worker = request.attempts.isEmpty() ? workerLocations.keySet().stream().findFirst().orElse("s-none")
            : events.get(request.attempts.get(0)).worker();
        Event late = Event.of(answer.line(), answer.atMs() + original.limits().slackMs() + original.limits().toleranceMs() + 1, Type.ATTEMPT, ask.id(),
            worker, ask.scheduler());
        emit("attempt-after-answer", "R1 an attempt after its end", request.answer, insertByTime(new ArrayList<>(events), late));
    }

    private void mutateAttempt(RequestEvents request, Event ask, int at, int next) {
        Event attempt = events.get(at);
        RuleLimits limits = original.limits();
        Event copy = Event.of(attempt.line(), attempt.atMs(), Type.ATTEMPT, attempt.id(), attempt.worker() + "-other", attempt.scheduler());
        if (limits.keyed().getOrDefault(ask.kind(), new RuleLimits.KeyedClass(RuleLimits.Scope.ALL, 0)).scope() == RuleLimits.Scope.ALL) {
            boolean ended = request.outcomes(at).stream().anyMatch(i -> events.get(i).type() != Type.STARTED
                && events.get(i).atMs() <= attempt.atMs() + limits.toleranceMs());
            if (!ended || neverTwice(ask) && limits.toleranceMs() > 0) {
                emit("copy-at-once", "R2 two attempts out at once", at, withInserted(at + 1, copy));
            }
        }
        if (!attempt.checksum().isEmpty()) {
            emit("body-changed", "P passed on changed", at, withReplaced(at, attempt.checksum(attempt.checksum() + "!")));
        }
        List<Event> attempts = new ArrayList<>();
        for (int i = 0; i < limits.maxAttempts(); i++) {
            attempts.add(attempt);
            attempts.add(Event.of(attempt.line(), attempt.atMs(), Type.END, attempt.id(), attempt.worker(), "").how("returned"));
        }
        emit("too-many", "R2 more than", at, withInserted(at, attempts.toArray(Event[]::new)));
        for (long early : new long[] {0, limits.noticeDelayMs()}) {
            long drainMs = attempt.firstMs() - limits.drainMs() - limits.slackMs() - 1 - early;
            Event drain = Event.of(attempt.line(), drainMs, Type.DRAIN, "", attempt.worker(), attempt.scheduler()).notified(early == 0);
            boolean servingAgain = events.stream().anyMatch(e -> e.type() == Type.SERVING && e.worker().equals(attempt.worker())
                && e.atMs() >= drainMs && e.atMs() <= attempt.atMs());
            if (drainMs >= events.get(0).atMs() && !servingAgain) {
                emit(early == 0 ? "drain-told" : "drain-due", "R3 new work", at, insertByTime(new ArrayList<>(events), drain));
            }
        }
        for (int i : request.outcomes(at)) {
            mutateAttemptOutcome(request, ask, attempt, i, next);
        }
    }

    /** Mutates one END, CANCEL or STARTED event of an attempt. */
    private void mutateAttemptOutcome(RequestEvents request, Event ask, Event attempt, int at, int next) {
        Event e = events.get(at);
        boolean before = at < next && (request.answer < 0 || at < request.answer) && !request.clientLeft;
        boolean again = next < Integer.MAX_VALUE && at < next;
        boolean refused = !again && request.answer > at && (events.get(request.answer).number() == 429 || events.get(request.answer).number() == 503);
        if (e.type() == Type.END && (e.how().equals("returned") || e.how().equals("refused")) && !request.clientLeft
                && (neverTwice(ask) && again || mustNotRejectAfterRun(ask) && refused)) {
            emit("returned-as-lost", "R2", at, withReplaced(at, e.how("lost")));
            emit("returned-after-start", "R2", at, withInserted(at, Event.of(e.line(), e.atMs(), Type.STARTED, e.id(), e.worker(), "")));
        }
        boolean outlastsTolerance = next < Integer.MAX_VALUE && events.get(next).atMs() > attempt.atMs() + original.limits().toleranceMs();
        if (e.type() == Type.CANCEL && again && outlastsTolerance
                && request.outcomes(request.attempts.get(request.attempts.indexOf(next) - 1)).size() == 1) {
            emit("cancel-removed", "R2 two attempts out at once", at, without(at));
        }
        boolean mayHaveRun = e.type() == Type.CANCEL || e.type() == Type.END && !e.how().equals("returned") && !e.how().equals("refused");
        if (!before || !mayHaveRun) {
            return;
        }
        if (neverTwice(ask)) {
            emit("sent-again", "R2 sent again after it may have run", at,
                withInserted(at + 1, Event.of(e.line(), e.atMs(), Type.ATTEMPT, e.id(), e.worker(), attempt.scheduler())));
        }
        RuleLimits.KeyedClass keyed = original.limits().keyed().get(ask.kind());
        if (keyed != null && keyed.scope() == RuleLimits.Scope.ZONE) {
            for (Event other : workerLocations.values()) {
                if (!other.zone().equals(workerLocations.get(attempt.worker()).zone())) {
                    emit("keyed-elsewhere", "R2 a keyed repeat outside", at,
                        withInserted(at + 1, Event.of(e.line(), e.atMs(), Type.ATTEMPT, e.id(), other.worker(), attempt.scheduler())));
                    break;
                }
            }
            long lateMs = attempt.atMs() + keyed.windowMs() + original.limits().slackMs() + 1;
            long responseMs = request.answer < 0 ? Long.MAX_VALUE : events.get(request.answer).atMs();
            if (lateMs < responseMs && next == Integer.MAX_VALUE) {
                emit("keyed-late", "R2 a keyed repeat after its window", at, insertByTime(new ArrayList<>(events),
                    Event.of(e.line(), lateMs, Type.ATTEMPT, e.id(), attempt.worker(), attempt.scheduler())));
            }
        }
    }

    private void mutateProcessEvents() {
        for (int i = 0; i < events.size(); i++) {
            Event e = events.get(i);
            boolean terminated = events.subList(0, i).stream().anyMatch(x -> x.type() == Type.LIFE && x.scheduler().equals(e.scheduler())
                && x.how().equals("term"));
            if (e.type() == Type.LIFE && e.how().equals("kill") && !terminated) {
                emit("killed-as-crashed", "R0", i, withReplaced(i, e.how("exit")));
            }
            if (e.type() == Type.CALL) {
                emit("call-back-turned-away", "P a call-back answered", i, withReplaced(i, e.number(500)));
            }
        }
    }

    /** For each attempt that is not the first at its worker within a window: makes the worker cold, with capacity for one less. */
    private void mutateColdStarts() {
        Map<String, List<Integer>> window = new HashMap<>();
        RuleLimits limits = original.limits();
        for (int i = 0; i < events.size(); i++) {
            Event e = events.get(i);
            if (e.type() != Type.ATTEMPT) {
                continue;
            }
            List<Integer> w = window.computeIfAbsent(e.worker(), x -> new ArrayList<>());
            w.add(i);
            w.removeIf(x -> events.get(x).atMs() <= e.atMs() - limits.coldWindowMs());
            boolean startNotified = events.subList(0, i).stream().anyMatch(x -> x.type() == Type.SERVING && x.worker().equals(e.worker()));
            if (w.size() > 1 && !startNotified) {
                double capacityPerS = (w.size() - 1) * 0.999 / limits.coldFactor() / limits.coldWindowMs() * 1000;
                Event cold = Event.of(e.line(), events.get(w.get(0)).atMs(), Type.CAPACITY, "", e.worker(), "").number(capacityPerS);
                emit("pushed-over", "R4", i, withInserted(w.get(0), cold));
            }
        }
    }
}
