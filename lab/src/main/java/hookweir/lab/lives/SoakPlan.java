package hookweir.lab.lives;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The actions of one seed of a soak. The component names are part of the printed result.
 *
 * @param seed                 from which all other values are derived
 * @param serviceMs            service time of a job at a worker
 * @param clients              number of clients of each class, each with one persistent connection
 * @param loadMs               time under load before the first action
 * @param crowd                number of idle connections opened beside those of the clients
 * @param reloads              number of SIGHUPs before SIGTERM
 * @param gapMs                time between two signals
 * @param frontMs              how long clients open new connections after SIGTERM
 * @param signalsAfterTerm     further signals, sent after that
 * @param shutdown             deadlines, workers, clients and processes around SIGTERM
 */
record SoakPlan(long seed, int serviceMs, int clients, int loadMs, int crowd, int reloads, int gapMs, int frontMs,
        List<String> signalsAfterTerm, ShutdownPlan shutdown) {
    private static final int SERVICE_SPREAD_MS = 600;
    private static final int CLIENTS_SPREAD = 24;
    private static final int LOAD_SPREAD_MS = 800;
    private static final int IDLE_CONNECTIONS = 220;
    private static final int SIGNALS_SPREAD = 3;
    private static final int GAP_SPREAD_MS = 150;
    private static final int MIN_CONNECTING_AFTER_TERM_MS = 200;
    private static final double IDLE_CONNECTIONS_PROBABILITY = 0.4;
    private static final double WORKERS_FAIL_PROBABILITY = 0.6;

    /** Derives the plan from the seed. */
    static SoakPlan of(long seed) {
        Random random = new Random(seed);
        List<String> signals = new ArrayList<>();
        int signalCount = random.nextInt(SIGNALS_SPREAD);
        for (int i = 0; i < signalCount; i++) {
            signals.add(random.nextBoolean() ? "TERM" : "HUP");
        }
        int serviceMs = 5 + random.nextInt(SERVICE_SPREAD_MS);
        int clients = 2 + random.nextInt(CLIENTS_SPREAD);
        int loadMs = 200 + random.nextInt(LOAD_SPREAD_MS);
        int crowd = random.nextDouble() < IDLE_CONNECTIONS_PROBABILITY ? IDLE_CONNECTIONS : 0;
        int reloads = random.nextInt(SIGNALS_SPREAD);
        int gapMs = random.nextInt(GAP_SPREAD_MS);
        boolean workersFail = random.nextDouble() < WORKERS_FAIL_PROBABILITY;
        int frontMs = MIN_CONNECTING_AFTER_TERM_MS + random.nextInt(MIN_CONNECTING_AFTER_TERM_MS);
        return new SoakPlan(seed, serviceMs, clients, loadMs, crowd, reloads, gapMs, frontMs, List.copyOf(signals),
            ShutdownPlan.of(random, workersFail, frontMs));
    }
}
