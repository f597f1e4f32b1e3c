package hookweir.lab.check;

import java.util.ArrayList;
import java.util.List;

/** The lives of schedulers' processes: what each of them owed when it ended. A process is NAME/NUMBER or just NAME. */
final class SchedulerProcesses {
    private static final class SchedulerProcess {
        final String process;
        final long startMs;
        long termMs = Long.MAX_VALUE;
        long endMs = Long.MAX_VALUE;
        String how = "";

        SchedulerProcess(String process, long startMs) {
            this.process = process;
            this.startMs = startMs;
        }
    }

    private final RuleLimits limits;
    private final String source;
    private final List<SchedulerProcess> processes = new ArrayList<>();

    SchedulerProcesses(RuleLimits terms, String source) {
        this.limits = terms;
        this.source = source;
    }

    /** A scheduler's name, without its process. */
    static String schedulerName(String scheduler) {
        int slash = scheduler.indexOf('/');
        return slash < 0 ? scheduler : scheduler.substring(0, slash);
    }

    /** Takes a change; true where the process ended by itself though nobody had asked it to. */
    boolean recordChange(Event e) throws InvalidHistoryException {
        SchedulerProcess l = null;
        for (SchedulerProcess one : processes) {
            if (one.process.equals(e.scheduler()) && one.endMs == Long.MAX_VALUE) {
                l = one;
            }
        }
        if (e.how().equals("start")) {
            if (l != null) {
                throw new InvalidHistoryException(source, e.line(), e.scheduler() + " starts while it runs");
            }
            processes.add(new SchedulerProcess(e.scheduler(), e.atMs()));
            return false;
        }
        if (l == null) {
            throw new InvalidHistoryException(source, e.line(), e.scheduler() + " does not run: no life of it has started");
        }
        if (e.how().equals("term")) {
            l.termMs = Math.min(l.termMs, e.atMs());
            return false;
        }
        l.endMs = e.atMs();
        l.how = e.how();
        return e.how().equals("exit") && l.termMs == Long.MAX_VALUE;
    }

    /**
     * What the scheduler held of this job may be lost with a process of it that ended: one that was killed outright, or
     * at a planned end sooner than the deployment allows, or after the job had come too late for it.
     */
    boolean excusesLoss(TrackedJob j, long nowMs) {
        for (SchedulerProcess l : processes) {
            boolean its = l.process.equals(j.scheduler) || schedulerName(l.process).equals(j.scheduler);
            if (!its || l.endMs > nowMs || l.startMs > j.sentMs || l.endMs + limits.slackMs() < j.sentMs) {
                continue;
            }
            if (l.how.equals("kill") && (l.termMs == Long.MAX_VALUE || l.endMs - l.termMs < limits.killDelayMs()
                    || j.sentMs <= l.termMs + limits.termGraceMs() + limits.slackMs())) {
                return true;
            }
            if (l.how.equals("exit") && l.termMs == Long.MAX_VALUE) {
                return true; // the crash itself is the breach
            }
        }
        return false;
    }
}
