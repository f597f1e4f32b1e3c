package hookweir;

import hookweir.Contract.Idempotency;

/** The conditions for a safe attempt, retry or refusal of a job. They depend on the job's class and on what became of its attempts. */
final class RetryRules {
    /** The share of a deduplication window in which a repeat may arrive; the rest is a margin. */
    private static final double USABLE_DEDUP_WINDOW = 15.0 / 16;

    private RetryRules() {
    }

    /** Whether another attempt is allowed now. */
    static boolean maySend(Job job, Contract.Settings settings, long now) {
        return job.attempts < Math.min(settings.maxAttempts, job.ended.length)
            && now < job.request.deadlineAtUs - settings.tickUs
            && (job.inFlight == 0 || settings.concurrentAttemptsAllowed)
            && mayRunAgain(job, now + settings.connectTimeoutUs);
    }

    /** Whether an attempt that arrives by this time can't run the job twice, or may do so. */
    private static boolean mayRunAgain(Job job, long arrivalUs) {
        if (job.firstRun == null || job.type.idempotency == Idempotency.IDEMPOTENT) {
            return true;
        }
        long windowUs = (long) (job.type.dedupWindowUs * USABLE_DEDUP_WINDOW);
        return job.type.idempotency == Idempotency.KEYED && arrivalUs < job.firstRunUs + windowUs;
    }

    /** Whether the job may be rejected, which tells the client that a retry is harmless. */
    static boolean mayReject(Job job) {
        return job.firstRun == null || mayRejectOnceSent(job);
    }

    /** Whether the job may be rejected whatever became of its attempts. */
    static boolean mayRejectOnceSent(Job job) {
        return job.type.idempotency == Idempotency.IDEMPOTENT
            || job.type.idempotency == Idempotency.KEYED && job.type.dedupScope == Contract.DedupScope.ALL;
    }

    /** Whether the worker belongs to the group that drops repeats of the job, or need not. */
    static boolean isInDedupGroup(Job job, TrackedWorker worker) {
        if (job.type.idempotency != Idempotency.KEYED || job.firstRun == null || job.type.dedupScope == Contract.DedupScope.ALL) {
            return true;
        }
        return job.type.dedupScope == Contract.DedupScope.ZONE ? worker.entry.zone == job.firstRun.entry.zone
            : worker.entry.cell == job.firstRun.entry.cell;
    }
}
