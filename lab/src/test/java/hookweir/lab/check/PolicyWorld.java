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
 * them, fail them, fall silent, and one drains; clients give up early. Time is the world's own, in microseconds.
 */
final class PolicyWorld implements Contract.Host {
    /** A wrong host, for showing that the checker catches it: it copies sends, makes up answers or forgets them. */
    enum Flaw { NONE, COPIES, MAKES_UP, FORGETS }

    private record Due(long atUs, long order, Runnable then) {
    }

    private static final String[] NAMES = {"live-status", "billing-post"};

    private final Flaw flaw;
    private final Random random;
    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> a.atUs != b.atUs
        ? Long.compare(a.atUs, b.atUs) : Long.compare(a.order, b.order));
    private final List<String> lines = new ArrayList<>();
    private final Contract.Settings settings = new Contract.Settings();
    private final Policy policy;
    private final boolean[] answered;
    private final int[] attempts;
    private final int[][] workerOf;
    private final boolean[][] ended;
    /** Jobs that each worker holds; it has four slots and tells what is free on each answer. */
    private final int[] holds = new int[7];
    private long now;
    private long order;

    /** A world of six workers and so many requests, half of them of a class that must never run twice. */
    PolicyWorld(long seed, int requests, Flaw flaw) {
        this.flaw = flaw;
        random = new Random(seed);
        for (String name : NAMES) {
            Contract.RequestClass c = new Contract.RequestClass();
            c.effect = name.equals("billing-post") ? Contract.Effect.UNSAFE : Contract.Effect.SAFE;
            c.aimUs = 1_000_000;
            c.deadlineUs = 4_000_000;
            c.windowUs = 2_000_000;
            settings.classes.add(c);
        }
        settings.maxAttempts = 5;
        settings.cancels = true;
        settings.tickUs = 1000;
        settings.reports = Contract.ReportsBy.ANSWERS_AND_PROBES;
        policy = new Policy(settings, seed, this);
        answered = new boolean[requests + 1];
        attempts = new int[requests + 1];
        workerOf = new int[requests + 1][settings.maxAttempts];
        ended = new boolean[requests + 1][settings.maxAttempts];
        lines.add("{\"ev\":\"terms\",\"never_twice\":[\"billing-post\"],\"max_attempts\":5,\"drain_ms\":250,"
            + "\"slack_ms\":50,\"cold_times\":3}");
        List<Contract.Worker> fleet = new ArrayList<>();
        for (int w = 1; w <= 6; w++) {
            Contract.Worker e = new Contract.Worker();
            e.id = w;
            fleet.add(e);
        }
        policy.fleet(now, false, fleet);
        for (int r = 1; r <= requests; r++) {
            int id = r;
            at(r * 80_000L + random.nextInt(40_000), () -> ask(id));
        }
        at(requests * 40_000L, () -> drain(fleet.get(0)));
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
        r.requestClass = random.nextInt(2);
        r.hintUs = 200_000;
        r.giveUpAtUs = now + settings.classes.get(r.requestClass).deadlineUs;
        seen("\"ev\":\"ask\",\"id\":\"r" + id + "\",\"kind\":\"" + NAMES[r.requestClass]
            + "\",\"deadline_ms\":" + settings.classes.get(r.requestClass).deadlineUs / 1000);
        if (random.nextInt(10) == 0) {
            at(now + 500_000, () -> {
                if (!answered[id]) {
                    answered[id] = true;
                    seen("\"ev\":\"gone\",\"id\":\"r" + id + "\"");
                    policy.withdrawn(now, id);
                }
            });
        }
        policy.request(now, r);
    }

    private void drain(Contract.Worker w) {
        w.state = Contract.State.DRAINING;
        seen("\"ev\":\"drain\",\"worker\":\"s-" + w.id + "\"");
        policy.fleet(now, true, List.of(w));
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
        workerOf[requestId][attempt] = workerId;
        holds[workerId]++;
        seen("\"ev\":\"attempt\",\"id\":\"r" + requestId + "\",\"worker\":\"s-" + workerId + "\"");
        if (flaw == Flaw.COPIES && requestId % 50 == 0) {
            seen("\"ev\":\"attempt\",\"id\":\"r" + requestId + "\",\"worker\":\"s-" + (workerId % 6 + 1) + "\"");
        }
        int fate = random.nextInt(20);
        Outcome o = fate < 3 ? Outcome.FULL : fate < 4 ? Outcome.RESET : fate < 5 ? Outcome.ERROR
            : fate < 6 ? Outcome.TIMEOUT : Outcome.OK;
        long took = o == Outcome.FULL ? 1000 : o == Outcome.TIMEOUT ? 3_000_000 : 20_000 + random.nextInt(200_000);
        at(now + took, () -> back(requestId, attempt, workerId, o, now - sent));
    }

    /** The worker's word on an attempt; a timed-out attempt is given up by the scheduler as the real host does. */
    private void back(int id, int attempt, int worker, Outcome o, long elapsedUs) {
        if (ended[id][attempt]) {
            return; // called off before: the worker's late word goes to nobody
        }
        ended[id][attempt] = true;
        switch (o) {
            case OK -> seen(end(id, worker, "done") + ",\"result\":\"w" + worker + "\"");
            case FULL -> seen(end(id, worker, "returned"));
            case ERROR -> seen(end(id, worker, "failed"));
            case RESET -> seen(end(id, worker, "lost"));
            default -> seen("\"ev\":\"cancel\",\"id\":\"r" + id + "\",\"worker\":\"s-" + worker + "\"");
        }
        boolean closed = o == Outcome.OK && !answered[id];
        if (o == Outcome.OK) {
            answer(id, 200, "w" + worker);
        }
        holds[worker]--;
        Contract.Report load = new Contract.Report();
        load.clear();
        load.free = Math.max(0, 4 - holds[worker]);
        policy.outcome(now, id, attempt, worker, o, elapsedUs, closed, load);
    }

    @Override
    public void refuse(int requestId, long comeBackUs) {
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
        at(now, () -> policy.outcome(now, requestId, attempt, worker, Outcome.CANCELLED, 0, true, null));
    }

    @Override
    public void probe(int workerId) {
    }

    @Override
    public void timer(long token, long delayUs) {
        at(now + delayUs, () -> policy.timer(now, token));
    }

    @Override
    public void watchList(boolean on) {
    }

    @Override
    public void fetchList() {
    }

    @Override
    public void tell(int peer, byte[] body) {
    }

    @Override
    public void log(String text) {
    }
}
