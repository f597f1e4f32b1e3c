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

/** What each of many dispatchers does for itself, summed over all; and what one that sees few requests knows at once. */
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
        int checks = 0;
        for (int d = 0; d < SCHEDULERS; d++) {
            RecordingHost h = RecordingHost.with(probingSettings(Idempotency.IDEMPOTENT), 100 + d);
            h.replaceWorkers(workers(WORKERS));
            h.advance(5_000_000);
            checks += h.probes.size();
        }
        assertTrue(checks < SCHEDULERS * WORKERS / 4, checks + " checks of " + WORKERS + " idle workers in 5 s");
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
            r.costHintUs = 3_000_000; // twice as long on the slow kind: 6 s, and 5.5 s are wanted
            h.policy.requestAccepted(h.now, r);
            fast += h.sentTo.get(0) == 1 ? 1 : 0;
        }
        assertTrue(fast > 0.9 * SEEDS, "sent to the fast kind: " + fast + " of " + SEEDS);
    }

    /** Shares of jobs that go to a cold worker nobody has heard, beside a warm one that is full. */
    private static double shareToColdWorker(long hintUs, long afterUs) {
        return shareToColdWorker(hintUs, afterUs, 1);
    }

    /** After so many jobs that are too long for it. */
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
                before.costHintUs = 800_000; // too long for the cold one: held, and the fleet known to be full
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
        // A third more than its capacity, where twice as much would push it over; no long jobs go there.
        assertEquals(0.25, shareToColdWorker(100_000, 0), 0.06); // 0.25 * 1.34 of 1.335
        assertEquals(0.456, shareToColdWorker(100_000, 5_000_000), 0.07); // 0.625 * 1.34 of 1.84
    }

    /** Else it idles while short jobs are turned away: most of the work is not for it, so it takes more of what is. */
    @Test
    void aColdWorkerGetsMoreShortJobsIfMostAreTooLong() {
        assertEquals(0.53, shareToColdWorker(100_000, 0, 80), 0.08); // 0.25 * 4.5 of 2.125
    }

    @Test
    void aColdWorkerGetsNoJobThatItWouldFinishLate() {
        assertEquals(0, shareToColdWorker(300_000, 0)); // four times as long: 1.2 s of 1 s
        assertTrue(shareToColdWorker(300_000, 5_000_000) > 0.2, "warm enough for it by then");
    }

    /** A list says that a worker starts in an hour: cold from now on, it is warm in the time that the settings give. */
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
            h.replaceWorkers(ahead); // the same list again is no new start
            Contract.Request r = h.newRequest(job, s);
            r.costHintUs = 300_000; // a cold one would need 3 s for it
            h.policy.requestAccepted(h.now, r);
        }
        assertEquals(List.of(1, 1), h.sentTo);
    }

    /**
     * Rule 4 over a second and all dispatchers: jobs as they come, a fifth of them long, from a fleet's worth of clients at the
     * fleet's capacity; what is sent to the cold worker stays under the multiple of what it can do.
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
            t += work / (warm * slots); // all slots busy in the mean
            RecordingHost h = hosts.get(jobs.nextInt(SCHEDULERS));
            h.advance((long) (t * 1e6) - (h.now - start));
            Contract.Request r = h.newRequest(++id, s);
            r.costHintUs = (long) (work * 1e6);
            int before = h.sentTo.size();
            h.policy.requestAccepted(h.now, r);
            toCold += h.sentTo.size() > before && h.sentTo.get(before) == 0 ? work : 0;
        }
        double canDo = s.coldCapacityShare * slots * seconds;
        assertTrue(toCold > 0.1 * canDo && toCold < s.collapseLoadFactor * canDo, toCold + " s of work to one that can do " + canDo);
    }
}
