package hookweir.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs small simulations: checks the counted traffic, and that a wrong probe mechanism is detected. */
class ScaleRunTest {
    private static final int SCHEDULERS = 6;
    /** A call is counted as two messages, its request and its response. */
    private static final int MESSAGES_PER_CALL = 2;
    private static final int SECONDS = 30;

    private static Shape small() {
        return Shape.target().withSize(144, SCHEDULERS, 4.4).withLoad(500, 0).withDuration(10, SECONDS);
    }

    private static Traffic.Tally tally(Row row, Role role, MessageKind kind) {
        return row.traffic().get(name(role)).getOrDefault(name(kind), Traffic.Tally.NONE);
    }

    private static String name(Enum<?> value) {
        return value.name().toLowerCase(java.util.Locale.ROOT);
    }

    @Test
    void sameSeedGivesTheSameRowAndAnotherSeedAnother() {
        Row first = new Simulation(small()).run();
        assertEquals(first, new Simulation(small()).run());
        assertNotEquals(first.traffic(), new Simulation(small().withSeed(2)).run().traffic());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 1100, 10_000})
    void servesJobsAtEachFleetSize(int workers) {
        Row row = new Simulation(Shape.target().withSize(workers, 2, 1).withLoad(500, 0).withChangeRates(0, 0).withDuration(10, 20)).run();
        assertTrue(row.jobs() > 20, row.jobs() + " jobs");
        assertEquals(0, row.failedPerJob() + row.lostPerJob());
        assertTrue(row.withinProbeLimit(), row.probesPerS() + " probes per second");
        assertEquals(2 * MESSAGES_PER_CALL, new Simulation(row.shape().withDuration(0, 10)).run().traffic().get("list_service").get("whole_list").messages());
    }

    @ParameterizedTest
    @EnumSource(Shape.Failure.class)
    void bytesSentEqualBytesReceived(Shape.Failure failure) {
        Row row = new Simulation(small().with(failure)).run();
        for (MessageKind kind : MessageKind.values()) {
            long in = row.traffic().values().stream().mapToLong(kinds -> kinds.getOrDefault(name(kind), Traffic.Tally.NONE).bytesIn()).sum();
            long out = row.traffic().values().stream().mapToLong(kinds -> kinds.getOrDefault(name(kind), Traffic.Tally.NONE).bytesOut()).sum();
            assertEquals(out, in, kind.name());
        }
    }

    @Test
    void unchangedListCostsOnlyHeartbeats() {
        Row row = new Simulation(small().withChangeRates(0, 0)).run();
        assertEquals(SCHEDULERS * SECONDS / 2, tally(row, Role.SCHEDULER, MessageKind.LIST_HEARTBEAT).messages());
        assertEquals(0, tally(row, Role.SCHEDULER, MessageKind.LIST_CHANGE).messages());
        assertEquals(0, tally(row, Role.SCHEDULER, MessageKind.WHOLE_LIST).messages());
    }

    @Test
    void failedRackIsOneListChangePerScheduler() {
        Row row = new Simulation(small().withChangeRates(0, 0).with(Shape.Failure.RACK)).run();
        assertEquals(SCHEDULERS, tally(row, Role.LIST_SERVICE, MessageKind.LIST_CHANGE).messages());
        assertTrue(row.refusedPerJob() > 0, "jobs on unresponsive workers should end by their deadline");
    }

    @Test
    void eachRestartedSchedulerFetchesOneWholeList() {
        Row row = new Simulation(small().withChangeRates(0, 0).with(Shape.Failure.SCHEDULERS_RESTART)).run();
        assertEquals(MESSAGES_PER_CALL * SCHEDULERS, tally(row, Role.SCHEDULER, MessageKind.WHOLE_LIST).messages());
    }

    @Test
    void everyJobIsAnsweredOnceOrStillRunning() {
        Row row = new Simulation(small().withChangeRates(0, 0)).run();
        long responses = tally(row, Role.CLIENT, MessageKind.CLIENT).messages() - row.jobs();
        long maxRunning = SCHEDULERS * 2 * 5;
        assertTrue(Math.abs(responses - row.jobs()) <= maxRunning, row.jobs() + " jobs, " + responses + " responses");
        assertEquals(0, row.lostPerJob() + row.refusedPerJob() + row.failedPerJob());
    }

    @Test
    void configurationTakesEffectWithinOnePollInterval() {
        Row row = new Simulation(small().withChangeRates(0, 600)).run();
        assertTrue(row.inForceMaxS() > 0 && row.inForceMaxS() <= 10.001, "applied after " + row.inForceMaxS());
    }

    @Test
    void probingAllWorkersEverySecondExceedsTheLimit() {
        assertTrue(new Simulation(small()).run().withinProbeLimit());
        assertFalse(new Simulation(small().with(Shape.Mechanism.PROBE_ALL)).run().withinProbeLimit());
    }

    @Test
    void targetShapeHasTheExpectedSlotsAndJobRate() {
        Simulation simulation = new Simulation(Shape.target());
        Map<Integer, Integer> slots = new java.util.TreeMap<>();
        simulation.workers.forEach(worker -> slots.merge(worker.kind, worker.slots, Integer::sum));
        assertEquals(Map.of(0, 4800, 1, 1500), slots);
        assertEquals(440, Shape.target().schedulers() * Shape.target().jobsPerSecond(), 1e-9);
    }
}
