package hookweir;

import static hookweir.RecordingHost.settings;
import static hookweir.RecordingHost.worker;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract.Idempotency;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Many schedulers start at the same moment, with the same list and the same load reports: their probes and their calls to the list
 * service must be spread over time, or they would reach the workers and the list service in waves.
 */
final class TimerSpreadTest {
    private static final int SCHEDULERS = 100;
    private static final int WORKERS = 20;
    private static final long STEP_US = 10_000;
    private static final int STEPS = 2_000;

    @Test
    void probesAndListCallsAreSpreadOverTime() {
        Contract.Settings s = settings(Idempotency.IDEMPOTENT);
        s.probesAllowed = true;
        s.pollList = true;
        s.maxPollIntervalUs = 4_000_000;
        s.schedulerCount = SCHEDULERS;
        List<RecordingHost> hosts = new ArrayList<>();
        Contract.Worker[] fleet = new Contract.Worker[WORKERS];
        for (int w = 0; w < WORKERS; w++) {
            fleet[w] = worker(w + 1);
        }
        for (int d = 0; d < SCHEDULERS; d++) {
            RecordingHost h = RecordingHost.with(s, 1000 + d);
            h.replaceWorkers(fleet);
            hosts.add(h);
        }
        Random arrivals = new Random(7);
        int[] probes = new int[STEPS];
        int[] calls = new int[STEPS];
        int id = 0;
        for (int step = 0; step < STEPS; step++) {
            for (RecordingHost h : hosts) {
                int probesBefore = h.probes.size();
                int callsBefore = h.countActions("watch");
                h.advance(STEP_US);
                if (arrivals.nextInt(100) < 5) {
                    h.accept(++id, s); // occasional requests, at different times for each scheduler
                }
                for (int w : h.probes.subList(probesBefore, h.probes.size())) {
                    h.reportFreeSlots(w, 4);
                }
                probes[step] += h.probes.size() - probesBefore;
                calls[step] += h.countActions("watch") - callsBefore;
            }
        }
        assertSpread("probes", probes, 0.25);
        assertSpread("list calls", calls, 0.25);
    }

    /** Asserts that no window of 50 ms holds more than this share of the events of its second. */
    private static void assertSpread(String what, int[] perStep, double maxShare) {
        int window = 5;
        int perSecond = (int) (1_000_000 / STEP_US);
        int total = 0;
        for (int n : perStep) {
            total += n;
        }
        assertTrue(total > 0, what + ": none at all");
        for (int start = 0; start + perSecond <= perStep.length; start += perSecond) {
            int second = 0;
            int peak = 0;
            for (int i = start; i < start + perSecond; i++) {
                second += perStep[i];
            }
            for (int i = start; i + window <= start + perSecond; i++) {
                int sum = 0;
                for (int j = i; j < i + window; j++) {
                    sum += perStep[j];
                }
                peak = Math.max(peak, sum);
            }
            assertTrue(second < 10 || peak <= maxShare * second,
                what + " not spread: " + peak + " of " + second + " within 50 ms, second " + start / perSecond);
        }
    }
}
