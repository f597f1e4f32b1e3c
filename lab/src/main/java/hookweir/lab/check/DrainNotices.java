package hookweir.lab.check;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps when each scheduler was notified that a worker drains or is gone. A notice holds for the scheduler, not only for
 * the process that received it: a new process starts from its scheduler's cached worker list.
 */
final class DrainNotices {
    private final RuleLimits limits;
    /** By worker, then by scheduler ("" for all): when it was notified or counts as notified. */
    private final Map<String, Map<String, Long>> notifiedAtMs = new HashMap<>();

    DrainNotices(RuleLimits limits) {
        this.limits = limits;
    }

    void recordDrain(Event event) {
        long atMs = event.notified() ? event.atMs() : event.atMs() + limits.noticeDelayMs();
        notifiedAtMs.computeIfAbsent(event.worker(), w -> new HashMap<>(2)).merge(SchedulerProcesses.schedulerName(event.scheduler()), atMs, Math::min);
    }

    void recordServing(Event event) {
        Map<String, Long> byScheduler = notifiedAtMs.get(event.worker());
        if (byScheduler == null) {
            return;
        }
        if (event.scheduler().isEmpty()) {
            byScheduler.clear();
        } else {
            byScheduler.remove(SchedulerProcesses.schedulerName(event.scheduler()));
        }
        if (byScheduler.isEmpty()) {
            notifiedAtMs.remove(event.worker());
        }
    }

    /** Returns how long after its drain notice a worker was sent this attempt, if that is longer than allowed; else -1. */
    long latenessMs(Event attempt, String source) throws InvalidHistoryException {
        Map<String, Long> byScheduler = notifiedAtMs.get(attempt.worker());
        if (byScheduler == null) {
            return -1;
        }
        if (attempt.scheduler().isEmpty() && !(byScheduler.size() == 1 && byScheduler.containsKey(""))) {
            throw new InvalidHistoryException(source, attempt.line(), "missing 'scheduler': drains of " + attempt.worker() + " name their schedulers");
        }
        long noticeMs = Math.min(byScheduler.getOrDefault("", Long.MAX_VALUE),
            byScheduler.getOrDefault(SchedulerProcesses.schedulerName(attempt.scheduler()), Long.MAX_VALUE));
        return noticeMs < Long.MAX_VALUE && attempt.firstMs() > noticeMs + limits.drainMs() + limits.slackMs() ? attempt.firstMs() - noticeMs : -1;
    }
}
