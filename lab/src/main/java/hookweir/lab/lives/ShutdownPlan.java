package hookweir.lab.lives;

import hookweir.lab.check.RuleLimits;
import hookweir.lab.standin.JobHandling;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * What happens around a graceful shutdown. The component names are part of the printed result.
 *
 * @param deadlineMs     the longest deadline of the configuration, which all clients use
 * @param reload         when the configuration is changed to the other longest deadline
 * @param reloadedMs     the other longest deadline
 * @param workers        what workers do with the jobs that they receive from SIGTERM on
 * @param descriptors    how many descriptors a process may hold, both together in an upgrade
 * @param upgrade        whether a second process on the same listening socket serves before SIGTERM
 * @param slowRequests   requests of clients that write slowly
 */
record ShutdownPlan(long deadlineMs, Reload reload, long reloadedMs, JobHandling workers, int descriptors, boolean upgrade,
        List<SlowRequest> slowRequests) {
    private static final long[] DEADLINES_MS = {300, 600, 900, 1_200, 1_500, 2_000, 3_000, 6_000};
    private static final int[] DESCRIPTORS = {256, 1024};
    private static final double RELOAD_PROBABILITY = 0.3;
    private static final double UPGRADE_PROBABILITY = 0.3;
    private static final int MAX_SLOW_REQUESTS = 24;
    /** Clients connect up to this long before SIGTERM, and for {@link SoakPlan#frontMs()} after it. */
    private static final int CONNECTED_BEFORE_MS = 300;
    /** A well-behaved client takes no longer for a request. */
    private static final int MAX_WRITING_MS = 2_000;

    /** When a configuration with another longest deadline is loaded. */
    enum Reload { NEVER, BEFORE_TERM, AFTER_TERM }

    /**
     * A request that is written in two parts. Times are in ms after SIGTERM.
     *
     * @param connectMs  when the client connects and writes the first part; negative: before SIGTERM
     * @param completeMs when it writes the second part
     * @param kind       the request's class
     */
    record SlowRequest(int connectMs, int completeMs, String kind) {
    }

    /** Draws a plan. Connections are made until this many ms after SIGTERM. */
    static ShutdownPlan of(Random random, boolean workersFail, int frontMs) {
        long deadlineMs = DEADLINES_MS[random.nextInt(DEADLINES_MS.length)];
        Reload reload = random.nextDouble() >= RELOAD_PROBABILITY ? Reload.NEVER : random.nextBoolean() ? Reload.BEFORE_TERM : Reload.AFTER_TERM;
        long reloadedMs = DEADLINES_MS[random.nextInt(DEADLINES_MS.length)];
        JobHandling failure = JobHandling.values()[1 + random.nextInt(JobHandling.values().length - 1)];
        int descriptors = DESCRIPTORS[random.nextInt(DESCRIPTORS.length)];
        boolean upgrade = random.nextDouble() < UPGRADE_PROBABILITY;
        ShutdownPlan plan = new ShutdownPlan(deadlineMs, reload, reloadedMs, workersFail ? failure : JobHandling.SERVE, descriptors, upgrade, List.of());
        List<SlowRequest> slow = new ArrayList<>();
        int count = random.nextInt(MAX_SLOW_REQUESTS);
        for (int i = 0; i < count; i++) {
            slow.add(slowRequest(random, frontMs, plan.earliestKillMs()));
        }
        return new ShutdownPlan(deadlineMs, reload, reloadedMs, plan.workers, descriptors, upgrade, List.copyOf(slow));
    }

    /** Half of the requests become complete at any time up to the earliest SIGKILL. */
    private static SlowRequest slowRequest(Random random, int frontMs, long killMs) {
        int connectMs = random.nextInt(CONNECTED_BEFORE_MS + frontMs) - CONNECTED_BEFORE_MS;
        int maxWritingMs = random.nextBoolean() ? MAX_WRITING_MS : (int) Math.min(MAX_WRITING_MS, killMs - connectMs);
        return new SlowRequest(connectMs, connectMs + random.nextInt(maxWritingMs), Scenario.KINDS.get(random.nextInt(Scenario.KINDS.size())));
    }

    /** The time from SIGTERM to the earliest SIGKILL; the shorter one where the deadlines change in between. */
    long earliestKillMs() {
        return RuleLimits.earliestKillMs(switch (reload) {
            case NEVER -> deadlineMs;
            case BEFORE_TERM -> reloadedMs;
            case AFTER_TERM -> Math.min(deadlineMs, reloadedMs);
        });
    }

    @Override
    public String toString() {
        return "deadlineMs=" + deadlineMs + ", reload=" + reload + (reload == Reload.NEVER ? "" : " to " + reloadedMs) + ", workers=" + workers
            + ", descriptors=" + descriptors + ", upgrade=" + upgrade + ", slowRequests=" + slowRequests.size() + ", earliestKillMs=" + earliestKillMs();
    }
}
