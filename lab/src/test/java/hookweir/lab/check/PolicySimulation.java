package hookweir.lab.check;

import hookweir.Contract;
import hookweir.Contract.Outcome;
import hookweir.Policy;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * The real module in a small world of seeded workers and clients, written down as a history from outside: what the
 * clients asked and got, what the workers were sent and told, and what the list said. Workers turn jobs away, lose
 * them, fail them, fall silent, and one drains; clients give up early; half way the scheduler is killed, and a second life
 * of it begins with the list as last held. Time is the world's own, in microseconds.
 */
final class PolicySimulation implements Contract.Host {
    /** A wrong host, for showing that the checker catches it: it copies sends, makes up answers or forgets them. */
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
    /** Jobs that each worker holds; it has four slots and tells what is free on each answer. */
    private final int[] jobsHeld = new int[7];
    private long nowUs;
    private long order;

    /** A world of six workers and so many requests, half of them of a class that must never run twice. */
    PolicySimulation(long seed, int requests, Flaw flaw) {
        this.flaw = flaw;
        this.seed = seed;
        random = new Random(seed);
        for (String name : NAMES) {
            Contract.RequestClass c = new Contract.RequestClass();
            c.idempotency = switch (name) {
                case "billing-post" -> Contract.Idempotency.NON_IDEMPOTENT;
                case "load-order" -> Contract.Idempotency.KEYED;
                default -> Contract.Idempotency.IDEMPOTENT;
            };
            c.dedupScope = Contract.DedupScope.ZONE;
            c.softDeadlineUs = 1_000_000;
            c.deadlineUs = 4_000_000;
            c.dedupWindowUs = 1_000_000;
            settings.classes.add(c);
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
            Contract.Worker e = new Contract.Worker();
            e.id = w;
            e.zone = w % 2;
            workers.add(e);
            record("\"ev\":\"worker\",\"worker\":\"s-" + w + "\",\"zone\":\"" + e.zone + "\"");
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

    /** The next life knows the list as the last one had it, and nothing else. */
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

    /** Runs the world until ten seconds after its last request: the module's checks of workers recur for good. */
    List<String> run() {
        long endUs = (answered.length + 1) * 80_000L + 10_000_000;
        while (!schedule.isEmpty() && schedule.peek().atUs <= endUs) {
            ScheduledAction d = schedule.poll();
            nowUs = d.atUs;
            d.action.run();
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
        Contract.Request r = new Contract.Request();
        r.id = id;
        r.requestClass = random.nextInt(NAMES.length);
        classOf[id] = r.requestClass;
        asked[id] = true;
        r.costHintUs = 200_000;
        r.deadlineAtUs = nowUs + settings.classes.get(r.requestClass).deadlineUs;
        record("\"ev\":\"ask\",\"id\":\"r" + id + "\",\"kind\":\"" + NAMES[r.requestClass]
            + "\",\"deadline_ms\":" + settings.classes.get(r.requestClass).deadlineUs / 1000
            + ",\"scheduler\":\"n1/" + processNumber + "\",\"sum\":\"" + id + "\"");
        if (random.nextInt(10) == 0) {
            int by = processNumber;
            scheduleAt(nowUs + 500_000, () -> {
                if (!answered[id]) {
                    answered[id] = true;
                    record("\"ev\":\"gone\",\"id\":\"r" + id + "\"");
                    if (by == processNumber) {
                        policy.requestAbandoned(nowUs, id);
                    }
                }
            });
        }
        policy.requestAccepted(nowUs, r);
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
        long sent = nowUs;
        int by = processNumber;
        workerOf[requestId][attempt] = workerId;
        jobsHeld[workerId]++;
        record("\"ev\":\"attempt\",\"id\":\"r" + requestId + "\",\"worker\":\"s-" + workerId
            + "\",\"scheduler\":\"n1/" + processNumber + "\",\"sum\":\"" + requestId + "\"");
        // Of live-status alone: a copy of another kind that may have run makes what follows it a breach of further rules.
        if (flaw == Flaw.COPIES && requestId % 50 == 0 && classOf[requestId] == 0) {
            record("\"ev\":\"attempt\",\"id\":\"r" + requestId + "\",\"worker\":\"s-" + (workerId >= 5 ? workerId - 2 : workerId == 1 ? 5 : workerId + 2)
                + "\",\"scheduler\":\"n1/" + processNumber + "\"");
        }
        int fate = random.nextInt(20);
        Outcome o = fate < 3 ? Outcome.FULL : fate < 4 ? Outcome.RESET : fate < 5 ? Outcome.ERROR
            : fate < 6 ? Outcome.TIMEOUT : Outcome.OK;
        long took = o == Outcome.FULL ? 1000 : o == Outcome.TIMEOUT ? 3_000_000 : 20_000 + random.nextInt(200_000);
        scheduleAt(nowUs + took, () -> completeAttempt(requestId, attempt, workerId, o, nowUs - sent, by));
    }

    /** The worker's word on an attempt; a timed-out attempt is given up by the scheduler as the real host does. */
    private void completeAttempt(int id, int attempt, int worker, Outcome o, long elapsedUs, int by) {
        if (ended[id][attempt]) {
            return; // called off before: the worker's late word goes to nobody
        }
        ended[id][attempt] = true;
        jobsHeld[worker]--;
        if (by != processNumber && o == Outcome.TIMEOUT) {
            return; // the life that would have given it up is over
        }
        switch (o) {
            case OK -> record(endEvent(id, worker, "done") + ",\"result\":\"w" + worker + "\"");
            case FULL -> record(endEvent(id, worker, "returned"));
            case ERROR -> record(endEvent(id, worker, "failed"));
            case RESET -> record(endEvent(id, worker, "lost"));
            default -> record("\"ev\":\"cancel\",\"id\":\"r" + id + "\",\"worker\":\"s-" + worker + "\"");
        }
        if (o != Outcome.TIMEOUT && random.nextInt(4) == 0) {
            record("\"ev\":\"call\",\"id\":\"r" + id + "\",\"worker\":\"s-" + worker + "\",\"status\":204");
        }
        if (by != processNumber) {
            return;
        }
        boolean closed = o == Outcome.OK && !answered[id];
        if (o == Outcome.OK) {
            respond(id, 200, "w" + worker);
        }
        Contract.Report load = new Contract.Report();
        load.clear();
        load.freeSlots = Math.max(0, 4 - jobsHeld[worker]);
        policy.attemptEnded(nowUs, id, attempt, worker, o, elapsedUs, closed, load);
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

    /** A DELETE to the worker; the module hears of it on the next turn, never inside its own call. */
    @Override
    public void cancel(int requestId, int attempt) {
        if (ended[requestId][attempt]) {
            return;
        }
        ended[requestId][attempt] = true;
        int worker = workerOf[requestId][attempt];
        jobsHeld[worker]--;
        record("\"ev\":\"cancel\",\"id\":\"r" + requestId + "\",\"worker\":\"s-" + worker + "\"");
        int by = processNumber;
        scheduleAt(nowUs, () -> {
            if (by == processNumber) {
                policy.attemptEnded(nowUs, requestId, attempt, worker, Outcome.CANCELLED, 0, true, null);
            }
        });
    }

    @Override
    public void probe(int workerId) {
    }

    @Override
    public void startTimer(long token, long delayUs) {
        int by = processNumber;
        scheduleAt(nowUs + delayUs, () -> {
            if (by == processNumber) {
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
