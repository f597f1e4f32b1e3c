package hookweir;

import java.util.List;

/** An open request of the policy, kept until its last attempt has ended. Times are in µs of the host's clock; 0 stands for never. */
final class Job {
    Contract.Request request;
    Contract.RequestClass type;
    /** Slots that it occupies. */
    double slots;
    /** The number of attempts so far, and of those that have not ended. */
    int attempts;
    int inFlight;
    /** Whether each attempt has ended, by its number. */
    boolean[] ended;
    /** Candidates that are being probed before the selection, or null. */
    List<TrackedWorker> candidates;
    int probesPending;
    int probeRounds;
    /** When a response is due for the full value, counted from the client's first try. */
    long dueUs;
    /** The latest start for that, as the client's first try would have it. */
    long firstTryStartUs;
    /** The first attempt that may have run. */
    TrackedWorker firstRun;
    long firstRunUs;
    boolean mayHaveRun;
    /** The newest attempt. */
    TrackedWorker lastWorker;
    long sentUs;
    long startedUs;
    /** It waits here for a free worker or for probes. */
    boolean waiting;
    boolean streaming;
    /** It has its final response. */
    boolean done;
}
