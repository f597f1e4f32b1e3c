package hookweir;

import static hookweir.RecordingHost.probingSettings;
import static hookweir.RecordingHost.settings;
import static hookweir.RecordingHost.worker;
import static hookweir.RecordingHost.workers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract.Idempotency;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The total effect of many independent schedulers, and what a scheduler with few requests can know early. */
final class ManySchedulersTest {
    private static final int SCHEDULERS = 14;
    private static final int WORKERS = 60;
    private static final int SEEDS = 400;

    private static Contract.Worker workerOfSize(int id, int kind, double size) {
        Contract.Worker w = worker(id);
        w.kind = kind;
        w.size = size;
        return w;
    }

    @Test
    void notEverySchedulerProbesEveryWorkerAtStart() {
        int probes = 0;
        for (int d = 0; d < SCHEDULERS; d++) {
            RecordingHost h = RecordingHost.with(probingSettings(Idempotency.IDEMPOTENT), 100 + d);
            h.replaceWorkers(workers(WORKERS));
            h.advance(5_000_000);
            probes += h.probes.size();
        }
        assertTrue(probes < SCHEDULERS * WORKERS / 4, probes + " probes of " + WORKERS + " idle workers in 5 s");
    }

    @Test
    void aLongJobGoesToTheFastKindBeforeAnyResult() {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        s.sizeMetric = Contract.SizeMetric.NOMINAL;
        s.classes.get(0).softDeadlineStretch = 1.5;
        int fast = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            h.replaceWorkers(workerOfSize(1, 0, 4), workerOfSize(2, 1, 2));
            h.reportFreeSlots(1, 4);
            h.reportFreeSlots(2, 4);
            Contract.Request r = h.newRequest(1, s);
            r.costHintUs = 3_000_000; // twice as long on the slow kind: 6 s, with a soft deadline of 5.5 s
            h.policy.requestAccepted(h.now, r);
            fast += h.sentTo.get(0) == 1 ? 1 : 0;
        }
        assertTrue(fast > 0.9 * SEEDS, "sent to the fast kind: " + fast + " of " + SEEDS);
    }

    /** Share of jobs sent to a cold worker without a report, beside a warm one that is full. */
    private static double shareToColdWorker(long hintUs, long afterUs) {
        return shareToColdWorker(hintUs, afterUs, 1);
    }

    /** The same after a number of jobs that are too long for the cold worker. */
    private static double shareToColdWorker(long hintUs, long afterUs, int longJobs) {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        s.coldCapacityShare = 0.25;
        int cold = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            Contract.Worker started = worker(2);
            started.startedAtUs = h.now;
            h.replaceWorkers(worker(1), started);
            h.advance(afterUs);
            h.reportFreeSlots(1, 4);
            h.reportFreeSlots(1, 0);
            for (int job = 1; job <= longJobs; job++) {
                Contract.Request before = h.newRequest(job, s);
                before.costHintUs = 800_000; // too long for the cold worker: it waits, and the fleet is known to be full
                h.policy.requestAccepted(h.now, before);
            }
            h.sentTo.clear();
            Contract.Request r = h.newRequest(1 + longJobs, s);
            r.costHintUs = hintUs;
            h.policy.requestAccepted(h.now, r);
            cold += !h.sentTo.isEmpty() && h.sentTo.get(0) == 2 ? 1 : 0;
        }
        return cold / (double) SEEDS;
    }

    @Test
    void aColdWorkerWithoutReportsGetsItsShareWhileOthersAreFull() {
        // A third more than its capacity, where twice as much would make it collapse; no long jobs are sent there.
        assertEquals(0.25, shareToColdWorker(100_000, 0), 0.06); // 0.25 * 1.34 of 1.335
        assertEquals(0.456, shareToColdWorker(100_000, 5_000_000), 0.07); // 0.625 * 1.34 of 1.84
    }

    /** If most of the work is too long for a cold worker, it would idle while short jobs are rejected, so it gets more of these. */
    @Test
    void aColdWorkerGetsMoreShortJobsIfMostAreTooLong() {
        assertEquals(0.53, shareToColdWorker(100_000, 0, 80), 0.08); // 0.25 * 4.5 of 2.125
    }

    @Test
    void aColdWorkerGetsNoJobThatItWouldFinishLate() {
        assertEquals(0, shareToColdWorker(300_000, 0)); // takes four times as long: 1.2 s, with a soft deadline of 1 s
        assertTrue(shareToColdWorker(300_000, 5_000_000) > 0.2, "warm enough for it by then");
    }

    /** A listed start one hour ahead counts as now: the worker is warm after the usual warm-up time. */
    @Test
    void aStartInTheFutureCountsAsNow() {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        RecordingHost h = RecordingHost.with(s, 1);
        Contract.Worker ahead = worker(1);
        ahead.startedAtUs = h.now + 3_600_000_000L;
        h.replaceWorkers(ahead);
        h.advance(10_000_000);
        h.reportFreeSlots(1, 4);
        for (int job = 1; job <= 2; job++) {
            h.replaceWorkers(ahead); // the same list again is not another restart
            Contract.Request r = h.newRequest(job, s);
            r.costHintUs = 300_000; // a cold one would need 3 s for it
            h.policy.requestAccepted(h.now, r);
        }
        assertEquals(List.of(1, 1), h.sentTo);
    }

    /**
     * At the fleet's full capacity, with a fifth of the jobs long, the work that all schedulers together send to a cold worker stays
     * below the multiple of its capacity at which it collapses.
     */
    @Test
    void allSchedulersTogetherStayBelowAColdWorkersCollapseLoad() {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        s.coldCapacityShare = 0.2;
        s.collapseLoadFactor = 3;
        s.warmUpUs = 1_000_000_000_000L;
        int warm = 12;
        int slots = 4;
        Random jobs = new Random(5);
        List<RecordingHost> hosts = new ArrayList<>();
        for (int d = 0; d < SCHEDULERS; d++) {
            RecordingHost h = RecordingHost.with(s, d);
            Contract.Worker[] fleet = workers(warm + 1);
            fleet[0].startedAtUs = h.now;
            h.replaceWorkers(fleet);
            for (int w = 1; w <= warm; w++) {
                h.reportFreeSlots(w, slots);
            }
            hosts.add(h);
        }
        double seconds = 20;
        double toCold = 0;
        long start = hosts.get(0).now;
        int id = 0;
        for (double t = 0; t < seconds; ) {
            double work = jobs.nextInt(5) == 0 ? 2.0 : 0.1 + 0.3 * jobs.nextDouble();
            t += work / (warm * slots); // keeps all slots busy on average
            RecordingHost h = hosts.get(jobs.nextInt(SCHEDULERS));
            h.advance((long) (t * 1e6) - (h.now - start));
            Contract.Request r = h.newRequest(++id, s);
            r.costHintUs = (long) (work * 1e6);
            int before = h.sentTo.size();
            h.policy.requestAccepted(h.now, r);
            toCold += h.sentTo.size() > before && h.sentTo.get(before) == 0 ? work : 0;
        }
        double canDo = s.coldCapacityShare * slots * seconds;
        assertTrue(toCold > 0.1 * canDo && toCold < s.collapseLoadFactor * canDo, toCold + " s of work sent, with a capacity of " + canDo);
    }
}
