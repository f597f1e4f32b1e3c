package hookweir.lab.lives;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * How the clients of one run leave. The component names are part of the printed result.
 *
 * @param seed        from which all other values are derived; 0 if they are given
 * @param moment      what the clients' requests wait for when they leave
 * @param reset       whether the clients reset their connections, in place of an end of stream
 * @param unread      what they have sent behind their requests
 * @param unreadBytes how much of that
 * @param kind        the class of their requests
 * @param clients     number of clients
 * @param stayMs      how long each client stays
 * @param workerMs    how long a worker takes to decline an attempt
 * @param upgrade     whether a second process takes over while the clients are there
 * @param comesAgain  whether each client sends its first request once more after it has left
 * @param busy        number of processes that compete with the scheduler for its processor
 * @param crowd       number of connections that stop within a request; 300 take all descriptors, and clients wait to be accepted
 * @param signals     the signals that the scheduler gets before the clients leave
 */
record DeparturePlan(long seed, Moment moment, boolean reset, UnreadInput unread, int unreadBytes, String kind, int clients, int stayMs,
        int workerMs, boolean upgrade, boolean comesAgain, int busy, int crowd, List<String> signals) {
    /** Without it, generators with neighbouring seeds begin with the same choices. */
    private static final long SEED_SPREAD = 0x9E3779B97F4A7C15L;
    private static final int[] UNREAD_BYTES = {4_000, 20_000, 100_000, 300_000, 1_000_000, 3_000_000};
    private static final int MIN_CLIENTS = 5;
    private static final int CLIENTS_SPREAD = 20;
    /** Clients leave while the attempts of their first requests are under way. */
    private static final int MIN_STAY_MS = 50;
    private static final int STAY_SPREAD_MS = 250;
    /** The system opens a connection one second after a first try without an answer. */
    private static final int MIN_STAY_DIALLING_MS = 600;
    private static final int MIN_WORKER_MS = 20;
    private static final int WORKER_SPREAD_MS = 180;
    private static final int[] CROWDS = {60, 300};
    private static final double UPGRADE_PROBABILITY = 0.25;
    private static final double BUSY_PROBABILITY = 0.3;
    private static final double SIGNAL_PROBABILITY = 0.4;
    private static final double CROWD_PROBABILITY = 0.3;

    /** What a request waits for when its client leaves. */
    enum Moment {
        /** A retry: workers decline all attempts. */
        BETWEEN_ATTEMPTS,
        /** A worker's response: workers end the connection without one. */
        WAITING,
        /** The end of the job: workers accept it and hold it. */
        AT_WORKER,
        /** A connection to a worker. */
        DIALLING
    }

    /** A plan with given values: twenty clients that leave after 0.1 s, workers that decline after 60 ms. */
    static DeparturePlan of(Moment moment, boolean reset, UnreadInput unread, int unreadBytes) {
        return new DeparturePlan(0, moment, reset, unread, unreadBytes, "live-status", 20, 100, 60, false, false, 0, 0, List.of());
    }

    /** As this plan with a job that must not run twice: a second process takes over, the clients stay until it serves, and come again. */
    DeparturePlan duringUpgrade() {
        return new DeparturePlan(seed, moment, reset, unread, unreadBytes, "billing-post", clients, stayMs, workerMs, true, true, busy, crowd, signals);
    }

    /** As this plan, with clients that come behind a crowd. */
    DeparturePlan behindCrowd() {
        return new DeparturePlan(seed, moment, reset, unread, unreadBytes, kind, clients, stayMs, workerMs, upgrade, comesAgain, busy, CROWDS[1], signals);
    }

    /** As this plan, with clients that stay longer. */
    DeparturePlan staying(int otherStayMs) {
        return new DeparturePlan(seed, moment, reset, unread, unreadBytes, kind, clients, otherStayMs, workerMs, upgrade, comesAgain, busy, crowd, signals);
    }

    /** Derives the plan from the seed. */
    static DeparturePlan of(long seed) {
        Random random = new Random(seed * SEED_SPREAD);
        Moment moment = Moment.values()[random.nextInt(Moment.values().length)];
        UnreadInput unread = UnreadInput.values()[random.nextInt(UnreadInput.values().length)];
        int minStayMs = moment == Moment.DIALLING ? MIN_STAY_DIALLING_MS : MIN_STAY_MS;
        return new DeparturePlan(seed, moment, random.nextBoolean(), unread, UNREAD_BYTES[random.nextInt(UNREAD_BYTES.length)],
            Scenario.KINDS.get(random.nextInt(Scenario.KINDS.size())), MIN_CLIENTS + random.nextInt(CLIENTS_SPREAD),
            minStayMs + random.nextInt(STAY_SPREAD_MS), MIN_WORKER_MS + random.nextInt(WORKER_SPREAD_MS),
            random.nextDouble() < UPGRADE_PROBABILITY, random.nextBoolean(), random.nextDouble() < BUSY_PROBABILITY ? 1 + random.nextInt(2) : 0,
            random.nextDouble() < CROWD_PROBABILITY ? CROWDS[random.nextInt(CROWDS.length)] : 0, signals(random));
    }

    private static List<String> signals(Random random) {
        List<String> signals = new ArrayList<>();
        while (random.nextDouble() < SIGNAL_PROBABILITY) {
            signals.add(random.nextBoolean() ? "TERM" : "HUP");
        }
        return List.copyOf(signals);
    }
}
