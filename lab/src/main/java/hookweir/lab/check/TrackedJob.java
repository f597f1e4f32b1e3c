package hookweir.lab.check;

import java.util.ArrayList;
import java.util.List;

/** All that the checker holds of one request while it is live. */
final class TrackedJob {
    /** What an outside view can say of an attempt. */
    enum AttemptState {
        /** At its worker, as far as is known. */
        OUTSTANDING,
        /** Given up by the scheduler; the worker has not said that it never ran. */
        ABANDONED,
        /** Ended, and it ran or may have. */
        MAY_HAVE_RUN,
        /** The worker handed it back unstarted. */
        NEVER_RAN
    }

    /** One attempt. */
    static final class Attempt {
        final Event event;
        AttemptState state = AttemptState.OUTSTANDING;
        boolean started;
        /** When it ended or was given up. */
        long endMs = Long.MAX_VALUE;

        Attempt(Event attempt) {
            this.event = attempt;
        }
    }

    final Event ask;
    /** Its answer is due by then, slack included. */
    final long responseDueMs;
    final List<Attempt> attempts = new ArrayList<>(1);
    final List<String> results = new ArrayList<>(1);
    /** Its last first byte or resend went to this scheduler at this time. */
    String scheduler;
    long sentMs;
    boolean resent;
    /** Cut off on a kept connection by the end of a process that is excused. */
    boolean excused;
    boolean answered;
    boolean clientGone;
    /** Its kept connection ended with no answer on this line, and whether it is sent once more is not known yet; or 0. */
    long cutLine;
    /** Owed to nobody any more: lost with a process that was killed, or reported already. */
    boolean writtenOff;
    long endMs = Long.MAX_VALUE;

    TrackedJob(Event ask, long slackMs) {
        this.ask = ask;
        responseDueMs = ask.atMs() + (long) ask.number() + slackMs;
        scheduler = ask.scheduler();
        sentMs = ask.atMs();
    }

    /** Somebody is still owed an answer. */
    boolean awaitsResponse() {
        return !answered && !clientGone && !writtenOff && cutLine == 0;
    }

    /** Its client has its answer, has left, or was cut off for good. */
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

    /** The first attempt that may have run, or may yet; null if none did. */
    Attempt firstThatMayHaveRun() {
        for (Attempt t : attempts) {
            if (t.state != AttemptState.NEVER_RAN) {
                return t;
            }
        }
        return null;
    }

    /** An attempt that is neither over nor given up; null if there is none. */
    Attempt outstandingAttempt() {
        for (Attempt t : attempts) {
            if (t.state == AttemptState.OUTSTANDING) {
                return t;
            }
        }
        return null;
    }
}
