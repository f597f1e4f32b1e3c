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
    private static final long NEVER_US = Long.MAX_VALUE;
    /** A silent watch is noticed after so many steps. */
    private static final int SILENCE_STEPS = 3;

    private enum Watch { NONE, OPEN, SILENT }

    /** What happens in a step before the scheduler acts. */
    private enum Step { NOTHING, SERVICE_GOES_DOWN, SERVICE_COMES_UP, LIST_CHANGES, WATCH_FALLS_SILENT, WATCH_ENDS, PROCESS_STARTS, SERVICE_MOVES }

    /** How the service deals with a call while it is up. */
    private enum CallResult { ANSWERED, BUSY }

    /** The world at the end of a step; times are steps. */
    private static final class ModelState {
        ListLease lease = new ListLease(false);
        int now;
        boolean up = true;
        Watch watch = Watch.NONE;
        int silentSteps;
        boolean listChanged;
        boolean changeDelivered;
        long notifiedByUs = NEVER_US;
        boolean restarted;
        boolean moved;
        boolean outageHappened;
        /** The events so far, for messages. */
        String history = "";

        ModelState next(Step step, CallResult mood, boolean refusedWhileDown) {
            ModelState w = copy();
            w.now++;
            w.history += " " + step + (mood == CallResult.BUSY ? "/busy" : "") + (refusedWhileDown ? "" : "/mute");
            w.applyStep(step);
            w.runScheduler(mood, refusedWhileDown);
            return w;
        }

        private long nowUs() {
            return now * STEP_US;
        }

        private void applyStep(Step step) {
            switch (step) {
                case SERVICE_GOES_DOWN -> {
                    up = false;
                    outageHappened = true;
                    endWatch();
                }
                case SERVICE_COMES_UP -> {
                    up = true;
                    startNotificationDeadline(nowUs());
                }
                case LIST_CHANGES -> {
                    listChanged = true;
                    changeDelivered = up && watch == Watch.OPEN;
                    if (up) {
                        startNotificationDeadline(nowUs());
                    }
                }
                case WATCH_FALLS_SILENT -> watch = Watch.SILENT;
                case WATCH_ENDS -> endWatch();
                case PROCESS_STARTS -> {
                    restarted = true;
                    watch = Watch.NONE;
                    lease = new ListLease(false);
                }
                case SERVICE_MOVES -> {
                    moved = true;
                    watch = Watch.NONE;
                    lease.serviceMoved(nowUs());
                    notifiedByUs = listChanged && !changeDelivered ? Math.min(notifiedByUs, nowUs() + ListLease.MOVE_NOTIFICATION_DEADLINE_US) : notifiedByUs;
                }
                default -> { }
            }
        }

        private void startNotificationDeadline(long us) {
            if (listChanged && !changeDelivered) {
                notifiedByUs = Math.min(notifiedByUs, us + ListLease.NOTIFICATION_DEADLINE_US);
            }
        }

        private void endWatch() {
            if (watch == Watch.OPEN) {
                lease.callFailed(ListCallFailure.WATCH_ENDED, nowUs());
            } else if (watch == Watch.SILENT) {
                // An end that is seen after a silence: what came between is unknown.
                lease.callFailed(silentSteps > 0 ? ListCallFailure.WATCH_SILENT : ListCallFailure.WATCH_ENDED, nowUs());
            }
            watch = Watch.NONE;
            silentSteps = 0;
        }

        private void runScheduler(CallResult mood, boolean refusedWhileDown) {
            if (watch == Watch.SILENT && ++silentSteps >= SILENCE_STEPS) {
                lease.callFailed(ListCallFailure.WATCH_SILENT, nowUs());
                watch = Watch.NONE;
                silentSteps = 0;
            }
            if (watch == Watch.OPEN) {
                lease.confirmed(nowUs());
            } else if (watch == Watch.NONE && up && mood == CallResult.ANSWERED) {
                watch = Watch.OPEN;
                changeDelivered = listChanged;
                lease.confirmed(nowUs());
            } else if (watch == Watch.NONE) {
                lease.callFailed(!up && refusedWhileDown ? ListCallFailure.REFUSED : ListCallFailure.UNANSWERED, nowUs());
            }
        }

        boolean isPossible(Step step) {
            return switch (step) {
                case NOTHING -> true;
                case SERVICE_GOES_DOWN -> up && !outageHappened;
                case SERVICE_COMES_UP -> !up;
                case LIST_CHANGES -> !listChanged;
                case WATCH_FALLS_SILENT, WATCH_ENDS -> watch == Watch.OPEN;
                // A change between two processes, just before an outage, is what the lease does not guard against.
                case PROCESS_STARTS -> !restarted && (up || !listChanged || changeDelivered);
                case SERVICE_MOVES -> !moved && up;
            };
        }

        /** The change counts as told, was not read, and the lease lets an attempt begin. */
        boolean violatesLease() {
            return listChanged && !changeDelivered && nowUs() >= notifiedByUs && lease.isValidAt(nowUs());
        }

        /** What decides all that may come; worlds that differ in times alone are one. */
        String stateKey() {
            long left = Math.max(-1, lease.expiresAtUs() - nowUs());
            long toTold = notifiedByUs == NEVER_US ? NEVER_US : Math.max(-1, notifiedByUs - nowUs());
            return up + "," + watch + silentSteps + listChanged + changeDelivered + restarted + moved + outageHappened + lease.phase() + "," + left + "," + toTold
                + "," + lease;
        }

        private ModelState copy() {
            ModelState w = new ModelState();
            w.lease = lease.copy();
            w.now = now;
            w.up = up;
            w.watch = watch;
            w.silentSteps = silentSteps;
            w.listChanged = listChanged;
            w.changeDelivered = changeDelivered;
            w.notifiedByUs = notifiedByUs;
            w.restarted = restarted;
            w.moved = moved;
            w.outageHappened = outageHappened;
            w.history = history;
            return w;
        }
    }

    @Test
    void noEventOrderPermitsAnAttemptByAnOutdatedList() {
        Set<String> seen = new HashSet<>();
        Deque<ModelState> open = new ArrayDeque<>();
        open.add(new ModelState());
        int worlds = 0;
        while (!open.isEmpty()) {
            ModelState world = open.poll();
            for (Step step : Step.values()) {
                for (CallResult mood : CallResult.values()) {
                    for (boolean refused : new boolean[] {true, false}) {
                        if (!world.isPossible(step)) {
                            continue;
                        }
                        ModelState next = world.next(step, mood, refused);
                        assertTrue(!next.violatesLease(), () -> "an attempt may begin after" + next.history);
                        if (next.now < STEPS && seen.add(next.stateKey() + next.now)) {
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
    void exploredStatesIncludeAnUndeliveredChange() {
        ModelState world = new ModelState();
        world = world.next(Step.NOTHING, CallResult.ANSWERED, true);
        world = world.next(Step.WATCH_ENDS, CallResult.BUSY, true);
        world = world.next(Step.LIST_CHANGES, CallResult.BUSY, true);
        for (int i = 0; i < 6; i++) {
            world = world.next(Step.NOTHING, CallResult.BUSY, true);
        }
        assertTrue(world.listChanged && !world.changeDelivered && world.nowUs() >= world.notifiedByUs);
        assertEquals(false, world.lease.isValidAt(world.nowUs()));
    }
}
