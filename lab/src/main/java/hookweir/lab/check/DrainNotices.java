package hookweir.lab.check;

import java.util.HashMap;
import java.util.Map;

/**
 * What each scheduler was told of workers that drain or are gone. It is told to the scheduler, not to one life of it: a
 * new process starts from the list as its scheduler last had it.
 */
final class DrainNotices {
    private final RuleLimits limits;
    /** By worker, then by scheduler; "" is all of them. When it was told, or counts as told. */
    private final Map<String, Map<String, Long>> notifiedAtMs = new HashMap<>();

    DrainNotices(RuleLimits terms) {
        this.limits = terms;
    }

    void recordDrain(Event e) {
        long at = e.notified() ? e.atMs() : e.atMs() + limits.noticeDelayMs();
        notifiedAtMs.computeIfAbsent(e.worker(), w -> new HashMap<>(2)).merge(SchedulerProcesses.schedulerName(e.scheduler()), at, Math::min);
    }

    void recordServing(Event e) {
        Map<String, Long> of = notifiedAtMs.get(e.worker());
        if (of == null) {
            return;
        }
        if (e.scheduler().isEmpty()) {
            of.clear();
        } else {
            of.remove(SchedulerProcesses.schedulerName(e.scheduler()));
        }
        if (of.isEmpty()) {
            notifiedAtMs.remove(e.worker());
        }
    }

    /** Work that was sent to a worker later than its drain allows: so many ms after it was told; -1 if it may be. */
    long latenessMs(Event attempt, String source) throws InvalidHistoryException {
        Map<String, Long> of = notifiedAtMs.get(attempt.worker());
        if (of == null) {
            return -1;
        }
        if (attempt.scheduler().isEmpty() && !(of.size() == 1 && of.containsKey(""))) {
            throw new InvalidHistoryException(source, attempt.line(), "needs 'scheduler', as drains of " + attempt.worker() + " name theirs");
        }
        long at = Math.min(of.getOrDefault("", Long.MAX_VALUE), of.getOrDefault(SchedulerProcesses.schedulerName(attempt.scheduler()), Long.MAX_VALUE));
        return at < Long.MAX_VALUE && attempt.firstMs() > at + limits.drainMs() + limits.slackMs() ? attempt.firstMs() - at : -1;
    }
}
