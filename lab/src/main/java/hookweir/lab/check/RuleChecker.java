package hookweir.lab.check;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The brief's four rules, judged on what a history shows from outside: what clients sent and got, what workers were
 * sent and told, and what discovery wrote. Nothing of the scheduler's inside is read. See docs/rules-checker.md.
 */
public final class RuleChecker {
    /** The window over which a cold worker's capacity is counted, in ms. */
    private static final long COLD_WINDOW_MS = 1000;

    /**
     * A rule broken.
     *
     * @param rule   R1 to R4, and what of it
     * @param line   the history's line where it shows
     * @param detail the request or worker concerned
     */
    public record Breach(String rule, int line, String detail) {
        @Override
        public String toString() {
            return "line " + line + ": " + rule + " (" + detail + ")";
        }
    }

    private static final class Asked {
        Event ask;
        int answers;
        long goneMs = Long.MAX_VALUE;
        int attempts;
        boolean mayHaveRun;
        final Set<String> out = new HashSet<>();
        final Set<String> results = new HashSet<>();
    }

    private final History.Terms terms;
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Asked> asked = new HashMap<>();
    private final Map<String, Long> drainedMs = new HashMap<>();
    private final Map<String, Double> capacity = new HashMap<>();
    private final Map<String, ArrayDeque<Long>> recent = new HashMap<>();

    private RuleChecker(History.Terms terms) {
        this.terms = terms;
    }

    /** All breaches of the history, in the order they show; none if it keeps the rules. */
    public static List<Breach> check(History h) {
        RuleChecker c = new RuleChecker(h.terms());
        long endMs = Long.MIN_VALUE;
        for (Event e : h.events()) {
            c.take(e);
            endMs = e.atMs();
        }
        c.unanswered(endMs);
        c.breaches.sort(java.util.Comparator.comparingInt(Breach::line));
        return c.breaches;
    }

    private void take(Event e) {
        Asked a = e.id().isEmpty() ? null : asked.get(e.id());
        switch (e.what()) {
            case "ask" -> ask(e, a);
            case "answer" -> answer(e, a);
            case "gone" -> {
                if (a != null) {
                    a.goneMs = Math.min(a.goneMs, e.atMs());
                }
            }
            case "attempt" -> attempt(e, a);
            case "end" -> {
                if (a != null && a.out.remove(e.worker())) {
                    a.mayHaveRun |= !e.how().equals("returned") && !e.how().equals("refused");
                    if (e.how().equals("done")) {
                        a.results.add(e.text());
                    }
                }
            }
            case "cancel" -> {
                if (a != null && a.out.remove(e.worker())) {
                    a.mayHaveRun = true; // given up: it may have run, or may yet
                }
            }
            case "drain" -> drainedMs.putIfAbsent(e.worker(), e.atMs());
            case "capacity" -> capacity.put(e.worker(), e.number());
            default -> throw new IllegalStateException("read by History: " + e.what());
        }
    }

    private void ask(Event e, Asked a) {
        if (a != null) {
            breaches.add(new Breach("R1 an id asked twice", e.line(), e.id()));
            return;
        }
        Asked n = new Asked();
        n.ask = e;
        asked.put(e.id(), n);
    }

    private void answer(Event e, Asked a) {
        if (a == null) {
            breaches.add(new Breach("R1 an answer to nothing asked", e.line(), e.id()));
            return;
        }
        if (++a.answers == 2 && e.atMs() <= a.goneMs) {
            breaches.add(new Breach("R1 a second answer", e.line(), e.id()));
        }
        if ((int) e.number() == 200 && !a.results.contains(e.text())) {
            breaches.add(new Breach("R1 served with what no worker made", e.line(), e.id()));
        }
    }

    private void attempt(Event e, Asked a) {
        if (a == null) {
            breaches.add(new Breach("R2 an attempt of nothing asked", e.line(), e.id()));
            return;
        }
        if (++a.attempts > terms.maxAttempts()) {
            breaches.add(new Breach("R2 more than " + terms.maxAttempts() + " attempts", e.line(), e.id()));
        }
        if (!a.out.isEmpty()) {
            breaches.add(new Breach("R2 two attempts out at once", e.line(), e.id()));
        } else if (a.mayHaveRun && terms.neverTwice().contains(a.ask.kind())) {
            breaches.add(new Breach("R2 sent again after it may have run", e.line(), e.id()));
        }
        a.out.add(e.worker());
        Long drained = drainedMs.get(e.worker());
        if (drained != null && e.atMs() > drained + terms.drainMs() + terms.slackMs()) {
            breaches.add(new Breach("R3 new work " + (e.atMs() - drained) + " ms after a drain", e.line(), e.worker()));
        }
        Double perS = capacity.get(e.worker());
        ArrayDeque<Long> window = recent.computeIfAbsent(e.worker(), w -> new ArrayDeque<>());
        window.addLast(e.atMs());
        while (window.peekFirst() <= e.atMs() - COLD_WINDOW_MS) {
            window.pollFirst();
        }
        if (perS != null && window.size() > Math.ceil(terms.coldTimes() * perS)) {
            breaches.add(new Breach("R4 " + window.size() + " jobs in a second to a worker that takes " + perS,
                e.line(), e.worker()));
        }
    }

    /** Requests whose client waited its whole deadline, with its slack, inside the history, and got nothing. */
    private void unanswered(long endMs) {
        for (Asked a : asked.values()) {
            long until = a.ask.atMs() + (long) a.ask.number() + terms.slackMs();
            if (a.answers == 0 && until <= endMs && a.goneMs > until) {
                breaches.add(new Breach("R1 no answer within the deadline", a.ask.line(), a.ask.id()));
            }
        }
    }
}
