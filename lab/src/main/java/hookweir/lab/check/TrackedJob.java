package hookweir.lab.check;

import java.util.ArrayList;
import java.util.List;

/** The checker's state of one request, from its arrival until shortly after its end. */
final class TrackedJob {
    /** The state of an attempt as far as it can be seen from outside the scheduler. */
    enum AttemptState {
        /** Held by the worker, as far as is known. */
        OUTSTANDING,
        /** Abandoned by the scheduler; the worker has not reported that the job never ran. */
        ABANDONED,
        /** Ended; the job ran or may have run. */
        MAY_HAVE_RUN,
        /** Returned by the worker before the job started. */
        NEVER_RAN
    }

    /** One attempt of the job at one worker. */
    static final class Attempt {
        final Event event;
        AttemptState state = AttemptState.OUTSTANDING;
        boolean started;
        /** When it ended or was abandoned. */
        long endMs = Long.MAX_VALUE;

        Attempt(Event event) {
            this.event = event;
        }
    }

    final Event ask;
    /** When the response is due, with slack added to the deadline. */
    final long responseDueMs;
    final List<Attempt> attempts = new ArrayList<>(1);
    final List<String> results = new ArrayList<>(1);
    /** The scheduler that the request was last sent to. */
    String scheduler;
    /** When the request was last sent. */
    long sentMs;
    boolean resent;
    /** Its keep-alive connection was closed by the end of a process that may lose the job; the client may resend it. */
    boolean excused;
    boolean answered;
    boolean clientGone;
    /** The line on which its keep-alive connection ended without a response while a resend is still possible; else 0. */
    long cutLine;
    /** No response is due any more: the job was lost with a killed process, or its violation is already reported. */
    boolean writtenOff;
    long endMs = Long.MAX_VALUE;

    TrackedJob(Event ask, long slackMs) {
        this.ask = ask;
        responseDueMs = ask.atMs() + (long) ask.number() + slackMs;
        scheduler = ask.scheduler();
        sentMs = ask.atMs();
    }

    /** Whether a response is still due. */
    boolean awaitsResponse() {
        return !answered && !clientGone && !writtenOff && cutLine == 0;
    }

    /** Marks the job as ended: its client got the response, disconnected, or lost its connection for good. */
    void markEnded(long atMs) {
        endMs = Math.min(endMs, atMs);
    }

    Attempt lastAttemptAt(String worker) {
        for (int i = attempts.size() - 1; i >= 0; i--) {
            if (attempts.get(i).event.worker().equals(worker)) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** Returns the first attempt that may have run or may still run; null if there is none. */
    Attempt firstThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.state != AttemptState.NEVER_RAN) {
                return attempt;
            }
        }
        return null;
    }

    /** Returns an attempt that has neither ended nor been abandoned; null if there is none. */
    Attempt outstandingAttempt() {
        for (Attempt attempt : attempts) {
            if (attempt.state == AttemptState.OUTSTANDING) {
                return attempt;
            }
        }
        return null;
    }
}
