package hookweir;

import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.Contract.Idempotency;
import hookweir.Contract.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Half of a fleet restarts at once, under high load: the work that all schedulers together send to each cold worker stays within its
 * budget in any window. With N requests of mean work as the collapse load, the budget is N + 2 sqrt(N) + 2, or N + 3 sqrt(N) + 3 if
 * N is below 30.
 */
final class ColdBudgetTest {
    private static final long STEP_US = 5_000;
    private static final long LENGTH_US = 12_000_000;
    private static final long MEAN_WORK_US = 400_000;
    private static final double SPREAD = 1.0;
    private static final int SLOTS = 3;
    private static final int SMALL_BUDGET = 30;

    /** The end of a job at a worker. */
    private record End(long atUs, long sentUs, int dispatcher, int request, int worker) implements Comparable<End> {
        @Override
        public int compareTo(End other) {
            return Long.compare(atUs, other.atUs);
        }
    }

    /** Work that was sent to a worker. */
    private record Sent(long atUs, double work) {
    }

    /** Schedulers, workers and clients in simulated time. */
    private static final class World {
        private final Contract.Settings settings;
        private final Random random;
        private final List<RecordingHost> schedulers = new ArrayList<>();
        private final List<Deque<Sent>> sent = new ArrayList<>();
        private final PriorityQueue<End> ends = new PriorityQueue<>();
        private final int[] busy;
        private final int[] sendsSeen;
        private final int[] probesSeen;
        private final long[] works = new long[1 << 20];
        private final long startUs;
        private final int workers;
        private int requests;
        private double maxBudgetUse = Double.NEGATIVE_INFINITY;

        World(int schedulerCount, int workers, double coldShare, long seed) {
            this.workers = workers;
            random = new Random(seed);
            settings = RecordingHost.probingSettings(Idempotency.IDEMPOTENT);
            settings.schedulerCount = schedulerCount;
            settings.coldCapacityShare = coldShare;
            settings.collapseLoadFactor = 3;
            settings.collapseAfterUs = 1_000_000;
            settings.warmUpUs = 24_000_000;
            settings.classes.get(0).softDeadlineStretch = 2;
            settings.classes.get(0).deadlineUs = 8_000_000;
            busy = new int[workers];
            sendsSeen = new int[schedulerCount];
            probesSeen = new int[schedulerCount];
            for (int i = 0; i < workers; i++) {
                sent.add(new ArrayDeque<>());
            }
            Contract.Worker[] fleet = RecordingHost.workers(workers);
            for (int d = 0; d < schedulerCount; d++) {
                RecordingHost h = RecordingHost.with(settings, seed * 1000 + d);
                h.replaceWorkers(fleet);
                for (int w = 0; w < workers; w++) {
                    h.reportFreeSlots(w, SLOTS);
                }
                schedulers.add(h);
            }
            startUs = schedulers.get(0).now;
            Contract.Worker[] cold = new Contract.Worker[workers / 2];
            for (int w = 0; w < cold.length; w++) {
                cold[w] = RecordingHost.worker(w);
                cold[w].startedAtUs = startUs;
            }
            schedulers.forEach(h -> h.changeWorkers(cold));
        }

        private double warmFraction(int worker, long now) {
            boolean cold = worker < workers / 2;
            return !cold ? 1 : settings.coldCapacityShare + (1 - settings.coldCapacityShare) * (now - startUs) / settings.warmUpUs;
        }

        /** Runs the simulation at this load, as a multiple of the capacity of the warm fleet. */
        void run(double load) {
            double perStep = load * workers * SLOTS * STEP_US / MEAN_WORK_US;
            for (long now = startUs; now < startUs + LENGTH_US; now += STEP_US) {
                for (int jobs = poisson(perStep); jobs > 0; jobs--) {
                    submitRequest(random.nextInt(schedulers.size()));
                }
                for (int d = 0; d < schedulers.size(); d++) {
                    schedulers.get(d).advance(STEP_US);
                    respondToProbes(d);
                    processSends(d);
                }
                endJobs(now);
            }
        }

        private int poisson(double mean) {
            int n = 0;
            for (double p = random.nextDouble(); p > Math.exp(-mean); p *= random.nextDouble()) {
                n++;
            }
            return n;
        }

        private void submitRequest(int d) {
            RecordingHost h = schedulers.get(d);
            Contract.Request r = h.newRequest(requests, settings);
            r.costHintUs = (long) (MEAN_WORK_US * Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2));
            works[requests++] = r.costHintUs;
            h.policy.requestAccepted(h.now, r);
        }

        private void respondToProbes(int d) {
            RecordingHost h = schedulers.get(d);
            for (; probesSeen[d] < h.probes.size(); probesSeen[d]++) {
                int w = h.probes.get(probesSeen[d]);
                h.reportFreeSlots(w, Math.max(0, SLOTS - busy[w]));
            }
        }

        private void processSends(int d) {
            RecordingHost h = schedulers.get(d);
            for (; sendsSeen[d] < h.actions.size(); sendsSeen[d]++) {
                String[] action = h.actions.get(sendsSeen[d]).split(" ");
                if (action[0].equals("send")) {
                    sent(d, Integer.parseInt(action[1]), Integer.parseInt(action[2]), h.now);
                }
            }
        }

        private void sent(int d, int request, int worker, long now) {
            busy[worker]++;
            double queued = Math.max(1, busy[worker] / (double) SLOTS);
            ends.add(new End(now + (long) (works[request] * queued / warmFraction(worker, now)), now, d, request, worker));
            if (worker >= workers / 2) {
                return;
            }
            Deque<Sent> window = sent.get(worker);
            window.add(new Sent(now, works[request] / (double) MEAN_WORK_US));
            while (window.peek().atUs < now - settings.collapseAfterUs) {
                window.poll();
            }
            double n = settings.collapseLoadFactor * SLOTS * warmFraction(worker, Math.max(startUs, now - settings.collapseAfterUs))
                * settings.collapseAfterUs / MEAN_WORK_US;
            double budget = n < SMALL_BUDGET ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
            maxBudgetUse = Math.max(maxBudgetUse, window.stream().mapToDouble(Sent::work).sum() / budget);
        }

        private void endJobs(long now) {
            while (!ends.isEmpty() && ends.peek().atUs <= now) {
                End e = ends.poll();
                busy[e.worker]--;
                schedulers.get(e.dispatcher).policy.attemptEnded(now, e.request, 0, e.worker, Outcome.OK, now - e.sentUs, true, null);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 10, 0.7, 0.16", "1, 10, 1.6, 0.05", "4, 10, 0.7, 0.16", "4, 10, 1.6, 0.05", "30, 30, 0.7, 0.05", "30, 30, 1.6, 0.05", "30, 30, 1.6, 0.16",
        "30, 30, 2.3, 0.05", "30, 30, 2.3, 0.16", "120, 60, 1.0, 0.16", "120, 60, 2.3, 0.16"})
    void workSentToColdWorkersStaysWithinBudget(int schedulers, int workers, double load, double coldShare) {
        double most = 0;
        for (long seed = 1; seed <= 3; seed++) {
            World world = new World(schedulers, workers, coldShare, seed);
            world.run(load);
            most = Math.max(most, world.maxBudgetUse);
        }
        assertTrue(most <= 1, "share of the budget: " + most);
        assertTrue(most > 0.1, "share of the budget, as cold workers get work: " + most);
    }
}
