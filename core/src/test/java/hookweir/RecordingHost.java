package hookweir;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** A host that records the actions of a policy, and runs its timers when a test advances the clock. */
final class RecordingHost implements Contract.Host {
    final List<String> actions = new ArrayList<>();
    final List<Integer> sentTo = new ArrayList<>();
    final List<Integer> probes = new ArrayList<>();
    private final TreeMap<Long, List<Long>> timers = new TreeMap<>();
    long now = 1_000_000_000L;
    Policy policy;

    static RecordingHost with(Contract.Settings settings, long seed) {
        RecordingHost host = new RecordingHost();
        host.policy = new Policy(settings, seed, host);
        return host;
    }

    /** Advances the clock and runs the timers that expire until then. */
    void advance(long us) {
        long until = now + us;
        while (!timers.isEmpty() && timers.firstKey() <= until) {
            now = Math.max(now, timers.firstKey());
            for (long token : timers.pollFirstEntry().getValue()) {
                policy.timerExpired(now, token);
            }
        }
        now = until;
    }

    void replaceWorkers(Contract.Worker... workers) {
        policy.workerListReceived(now, false, List.of(workers));
    }

    void changeWorkers(Contract.Worker... workers) {
        policy.workerListReceived(now, true, List.of(workers));
    }

    /** A new request of class 0 whose client waits for the full deadline of the class. */
    Contract.Request newRequest(int id, Contract.Settings settings) {
        Contract.Request r = new Contract.Request();
        r.id = id;
        r.deadlineAtUs = now + settings.classes.get(0).deadlineUs;
        return r;
    }

    void accept(int id, Contract.Settings settings) {
        policy.requestAccepted(now, newRequest(id, settings));
    }

    void reportFreeSlots(int worker, double free) {
        policy.probeEnded(now, worker, Contract.Outcome.OK, 500, reportOf(free));
    }

    void endAttempt(int id, int attempt, int worker, Contract.Outcome outcome, boolean closed) {
        policy.attemptEnded(now, id, attempt, worker, outcome, 1000, closed, null);
    }

    int countActions(String start) {
        return (int) actions.stream().filter(a -> a.startsWith(start)).count();
    }

    static Contract.Report reportOf(double slots) {
        Contract.Report r = new Contract.Report();
        r.clear();
        r.freeSlots = slots;
        return r;
    }

    static Contract.Worker worker(int id) {
        Contract.Worker w = new Contract.Worker();
        w.id = id;
        return w;
    }

    /** One class with a soft deadline of 1 s and a deadline of 10 s; probes are not allowed. */
    static Contract.Settings settings(Contract.Idempotency idempotency) {
        Contract.Settings s = new Contract.Settings();
        Contract.RequestClass c = new Contract.RequestClass();
        c.idempotency = idempotency;
        c.dedupScope = Contract.DedupScope.CELL;
        c.softDeadlineUs = 1_000_000;
        c.lateValueShare = 0.5;
        c.deadlineUs = 10_000_000;
        c.dedupWindowUs = 2_000_000;
        s.classes.add(c);
        s.maxAttempts = 4;
        s.cancelAllowed = true;
        s.responseSlackUs = 20_000;
        s.warmUpUs = 10_000_000;
        s.loadReportSource = Contract.LoadReportSource.RESPONSES_AND_PROBES;
        return s;
    }

    /** As {@link #settings}, but with reports by probes only, at a price that allows one probe per job. */
    static Contract.Settings probingSettings(Contract.Idempotency idempotency) {
        Contract.Settings s = settings(idempotency);
        s.probesAllowed = true;
        s.loadReportSource = Contract.LoadReportSource.PROBES;
        s.probePrice = 0.01;
        return s;
    }

    /** Workers with the ids 0 to n - 1. */
    static Contract.Worker[] workers(int n) {
        Contract.Worker[] fleet = new Contract.Worker[n];
        for (int i = 0; i < n; i++) {
            fleet[i] = worker(i);
        }
        return fleet;
    }

    @Override
    public void send(int requestId, int workerId, long timeoutUs) {
        actions.add("send " + requestId + " " + workerId);
        sentTo.add(workerId);
    }

    @Override
    public void reject(int requestId, long retryAfterUs) {
        actions.add("reject " + requestId);
    }

    @Override
    public void fail(int requestId) {
        actions.add("fail " + requestId);
    }

    @Override
    public void cancel(int requestId, int attempt) {
        actions.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void probe(int workerId) {
        actions.add("probe " + workerId);
        probes.add(workerId);
    }

    @Override
    public void startTimer(long token, long delayUs) {
        if (delayUs < 0) {
            throw new IllegalArgumentException("timer in the past");
        }
        timers.computeIfAbsent(now + delayUs, k -> new ArrayList<>()).add(token);
    }

    @Override
    public void watchWorkerList(boolean on) {
        actions.add("watch " + on);
    }

    @Override
    public void fetchWorkerList() {
        actions.add("fetch");
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        actions.add("sendToPeer " + peer);
    }

    @Override
    public void log(String text) {
        actions.add("log " + text);
    }
}
