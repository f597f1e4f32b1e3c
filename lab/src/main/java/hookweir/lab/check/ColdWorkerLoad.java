package hookweir.lab.check;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Work sent to each cold worker by all schedulers together, within the window in which it may fall over. */
final class ColdWorkerLoad {
    /** It counts as pushed over by schedulers only where so much of the work came from those who knew of its start. */
    private static final double MIN_INFORMED_SHARE = 2.0 / 3;

    private record SentWork(long atMs, double cost, boolean senderInformed) {
    }

    private static final class Worker {
        /** What it can do now, jobs a second; NaN where it is warm or nothing was told. */
        double capacityPerS = Double.NaN;
        final ArrayDeque<SentWork> window = new ArrayDeque<>();
        /** Schedulers that were told of its start; null where the history never tells of that, and "" for all. */
        Set<String> informedSchedulers;
    }

    private final RuleLimits limits;
    private final Map<String, Worker> workers = new HashMap<>();

    ColdWorkerLoad(RuleLimits terms) {
        this.limits = terms;
    }

    private Worker worker(String name) {
        return workers.computeIfAbsent(name, n -> new Worker());
    }

    void recordCapacity(Event e) {
        worker(e.worker()).capacityPerS = e.number();
    }

    void recordWarm(Event e) {
        worker(e.worker()).capacityPerS = Double.NaN;
    }

    void recordServing(Event e) {
        Worker w = worker(e.worker());
        if (w.informedSchedulers == null) {
            w.informedSchedulers = new HashSet<>(4);
        }
        w.informedSchedulers.add(SchedulerProcesses.schedulerName(e.scheduler()));
    }

    /** Takes the attempt; the work of the window where that is more than the worker can stand, else 0. */
    double recordAttempt(Event attempt) {
        Worker w = worker(attempt.worker());
        boolean knows = w.informedSchedulers == null || w.informedSchedulers.contains("") || w.informedSchedulers.contains(SchedulerProcesses.schedulerName(attempt.scheduler()));
        w.window.addLast(new SentWork(attempt.atMs(), attempt.number(), knows));
        while (w.window.peekFirst().atMs <= attempt.atMs() - limits.coldWindowMs()) {
            w.window.pollFirst();
        }
        if (Double.isNaN(w.capacityPerS)) {
            return 0;
        }
        double sum = 0;
        double informed = 0;
        for (SentWork s : w.window) {
            sum += s.cost;
            informed += s.senderInformed ? s.cost : 0;
        }
        double budget = Math.ceil(limits.coldFactor() * w.capacityPerS * limits.coldWindowMs() / 1000);
        return sum > budget && informed >= MIN_INFORMED_SHARE * sum ? sum : 0;
    }
}
