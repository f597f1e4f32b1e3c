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
final class PolicyWorld implements Contract.Host {
    /** A wrong host, for showing that the checker catches it: it copies sends, makes up answers or forgets them. */
    enum Flaw { NONE, COPIES, MAKES_UP, FORGETS }

    private record Due(long atUs, long order, Runnable then) {
    }

    private static final String[] NAMES = {"live-status", "billing-post", "load-order"};

    private final Flaw flaw;
    private final Random random;
    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> a.atUs != b.atUs
        ? Long.compare(a.atUs, b.atUs) : Long.compare(a.order, b.order));
    private final List<String> lines = new ArrayList<>();
    private final Contract.Settings settings = new Contract.Settings();
    private Policy policy;
    private final List<Contract.Worker> fleet = new ArrayList<>();
    private final long seed;
    private int life = 1;
    private final boolean[] asked;
    private final boolean[] answered;
    private final int[] attempts;
    private final int[] kindOf;
    private final int[][] workerOf;
    private final boolean[][] ended;
    /** Jobs that each worker holds; it has four slots and tells what is free on each answer. */
    private final int[] holds = new int[7];
    private long now;
    private long order;

    /** A world of six workers and so many requests, half of them of a class that must never run twice. */
    PolicyWorld(long seed, int requests, Flaw flaw) {
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
        kindOf = new int[requests + 1];
        workerOf = new int[requests + 1][settings.maxAttempts];
        ended = new boolean[requests + 1][settings.maxAttempts];
        lines.add("{\"ev\":\"terms\",\"version\":2,\"never_twice\":[\"billing-post\"],\"max_attempts\":5,\"drain_ms\":250,"
            + "\"slack_ms\":50,\"cold_times\":3,\"keyed\":{\"load-order\":{\"scope\":\"zone\",\"window_ms\":1000}}}");
        for (int w = 1; w <= 6; w++) {
            Contract.Worker e = new Contract.Worker();
            e.id = w;
            e.zone = w % 2;
            fleet.add(e);
            seen("\"ev\":\"worker\",\"worker\":\"s-" + w + "\",\"zone\":\"" + e.zone + "\"");
        }
        begin();
        for (int r = 1; r <= requests; r++) {
            int id = r;
            at(r * 80_000L + random.nextInt(40_000), () -> ask(id));
        }
        at(requests * 40_000L, () -> drain(fleet.get(0)));
        at(requests * 50_000L, this::kill);
    }

    private void begin() {
        seen("\"ev\":\"life\",\"scheduler\":\"n1/" + life + "\",\"how\":\"start\"");
        policy = new Policy(settings, seed + life, this);
        policy.workerListReceived(now, false, fleet);
    }

    /** The next life knows the list as the last one had it, and nothing else. */
    private void kill() {
        seen("\"ev\":\"life\",\"scheduler\":\"n1/" + life + "\",\"how\":\"kill\"");
        for (int id = 1; id < answered.length; id++) {
            if (asked[id] && !answered[id]) {
                answered[id] = true;
                seen("\"ev\":\"cut\",\"id\":\"r" + id + "\"");
            }
        }
        life++;
        begin();
    }

    /** Runs the world until ten seconds after its last request: the module's checks of workers recur for good. */
    List<String> run() {
        long endUs = (answered.length + 1) * 80_000L + 10_000_000;
        while (!due.isEmpty() && due.peek().atUs <= endUs) {
            Due d = due.poll();
            now = d.atUs;
            d.then.run();
        }
        return lines;
    }

    private void at(long atUs, Runnable then) {
        due.add(new Due(Math.max(atUs, now), order++, then));
    }

    private void seen(String json) {
        lines.add("{\"t_ms\":" + now / 1000 + "," + json + "}");
    }

    private void ask(int id) {
        Contract.Request r = new Contract.Request();
        r.id = id;
        r.requestClass = random.nextInt(NAMES.length);
        kindOf[id] = r.requestClass;
        asked[id] = true;
        r.costHintUs = 200_000;
        r.deadlineAtUs = now + settings.classes.get(r.requestClass).deadlineUs;
        seen("\"ev\":\"ask\",\"id\":\"r" + id + "\",\"kind\":\"" + NAMES[r.requestClass]
            + "\",\"deadline_ms\":" + settings.classes.get(r.requestClass).deadlineUs / 1000
            + ",\"scheduler\":\"n1/" + life + "\",\"sum\":\"" + id + "\"");
        if (random.nextInt(10) == 0) {
            int by = life;
            at(now + 500_000, () -> {
                if (!answered[id]) {
                    answered[id] = true;
                    seen("\"ev\":\"gone\",\"id\":\"r" + id + "\"");
                    if (by == life) {
                        policy.requestAbandoned(now, id);
                    }
                }
            });
        }
        policy.requestAccepted(now, r);
    }

    private void drain(Contract.Worker w) {
        w.state = Contract.WorkerState.DRAINING;
        seen("\"ev\":\"drain\",\"worker\":\"s-" + w.id + "\",\"scheduler\":\"n1/" + life + "\"");
        policy.workerListReceived(now, true, List.of(w));
    }

    private void answer(int id, int status, String body) {
        if (!answered[id]) {
            answered[id] = true;
            seen("\"ev\":\"answer\",\"id\":\"r" + id + "\",\"status\":" + status + ",\"body\":\"" + body + "\"");
        }
    }

    private String end(int id, int worker, String how) {
        return "\"ev\":\"end\",\"id\":\"r" + id + "\",\"worker\":\"s-" + worker + "\",\"how\":\"" + how + "\"";
    }

    @Override
    public void send(int requestId, int workerId, long withinUs) {
        int attempt = attempts[requestId]++;
        long sent = now;
        int by = life;
        workerOf[requestId][attempt] = workerId;
        holds[workerId]++;
        seen("\"ev\":\"attempt\",\"id\":\"r" + requestId + "\",\"worker\":\"s-" + workerId
            + "\",\"scheduler\":\"n1/" + life + "\",\"sum\":\"" + requestId + "\"");
        // Of live-status alone: a copy of another kind that may have run makes what follows it a breach of further rules.
        if (flaw == Flaw.COPIES && requestId % 50 == 0 && kindOf[requestId] == 0) {
            seen("\"ev\":\"attempt\",\"id\":\"r" + requestId + "\",\"worker\":\"s-" + (workerId >= 5 ? workerId - 2 : workerId == 1 ? 5 : workerId + 2)
                + "\",\"scheduler\":\"n1/" + life + "\"");
        }
        int fate = random.nextInt(20);
        Outcome o = fate < 3 ? Outcome.FULL : fate < 4 ? Outcome.RESET : fate < 5 ? Outcome.ERROR
            : fate < 6 ? Outcome.TIMEOUT : Outcome.OK;
        long took = o == Outcome.FULL ? 1000 : o == Outcome.TIMEOUT ? 3_000_000 : 20_000 + random.nextInt(200_000);
        at(now + took, () -> back(requestId, attempt, workerId, o, now - sent, by));
    }

    /** The worker's word on an attempt; a timed-out attempt is given up by the scheduler as the real host does. */
    private void back(int id, int attempt, int worker, Outcome o, long elapsedUs, int by) {
        if (ended[id][attempt]) {
            return; // called off before: the worker's late word goes to nobody
        }
        ended[id][attempt] = true;
        holds[worker]--;
        if (by != life && o == Outcome.TIMEOUT) {
            return; // the life that would have given it up is over
        }
        switch (o) {
            case OK -> seen(end(id, worker, "done") + ",\"result\":\"w" + worker + "\"");
            case FULL -> seen(end(id, worker, "returned"));
            case ERROR -> seen(end(id, worker, "failed"));
            case RESET -> seen(end(id, worker, "lost"));
            default -> seen("\"ev\":\"cancel\",\"id\":\"r" + id + "\",\"worker\":\"s-" + worker + "\"");
        }
        if (o != Outcome.TIMEOUT && random.nextInt(4) == 0) {
            seen("\"ev\":\"call\",\"id\":\"r" + id + "\",\"worker\":\"s-" + worker + "\",\"status\":204");
        }
        if (by != life) {
            return;
        }
        boolean closed = o == Outcome.OK && !answered[id];
        if (o == Outcome.OK) {
            answer(id, 200, "w" + worker);
        }
        Contract.Report load = new Contract.Report();
        load.clear();
        load.freeSlots = Math.max(0, 4 - holds[worker]);
        policy.attemptEnded(now, id, attempt, worker, o, elapsedUs, closed, load);
    }

    @Override
    public void reject(int requestId, long comeBackUs) {
        if (flaw == Flaw.FORGETS) {
            return;
        }
        answer(requestId, flaw == Flaw.MAKES_UP ? 200 : 429, "");
    }

    @Override
    public void fail(int requestId) {
        answer(requestId, 500, "");
    }

    /** A DELETE to the worker; the module hears of it on the next turn, never inside its own call. */
    @Override
    public void cancel(int requestId, int attempt) {
        if (ended[requestId][attempt]) {
            return;
        }
        ended[requestId][attempt] = true;
        int worker = workerOf[requestId][attempt];
        holds[worker]--;
        seen("\"ev\":\"cancel\",\"id\":\"r" + requestId + "\",\"worker\":\"s-" + worker + "\"");
        int by = life;
        at(now, () -> {
            if (by == life) {
                policy.attemptEnded(now, requestId, attempt, worker, Outcome.CANCELLED, 0, true, null);
            }
        });
    }

    @Override
    public void probe(int workerId) {
    }

    @Override
    public void startTimer(long token, long delayUs) {
        int by = life;
        at(now + delayUs, () -> {
            if (by == life) {
                policy.timerExpired(now, token);
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
