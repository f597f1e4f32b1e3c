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

/** A small scale run: what it counts, and that a wrong mechanism is seen. */
class ScaleRunTest {
    private static final int SCHEDULERS = 6;
    /** A call is counted as its request and its answer. */
    private static final int CALL = 2;
    private static final int SECONDS = 30;

    private static Shape small() {
        return Shape.target().sized(144, SCHEDULERS, 4.4).loaded(500, 0).lasting(10, SECONDS);
    }

    private static Traffic.Tally tally(Row row, Role role, MessageKind kind) {
        return row.traffic().get(name(role)).getOrDefault(name(kind), Traffic.Tally.NONE);
    }

    private static String name(Enum<?> value) {
        return value.name().toLowerCase(java.util.Locale.ROOT);
    }

    @Test
    void theSameSeedGivesTheSameRowAndAnotherSeedAnother() {
        Row first = new World(small()).run();
        assertEquals(first, new World(small()).run());
        assertNotEquals(first.traffic(), new World(small().seeded(2)).run().traffic());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 1100, 10_000})
    void eachSizeOfFleetServes(int workers) {
        Row row = new World(Shape.target().sized(workers, 2, 1).loaded(500, 0).changing(0, 0).lasting(10, 20)).run();
        assertTrue(row.jobs() > 20, row.jobs() + " jobs");
        assertEquals(0, row.failedPerJob() + row.lostPerJob());
        assertTrue(row.keepsProbes(), row.probesPerS() + " probes a second");
        assertEquals(2 * CALL, new World(row.shape().lasting(0, 10)).run().traffic().get("list_service").get("whole_list").messages());
    }

    @ParameterizedTest
    @EnumSource(Shape.Failure.class)
    void whatOneRoleSendsAnotherGets(Shape.Failure failure) {
        Row row = new World(small().with(failure)).run();
        for (MessageKind kind : MessageKind.values()) {
            long in = row.traffic().values().stream().mapToLong(kinds -> kinds.getOrDefault(name(kind), Traffic.Tally.NONE).bytesIn()).sum();
            long out = row.traffic().values().stream().mapToLong(kinds -> kinds.getOrDefault(name(kind), Traffic.Tally.NONE).bytesOut()).sum();
            assertEquals(out, in, kind.name());
        }
    }

    @Test
    void aQuietListCostsHeartbeatsAlone() {
        Row row = new World(small().changing(0, 0)).run();
        assertEquals(SCHEDULERS * SECONDS / 2, tally(row, Role.SCHEDULER, MessageKind.LIST_HEARTBEAT).messages());
        assertEquals(0, tally(row, Role.SCHEDULER, MessageKind.LIST_CHANGE).messages());
        assertEquals(0, tally(row, Role.SCHEDULER, MessageKind.WHOLE_LIST).messages());
    }

    @Test
    void aFailedRackIsOneLineForEachScheduler() {
        Row row = new World(small().changing(0, 0).with(Shape.Failure.RACK)).run();
        assertEquals(SCHEDULERS, tally(row, Role.LIST_SERVICE, MessageKind.LIST_CHANGE).messages());
        assertTrue(row.refusedPerJob() > 0, "jobs that were on silent workers end by their deadline");
    }

    @Test
    void schedulersThatStartAnewTakeOneWholeListEach() {
        Row row = new World(small().changing(0, 0).with(Shape.Failure.SCHEDULERS_RESTART)).run();
        assertEquals(CALL * SCHEDULERS, tally(row, Role.SCHEDULER, MessageKind.WHOLE_LIST).messages());
    }

    @Test
    void everyJobIsAnsweredOnceOrStillOut() {
        Row row = new World(small().changing(0, 0)).run();
        long answers = tally(row, Role.CLIENT, MessageKind.CLIENT).messages() - row.jobs();
        long outAtMost = SCHEDULERS * 2 * 5;
        assertTrue(Math.abs(answers - row.jobs()) <= outAtMost, row.jobs() + " jobs, " + answers + " answers");
        assertEquals(0, row.lostPerJob() + row.refusedPerJob() + row.failedPerJob());
    }

    @Test
    void configurationIsInForceWithinAPoll() {
        Row row = new World(small().changing(0, 600)).run();
        assertTrue(row.inForceMaxS() > 0 && row.inForceMaxS() <= 10.001, "in force after " + row.inForceMaxS());
    }

    @Test
    void probesOfAllWorkersEverySecondAreSeen() {
        assertTrue(new World(small()).run().keepsProbes());
        assertFalse(new World(small().with(Shape.Mechanism.PROBE_ALL)).run().keepsProbes());
    }

    @Test
    void aRunOfTheTargetsShapeHoldsAcceleratorsAndTasksOfTheTarget() {
        World world = new World(Shape.target());
        Map<Integer, Integer> slots = new java.util.TreeMap<>();
        world.workers.forEach(worker -> slots.merge(worker.kind, worker.slots, Integer::sum));
        assertEquals(Map.of(0, 4800, 1, 1500), slots);
        assertEquals(440, Shape.target().schedulers() * Shape.target().jobsPerSecond(), 1e-9);
    }
}
