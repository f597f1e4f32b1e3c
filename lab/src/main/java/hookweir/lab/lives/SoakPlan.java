package hookweir.lab.lives;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * What one seed of a soak does.
 *
 * @param seed                 of all that follows
 * @param serviceMs            how long workers take for a job
 * @param clients              of each class, each on a connection that it keeps
 * @param loadMs               under load before anything happens
 * @param crowd                idle connections that are opened beside the clients'; 0: none
 * @param reloads              SIGHUPs before SIGTERM
 * @param gapMs                between two signals
 * @param hangs                from SIGTERM on workers take jobs and end none
 * @param frontMs              new connections come for so long after SIGTERM
 * @param signalsAfterTerm     further signals after that
 */
record SoakPlan(long seed, int serviceMs, int clients, int loadMs, int crowd, int reloads, int gapMs, boolean hangs, int frontMs,
        List<String> signalsAfterTerm) {
    private static final int SERVICE_SPREAD_MS = 600;
    private static final int CLIENTS_SPREAD = 24;
    private static final int LOAD_SPREAD_MS = 800;
    private static final int IDLE_CONNECTIONS = 220;
    private static final int SIGNALS_SPREAD = 3;
    private static final int GAP_SPREAD_MS = 150;
    private static final int MIN_CONNECTING_AFTER_TERM_MS = 200;
    private static final double IDLE_CONNECTIONS_PROBABILITY = 0.4;
    private static final double HANG_PROBABILITY = 0.4;

    /** The plan of this seed. */
    static SoakPlan of(long seed) {
        Random random = new Random(seed);
        List<String> signals = new ArrayList<>();
        int more = random.nextInt(SIGNALS_SPREAD);
        for (int i = 0; i < more; i++) {
            signals.add(random.nextBoolean() ? "TERM" : "HUP");
        }
        return new SoakPlan(seed, 5 + random.nextInt(SERVICE_SPREAD_MS), 2 + random.nextInt(CLIENTS_SPREAD), 200 + random.nextInt(LOAD_SPREAD_MS),
            random.nextDouble() < IDLE_CONNECTIONS_PROBABILITY ? IDLE_CONNECTIONS : 0, random.nextInt(SIGNALS_SPREAD), random.nextInt(GAP_SPREAD_MS), random.nextDouble() < HANG_PROBABILITY,
            MIN_CONNECTING_AFTER_TERM_MS + random.nextInt(MIN_CONNECTING_AFTER_TERM_MS), List.copyOf(signals));
    }
}
