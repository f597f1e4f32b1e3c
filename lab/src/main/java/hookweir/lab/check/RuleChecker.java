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
 * Checks the safety rules R1 to R4, the protocol's further requirements (P) and crashes (R0) on a history of what was
 * observed from outside: what clients sent and received, what workers received and reported, and what the list service
 * sent. It uses no internal state of the scheduler and shares no code with it. The table in docs/rules-checker.md lists
 * each requirement that is checked here.
 *
 * <p>Events are processed one by one. A request is tracked until shortly after its end; then only a hash of its id is
 * kept, so that late events of an ended request can be told from events of an unknown one.
 */
public final class RuleChecker {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    /** Ended jobs are kept this much longer than any limit requires, as two observers may see the same moment in either order. */
    private static final long RETENTION_MS = 1000;

    /**
     * A violation of a rule.
     *
     * @param rule   the rule (R0 to R4 or P) and how it was violated
     * @param line   the line of the history where it shows
     * @param detail the request or worker concerned
     */
    public record Violation(String rule, long line, String detail) {
        @Override
        public String toString() {
            return "line " + line + ": " + rule + " (" + detail + ")";
        }
    }

    /** Two attempts outstanding at once: a violation unless the first ends within {@link RuleLimits#toleranceMs()}. */
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
    /** Ids of ended requests whose clients had disconnected, so that a response already on its way is no violation. */
    private final LongHashSet abandonedIds = new LongHashSet();
    private final Map<String, Event> workerLocations = new HashMap<>();
    private final DrainNotices drainNotices;
    private final ColdWorkerLoad coldWorkers;
    private final SchedulerProcesses processes;
    private long nowMs = Long.MIN_VALUE;
    private long eventCount;

    /** Creates a checker for one history; source is its name in error messages. */
    public RuleChecker(String source, RuleLimits limits) {
        this.source = source;
        this.limits = limits;
        drainNotices = new DrainNotices(limits);
        coldWorkers = new ColdWorkerLoad(limits);
        processes = new SchedulerProcesses(limits, source);
    }

    /** Returns the violations in a history, ordered by line. */
    public static List<Violation> check(History history) throws InvalidHistoryException {
        RuleChecker checker = new RuleChecker(history.source(), history.limits());
        for (Event event : history.events()) {
            checker.process(event);
        }
        return checker.finish();
    }

    /** Checks the remaining events of a reader. */
    public static RuleChecker check(String source, HistoryReader in) throws IOException {
        RuleChecker checker = new RuleChecker(source, in.limits());
        for (Event event = in.next(); event != null; event = in.next()) {
            checker.process(event);
        }
        checker.finish();
        return checker;
    }

    /** The number of violations so far, including those that are not kept. */
    public long violationCount() {
        return violations.count();
    }

    /** The number of events processed. */
    public long eventCount() {
        return eventCount;
    }

    /** The violations kept, ordered by line. */
    public List<Violation> violations() {
        return violations.list();
    }

    /** Processes the next event. */
    public void process(Event event) throws InvalidHistoryException {
        eventCount++;
        nowMs = event.atMs();
        advanceTime();
        switch (event.type()) {
            case ASK -> onAsk(event);
            case AGAIN -> onAgain(event);
            case ANSWER -> onAnswer(event);
            case CUT -> onCut(event);
            case GONE -> onGone(event);
            case ATTEMPT -> onAttempt(event);
            case STARTED -> {
                TrackedJob.Attempt attempt = knownAttempt(event);
                if (attempt != null) {
                    attempt.started = true;
                }
            }
            case END -> onEnd(event);
            case CANCEL -> {
                TrackedJob.Attempt attempt = knownAttempt(event);
                if (attempt != null && attempt.state == TrackedJob.AttemptState.OUTSTANDING) {
                    attempt.state = TrackedJob.AttemptState.ABANDONED;
                    attempt.endMs = event.atMs();
                }
            }
            case CALL -> {
                knownJob(event);
                if ((int) event.number() != 200 && (int) event.number() != 204) {
                    violations.add("P a call-back answered " + (int) event.number(), event.line(), event.id());
                }
            }
            case WORKER -> workerLocations.put(event.worker(), event);
            case DRAIN -> drainNotices.recordDrain(event);
            case SERVING -> {
                drainNotices.recordServing(event);
                coldWorkers.recordServing(event);
            }
            case CAPACITY -> coldWorkers.recordCapacity(event);
            case WARM -> coldWorkers.recordWarm(event);
            case LIFE -> {
                if (processes.recordChange(event)) {
                    violations.add("R0 a scheduler ended by itself", event.line(), event.scheduler());
                }
            }
            case CLOSE -> { }
            default -> throw new IllegalStateException(event.type().jsonName());
        }
    }

    /** Ends the history and returns its violations. */
    public List<Violation> finish() {
        while (!jobsByDueTime.isEmpty() && jobsByDueTime.peek().responseDueMs <= nowMs) {
            expire(jobsByDueTime.poll());
        }
        // A request whose keep-alive connection ended is resent at once or not at all.
        jobsByDueTime.stream().filter(j -> j.cutLine > 0).forEach(this::reportLost);
        overlaps.forEach(this::resolveOverlap);
        overlaps.clear();
        return violations.list();
    }

    /** Reports the deadlines and overlaps that have expired, and forgets jobs that ended long enough ago. */
    private void advanceTime() {
        while (!jobsByDueTime.isEmpty() && jobsByDueTime.peek().responseDueMs < nowMs) {
            expire(jobsByDueTime.poll());
        }
        while (!overlaps.isEmpty() && overlaps.peek().endsByMs < nowMs) {
            resolveOverlap(overlaps.poll());
        }
        long retentionMs = Math.max(limits.toleranceMs(), limits.slackMs()) + RETENTION_MS;
        while (!endedJobs.isEmpty() && endedJobs.peek().endMs + retentionMs < nowMs) {
            TrackedJob job = endedJobs.poll();
            if (trackedJobs.remove(job.ask.id()) != null && job.clientGone) {
                abandonedIds.add(hash(job.ask.id()));
            }
        }
    }

    private void expire(TrackedJob job) {
        if (job.cutLine > 0) {
            reportLost(job);
        } else if (job.awaitsResponse()) {
            // A killed process is no excuse here: the client would have seen its connection end.
            violations.add("R1 no answer within the deadline", job.ask.line(), job.ask.id());
            job.writtenOff = true;
            markEnded(job);
        }
    }

    private void reportLost(TrackedJob job) {
        violations.add("R1 lost: its connection ended with no whole answer", job.cutLine, job.ask.id());
        job.cutLine = 0;
        job.writtenOff = true;
        markEnded(job);
    }

    private void resolveOverlap(Overlap overlap) {
        if (overlap.first.endMs > overlap.endsByMs) {
            violations.add("R2 two attempts out at once", overlap.line, overlap.id);
        }
    }

    private void markEnded(TrackedJob job) {
        if (job.endMs == Long.MAX_VALUE) {
            job.markEnded(nowMs);
            endedJobs.add(job);
        }
    }

    private static long hash(String id) {
        return MurmurHash3.hash128x64(id.getBytes(StandardCharsets.UTF_8))[0];
    }

    private InvalidHistoryException invalid(Event event, String reason) {
        return new InvalidHistoryException(source, event.line(), reason);
    }

    /** Returns the job of an event that requires an earlier request; null if the job has ended and is no longer tracked. */
    private TrackedJob knownJob(Event event) throws InvalidHistoryException {
        TrackedJob job = trackedJobs.get(event.id());
        if (job == null && !seenIds.contains(hash(event.id()))) {
            throw invalid(event, event.type().jsonName() + " of '" + event.id() + "' before it was asked");
        }
        return job;
    }

    private TrackedJob.Attempt knownAttempt(Event event) throws InvalidHistoryException {
        TrackedJob job = knownJob(event);
        TrackedJob.Attempt attempt = job == null ? null : job.lastAttemptAt(event.worker());
        if (job != null && attempt == null) {
            throw invalid(event, event.type().jsonName() + " of '" + event.id() + "' at " + event.worker() + ", which has no attempt of it");
        }
        return attempt;
    }

    private void onAsk(Event event) {
        if (!seenIds.add(hash(event.id()))) {
            violations.add("R1 an id asked twice", event.line(), event.id());
            return;
        }
        TrackedJob job = new TrackedJob(event, limits.slackMs());
        trackedJobs.put(event.id(), job);
        jobsByDueTime.add(job);
    }

    private void onAgain(Event event) throws InvalidHistoryException {
        TrackedJob job = knownJob(event);
        if (job == null || job.resent || job.cutLine == 0 && !job.excused) {
            throw invalid(event, "'" + event.id() + "' was resent although no keep-alive connection ended before its response, or was resent more than once");
        }
        if (!job.attempts.isEmpty()) { // the scheduler had read the request: it made an attempt
            if (job.excused) {
                throw invalid(event, "'" + event.id() + "' was resent by its client although a killed process had read it");
            }
            reportLost(job);
            return;
        }
        job.resent = true;
        job.cutLine = 0;
        job.excused = false;
        job.writtenOff = false;
        job.endMs = Long.MAX_VALUE;
        endedJobs.remove(job);
        job.scheduler = event.scheduler().isEmpty() ? job.scheduler : event.scheduler();
        job.sentMs = event.atMs();
    }

    private void onAnswer(Event event) throws InvalidHistoryException {
        TrackedJob job = trackedJobs.get(event.id());
        if (job == null) {
            long idHash = hash(event.id());
            if (!abandonedIds.contains(idHash)) {
                violations.add(seenIds.contains(idHash) ? "R1 a second answer" : "R1 an answer to nothing asked", event.line(), event.id());
            }
            return;
        }
        if (job.clientGone) {
            return; // already on its way when the client disconnected
        }
        if (job.answered) {
            violations.add("R1 a second answer", event.line(), event.id());
            return;
        }
        if (job.cutLine > 0) {
            throw invalid(event, "a response to '" + event.id() + "' on a connection that has ended");
        }
        int status = (int) event.number();
        if (status == 200 && !job.results.contains(event.text())) {
            violations.add("R1 served with what no worker made", event.line(), event.id());
        }
        if (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE) {
            checkRejection(event, job);
        }
        if (!event.retryAfter().isEmpty() && !event.retryAfter().matches("\\d+(\\.\\d+)?")) {
            violations.add("P a Retry-After that is no number of seconds", event.line(), event.id());
        }
        job.answered = true;
        markEnded(job);
    }

    /** Checks a rejection: it tells the client that a retry is safe, so the job must not possibly have run where a rerun does harm. */
    private void checkRejection(Event event, TrackedJob job) {
        RuleLimits.KeyedClass keyed = limits.keyed().get(job.ask.kind());
        boolean unsafe = limits.neverTwice().contains(job.ask.kind());
        if ((unsafe || keyed != null && keyed.scope() != RuleLimits.Scope.ALL) && job.firstThatMayHaveRun() != null) {
            violations.add("R2 refused though it may have run", event.line(), event.id());
        }
    }

    private void onCut(Event event) throws InvalidHistoryException {
        TrackedJob job = knownJob(event);
        if (job == null || !job.awaitsResponse()) {
            return;
        }
        job.cutLine = event.line();
        if (processes.excusesLoss(job, event.atMs())) {
            job.cutLine = 0;
            job.excused = event.reused();
            job.writtenOff = true;
            markEnded(job);
        } else if (!event.reused() || job.resent) {
            reportLost(job);
        }
    }

    private void onGone(Event event) throws InvalidHistoryException {
        TrackedJob job = knownJob(event);
        if (job == null) {
            return;
        }
        if (job.cutLine > 0) {
            reportLost(job);
        } else if (job.awaitsResponse()) {
            job.clientGone = true;
            markEnded(job);
        }
    }

    private void onAttempt(Event event) throws InvalidHistoryException {
        TrackedJob job = trackedJobs.get(event.id());
        if (job == null) {
            boolean seen = !seenIds.add(hash(event.id()));
            violations.add(seen ? "R1 an attempt after its end" : "R2 an attempt of nothing asked", event.line(), event.id());
        } else {
            onAttempt(event, job);
        }
        long late = drainNotices.latenessMs(event, source);
        if (late >= 0) {
            violations.add("R3 new work " + late + " ms after a drain", event.line(), event.worker());
        }
        double work = coldWorkers.recordAttempt(event);
        if (work > 0) {
            violations.add("R4 more than a cold worker can stand", event.line(), event.worker() + ", work of " + work + " jobs within the window");
        }
    }

    private void onAttempt(Event event, TrackedJob job) throws InvalidHistoryException {
        if (job.endMs < Long.MAX_VALUE && event.atMs() > job.endMs + limits.slackMs() + limits.toleranceMs()) {
            violations.add("R1 an attempt after its end", event.line(), event.id());
        }
        if (!event.checksum().isEmpty() && !job.ask.checksum().isEmpty() && !event.checksum().equals(job.ask.checksum())) {
            violations.add("P passed on changed", event.line(), event.id());
        }
        if (job.attempts.size() + 1 > limits.maxAttempts()) {
            violations.add("R2 more than " + limits.maxAttempts() + " attempts", event.line(), event.id());
        }
        TrackedJob.Attempt outstanding = job.outstandingAttempt();
        TrackedJob.Attempt first = job.firstThatMayHaveRun();
        boolean unsafe = limits.neverTwice().contains(job.ask.kind());
        if (outstanding != null && (unsafe || limits.toleranceMs() == 0)) {
            violations.add("R2 two attempts out at once", event.line(), event.id());
        } else if (outstanding != null) {
            overlaps.add(new Overlap(outstanding, event.line(), event.id(), event.atMs() + limits.toleranceMs()));
        } else if (first != null && unsafe) {
            violations.add("R2 sent again after it may have run", event.line(), event.id());
        }
        RuleLimits.KeyedClass keyed = limits.keyed().get(job.ask.kind());
        if (first != null && keyed != null) {
            if (!deduplicationGroup(keyed.scope(), first.event).equals(deduplicationGroup(keyed.scope(), event))) {
                violations.add("R2 a keyed repeat outside the first run's group", event.line(), event.id());
            } else if (event.atMs() > first.event.atMs() + keyed.windowMs() + limits.slackMs()) {
                violations.add("R2 a keyed repeat after its window", event.line(), event.id());
            }
        }
        job.attempts.add(new TrackedJob.Attempt(event));
    }

    private String deduplicationGroup(RuleLimits.Scope scope, Event attempt) throws InvalidHistoryException {
        if (scope == RuleLimits.Scope.ALL) {
            return "";
        }
        Event location = workerLocations.get(attempt.worker());
        if (location == null) {
            throw invalid(attempt, "a keyed job at " + attempt.worker() + ", whose location no 'worker' line gives");
        }
        return scope == RuleLimits.Scope.ZONE ? location.zone() : location.zone() + "/" + (long) location.number();
    }

    private void onEnd(Event event) throws InvalidHistoryException {
        TrackedJob job = knownJob(event);
        TrackedJob.Attempt attempt = knownAttempt(event);
        if (attempt == null) {
            return;
        }
        if (event.how().equals("done")) {
            job.results.add(event.text());
        }
        // If the worker returns a job as not started after reporting its start, the job may have run.
        boolean neverRan = (event.how().equals("returned") || event.how().equals("refused")) && !attempt.started;
        attempt.endMs = Math.min(attempt.endMs, event.atMs());
        attempt.state = neverRan ? TrackedJob.AttemptState.NEVER_RAN : TrackedJob.AttemptState.MAY_HAVE_RUN;
    }
}
