package hookweir.lab.check;

import java.util.Map;
import java.util.Set;

/**
 * The limits that the rules are checked by: the first line of a history ("ev":"terms"). All times are in milliseconds.
 *
 * @param recorded      written by a recorder, so its last line must be a close event; without one it was truncated
 * @param neverTwice    request classes whose jobs must never run twice
 * @param keyed         request classes with an idempotency key, with the group of workers that drops their repeats
 * @param maxAttempts   maximum attempts of a request, over all processes of a scheduler
 * @param drainMs       how long new work may go to a worker after the scheduler was notified that it drains or is gone
 * @param slackMs       tolerance added to each time limit (PROTOCOL, "The rules on sockets")
 * @param noticeDelayMs a change that the list service has yet to send counts as received after this delay (PROTOCOL, "Figures")
 * @param termGraceMs   a request sent later than this after SIGTERM may not be lost to SIGKILL: it gets its response or is not accepted
 * @param killDelayMs   SIGKILL comes no sooner than this after SIGTERM; losses by an earlier SIGKILL are excused
 * @param coldFactor    a cold worker collapses when sent more than this multiple of its capacity...
 * @param coldWindowMs  ...within this time
 * @param toleranceMs   events seen by two observers within this time have no reliable order
 */
public record RuleLimits(boolean recorded, Set<String> neverTwice, Map<String, KeyedClass> keyed, int maxAttempts, long drainMs,
        long slackMs, long noticeDelayMs, long termGraceMs, long killDelayMs, double coldFactor, long coldWindowMs, long toleranceMs) {
    /** The version of the history format that is read and written. */
    public static final int VERSION = 2;

    /** The group of workers that drops a repeat of a keyed class. */
    public enum Scope { ALL, ZONE, CELL }

    /**
     * A request class with an idempotency key.
     *
     * @param scope    the group that drops repeats
     * @param windowMs how long repeats are dropped, counted from the first attempt that may have run
     */
    public record KeyedClass(Scope scope, long windowMs) {
    }

    private static final long MAX_COUNTED_DEADLINE_MS = 3000;
    private static final long KILL_AFTER_DEADLINE_MS = 700;

    /** The earliest SIGKILL, in ms after SIGTERM, where this is the longest deadline (PROTOCOL, "Figures"). */
    public static long earliestKillMs(long longestDeadlineMs) {
        return Math.min(longestDeadlineMs, MAX_COUNTED_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS;
    }

    /** These limits, with another time from SIGTERM to the earliest SIGKILL. */
    public RuleLimits withKillDelayMs(long ms) {
        return new RuleLimits(recorded, neverTwice, keyed, maxAttempts, drainMs, slackMs, noticeDelayMs, termGraceMs, ms, coldFactor, coldWindowMs,
            toleranceMs);
    }

    /** The limits of the project's rules and protocol, with billing-post and load-order as the classes concerned. */
    public static RuleLimits defaults() {
        return new RuleLimits(false, Set.of("billing-post"), Map.of("load-order", new KeyedClass(Scope.ZONE, 40_000)), 5, 250, 50, 6000,
            700, earliestKillMs(MAX_COUNTED_DEADLINE_MS), 3, 1000, 0);
    }
}
