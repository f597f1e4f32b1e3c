package hookweir.lab.check;

import java.util.ArrayList;
import java.util.List;

/**
 * Tracks the processes of schedulers and decides which jobs may be lost with a process that ended. A process is called
 * NAME/NUMBER, or just NAME.
 */
final class SchedulerProcesses {
    private static final class SchedulerProcess {
        final String name;
        final long startMs;
        long termMs = Long.MAX_VALUE;
        long endMs = Long.MAX_VALUE;
        String how = "";

        SchedulerProcess(String name, long startMs) {
            this.name = name;
            this.startMs = startMs;
        }
    }

    private final RuleLimits limits;
    private final String source;
    private final List<SchedulerProcess> processes = new ArrayList<>();

    SchedulerProcesses(RuleLimits limits, String source) {
        this.limits = limits;
        this.source = source;
    }

    /** Returns the name of a scheduler without its process number. */
    static String schedulerName(String scheduler) {
        int slash = scheduler.indexOf('/');
        return slash < 0 ? scheduler : scheduler.substring(0, slash);
    }

    /** Records a change of a process; true if the process exited without having been asked to. */
    boolean recordChange(Event event) throws InvalidHistoryException {
        SchedulerProcess process = null;
        for (SchedulerProcess candidate : processes) {
            if (candidate.name.equals(event.scheduler()) && candidate.endMs == Long.MAX_VALUE) {
                process = candidate;
            }
        }
        if (event.how().equals("start")) {
            if (process != null) {
                throw new InvalidHistoryException(source, event.line(), event.scheduler() + " starts while it runs");
            }
            processes.add(new SchedulerProcess(event.scheduler(), event.atMs()));
            return false;
        }
        if (process == null) {
            throw new InvalidHistoryException(source, event.line(), event.scheduler() + " does not run: no process of this name has started");
        }
        if (event.how().equals("term")) {
            process.termMs = Math.min(process.termMs, event.atMs());
            return false;
        }
        process.endMs = event.atMs();
        process.how = event.how();
        return event.how().equals("exit") && process.termMs == Long.MAX_VALUE;
    }

    /**
     * Whether the job may be lost because a process that held it has ended. That is so if the process crashed (which is
     * a violation of its own), or was killed without SIGTERM, or sooner after SIGTERM than the deployment allows, or if the
     * request was sent no later than {@link RuleLimits#termGraceMs()} after SIGTERM.
     */
    boolean excusesLoss(TrackedJob job, long nowMs) {
        for (SchedulerProcess process : processes) {
            boolean heldJob = process.name.equals(job.scheduler) || schedulerName(process.name).equals(job.scheduler);
            if (!heldJob || process.endMs > nowMs || process.startMs > job.sentMs || process.endMs + limits.slackMs() < job.sentMs) {
                continue;
            }
            if (process.how.equals("kill") && (process.termMs == Long.MAX_VALUE || process.endMs - process.termMs < limits.killDelayMs()
                    || job.sentMs <= process.termMs + limits.termGraceMs() + limits.slackMs())) {
                return true;
            }
            if (process.how.equals("exit") && process.termMs == Long.MAX_VALUE) {
                return true; // the crash itself is reported as the violation
            }
        }
        return false;
    }
}
