package hookweir;

import static hookweir.RecordingHost.settings;
import static hookweir.RecordingHost.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import org.junit.jupiter.api.Test;

/** Weighted selection of workers, probes, and how load reports, zones, keys and run times change the weights. */
class PolicySelectionTest {
    private static final int RUNS = 4000;

    /** Share of jobs sent to a worker, over one job at each of many new policies, so that their own jobs don't count. */
    private static double share(int worker, double[] free, java.util.function.Consumer<RecordingHost> prepare) {
        int hits = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
            RecordingHost h = RecordingHost.with(s, seed * 7919L);
            h.replaceWorkers(RecordingHost.workers(free.length));
            h.reportFreeSlots(0, 8);
            for (int i = 0; i < free.length; i++) {
                h.reportFreeSlots(i, free[i]);
            }
            prepare.accept(h);
            h.accept(1, s);
            hits += h.sentTo.size() == 1 && h.sentTo.get(0) == worker ? 1 : 0;
        }
        return hits / (double) RUNS;
    }

    @Test
    void sharesFollowReportedFreeSlots() {
        double[] free = {6, 2, 0, 4};
        assertEquals(0.5, share(0, free, h -> { }), 0.08);
        assertEquals(1 / 6.0, share(1, free, h -> { }), 0.06);
        assertEquals(1 / 3.0, share(3, free, h -> { }), 0.08);
        assertTrue(share(2, free, h -> { }) < 0.03);
    }

    @Test
    void workersWithoutReportsArePickedUniformly() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        int first = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            h.replaceWorkers(worker(1), worker(2));
            h.accept(1, s);
            first += h.sentTo.get(0) == 1 ? 1 : 0;
        }
        assertEquals(0.5, first / (double) RUNS, 0.08);
    }

    @Test
    void ownJobsCountAtOnce() {
        int other = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
            RecordingHost h = RecordingHost.with(s, seed);
            h.replaceWorkers(worker(1), worker(2));
            h.reportFreeSlots(1, 4);
            h.reportFreeSlots(2, 4);
            Contract.Request wide = h.newRequest(1, s);
            wide.slots = 3;
            h.policy.requestAccepted(h.now, wide);
            h.accept(2, s);
            other += h.sentTo.get(1).equals(h.sentTo.get(0)) ? 0 : 1;
        }
        assertEquals(0.8, other / (double) RUNS, 0.06);
    }

    @Test
    void oldJobsDecayWithoutReports() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        RecordingHost h = RecordingHost.with(s, 1);
        h.replaceWorkers(worker(1));
        for (int i = 0; i < 20; i++) {
            h.accept(i, s);
        }
        h.advance(60_000_000);
        int before = h.sentTo.size();
        h.accept(100, s);
        assertEquals(before + 1, h.sentTo.size());
    }

    @Test
    void anOldReportFadesIntoTheMean() {
        double[] free = {8, 1, 1, 1, 1};
        double fresh = share(0, free, h -> { });
        double old = share(0, free, h -> {
            h.advance(6_000_000);
            for (int i = 1; i < free.length; i++) {
                h.reportFreeSlots(i, free[i]);
            }
        });
        assertTrue(fresh > 0.55 && old < fresh - 0.15, fresh + " then " + old);
    }

    @Test
    void aJobWaitsWhileAllWorkersAreFull() {
        Contract.Settings s = settings(Contract.Idempotency.NON_IDEMPOTENT);
        RecordingHost h = RecordingHost.with(s, 3);
        h.replaceWorkers(worker(1), worker(2));
        for (int w = 1; w <= 2; w++) {
            h.reportFreeSlots(w, 4);
            h.reportFreeSlots(w, 0);
        }
        h.accept(1, s);
        assertEquals(0, h.sentTo.size(), "waits while all workers are full");
        h.reportFreeSlots(2, 4);
        h.advance(s.classes.get(0).deadlineUs);
        assertEquals(1, h.sentTo.size() + h.countActions("reject"));
    }

    @Test
    void fullWorkersAreProbedMoreOften() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.probesAllowed = true;
        s.loadReportSource = Contract.LoadReportSource.PROBES;
        RecordingHost h = RecordingHost.with(s, 5);
        h.replaceWorkers(worker(1), worker(2));
        h.reportFreeSlots(1, 8);
        h.reportFreeSlots(2, 8);
        h.reportFreeSlots(2, 0);
        int[] checks = new int[3];
        for (int i = 0; i < 10_000; i++) {
            h.advance(200_000);
            for (int w : h.probes) {
                checks[w]++;
                h.reportFreeSlots(w, w == 1 ? 8 : 0);
            }
            h.probes.clear();
        }
        assertTrue(checks[1] > 0 && checks[2] > 2 * checks[1], checks[1] + " " + checks[2]);
    }

    @Test
    void allSchedulersSendAKeyToTheSameWorker() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        int[] hits = new int[10];
        for (int seed = 0; seed < RUNS; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            Contract.Worker[] fleet = new Contract.Worker[10];
            for (int i = 0; i < 10; i++) {
                fleet[i] = worker(i);
            }
            h.replaceWorkers(fleet);
            Contract.Request r = h.newRequest(1, s);
            r.key = 42;
            h.policy.requestAccepted(h.now, r);
            hits[h.sentTo.get(0)]++;
        }
        assertTrue(java.util.Arrays.stream(hits).max().getAsInt() > RUNS * 0.6);
    }

    @Test
    void theOwnZoneIsPreferredIfCrossingHasAPrice() {
        assertEquals(1 / 11.0, shareToOtherZone(0.08), 0.05);
        assertEquals(0.5, shareToOtherZone(0), 0.08);
    }

    private static double shareToOtherZone(double price) {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.crossZonePrice = price;
        int otherZone = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            Contract.Worker far = worker(2);
            far.zone = 1;
            h.replaceWorkers(worker(1), far);
            h.accept(1, s);
            otherZone += Collections.frequency(h.sentTo, 2);
        }
        return otherZone / (double) RUNS;
    }

    @Test
    void aFullZoneSpillsOver() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.crossZonePrice = 0.1;
        int otherZone = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            Contract.Worker far = worker(2);
            far.zone = 1;
            h.replaceWorkers(worker(1), far);
            for (int i = 1; i <= 2; i++) {
                h.reportFreeSlots(2, 8);
                h.reportFreeSlots(1, 1);
                h.sentTo.clear();
                h.accept(i, s);
            }
            otherZone += Collections.frequency(h.sentTo, 2);
        }
        assertTrue(otherZone > RUNS * 0.65, "sent to the other zone: " + otherZone);
    }

    @Test
    void slowKindsArePickedLessByMeasuredRunTimes() {
        int slow = 0;
        for (int seed = 0; seed < RUNS; seed++) {
            Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
            RecordingHost h = RecordingHost.with(s, seed);
            Contract.Worker slowKind = worker(2);
            slowKind.kind = 1;
            h.replaceWorkers(worker(1), slowKind);
            for (int i = 0; i < 60; i++) {
                Contract.Request r = h.newRequest(i, s);
                r.costHintUs = 100_000;
                h.policy.requestAccepted(h.now, r);
                int w = h.sentTo.get(h.sentTo.size() - 1);
                h.advance(400_000);
                h.policy.attemptEnded(h.now, i, 0, w, Contract.Outcome.OK, w == 1 ? 50_000 : 400_000, true, null);
                h.advance(5_000_000);
            }
            h.accept(100, s);
            slow += h.sentTo.get(h.sentTo.size() - 1) == 2 ? 1 : 0;
        }
        assertTrue(slow < RUNS * 0.35, "share " + slow);
    }

    @Test
    void noisyAndInvalidReportsAreHarmless() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        RecordingHost h = RecordingHost.with(s, 1);
        h.replaceWorkers(worker(1), worker(2));
        h.reportFreeSlots(1, Double.NaN);
        h.reportFreeSlots(2, -3);
        Contract.Report r = RecordingHost.reportOf(Double.NaN);
        r.utilization = 1.7;
        h.policy.probeEnded(h.now, 1, Contract.Outcome.OK, 10, r);
        h.accept(1, s);
        h.advance(s.classes.get(0).deadlineUs);
        assertTrue(h.countActions("send") + h.countActions("reject") > 0);
    }

    @Test
    void candidatesAreProbedBeforeSelection() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.probesAllowed = true;
        s.loadReportSource = Contract.LoadReportSource.PROBES;
        s.probePrice = 0.002;
        RecordingHost h = RecordingHost.with(s, 9);
        h.replaceWorkers(worker(1), worker(2), worker(3), worker(4));
        h.accept(1, s);
        assertEquals(3, h.probes.size());
        int free = h.probes.get(1);
        h.reportFreeSlots(free, 8);
        for (int w : h.probes) {
            if (w != free) {
                h.reportFreeSlots(w, 0);
            }
        }
        assertEquals(java.util.List.of(free), h.sentTo);
    }

    /** Probes sent for a job after reports over 6 s, 0.5 s apart, with these values; outstanding requests grow by a step each time. */
    private static int probesAfterReports(double utilization, double outstanding, double step) {
        Contract.Settings s = RecordingHost.probingSettings(Contract.Idempotency.IDEMPOTENT);
        RecordingHost h = RecordingHost.with(s, 5);
        h.replaceWorkers(worker(1), worker(2));
        for (int i = 0; i < 12; i++) {
            Contract.Report r = RecordingHost.reportOf(2);
            r.utilization = utilization;
            r.outstanding = outstanding + i * step;
            h.policy.probeEnded(h.now, 1, Contract.Outcome.OK, 500, r);
            h.advance(500_000);
        }
        int before = h.probes.size();
        h.accept(1, s);
        return h.probes.size() - before;
    }

    /** If reports had no utilization, those of a second ago counted as new, and all schedulers followed the same old values. */
    @Test
    void reportAgeIsEstimatedFromAnyReportedValue() {
        assertEquals(0, probesAfterReports(Double.NaN, 1.37, 0), "the same value for 6 s: too old to tell who is full");
        assertTrue(probesAfterReports(Double.NaN, 1.37, 0.01) > 0, "a new value each time");
        assertTrue(probesAfterReports(Double.NaN, 1, 0) > 0, "whole numbers may repeat");
        assertEquals(0, probesAfterReports(0.37, 1, 0), "the same utilization");
        assertTrue(probesAfterReports(1.02, 1, 0) > 0, "a full worker reports the same each time");
    }

    @Test
    void anUnansweredProbeBlocksNothing() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.probesAllowed = true;
        s.loadReportSource = Contract.LoadReportSource.PROBES;
        RecordingHost h = RecordingHost.with(s, 9);
        h.replaceWorkers(worker(1), worker(2));
        h.accept(1, s);
        h.advance(100_000);
        assertEquals(1, h.sentTo.size());
    }

    /** A worker that failed its jobs at once always seemed to have free slots, and got a full share of the jobs. */
    @Test
    void fastErrorsAreNotFreeCapacity() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        int sent = 0;
        for (int seed = 0; seed < 50; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            h.replaceWorkers(worker(1), worker(2), worker(3));
            for (int id = 0; id < 30; id++) {
                for (int w = 1; w <= 3; w++) {
                    h.reportFreeSlots(w, 40);
                }
                h.accept(id, s);
                int at = h.sentTo.get(id);
                h.endAttempt(id, 0, at, at == 1 ? Contract.Outcome.ERROR : Contract.Outcome.OK, true);
                h.advance(100_000);
                sent += at == 1 && id >= 15 ? 1 : 0;
            }
        }
        assertTrue(sent < 750 / 4, "a uniform share would be a third of 750: " + sent);
        assertTrue(sent > 15, "it is tried again: " + sent);
    }
}
