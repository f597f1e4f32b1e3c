package hookweir.lab.check;

import hookweir.Contract;
import hookweir.Contract.Outcome;
import hookweir.Policy;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Runs the real {@link Policy} in a seeded simulation of workers and clients and records a history as seen from outside:
 * what clients sent and received, what workers received and reported, and what the list service sent. Workers reject jobs,
 * lose them, fail them or stop responding, and one drains; some clients disconnect early; near the middle the scheduler is
 * killed and a second process starts from the cached worker list. Time is simulated, in microseconds.
 */
final class PolicySimulation implements Contract.Host {
    /** Faults of the host that the checker must detect: it duplicates sends, makes up results or never responds. */
    enum Flaw { NONE, COPIES, MAKES_UP, FORGETS }

    private record ScheduledAction(long atUs, long order, Runnable action) {
    }

    private static final String[] NAMES = {"live-status", "billing-post", "load-order"};

    private final Flaw flaw;
    private final Random random;
    private final PriorityQueue<ScheduledAction> schedule = new PriorityQueue<>((a, b) -> a.atUs != b.atUs
        ? Long.compare(a.atUs, b.atUs) : Long.compare(a.order, b.order));
    private final List<String> lines = new ArrayList<>();
    private final Contract.Settings settings = new Contract.Settings();
    private Policy policy;
    private final List<Contract.Worker> workers = new ArrayList<>();
    private final long seed;
    private int processNumber = 1;
    private final boolean[] asked;
    private final boolean[] answered;
    private final int[] attempts;
    private final int[] classOf;
    private final int[][] workerOf;
    private final boolean[][] ended;
    /** Jobs held by each worker, which has four slots and reports the free ones with each response. */
    private final int[] jobsHeld = new int[7];
    private long nowUs;
    private long order;

    /** A simulation of six workers and the given number of requests of three classes; one class must never run twice. */
    PolicySimulation(long seed, int requests, Flaw flaw) {
        this.flaw = flaw;
        this.seed = seed;
        random = new Random(seed);
        for (String name : NAMES) {
            Contract.RequestClass requestClass = new Contract.RequestClass();
            requestClass.idempotency = switch (name) {
                case "billing-post" -> Contract.Idempotency.NON_IDEMPOTENT;
                case "load-order" -> Contract.Idempotency.KEYED;
                default -> Contract.Idempotency.IDEMPOTENT;
            };
            requestClass.dedupScope = Contract.DedupScope.ZONE;
            requestClass.softDeadlineUs = 1_000_000;
            requestClass.deadlineUs = 4_000_000;
            requestClass.dedupWindowUs = 1_000_000;
            settings.classes.add(requestClass);
        }
        settings.maxAttempts = 5;
        settings.cancelAllowed = true;
        settings.tickUs = 1000;
        settings.loadReportSource = Contract.LoadReportSource.RESPONSES_AND_PROBES;
        asked = new boolean[requests + 1];
        answered = new boolean[requests + 1];
        attempts = new int[requests + 1];
        classOf = new int[requests + 1];
        workerOf = new int[requests + 1][settings.maxAttempts];
        ended = new boolean[requests + 1][settings.maxAttempts];
        lines.add("{\"ev\":\"terms\",\"version\":2,\"never_twice\":[\"billing-post\"],\"max_attempts\":5,\"drain_ms\":250,"
            + "\"slack_ms\":50,\"cold_times\":3,\"keyed\":{\"load-order\":{\"scope\":\"zone\",\"window_ms\":1000}}}");
        for (int w = 1; w <= 6; w++) {
            Contract.Worker worker = new Contract.Worker();
            worker.id = w;
            worker.zone = w % 2;
            workers.add(worker);
            record("\"ev\":\"worker\",\"worker\":\"s-" + w + "\",\"zone\":\"" + worker.zone + "\"");
        }
        startProcess();
        for (int r = 1; r <= requests; r++) {
            int id = r;
            scheduleAt(r * 80_000L + random.nextInt(40_000), () -> sendRequest(id));
        }
        scheduleAt(requests * 40_000L, () -> drain(workers.get(0)));
        scheduleAt(requests * 50_000L, this::killAndRestart);
    }

    private void startProcess() {
        record("\"ev\":\"life\",\"scheduler\":\"n1/" + processNumber + "\",\"how\":\"start\"");
        policy = new Policy(settings, seed + processNumber, this);
        policy.workerListReceived(nowUs, false, workers);
    }

    /** Kills the scheduler's process; the next one knows the cached worker list and nothing else. */
    private void killAndRestart() {
        record("\"ev\":\"life\",\"scheduler\":\"n1/" + processNumber + "\",\"how\":\"kill\"");
        for (int id = 1; id < answered.length; id++) {
            if (asked[id] && !answered[id]) {
                answered[id] = true;
                record("\"ev\":\"cut\",\"id\":\"r" + id + "\"");
            }
        }
        processNumber++;
        startProcess();
    }

    /** Runs until ten seconds after the last request; it needs an end because the policy's timers recur forever. */
    List<String> run() {
        long endUs = (answered.length + 1) * 80_000L + 10_000_000;
        while (!schedule.isEmpty() && schedule.peek().atUs <= endUs) {
            ScheduledAction next = schedule.poll();
            nowUs = next.atUs;
            next.action.run();
        }
        return lines;
    }

    private void scheduleAt(long atUs, Runnable then) {
        schedule.add(new ScheduledAction(Math.max(atUs, nowUs), order++, then));
    }

    private void record(String json) {
        lines.add("{\"t_ms\":" + nowUs / 1000 + "," + json + "}");
    }

    private void sendRequest(int id) {
        Contract.Request request = new Contract.Request();
        request.id = id;
        request.requestClass = random.nextInt(NAMES.length);
        classOf[id] = request.requestClass;
        asked[id] = true;
        request.costHintUs = 200_000;
        request.deadlineAtUs = nowUs + settings.classes.get(request.requestClass).deadlineUs;
        record("\"ev\":\"ask\",\"id\":\"r" + id + "\",\"kind\":\"" + NAMES[request.requestClass]
            + "\",\"deadline_ms\":" + settings.classes.get(request.requestClass).deadlineUs / 1000
            + ",\"scheduler\":\"n1/" + processNumber + "\",\"sum\":\"" + id + "\"");
        if (random.nextInt(10) == 0) {
            int process = processNumber;
            scheduleAt(nowUs + 500_000, () -> {
                if (!answered[id]) {
                    answered[id] = true;
                    record("\"ev\":\"gone\",\"id\":\"r" + id + "\"");
                    if (process == processNumber) {
                        policy.requestAbandoned(nowUs, id);
                    }
                }
            });
        }
        policy.requestAccepted(nowUs, request);
    }

    private void drain(Contract.Worker w) {
        w.state = Contract.WorkerState.DRAINING;
        record("\"ev\":\"drain\",\"worker\":\"s-" + w.id + "\",\"scheduler\":\"n1/" + processNumber + "\"");
        policy.workerListReceived(nowUs, true, List.of(w));
    }

    private void respond(int id, int status, String body) {
        if (!answered[id]) {
            answered[id] = true;
            record("\"ev\":\"answer\",\"id\":\"r" + id + "\",\"status\":" + status + ",\"body\":\"" + body + "\"");
        }
    }

    private String endEvent(int id, int worker, String how) {
        return "\"ev\":\"end\",\"id\":\"r" + id + "\",\"worker\":\"s-" + worker + "\",\"how\":\"" + how + "\"";
    }

    @Override
    public void send(int requestId, int workerId, long withinUs) {
        int attempt = attempts[requestId]++;
        long sentUs = nowUs;
        int process = processNumber;
        workerOf[requestId][attempt] = workerId;
        jobsHeld[workerId]++;
        record("\"ev\":\"attempt\",\"id\":\"r" + requestId + "\",\"worker\":\"s-" + workerId
            + "\",\"scheduler\":\"n1/" + processNumber + "\",\"sum\":\"" + requestId + "\"");
        // Only for live-status: a duplicate of another class may have run, so later attempts would violate further rules.
        if (flaw == Flaw.COPIES && requestId % 50 == 0 && classOf[requestId] == 0) {
            record("\"ev\":\"attempt\",\"id\":\"r" + requestId + "\",\"worker\":\"s-" + (workerId >= 5 ? workerId - 2 : workerId == 1 ? 5 : workerId + 2)
                + "\",\"scheduler\":\"n1/" + processNumber + "\"");
        }
        int fate = random.nextInt(20);
        Outcome outcome = fate < 3 ? Outcome.FULL : fate < 4 ? Outcome.RESET : fate < 5 ? Outcome.ERROR
            : fate < 6 ? Outcome.TIMEOUT : Outcome.OK;
        long durationUs = outcome == Outcome.FULL ? 1000 : outcome == Outcome.TIMEOUT ? 3_000_000 : 20_000 + random.nextInt(200_000);
        scheduleAt(nowUs + durationUs, () -> completeAttempt(requestId, attempt, workerId, outcome, nowUs - sentUs, process));
    }

    /** Ends an attempt as its worker reports it; the scheduler abandons an attempt that timed out, as the real host does. */
    private void completeAttempt(int id, int attempt, int worker, Outcome outcome, long elapsedUs, int process) {
        if (ended[id][attempt]) {
            return; // cancelled before: the worker's late report is ignored
        }
        ended[id][attempt] = true;
        jobsHeld[worker]--;
        if (process != processNumber && outcome == Outcome.TIMEOUT) {
            return; // the process that would have abandoned it has ended
        }
        switch (outcome) {
            case OK -> record(endEvent(id, worker, "done") + ",\"result\":\"w" + worker + "\"");
            case FULL -> record(endEvent(id, worker, "returned"));
            case ERROR -> record(endEvent(id, worker, "failed"));
            case RESET -> record(endEvent(id, worker, "lost"));
            default -> record("\"ev\":\"cancel\",\"id\":\"r" + id + "\",\"worker\":\"s-" + worker + "\"");
        }
        if (outcome != Outcome.TIMEOUT && random.nextInt(4) == 0) {
            record("\"ev\":\"call\",\"id\":\"r" + id + "\",\"worker\":\"s-" + worker + "\",\"status\":204");
        }
        if (process != processNumber) {
            return;
        }
        boolean closed = outcome == Outcome.OK && !answered[id];
        if (outcome == Outcome.OK) {
            respond(id, 200, "w" + worker);
        }
        Contract.Report load = new Contract.Report();
        load.clear();
        load.freeSlots = Math.max(0, 4 - jobsHeld[worker]);
        policy.attemptEnded(nowUs, id, attempt, worker, outcome, elapsedUs, closed, load);
    }

    @Override
    public void reject(int requestId, long comeBackUs) {
        if (flaw == Flaw.FORGETS) {
            return;
        }
        respond(requestId, flaw == Flaw.MAKES_UP ? 200 : 429, "");
    }

    @Override
    public void fail(int requestId) {
        respond(requestId, 500, "");
    }

    /** Sends DELETE to the worker; the policy is notified by a later action, never within its own call. */
    @Override
    public void cancel(int requestId, int attempt) {
        if (ended[requestId][attempt]) {
            return;
        }
        ended[requestId][attempt] = true;
        int worker = workerOf[requestId][attempt];
        jobsHeld[worker]--;
        record("\"ev\":\"cancel\",\"id\":\"r" + requestId + "\",\"worker\":\"s-" + worker + "\"");
        int process = processNumber;
        scheduleAt(nowUs, () -> {
            if (process == processNumber) {
                policy.attemptEnded(nowUs, requestId, attempt, worker, Outcome.CANCELLED, 0, true, null);
            }
        });
    }

    @Override
    public void probe(int workerId) {
    }

    @Override
    public void startTimer(long token, long delayUs) {
        int process = processNumber;
        scheduleAt(nowUs + delayUs, () -> {
            if (process == processNumber) {
                policy.timerExpired(nowUs, token);
            }
        });
    }

    @Override
    public void watchWorkerList(boolean on) {
    }

    @Override
    public void fetchWorkerList() {
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
    }

    @Override
    public void log(String text) {
    }
}
