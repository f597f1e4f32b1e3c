package hookweir;

import hookweir.membership.ListCallFailure;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A list service in simulated time that handles the calls of all schedulers one by one. A call that waits too long times out, but
 * is still handled. While the service is down, it handles no calls, and each times out after the same wait.
 */
final class QueueingListService {
    private static final long STEP_US = 5_000;
    private static final long CALL_TIMEOUT_US = 2_000_000;
    private static final long US_PER_S = 1_000_000;

    private record Call(int caller, long atUs) {
    }

    private final List<RecordingHost> callers;
    private final long processingUs;
    private final int[] callsSeen;
    private final boolean[] watching;
    private final Deque<Call> queue = new ArrayDeque<>();
    private final List<Call> unanswered = new ArrayList<>();
    private long nowUs;
    private long freeAtUs;
    private boolean down;

    QueueingListService(List<RecordingHost> callers, int callsPerS) {
        this.callers = callers;
        processingUs = US_PER_S / callsPerS;
        callsSeen = new int[callers.size()];
        watching = new boolean[callers.size()];
    }

    /** The number of schedulers with an open watch. */
    int openWatches() {
        int served = 0;
        for (boolean one : watching) {
            served += one ? 1 : 0;
        }
        return served;
    }

    void down(boolean on) {
        down = on;
    }

    void loseAllWatches() {
        for (int i = 0; i < watching.length; i++) {
            watching[i] = false;
            callers.get(i).policy.workerListFailed(callers.get(i).now, ListCallFailure.WATCH_ENDED);
        }
    }

    void run(long us) {
        for (long end = nowUs + us; nowUs < end; nowUs += STEP_US) {
            for (int i = 0; i < callers.size(); i++) {
                callers.get(i).advance(STEP_US);
                accept(i);
            }
            timeOutCalls();
            processQueue();
        }
    }

    private void accept(int i) {
        for (int calls = callers.get(i).countActions("watch true"); callsSeen[i] < calls; callsSeen[i]++) {
            Call call = new Call(i, nowUs);
            unanswered.add(call);
            if (!down) {
                queue.add(call);
            }
        }
    }

    private void timeOutCalls() {
        for (Call call : List.copyOf(unanswered)) {
            if (nowUs - call.atUs >= CALL_TIMEOUT_US) {
                unanswered.remove(call);
                RecordingHost caller = callers.get(call.caller);
                caller.policy.workerListFailed(caller.now, ListCallFailure.UNANSWERED);
            }
        }
    }

    private void processQueue() {
        freeAtUs = queue.isEmpty() || down ? Math.max(freeAtUs, nowUs) : freeAtUs;
        while (!down && !queue.isEmpty() && freeAtUs + processingUs <= nowUs) {
            freeAtUs += processingUs;
            Call call = queue.poll();
            if (unanswered.remove(call)) {
                watching[call.caller] = true;
                callers.get(call.caller).replaceWorkers();
            }
        }
    }
}
