package hookweir.lab.check;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Sums the work that all schedulers sent to each cold worker within the window in which it may collapse under overload. */
final class ColdWorkerLoad {
    /** An overload is a violation only if at least this share of the work came from schedulers that knew of the worker's start. */
    private static final double MIN_INFORMED_SHARE = 2.0 / 3;

    private record SentWork(long atMs, double cost, boolean senderInformed) {
    }

    private static final class Worker {
        /** Current capacity in jobs per second; NaN if the worker is warm or its capacity is unknown. */
        double capacityPerS = Double.NaN;
        final ArrayDeque<SentWork> window = new ArrayDeque<>();
        /** Schedulers notified of its start, "" for all; null if the history has no such event for this worker. */
        Set<String> informedSchedulers;
    }

    private final RuleLimits limits;
    private final Map<String, Worker> workers = new HashMap<>();

    ColdWorkerLoad(RuleLimits limits) {
        this.limits = limits;
    }

    private Worker worker(String name) {
        return workers.computeIfAbsent(name, n -> new Worker());
    }

    void recordCapacity(Event event) {
        worker(event.worker()).capacityPerS = event.number();
    }

    void recordWarm(Event event) {
        worker(event.worker()).capacityPerS = Double.NaN;
    }

    void recordServing(Event event) {
        Worker worker = worker(event.worker());
        if (worker.informedSchedulers == null) {
            worker.informedSchedulers = new HashSet<>(4);
        }
        worker.informedSchedulers.add(SchedulerProcesses.schedulerName(event.scheduler()));
    }

    /** Records the attempt; returns the work within the window if the worker is overloaded by it, else 0. */
    double recordAttempt(Event attempt) {
        Worker worker = worker(attempt.worker());
        boolean senderInformed = worker.informedSchedulers == null || worker.informedSchedulers.contains("")
            || worker.informedSchedulers.contains(SchedulerProcesses.schedulerName(attempt.scheduler()));
        worker.window.addLast(new SentWork(attempt.atMs(), attempt.number(), senderInformed));
        while (worker.window.peekFirst().atMs <= attempt.atMs() - limits.coldWindowMs()) {
            worker.window.pollFirst();
        }
        if (Double.isNaN(worker.capacityPerS)) {
            return 0;
        }
        double sum = 0;
        double informed = 0;
        for (SentWork sent : worker.window) {
            sum += sent.cost;
            informed += sent.senderInformed ? sent.cost : 0;
        }
        double budget = Math.ceil(limits.coldFactor() * worker.capacityPerS * limits.coldWindowMs() / 1000);
        return sum > budget && informed >= MIN_INFORMED_SHARE * sum ? sum : 0;
    }
}
