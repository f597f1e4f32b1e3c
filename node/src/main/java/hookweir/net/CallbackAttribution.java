package hookweir.net;

import hookweir.net.server.Callback;

/**
 * Decides which attempt a callback is about. A callback names its request and its worker, but not its attempt, and the worker repeats it
 * until it has received the response. So where a request is sent to a worker once more, a callback may be about the attempt that is
 * outstanding there, or about an earlier one. Belongs to the {@link Loop}.
 *
 * @param attempt the outstanding attempt at the worker; null if there is none
 * @param certainty whether the callback is about that attempt
 */
record CallbackAttribution(Attempt attempt, Certainty certainty) {
    /** Whether a callback is about the outstanding attempt. */
    enum Certainty {
        /** It is: no other attempt at the worker can cause it. */
        CERTAIN,
        /** It is about that attempt or about an earlier one. */
        DOUBTFUL,
        /** It isn't, or there is no such attempt. */
        EXCLUDED
    }

    private static final CallbackAttribution NONE = new CallbackAttribution(null, Certainty.EXCLUDED);

    /** Attributes a callback of the named worker to an attempt of this request, which may be null. */
    static CallbackAttribution of(PendingRequest request, String workerName, Callback.State state) {
        Attempt outstanding = request == null ? null : outstandingAt(request, workerName);
        return outstanding == null ? NONE : new CallbackAttribution(outstanding, certainty(request, outstanding, state));
    }

    /** Returns the last attempt that the worker may know of and that has not ended, or null. */
    private static Attempt outstandingAt(PendingRequest request, String workerName) {
        Attempt last = null;
        for (Attempt attempt : request.attempts) {
            if (attempt.isSent() && attempt.target.name.equals(workerName)) {
                last = attempt;
            }
        }
        return last;
    }

    private static Certainty certainty(PendingRequest request, Attempt outstanding, Callback.State state) {
        if (state == Callback.State.DONE) {
            return Certainty.CERTAIN; // the result of the job, whichever attempt ran it
        }
        boolean mayBeEarlier = request.attempts.stream()
            .anyMatch(earlier -> earlier.number < outstanding.number && earlier.isAtSameWorker(outstanding) && earlier.mayStillReport(state));
        if (!mayBeEarlier) {
            return Certainty.CERTAIN;
        }
        // A job that has begun to run is not handed back unstarted any more.
        return state == Callback.State.RETURNED && outstanding.hasStarted() ? Certainty.EXCLUDED : Certainty.DOUBTFUL;
    }
}
