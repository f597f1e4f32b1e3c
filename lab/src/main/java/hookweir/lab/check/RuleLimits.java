package hookweir.lab.check;

import java.util.Map;
import java.util.Set;

/**
 * The figures of the rules: the first line of a history, with the brief's values as defaults. All times in ms.
 *
 * @param recorded    written by a recorder, so its last line is its close; one without was cut off
 * @param neverTwice  classes that must never run twice
 * @param keyed       classes that carry a key, with the group that drops their repeats
 * @param maxAttempts attempts a request may have, over all lives of a scheduler
 * @param drainMs     new work may go to a worker for so long after the scheduler was told that it drains or is gone
 * @param slackMs     what each time limit grows by (PROTOCOL, "The rules on sockets")
 * @param noticeDelayMs      what discovery has to tell counts as told so much later (PROTOCOL, "Figures")
 * @param termGraceMs      what is asked so long after SIGTERM must be answered before SIGKILL
 * @param killDelayMs      SIGKILL comes no sooner than this after SIGTERM; what an earlier one costs is not the scheduler's
 * @param coldFactor   a cold worker falls over when sent more than so many times its capacity...
 * @param coldWindowMs      ...within so long
 * @param toleranceMs     the order of what two peers saw can't be told within this
 */
public record RuleLimits(boolean recorded, Set<String> neverTwice, Map<String, KeyedClass> keyed, int maxAttempts, long drainMs,
        long slackMs, long noticeDelayMs, long termGraceMs, long killDelayMs, double coldFactor, long coldWindowMs, long toleranceMs) {
    /** The version of the form that is read and written. */
    public static final int VERSION = 2;

    /** Which workers drop a repeat of a keyed class. */
    public enum Scope { ALL, ZONE, CELL }

    /**
     * A keyed class.
     *
     * @param scope    the group that drops repeats
     * @param windowMs for so long after the first attempt that may have run
     */
    public record KeyedClass(Scope scope, long windowMs) {
    }

    /** What the brief and the protocol page say, with billing-post and load-order as its classes. */
    public static RuleLimits defaults() {
        return new RuleLimits(false, Set.of("billing-post"), Map.of("load-order", new KeyedClass(Scope.ZONE, 40_000)), 5, 250, 50, 6000,
            700, 3700, 3, 1000, 0);
    }
}
