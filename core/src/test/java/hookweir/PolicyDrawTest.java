package hookweir;

import static hookweir.RecordingHost.settings;
import static hookweir.RecordingHost.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import org.junit.jupiter.api.Test;

/** The ordinary path: shares of the draw, checks, and the departures that weigh room. */
class PolicyDrawTest {
    private static final int DRAWS = 4000;

    /** Draws once from each of many fresh dispatchers, so that own sends don't count; share of sends to a worker. */
    private static double share(int worker, double[] free, java.util.function.Consumer<RecordingHost> prepare) {
        int hits = 0;
        for (int seed = 0; seed < DRAWS; seed++) {
            Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
            RecordingHost h = RecordingHost.with(s, seed * 7919L);
            h.fleet(RecordingHost.workers(free.length));
            h.report(0, 8);
            for (int i = 0; i < free.length; i++) {
                h.report(i, free[i]);
            }
            prepare.accept(h);
            h.take(1, s);
            hits += h.sentTo.size() == 1 && h.sentTo.get(0) == worker ? 1 : 0;
        }
        return hits / (double) DRAWS;
    }

    @Test
    void sharesFollowTheReportedRoom() {
        double[] free = {6, 2, 0, 4};
        assertEquals(0.5, share(0, free, h -> { }), 0.08);
        assertEquals(1 / 6.0, share(1, free, h -> { }), 0.06);
        assertEquals(1 / 3.0, share(3, free, h -> { }), 0.08);
        assertTrue(share(2, free, h -> { }) < 0.03);
    }

    @Test
    void unheardWorkersDrawEvenly() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        int first = 0;
        for (int seed = 0; seed < DRAWS; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            h.fleet(worker(1), worker(2));
            h.take(1, s);
            first += h.sentTo.get(0) == 1 ? 1 : 0;
        }
        assertEquals(0.5, first / (double) DRAWS, 0.08);
    }

    @Test
    void ownSendsCountAsFillAtOnce() {
        int other = 0;
        for (int seed = 0; seed < DRAWS; seed++) {
            Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
            RecordingHost h = RecordingHost.with(s, seed);
            h.fleet(worker(1), worker(2));
            h.report(1, 4);
            h.report(2, 4);
            Contract.Request wide = h.request(1, s);
            wide.slots = 3;
            h.policy.requestAccepted(h.now, wide);
            h.take(2, s);
            other += h.sentTo.get(1).equals(h.sentTo.get(0)) ? 0 : 1;
        }
        assertEquals(0.8, other / (double) DRAWS, 0.06);
    }

    @Test
    void withNoFiguresAtAllOldSendsAreForgotten() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        RecordingHost h = RecordingHost.with(s, 1);
        h.fleet(worker(1));
        for (int i = 0; i < 20; i++) {
            h.take(i, s);
        }
        h.pass(60_000_000);
        int before = h.sentTo.size();
        h.take(100, s);
        assertEquals(before + 1, h.sentTo.size());
    }

    @Test
    void anOldFigureFadesIntoTheMean() {
        double[] free = {8, 1, 1, 1, 1};
        double fresh = share(0, free, h -> { });
        double old = share(0, free, h -> {
            h.pass(6_000_000);
            for (int i = 1; i < free.length; i++) {
                h.report(i, free[i]);
            }
        });
        assertTrue(fresh > 0.55 && old < fresh - 0.15, fresh + " then " + old);
    }

    @Test
    void allFullAndTimeLeftIsHeldAndThenAnswered() {
        Contract.Settings s = settings(Contract.Idempotency.NON_IDEMPOTENT);
        RecordingHost h = RecordingHost.with(s, 3);
        h.fleet(worker(1), worker(2));
        for (int w = 1; w <= 2; w++) {
            h.report(w, 4);
            h.report(w, 0);
        }
        h.take(1, s);
        assertEquals(0, h.sentTo.size(), "held while all read full");
        h.report(2, 4);
        h.pass(s.classes.get(0).deadlineUs);
        assertEquals(1, h.sentTo.size() + h.count("refuse"));
    }

    @Test
    void fullWorkersAreCheckedSooner() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.probesAllowed = true;
        s.loadReportSource = Contract.LoadReportSource.PROBES;
        RecordingHost h = RecordingHost.with(s, 5);
        h.fleet(worker(1), worker(2));
        h.report(1, 8);
        h.report(2, 8);
        h.report(2, 0);
        int[] checks = new int[3];
        for (int i = 0; i < 10_000; i++) {
            h.pass(200_000);
            for (int w : h.probes) {
                checks[w]++;
                h.report(w, w == 1 ? 8 : 0);
            }
            h.probes.clear();
        }
        assertTrue(checks[1] > 0 && checks[2] > 2 * checks[1], checks[1] + " " + checks[2]);
    }

    @Test
    void aKeyKeepsToItsFirstWorkerFromEveryDispatcher() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        int[] hits = new int[10];
        for (int seed = 0; seed < DRAWS; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            Contract.Worker[] fleet = new Contract.Worker[10];
            for (int i = 0; i < 10; i++) {
                fleet[i] = worker(i);
            }
            h.fleet(fleet);
            Contract.Request r = h.request(1, s);
            r.key = 42;
            h.policy.requestAccepted(h.now, r);
            hits[h.sentTo.get(0)]++;
        }
        assertTrue(java.util.Arrays.stream(hits).max().getAsInt() > DRAWS * 0.6);
    }

    @Test
    void homeCountsMoreWhereCrossingCosts() {
        assertEquals(1 / 11.0, abroad(0.08), 0.05);
        assertEquals(0.5, abroad(0), 0.08);
    }

    private static double abroad(double price) {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.crossZonePrice = price;
        int abroad = 0;
        for (int seed = 0; seed < DRAWS; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            Contract.Worker far = worker(2);
            far.zone = 1;
            h.fleet(worker(1), far);
            h.take(1, s);
            abroad += Collections.frequency(h.sentTo, 2);
        }
        return abroad / (double) DRAWS;
    }

    @Test
    void aHomeFullerThanTheFleetSpills() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.crossZonePrice = 0.1;
        int abroad = 0;
        for (int seed = 0; seed < DRAWS; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            Contract.Worker far = worker(2);
            far.zone = 1;
            h.fleet(worker(1), far);
            for (int i = 1; i <= 2; i++) {
                h.report(2, 8);
                h.report(1, 1);
                h.sentTo.clear();
                h.take(i, s);
            }
            abroad += Collections.frequency(h.sentTo, 2);
        }
        assertTrue(abroad > DRAWS * 0.65, "abroad " + abroad);
    }

    @Test
    void slowKindsDrawLessAsOwnServedTimesTell() {
        int slow = 0;
        for (int seed = 0; seed < DRAWS; seed++) {
            Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
            RecordingHost h = RecordingHost.with(s, seed);
            Contract.Worker slowKind = worker(2);
            slowKind.kind = 1;
            h.fleet(worker(1), slowKind);
            for (int i = 0; i < 60; i++) {
                Contract.Request r = h.request(i, s);
                r.costHintUs = 100_000;
                h.policy.requestAccepted(h.now, r);
                int w = h.sentTo.get(h.sentTo.size() - 1);
                h.pass(400_000);
                h.policy.attemptEnded(h.now, i, 0, w, Contract.Outcome.OK, w == 1 ? 50_000 : 400_000, true, null);
                h.pass(5_000_000);
            }
            h.take(100, s);
            slow += h.sentTo.get(h.sentTo.size() - 1) == 2 ? 1 : 0;
        }
        assertTrue(slow < DRAWS * 0.35, "share " + slow);
    }

    @Test
    void noisyAndBrokenFiguresDoNoHarm() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        RecordingHost h = RecordingHost.with(s, 1);
        h.fleet(worker(1), worker(2));
        h.report(1, Double.NaN);
        h.report(2, -3);
        Contract.Report r = RecordingHost.free(Double.NaN);
        r.utilization = 1.7;
        h.policy.probeEnded(h.now, 1, Contract.Outcome.OK, 10, r);
        h.take(1, s);
        h.pass(s.classes.get(0).deadlineUs);
        assertTrue(h.count("send") + h.count("refuse") > 0);
    }

    @Test
    void candidatesAreLookedAtBeforeTheDraw() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.probesAllowed = true;
        s.loadReportSource = Contract.LoadReportSource.PROBES;
        s.probePrice = 0.002;
        RecordingHost h = RecordingHost.with(s, 9);
        h.fleet(worker(1), worker(2), worker(3), worker(4));
        h.take(1, s);
        assertEquals(3, h.probes.size());
        int roomy = h.probes.get(1);
        h.report(roomy, 8);
        for (int w : h.probes) {
            if (w != roomy) {
                h.report(w, 0);
            }
        }
        assertEquals(java.util.List.of(roomy), h.sentTo);
    }

    /** Probes made for the next job after reports of 6 s, 0.5 s apart, each of which tells these figures and so much more in hand. */
    private static int looksAfter(double utilization, double inHand, double step) {
        Contract.Settings s = RecordingHost.probing(Contract.Idempotency.IDEMPOTENT);
        RecordingHost h = RecordingHost.with(s, 5);
        h.fleet(worker(1), worker(2));
        for (int i = 0; i < 12; i++) {
            Contract.Report r = RecordingHost.free(2);
            r.utilization = utilization;
            r.outstanding = inHand + i * step;
            h.policy.probeEnded(h.now, 1, Contract.Outcome.OK, 500, r);
            h.pass(500_000);
        }
        int before = h.probes.size();
        h.take(1, s);
        return h.probes.size() - before;
    }

    /** Where reports had no utilization those of a second ago were taken for new ones, and every dispatcher ran after them. */
    @Test
    void theAgeOfReportsIsLearntByWhateverFiguresTheyHave() {
        assertEquals(0, looksAfter(Double.NaN, 1.37, 0), "the same measuring for 6 s: too old to tell who is full");
        assertTrue(looksAfter(Double.NaN, 1.37, 0.01) > 0, "measured anew each time");
        assertTrue(looksAfter(Double.NaN, 1, 0) > 0, "whole figures may well be alike");
        assertEquals(0, looksAfter(0.37, 1, 0), "the same utilization");
        assertTrue(looksAfter(1.02, 1, 0) > 0, "a full worker reads alike each time");
    }

    @Test
    void aLookThatIsNotAnsweredHoldsNobodyUp() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        s.probesAllowed = true;
        s.loadReportSource = Contract.LoadReportSource.PROBES;
        RecordingHost h = RecordingHost.with(s, 9);
        h.fleet(worker(1), worker(2));
        h.take(1, s);
        h.pass(100_000);
        assertEquals(1, h.sentTo.size());
    }

    /** A worker that fails its jobs at once always read roomy, and drew a full share of them. */
    @Test
    void fastErrorsAreNoFreeRoom() {
        Contract.Settings s = settings(Contract.Idempotency.IDEMPOTENT);
        int drawn = 0;
        for (int seed = 0; seed < 50; seed++) {
            RecordingHost h = RecordingHost.with(s, seed);
            h.fleet(worker(1), worker(2), worker(3));
            for (int id = 0; id < 30; id++) {
                for (int w = 1; w <= 3; w++) {
                    h.report(w, 40);
                }
                h.take(id, s);
                int at = h.sentTo.get(id);
                h.ends(id, 0, at, at == 1 ? Contract.Outcome.ERROR : Contract.Outcome.OK, true);
                h.pass(100_000);
                drawn += at == 1 && id >= 15 ? 1 : 0;
            }
        }
        assertTrue(drawn < 750 / 4, "of 750 draws a third would be even: " + drawn);
        assertTrue(drawn > 15, "it is tried again: " + drawn);
    }
}
