package hookweir.lab.check;

import com.carrotsearch.hppc.LongHashSet;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The brief's four rules and what the protocol page adds, judged on what a history shows from outside: what clients sent
 * and got, what workers were sent and told, and what discovery wrote. Nothing of the scheduler's inside is read, and no
 * code of it is shared. The table in docs/rules-checker.md names each sentence judged here.
 *
 * <p>Events are taken one by one. A request is held while an answer is owed or an attempt is out; of those that are over
 * a hash stays, so that whatever comes for them later is known as such.
 */
public final class RuleChecker {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    /** What is over is held so much longer than the rules could ask, for the sake of what two peers saw at once. */
    private static final long RETENTION_MS = 1000;

    /**
     * A rule broken.
     *
     * @param rule   R0 to R4 or P, and what of it
     * @param line   the history's line where it shows
     * @param detail the request or worker concerned
     */
    public record Violation(String rule, long line, String detail) {
        @Override
        public String toString() {
            return "line " + line + ": " + rule + " (" + detail + ")";
        }
    }

    /** Two attempts seen at once: a breach unless the first turns out to be over within the grain. */
    private record Overlap(TrackedJob.Attempt first, long line, String id, long endsByMs) {
    }

    private final String source;
    private final RuleLimits limits;
    private final ViolationList violations = new ViolationList();
    private final Map<String, TrackedJob> trackedJobs = new HashMap<>();
    private final PriorityQueue<TrackedJob> jobsByDueTime = new PriorityQueue<>(Comparator.comparingLong(j -> j.responseDueMs));
    private final ArrayDeque<TrackedJob> endedJobs = new ArrayDeque<>();
    private final ArrayDeque<Overlap> overlaps = new ArrayDeque<>();
    private final LongHashSet seenIds = new LongHashSet();
    /** Of those over: the ones whose clients had left, so that an answer on its way was nobody's. */
    private final LongHashSet abandonedIds = new LongHashSet();
    private final Map<String, Event> workerLocations = new HashMap<>();
    private final DrainNotices drainNotices;
    private final ColdWorkerLoad coldWorkers;
    private final SchedulerProcesses processes;
    private long nowMs = Long.MIN_VALUE;
    private long eventCount;

    /** A checker of one history; source names it in errors. */
    public RuleChecker(String source, RuleLimits terms) {
        this.source = source;
        this.limits = terms;
        drainNotices = new DrainNotices(terms);
        coldWorkers = new ColdWorkerLoad(terms);
        processes = new SchedulerProcesses(terms, source);
    }

    /** All breaches of the history, in the order of their lines; none if it keeps the rules. */
    public static List<Violation> check(History h) throws InvalidHistoryException {
        RuleChecker c = new RuleChecker(h.source(), h.limits());
        for (Event e : h.events()) {
            c.process(e);
        }
        return c.finish();
    }

    /** Judges what is left to come of a reader. */
    public static RuleChecker check(String source, HistoryReader in) throws IOException {
        RuleChecker c = new RuleChecker(source, in.limits());
        for (Event e = in.next(); e != null; e = in.next()) {
            c.process(e);
        }
        c.finish();
        return c;
    }

    /** Breaches so far, also those that are not kept. */
    public long violationCount() {
        return violations.count();
    }

    /** Events taken. */
    public long eventCount() {
        return eventCount;
    }

    /** The first breaches. */
    public List<Violation> violations() {
        return violations.list();
    }

    /** Takes the next event. */
    public void process(Event e) throws InvalidHistoryException {
        eventCount++;
        nowMs = e.atMs();
        advanceTime();
        switch (e.type()) {
            case ASK -> onAsk(e);
            case AGAIN -> onAgain(e);
            case ANSWER -> onAnswer(e);
            case CUT -> onCut(e);
            case GONE -> onGone(e);
            case ATTEMPT -> onAttempt(e);
            case STARTED -> {
                TrackedJob.Attempt t = knownAttempt(e);
                if (t != null) {
                    t.started = true;
                }
            }
            case END -> onEnd(e);
            case CANCEL -> {
                TrackedJob.Attempt t = knownAttempt(e);
                if (t != null && t.state == TrackedJob.AttemptState.OUTSTANDING) {
                    t.state = TrackedJob.AttemptState.ABANDONED;
                    t.endMs = e.atMs();
                }
            }
            case CALL -> {
                knownJob(e);
                if ((int) e.number() != 200 && (int) e.number() != 204) {
                    violations.add("P a call-back answered " + (int) e.number(), e.line(), e.id());
                }
            }
            case WORKER -> workerLocations.put(e.worker(), e);
            case DRAIN -> drainNotices.recordDrain(e);
            case SERVING -> {
                drainNotices.recordServing(e);
                coldWorkers.recordServing(e);
            }
            case CAPACITY -> coldWorkers.recordCapacity(e);
            case WARM -> coldWorkers.recordWarm(e);
            case LIFE -> {
                if (processes.recordChange(e)) {
                    violations.add("R0 a scheduler ended by itself", e.line(), e.scheduler());
                }
            }
            case CLOSE -> { }
            default -> throw new IllegalStateException(e.type().jsonName());
        }
    }

    /** The history ends here. Its breaches. */
    public List<Violation> finish() {
        while (!jobsByDueTime.isEmpty() && jobsByDueTime.peek().responseDueMs <= nowMs) {
            expire(jobsByDueTime.poll());
        }
        // One that was cut off on a kept connection is sent once more at once, or not at all.
        jobsByDueTime.stream().filter(j -> j.cutLine > 0).forEach(this::reportLost);
        overlaps.forEach(this::resolveOverlap);
        overlaps.clear();
        return violations.list();
    }

    /** What time alone decides. */
    private void advanceTime() {
        while (!jobsByDueTime.isEmpty() && jobsByDueTime.peek().responseDueMs < nowMs) {
            expire(jobsByDueTime.poll());
        }
        while (!overlaps.isEmpty() && overlaps.peek().endsByMs < nowMs) {
            resolveOverlap(overlaps.poll());
        }
        long keep = Math.max(limits.toleranceMs(), limits.slackMs()) + RETENTION_MS;
        while (!endedJobs.isEmpty() && endedJobs.peek().endMs + keep < nowMs) {
            TrackedJob j = endedJobs.poll();
            if (trackedJobs.remove(j.ask.id()) != null && j.clientGone) {
                abandonedIds.add(hash(j.ask.id()));
            }
        }
    }

    private void expire(TrackedJob j) {
        if (j.cutLine > 0) {
            reportLost(j);
        } else if (j.awaitsResponse()) {
            // A process that was killed is no excuse here: its client would have seen its connection end.
            violations.add("R1 no answer within the deadline", j.ask.line(), j.ask.id());
            j.writtenOff = true;
            markEnded(j);
        }
    }

    private void reportLost(TrackedJob j) {
        violations.add("R1 lost: its connection ended with no whole answer", j.cutLine, j.ask.id());
        j.cutLine = 0;
        j.writtenOff = true;
        markEnded(j);
    }

    private void resolveOverlap(Overlap o) {
        if (o.first.endMs > o.endsByMs) {
            violations.add("R2 two attempts out at once", o.line, o.id);
        }
    }

    private void markEnded(TrackedJob j) {
        if (j.endMs == Long.MAX_VALUE) {
            j.markEnded(nowMs);
            endedJobs.add(j);
        }
    }

    private static long hash(String id) {
        return MurmurHash3.hash128x64(id.getBytes(StandardCharsets.UTF_8))[0];
    }

    private InvalidHistoryException invalid(Event e, String reason) {
        return new InvalidHistoryException(source, e.line(), reason);
    }

    /** The job of an event that only something asked can have; null where it is over and forgotten. */
    private TrackedJob knownJob(Event e) throws InvalidHistoryException {
        TrackedJob j = trackedJobs.get(e.id());
        if (j == null && !seenIds.contains(hash(e.id()))) {
            throw invalid(e, e.type().jsonName() + " of '" + e.id() + "' before it was asked");
        }
        return j;
    }

    private TrackedJob.Attempt knownAttempt(Event e) throws InvalidHistoryException {
        TrackedJob j = knownJob(e);
        TrackedJob.Attempt t = j == null ? null : j.lastAttemptAt(e.worker());
        if (j != null && t == null) {
            throw invalid(e, e.type().jsonName() + " of '" + e.id() + "' at " + e.worker() + ", which has no attempt of it");
        }
        return t;
    }

    private void onAsk(Event e) {
        if (!seenIds.add(hash(e.id()))) {
            violations.add("R1 an id asked twice", e.line(), e.id());
            return;
        }
        TrackedJob j = new TrackedJob(e, limits.slackMs());
        trackedJobs.put(e.id(), j);
        jobsByDueTime.add(j);
    }

    private void onAgain(Event e) throws InvalidHistoryException {
        TrackedJob j = knownJob(e);
        if (j == null || j.resent || j.cutLine == 0 && !j.excused) {
            throw invalid(e, "'" + e.id() + "' sent again though no kept connection ended under it, or not for the first time");
        }
        if (!j.attempts.isEmpty()) { // it had been read: its attempt shows it
            if (j.excused) {
                throw invalid(e, "'" + e.id() + "' sent again by its client though a process that was killed had read it");
            }
            reportLost(j);
            return;
        }
        j.resent = true;
        j.cutLine = 0;
        j.excused = false;
        j.writtenOff = false;
        j.endMs = Long.MAX_VALUE;
        endedJobs.remove(j);
        j.scheduler = e.scheduler().isEmpty() ? j.scheduler : e.scheduler();
        j.sentMs = e.atMs();
    }

    private void onAnswer(Event e) throws InvalidHistoryException {
        TrackedJob j = trackedJobs.get(e.id());
        if (j == null) {
            long h = hash(e.id());
            if (!abandonedIds.contains(h)) {
                violations.add(seenIds.contains(h) ? "R1 a second answer" : "R1 an answer to nothing asked", e.line(), e.id());
            }
            return;
        }
        if (j.clientGone) {
            return; // on its way when its client left
        }
        if (j.answered) {
            violations.add("R1 a second answer", e.line(), e.id());
            return;
        }
        if (j.cutLine > 0) {
            throw invalid(e, "an answer to '" + e.id() + "' on a connection that has ended");
        }
        int status = (int) e.number();
        if (status == 200 && !j.results.contains(e.text())) {
            violations.add("R1 served with what no worker made", e.line(), e.id());
        }
        if (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE) {
            checkRejection(e, j);
        }
        if (!e.retryAfter().isEmpty() && !e.retryAfter().matches("\\d+(\\.\\d+)?")) {
            violations.add("P a Retry-After that is no number of seconds", e.line(), e.id());
        }
        j.answered = true;
        markEnded(j);
    }

    /** Trying again is harmless, a refusal says: so it must be. */
    private void checkRejection(Event e, TrackedJob j) {
        RuleLimits.KeyedClass keyed = limits.keyed().get(j.ask.kind());
        boolean unsafe = limits.neverTwice().contains(j.ask.kind());
        if ((unsafe || keyed != null && keyed.scope() != RuleLimits.Scope.ALL) && j.firstThatMayHaveRun() != null) {
            violations.add("R2 refused though it may have run", e.line(), e.id());
        }
    }

    private void onCut(Event e) throws InvalidHistoryException {
        TrackedJob j = knownJob(e);
        if (j == null || !j.awaitsResponse()) {
            return;
        }
        j.cutLine = e.line();
        if (processes.excusesLoss(j, e.atMs())) {
            j.cutLine = 0;
            j.excused = e.reused();
            j.writtenOff = true;
            markEnded(j);
        } else if (!e.reused() || j.resent) {
            reportLost(j);
        }
    }

    private void onGone(Event e) throws InvalidHistoryException {
        TrackedJob j = knownJob(e);
        if (j == null) {
            return;
        }
        if (j.cutLine > 0) {
            reportLost(j);
        } else if (j.awaitsResponse()) {
            j.clientGone = true;
            markEnded(j);
        }
    }

    private void onAttempt(Event e) throws InvalidHistoryException {
        TrackedJob j = trackedJobs.get(e.id());
        if (j == null) {
            boolean known = !seenIds.add(hash(e.id()));
            violations.add(known ? "R1 an attempt after its end" : "R2 an attempt of nothing asked", e.line(), e.id());
        } else {
            onAttempt(e, j);
        }
        long late = drainNotices.latenessMs(e, source);
        if (late >= 0) {
            violations.add("R3 new work " + late + " ms after a drain", e.line(), e.worker());
        }
        double work = coldWorkers.recordAttempt(e);
        if (work > 0) {
            violations.add("R4 more than a cold worker can stand", e.line(), e.worker() + ", work of " + work + " jobs within the window");
        }
    }

    private void onAttempt(Event e, TrackedJob j) throws InvalidHistoryException {
        if (j.endMs < Long.MAX_VALUE && e.atMs() > j.endMs + limits.slackMs() + limits.toleranceMs()) {
            violations.add("R1 an attempt after its end", e.line(), e.id());
        }
        if (!e.checksum().isEmpty() && !j.ask.checksum().isEmpty() && !e.checksum().equals(j.ask.checksum())) {
            violations.add("P passed on changed", e.line(), e.id());
        }
        if (j.attempts.size() + 1 > limits.maxAttempts()) {
            violations.add("R2 more than " + limits.maxAttempts() + " attempts", e.line(), e.id());
        }
        TrackedJob.Attempt out = j.outstandingAttempt();
        TrackedJob.Attempt first = j.firstThatMayHaveRun();
        boolean unsafe = limits.neverTwice().contains(j.ask.kind());
        if (out != null && (unsafe || limits.toleranceMs() == 0)) {
            violations.add("R2 two attempts out at once", e.line(), e.id());
        } else if (out != null) {
            overlaps.add(new Overlap(out, e.line(), e.id(), e.atMs() + limits.toleranceMs()));
        } else if (first != null && unsafe) {
            violations.add("R2 sent again after it may have run", e.line(), e.id());
        }
        RuleLimits.KeyedClass keyed = limits.keyed().get(j.ask.kind());
        if (first != null && keyed != null) {
            if (!deduplicationGroup(keyed.scope(), first.event).equals(deduplicationGroup(keyed.scope(), e))) {
                violations.add("R2 a keyed repeat outside the first run's group", e.line(), e.id());
            } else if (e.atMs() > first.event.atMs() + keyed.windowMs() + limits.slackMs()) {
                violations.add("R2 a keyed repeat after its window", e.line(), e.id());
            }
        }
        j.attempts.add(new TrackedJob.Attempt(e));
    }

    private String deduplicationGroup(RuleLimits.Scope scope, Event attempt) throws InvalidHistoryException {
        if (scope == RuleLimits.Scope.ALL) {
            return "";
        }
        Event place = workerLocations.get(attempt.worker());
        if (place == null) {
            throw invalid(attempt, "a keyed job at " + attempt.worker() + ", whose place no 'worker' line tells");
        }
        return scope == RuleLimits.Scope.ZONE ? place.zone() : place.zone() + "/" + (long) place.number();
    }

    private void onEnd(Event e) throws InvalidHistoryException {
        TrackedJob j = knownJob(e);
        TrackedJob.Attempt t = knownAttempt(e);
        if (t == null) {
            return;
        }
        if (e.how().equals("done")) {
            j.results.add(e.text());
        }
        // A job that had started and is handed back as unstarted is a contradiction: it may have run.
        boolean never = (e.how().equals("returned") || e.how().equals("refused")) && !t.started;
        t.endMs = Math.min(t.endMs, e.atMs());
        t.state = never ? TrackedJob.AttemptState.NEVER_RAN : TrackedJob.AttemptState.MAY_HAVE_RUN;
    }
}
