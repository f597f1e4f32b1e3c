package hookweir;

/** What the policy knows of a listed worker. Times are in µs of the host's clock; 0 stands for never. */
final class TrackedWorker {
    /** The worker as the list describes it. */
    Contract.Worker entry;
    /** Consecutive failures to reach it. */
    int failures;
    boolean ready;
    boolean cold;
    boolean listed;
    boolean probePending;
    /** A hash of its id, by which keys prefer workers. */
    long hash;
    /** When it started, by the list, and by what was seen of it. */
    long listedStartUs;
    long startedUs;
    /** When its newest report arrived, and when a report last had new values. */
    long seenUs;
    long refreshedUs;
    /** When its own slots last changed. */
    long ownUs;
    long fullUntilUs;
    long ejectedUntilUs;
    long failedUs;
    /** Busy slots of other schedulers' jobs by the newest report; NaN without one. */
    double busy = Double.NaN;
    double serviceMs = Double.NaN;
    double lastLoad;
    double lastFree;
    double maxSize;
    /** Slots of this scheduler's jobs, and the part of them that no report contains yet. */
    double own;
    double unreported;
    /** The weight of the newest report, from 0 to 1. */
    double fresh;
    double failureShare;
    double errorLevel;
}
