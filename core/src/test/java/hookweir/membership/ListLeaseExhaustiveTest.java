package hookweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Explores all orders of events in a small model, one event per second: outages, calls that are refused or not answered, a watch that ends
 * or falls silent, a change of the list, a new process, a move of the list service. In none of them may an attempt start once the
 * scheduler counts as notified of a change that it has not received, except in the case that the comment of {@link ListLease} names.
 */
final class ListLeaseExhaustiveTest {
    private static final long STEP_US = 1_000_000;
    private static final int STEPS = 18;
    private static final long NEVER_US = Long.MAX_VALUE;
    /** A silent watch is detected after this many steps. */
    private static final int SILENCE_STEPS = 3;

    private enum Watch { NONE, OPEN, SILENT }

    /** The event of a step, before the scheduler acts. */
    private enum Step { NOTHING, SERVICE_GOES_DOWN, SERVICE_COMES_UP, LIST_CHANGES, WATCH_FALLS_SILENT, WATCH_ENDS, PROCESS_STARTS, SERVICE_MOVES }

    /** How the service handles a call while it is up. */
    private enum CallResult { ANSWERED, BUSY }

    /** The state at the end of a step; {@code now} counts steps. */
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
        /** The events so far, for failure messages. */
        String history = "";

        ModelState next(Step step, CallResult callResult, boolean refusedWhileDown) {
            ModelState s = copy();
            s.now++;
            s.history += " " + step + (callResult == CallResult.BUSY ? "/busy" : "") + (refusedWhileDown ? "" : "/mute");
            s.applyStep(step);
            s.runScheduler(callResult, refusedWhileDown);
            return s;
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
                // The watch ended after a silence: updates in between may have been missed.
                lease.callFailed(silentSteps > 0 ? ListCallFailure.WATCH_SILENT : ListCallFailure.WATCH_ENDED, nowUs());
            }
            watch = Watch.NONE;
            silentSteps = 0;
        }

        private void runScheduler(CallResult callResult, boolean refusedWhileDown) {
            if (watch == Watch.SILENT && ++silentSteps >= SILENCE_STEPS) {
                lease.callFailed(ListCallFailure.WATCH_SILENT, nowUs());
                watch = Watch.NONE;
                silentSteps = 0;
            }
            if (watch == Watch.OPEN) {
                lease.confirmed(nowUs());
            } else if (watch == Watch.NONE && up && callResult == CallResult.ANSWERED) {
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
                // The lease does not guard against a change between two processes just before an outage.
                case PROCESS_STARTS -> !restarted && (up || !listChanged || changeDelivered);
                case SERVICE_MOVES -> !moved && up;
            };
        }

        /** Returns true if the scheduler counts as notified of the change, has not received it, and the lease permits an attempt. */
        boolean violatesLease() {
            return listChanged && !changeDelivered && nowUs() >= notifiedByUs && lease.isValidAt(nowUs());
        }

        /** Identifies states with the same possible futures: those that differ only in absolute time are equal. */
        String stateKey() {
            long left = Math.max(-1, lease.expiresAtUs() - nowUs());
            long untilNotified = notifiedByUs == NEVER_US ? NEVER_US : Math.max(-1, notifiedByUs - nowUs());
            return up + "," + watch + silentSteps + listChanged + changeDelivered + restarted + moved + outageHappened + lease.phase() + "," + left
                + "," + untilNotified + "," + lease;
        }

        private ModelState copy() {
            ModelState s = new ModelState();
            s.lease = lease.copy();
            s.now = now;
            s.up = up;
            s.watch = watch;
            s.silentSteps = silentSteps;
            s.listChanged = listChanged;
            s.changeDelivered = changeDelivered;
            s.notifiedByUs = notifiedByUs;
            s.restarted = restarted;
            s.moved = moved;
            s.outageHappened = outageHappened;
            s.history = history;
            return s;
        }
    }

    @Test
    void noEventOrderPermitsAnAttemptByAnOutdatedList() {
        Set<String> seen = new HashSet<>();
        Deque<ModelState> unexplored = new ArrayDeque<>();
        unexplored.add(new ModelState());
        int states = 0;
        while (!unexplored.isEmpty()) {
            ModelState state = unexplored.poll();
            for (Step step : Step.values()) {
                for (CallResult callResult : CallResult.values()) {
                    for (boolean refused : new boolean[] {true, false}) {
                        if (!state.isPossible(step)) {
                            continue;
                        }
                        ModelState next = state.next(step, callResult, refused);
                        assertTrue(!next.violatesLease(), () -> "an attempt is permitted after" + next.history);
                        if (next.now < STEPS && seen.add(next.stateKey() + next.now)) {
                            unexplored.add(next);
                            states++;
                        }
                    }
                }
            }
        }
        assertTrue(states > 10_000, states + " states");
    }

    /** The model reaches the fault that the lease guards against: a change counts as notified without having been received. */
    @Test
    void exploredStatesIncludeAnUndeliveredChange() {
        ModelState state = new ModelState();
        state = state.next(Step.NOTHING, CallResult.ANSWERED, true);
        state = state.next(Step.WATCH_ENDS, CallResult.BUSY, true);
        state = state.next(Step.LIST_CHANGES, CallResult.BUSY, true);
        for (int i = 0; i < 6; i++) {
            state = state.next(Step.NOTHING, CallResult.BUSY, true);
        }
        assertTrue(state.listChanged && !state.changeDelivered && state.nowUs() >= state.notifiedByUs);
        assertEquals(false, state.lease.isValidAt(state.nowUs()));
    }
}
