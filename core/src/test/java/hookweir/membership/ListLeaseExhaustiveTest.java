package hookweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * All orders of events that a small world can bring, one second after the other: outages, calls that are refused or not answered, a
 * watch that ends or falls silent, a change of the list, a new process, a move. In none may an attempt begin when the change counts as
 * told and has not been read, but where the lease's own comment says so.
 */
final class ListLeaseExhaustiveTest {
    private static final long STEP_US = 1_000_000;
    private static final int STEPS = 18;
    private static final long NEVER = Long.MAX_VALUE;
    /** A silent watch is noticed after so many steps. */
    private static final int SILENCE_STEPS = 3;

    private enum Watch { NONE, OPEN, SILENT }

    /** What happens in a step before the scheduler acts. */
    private enum Step { NOTHING, GOES_DOWN, COMES_UP, CHANGES, WATCH_FALLS_SILENT, WATCH_IS_CUT, PROCESS_STARTS, MOVES }

    /** How the service deals with a call while it is up. */
    private enum Mood { ANSWERS, BUSY }

    /** The world at the end of a step; times are steps. */
    private static final class World {
        ListLease lease = new ListLease(false);
        int now;
        boolean up = true;
        Watch watch = Watch.NONE;
        int silentFor;
        boolean changed;
        boolean delivered;
        long toldUs = NEVER;
        boolean restarted;
        boolean moved;
        boolean outageSeen;
        /** The events so far, for messages. */
        String history = "";

        World next(Step step, Mood mood, boolean refusedWhileDown) {
            World w = copy();
            w.now++;
            w.history += " " + step + (mood == Mood.BUSY ? "/busy" : "") + (refusedWhileDown ? "" : "/mute");
            w.happens(step);
            w.schedulerActs(mood, refusedWhileDown);
            return w;
        }

        private long nowUs() {
            return now * STEP_US;
        }

        private void happens(Step step) {
            switch (step) {
                case GOES_DOWN -> {
                    up = false;
                    outageSeen = true;
                    endWatch();
                }
                case COMES_UP -> {
                    up = true;
                    countsFrom(nowUs());
                }
                case CHANGES -> {
                    changed = true;
                    delivered = up && watch == Watch.OPEN;
                    if (up) {
                        countsFrom(nowUs());
                    }
                }
                case WATCH_FALLS_SILENT -> watch = Watch.SILENT;
                case WATCH_IS_CUT -> endWatch();
                case PROCESS_STARTS -> {
                    restarted = true;
                    watch = Watch.NONE;
                    lease = new ListLease(false);
                }
                case MOVES -> {
                    moved = true;
                    watch = Watch.NONE;
                    lease.serviceMoved(nowUs());
                    toldUs = changed && !delivered ? Math.min(toldUs, nowUs() + ListLease.MOVE_NOTIFICATION_DEADLINE_US) : toldUs;
                }
                default -> { }
            }
        }

        private void countsFrom(long us) {
            if (changed && !delivered) {
                toldUs = Math.min(toldUs, us + ListLease.NOTIFICATION_DEADLINE_US);
            }
        }

        private void endWatch() {
            if (watch == Watch.OPEN) {
                lease.callFailed(ListCallFailure.WATCH_ENDED, nowUs());
            } else if (watch == Watch.SILENT) {
                // An end that is seen after a silence: what came between is unknown.
                lease.callFailed(silentFor > 0 ? ListCallFailure.WATCH_SILENT : ListCallFailure.WATCH_ENDED, nowUs());
            }
            watch = Watch.NONE;
            silentFor = 0;
        }

        private void schedulerActs(Mood mood, boolean refusedWhileDown) {
            if (watch == Watch.SILENT && ++silentFor >= SILENCE_STEPS) {
                lease.callFailed(ListCallFailure.WATCH_SILENT, nowUs());
                watch = Watch.NONE;
                silentFor = 0;
            }
            if (watch == Watch.OPEN) {
                lease.confirmed(nowUs());
            } else if (watch == Watch.NONE && up && mood == Mood.ANSWERS) {
                watch = Watch.OPEN;
                delivered = changed;
                lease.confirmed(nowUs());
            } else if (watch == Watch.NONE) {
                lease.callFailed(!up && refusedWhileDown ? ListCallFailure.REFUSED : ListCallFailure.UNANSWERED, nowUs());
            }
        }

        boolean mayHappen(Step step) {
            return switch (step) {
                case NOTHING -> true;
                case GOES_DOWN -> up && !outageSeen;
                case COMES_UP -> !up;
                case CHANGES -> !changed;
                case WATCH_FALLS_SILENT, WATCH_IS_CUT -> watch == Watch.OPEN;
                // A change between two processes, just before an outage, is what the lease does not guard against.
                case PROCESS_STARTS -> !restarted && (up || !changed || delivered);
                case MOVES -> !moved && up;
            };
        }

        /** The change counts as told, was not read, and the lease lets an attempt begin. */
        boolean isBroken() {
            return changed && !delivered && nowUs() >= toldUs && lease.isValidAt(nowUs());
        }

        /** What decides all that may come; worlds that differ in times alone are one. */
        String key() {
            long left = Math.max(-1, lease.expiresAtUs() - nowUs());
            long toTold = toldUs == NEVER ? NEVER : Math.max(-1, toldUs - nowUs());
            return up + "," + watch + silentFor + changed + delivered + restarted + moved + outageSeen + lease.phase() + "," + left + "," + toTold
                + "," + lease;
        }

        private World copy() {
            World w = new World();
            w.lease = lease.copy();
            w.now = now;
            w.up = up;
            w.watch = watch;
            w.silentFor = silentFor;
            w.changed = changed;
            w.delivered = delivered;
            w.toldUs = toldUs;
            w.restarted = restarted;
            w.moved = moved;
            w.outageSeen = outageSeen;
            w.history = history;
            return w;
        }
    }

    @Test
    void noOrderLetsAnAttemptBeginByAListThatIsOutOfDate() {
        Set<String> seen = new HashSet<>();
        Deque<World> open = new ArrayDeque<>();
        open.add(new World());
        int worlds = 0;
        while (!open.isEmpty()) {
            World world = open.poll();
            for (Step step : Step.values()) {
                for (Mood mood : Mood.values()) {
                    for (boolean refused : new boolean[] {true, false}) {
                        if (!world.mayHappen(step)) {
                            continue;
                        }
                        World next = world.next(step, mood, refused);
                        assertTrue(!next.isBroken(), () -> "an attempt may begin after" + next.history);
                        if (next.now < STEPS && seen.add(next.key() + next.now)) {
                            open.add(next);
                            worlds++;
                        }
                    }
                }
            }
        }
        assertTrue(worlds > 10_000, worlds + " worlds");
    }

    /** The exploration sees what it is there for: without a lease it finds the incident. */
    @Test
    void theWorldsBringTheIncident() {
        World world = new World();
        world = world.next(Step.NOTHING, Mood.ANSWERS, true);
        world = world.next(Step.WATCH_IS_CUT, Mood.BUSY, true);
        world = world.next(Step.CHANGES, Mood.BUSY, true);
        for (int i = 0; i < 6; i++) {
            world = world.next(Step.NOTHING, Mood.BUSY, true);
        }
        assertTrue(world.changed && !world.delivered && world.nowUs() >= world.toldUs);
        assertEquals(false, world.lease.isValidAt(world.nowUs()));
    }
}
