package hookweir.net;

import hookweir.Contract;
import hookweir.Contract.Outcome;
import hookweir.Contract.Report;
import hookweir.Policy;
import hookweir.config.Config;
import hookweir.config.SettingsMapping;
import hookweir.net.admin.Figures;
import hookweir.net.admin.Standing;
import hookweir.net.egress.Egress;
import hookweir.net.egress.EgressTarget;
import hookweir.net.egress.LoadReport;
import hookweir.net.ingress.Callback;
import hookweir.net.ingress.ExchangeParser;
import hookweir.net.ingress.Ingress;
import hookweir.net.ingress.IngressConnection;
import hookweir.net.ingress.IngressRequest;
import hookweir.net.upgrade.Succession;
import hookweir.net.upgrade.Wire;
import hookweir.room.Room;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The module's host, on the sockets. Owns the module and every exchange; all of it runs on the {@link Loop}.
 * The module is never entered from inside one of its own calls: what a call leads to is posted.
 */
public final class SocketHost implements Contract.Host, Ingress.Handler, Succession.Listener {
    private static final byte[] NOTHING = new byte[0];
    /** Beside clients and links: the JVM's own, operators', discovery's, neighbours', and those not yet seen. */
    private static final int OWN_DESCRIPTORS = 48;
    private static final int PROBE_DIAL_LIMITS = 2;
    private static final int TAKE_DIAL_LIMITS = 6;
    private static final long LOG_EVERY_US = 10_000_000;
    private static final long PUBLISH_EVERY_US = 200_000;
    private static final int MOST_TAKEN = 4096;
    /** SIGKILL comes no sooner than 3.7 s after SIGTERM; what can still be tried elsewhere is let go before. */
    private static final long LET_GO_AFTER_US = 3_500_000;
    private static final int LEAST_SHARE = 16;
    private static final long EXIT_AFTER_US = 900_000;
    private static final long EXIT_POLL_US = 50_000;

    private final Loop loop;
    private final Invariants invariants;
    private final Standing standing;
    private final Figures figures;
    private Contract.Settings settings;
    /** By number. */
    private List<String> classNames;
    private long probeLimitUs;
    private final Contract.Dispatcher module;
    private final Room room;
    private final Ingress ingress;
    private final Egress egress;
    private final Membership membership;
    private final Succession succession;
    private final int sockets;
    private long heldBytes;
    private int heldJobs;
    private ExchangeParser exchangeParser;
    private LoadReport loadReport;
    private final Map<Integer, Exchange> exchanges = new HashMap<>();
    private final Map<String, Exchange> byName = new HashMap<>();
    /** Ids of the last exchanges, over or not. */
    private final Set<String> taken = Recent.last(MOST_TAKEN);
    private int lastId;
    private boolean draining;
    /** This process follows one that serves. */
    private boolean follows;
    /** A later process has taken over the clients. */
    private boolean retired;

    public SocketHost(Config config, Loop loop, Transport transport, Invariants invariants, Standing standing,
            Figures figures) {
        this.loop = loop;
        this.invariants = invariants;
        this.standing = standing;
        this.figures = figures;
        room = new Room(config.heldBytes(), config.heldJobs());
        adopt(config.settings());
        sockets = config.sockets();
        heldBytes = config.heldBytes();
        heldJobs = config.heldJobs();
        Dialer dialer = new Dialer(loop, transport);
        ingress = new Ingress(loop, transport, invariants, room, this::links, this);
        egress = new Egress(loop, dialer, invariants, config.settings().dialTimeoutUs, config.settings().connIdleUs, room, ingress::size);
        module = new Policy(settings, config.seed(), this);
        membership = new Membership(config, loop, dialer, invariants, egress, module, this::ready);
        succession = new Succession(loop, invariants, config.meeting(), this);
        share();
    }

    /** Begins to learn of the workers. On the loop. */
    public void start(Config config) {
        membership.start(config);
        egress.start();
        loop.after(LOG_EVERY_US, this::report);
        publishRegularly();
    }

    private void publishRegularly() {
        publish();
        loop.after(PUBLISH_EVERY_US, this::publishRegularly);
    }

    /** The module is asked here, so that no operator waits for the loop. */
    private void publish() {
        figures.held(room.bytes(), room.mostBytes(), room.jobs(), room.mostJobs());
        figures.targets(egress.targets(), module.avoided(loop.nowUs()));
    }

    /**
     * Takes the clients' address; the port that it got. Where a process of this scheduler serves already, nobody is accepted until
     * this one is {@link #ready}. Before the loop runs.
     */
    public int listen(Config config) throws IOException {
        int port = ingress.listen(config.listen(), config.inherited());
        follows = succession.follow();
        if (follows) {
            ingress.accepts(false);
        }
        return port;
    }

    /** The workers are known as well as they can be: requests are sent on from now on. */
    private void ready() {
        if (follows) {
            ingress.accepts(true);
        }
        publish();
        standing.serves();
        succession.serves();
        Log.line(follows ? "took over" : "ready");
    }

    /** Ends what no connection's end does. */
    void end() {
        succession.end();
    }

    // ---- other processes of this scheduler ----

    @Override
    public void neighboursChanged() {
        share();
        if (succession.succeeded() != retired) {
            retired = !retired;
            standing.succeeded(retired);
            ingress.accepts(!retired);
            turned();
        }
    }

    /** All processes of a scheduler share one machine: its descriptors and its memory. */
    private void share() {
        int processes = 1 + succession.neighbours();
        room.limit(heldBytes / processes, heldJobs / processes);
        room.descriptors(Math.max(LEAST_SHARE, sockets / processes - OWN_DESCRIPTORS));
        egress.fit();
        ingress.fit();
    }

    @Override
    public void passed(byte[] callback, Wire from, Consumer<Boolean> verdict) {
        Callback told = Callback.parse(callback);
        if (told != null && ours(told)) {
            invariants.count("call-backs from a neighbour");
            called(told);
            verdict.accept(true);
        } else {
            succession.pass(callback, from, verdict);
        }
    }

    private boolean ours(Callback told) {
        return byName.containsKey(told.id()) || taken.contains(told.id());
    }

    private void report() {
        Log.line("held=" + byName.size() + " ingress=" + ingress.size() + " egress=" + egress.size() + " bytes=" + room.bytes()
            + " timers=" + loop.timers() + " " + invariants);
        loop.after(LOG_EVERY_US, this::report);
    }

    /** All that the settings decide here. */
    private void adopt(SettingsMapping mapped) {
        settings = mapped.settings;
        classNames = mapped.classNames;
        figures.classes(List.copyOf(mapped.classNumbers.keySet()));
        probeLimitUs = PROBE_DIAL_LIMITS * mapped.dialTimeoutUs;
        room.classes(settings.classes);
        exchangeParser = new ExchangeParser(mapped.classNumbers, settings.classes, mapped.tenantNumbers);
        loadReport = new LoadReport(mapped.reportFields);
    }

    /**
     * Takes over a configuration that was read and checked whole. Jobs under way keep the numbers of their classes.
     * Where another address serves the list, what was told of it so far stands until that one speaks.
     */
    void reload(Config next) {
        adopt(next.settings());
        heldBytes = next.heldBytes();
        heldJobs = next.heldJobs();
        share();
        egress.limits(next.settings().dialTimeoutUs, next.settings().connIdleUs);
        membership.adopt(next.settings());
        module.retune(loop.nowUs(), settings);
        membership.move(next.discovery());
        invariants.count("reloads");
        figures.reloaded(true);
        Log.line("reloaded: discovery " + next.discovery() + ", classes " + next.settings().classNumbers + ", at most "
            + settings.maxAttempts + " attempts");
    }

    // ---- requests ----

    private int links() {
        return egress == null ? 0 : egress.size();
    }

    @Override
    public boolean isJob(String path) {
        return path.equals("/api") || path.startsWith("/api/");
    }

    @Override
    public int numberOf(String kind) {
        return exchangeParser.numberOf(kind);
    }

    @Override
    public void turnedAway(String kind) {
        int number = numberOf(kind);
        if (number >= 0) {
            figures.turnedAway(classNames.get(number));
        }
    }

    @Override
    public String comeBack() {
        return settings.comeBackAdvice ? seconds(settings.maxComeBackUs) : null;
    }

    private static String seconds(long us) {
        return us <= 0 ? null : String.format(Locale.ROOT, "%.3f", us / 1e6);
    }

    @Override
    public void request(IngressConnection from, IngressRequest request) {
        if (!serve(from, request)) {
            ingress.release(request);
        }
    }

    /** True where it is held as an exchange. */
    private boolean serve(IngressConnection from, IngressRequest request) {
        if (request.path().equals("/callback")) {
            ingress.carriesCallbacks(from);
            if (request.method().equals("POST")) {
                Callback told = Callback.parse(request.body());
                if (told == null) {
                    invariants.count("ingress bad call-back");
                    ingress.answer(from, 400, null, NOTHING);
                } else if (ours(told)) {
                    ingress.answer(from, 204, null, NOTHING);
                    called(told);
                } else {
                    // Processes that share the socket get each other's: answered once the job's own has it.
                    succession.pass(request.body(), null, known -> {
                        invariants.count(known ? "call-backs for a neighbour" : "call-backs for nothing");
                        ingress.answer(from, 204, null, NOTHING);
                    });
                }
            } else {
                ingress.answer(from, 405, null, NOTHING);
            }
        } else if (request.path().equals("/healthz")) {
            ingress.answer(from, standing.wantsClients() ? 200 : 503, null, NOTHING);
        } else if (!isJob(request.path())) {
            // Classes without a key come to the bare path.
            invariants.count("ingress unknown path");
            ingress.answer(from, 404, null, NOTHING);
        } else if (!request.method().equals("POST")) {
            ingress.answer(from, 405, null, NOTHING);
        } else {
            return take(from, request);
        }
        return false;
    }

    private boolean take(IngressConnection from, IngressRequest request) {
        Contract.Request r;
        try {
            r = exchangeParser.parse(request.headers(), request.path(), ++lastId, loop.nowUs());
        } catch (ExchangeParser.BadRequest e) {
            invariants.count("ingress bad request");
            ingress.answer(from, 400, null, e.getMessage().getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            return false;
        }
        if (byName.containsKey(request.headers().id()) || !taken.add(request.headers().id())) {
            // An id names one job to workers, which may run it still when its answer is given: two of one id could
            // not be told apart.
            invariants.count("ingress id twice");
            ingress.answer(from, 409, null, NOTHING);
            return false;
        }
        if (room.job(r.requestClass) == Room.Verdict.REFUSE) {
            invariants.count("exchanges refused for room");
            figures.turnedAway(classNames.get(r.requestClass));
            ingress.answer(from, 429, comeBack(), NOTHING);
            return false;
        }
        if (r.tenant == ExchangeParser.NOBODY) {
            invariants.count("exchanges of no known owner");
        }
        Exchange x = new Exchange(r, request, from);
        exchanges.put(r.id, x);
        byName.put(request.headers().id(), x);
        invariants.count("exchanges");
        figures.taken();
        ingress.onGone(from, () -> {
            x.closed = true;
            figures.abandoned();
            invariants.count("clients gone");
            module.withdrawn(loop.nowUs(), r.id);
            settle(x);
        });
        module.request(loop.nowUs(), r);
        return true;
    }

    /** The one place that gives a final answer. */
    private boolean close(Exchange x, int status, String retryAfter, byte[] body) {
        if (x.closed) {
            return false;
        }
        x.closed = true;
        invariants.count("answers " + status);
        figures.answered(classNames.get(x.request.requestClass), status);
        ingress.answer(x.client, status, retryAfter, body);
        return true;
    }

    /** Refuses an exchange: trying again is harmless, best after so long. */
    private void shed(Exchange x, long comeBackUs) {
        close(x, 429, seconds(comeBackUs), NOTHING);
        settle(x);
    }

    /** Forgets an exchange that is closed and has no hop out. */
    private void settle(Exchange x) {
        if (x.closed && x.out() == null && exchanges.remove(x.request.id, x)) {
            byName.remove(x.from.headers().id(), x);
            if (x.guard != null) {
                x.guard.cancel();
            }
            room.jobGone();
            ingress.release(x.from);
        }
    }

    private void called(Callback told) {
        Exchange x = byName.get(told.id());
        Hop hop = null;
        for (int i = 0; x != null && i < x.hops.size(); i++) {
            Hop one = x.hops.get(i);
            hop = one.sent() && one.target.name.equals(told.from()) ? one : hop;
        }
        if (hop == null) {
            // Repeated, late, or not from the worker that has the job: answered, but nothing comes of it.
            invariants.count("call-backs for nothing");
            return;
        }
        hop.known();
        Report report = loadReport.ofJson(told.load());
        switch (told.state()) {
            case "started" -> module.progress(loop.nowUs(), x.request.id, hop.number, hop.workerId, 0);
            case "running" -> module.progress(loop.nowUs(), x.request.id, hop.number, hop.workerId, told.share());
            case "done" -> hop.told(Outcome.OK, report, told.result());
            case "failed" -> hop.told(Outcome.ERROR, report, null);
            case "returned" -> hop.told(Outcome.FULL, report, null);
            case "lost" -> hop.told(Outcome.RESET, report, null);
            default -> invariants.count("call-backs of unknown state");
        }
    }

    /** The one end of every hop: answers the client if it was served, then tells the module. */
    void hopOver(Hop hop, Outcome outcome, long elapsedUs, Report report, byte[] result) {
        Exchange x = hop.exchange;
        invariants.count("hops " + outcome);
        Runnable tell = () -> {
            module.outcome(loop.nowUs(), x.request.id, hop.number, hop.workerId, outcome, elapsedUs, x.closed, report);
            settle(x);
        };
        if (outcome == Outcome.OK) {
            // Only a call-back ends a hop so, and no call-back comes inside a call of the module: it hears at once, or it could
            // decide on a job that was served a moment ago.
            close(x, 200, null, result);
            tell.run();
        } else {
            loop.post(tell);
        }
    }

    /** A hop's last byte is written. */
    void dispatched() {
        figures.dispatched();
    }

    /** A report from an answer's header, or null. */
    Report report(String header) {
        return loadReport.ofPairs(header);
    }

    /** A second hop of it would do no harm. */
    boolean repeatable(Exchange x) {
        return settings.classes.get(x.request.requestClass).effect != Contract.Effect.UNSAFE;
    }

    /** Attempts can be called off. */
    boolean cancels() {
        return settings.cancels;
    }

    /** A worker that is well says sooner than this that it took a job. */
    long takeLimitUs() {
        return TAKE_DIAL_LIMITS / PROBE_DIAL_LIMITS * probeLimitUs;
    }

    /** The loop that all this runs on. */
    Loop loop() {
        return loop;
    }

    /** Tells a worker that a hop that it took is given up; runs the task once that is on its way, or can't be. */
    void delete(Hop hop, Runnable after) {
        new Errand(loop, egress, invariants, probeLimitUs, hop.target, "DELETE", "/jobs/" + hop.exchange.from.headers().id(), Egress.ANY) {
            @Override
            void onWritten() {
                after.run();
            }

            @Override
            void onEnd(Outcome outcome, Link.Piece last, byte[] body) {
                after.run();
            }
        }.start();
    }

    // ---- Contract.Host ----

    @Override
    public void send(int requestId, int workerId, long withinUs) {
        Exchange x = exchanges.get(requestId);
        if (!invariants.hold(x != null, "send for an unknown exchange")) {
            loop.post(() -> module.outcome(loop.nowUs(), requestId, 0, workerId, Outcome.MOOT, 0, true, null));
            return;
        }
        long now = loop.nowUs();
        long left = x.request.giveUpAtUs - now;
        int number = x.hops.size();
        EgressTarget target = egress.target(workerId);
        boolean moot = x.closed || left <= 0 || number >= settings.maxAttempts
            || !invariants.hold(settings.secondCopies || x.out() == null, "two hops out at once");
        if (moot || target == null) {
            x.hops.add(new Hop(this, egress, x, workerId, null, number, now));
            x.hops.get(number).never(moot ? Outcome.MOOT : Outcome.CONNECT_FAILED);
        } else {
            x.hops.add(new Hop(this, egress, x, workerId, target, number, now));
            x.hops.get(number).start(withinUs > 0 ? Math.min(withinUs, left) : left);
        }
    }

    @Override
    public void refuse(int requestId, long comeBackUs) {
        Exchange x = exchanges.get(requestId);
        if (invariants.hold(x != null && !x.closed, "refusal of a closed exchange")) {
            shed(x, comeBackUs);
        }
    }

    @Override
    public void fail(int requestId) {
        Exchange x = exchanges.get(requestId);
        if (invariants.hold(x != null && !x.closed, "failure of a closed exchange")) {
            close(x, 500, null, NOTHING);
            settle(x);
        }
    }

    @Override
    public void cancel(int requestId, int attempt) {
        Exchange x = exchanges.get(requestId);
        if (x != null && attempt >= 0 && attempt < x.hops.size()) {
            x.hops.get(attempt).giveUp(Outcome.CANCELLED);
        }
    }

    @Override
    public void probe(int workerId) {
        EgressTarget target = egress.target(workerId);
        if (target == null) {
            loop.post(() -> module.probed(loop.nowUs(), workerId, Outcome.CONNECT_FAILED, 0, null));
            return;
        }
        invariants.count("probes");
        new Errand(loop, egress, invariants, probeLimitUs, target, "GET", settings.reports == Contract.ReportsBy.NEVER ? "/healthz" : "/load", Egress.SETTLED) {
            @Override
            void onEnd(Outcome outcome, Link.Piece last, byte[] whole) {
                Report report = last == null ? null : last.load() != null ? loadReport.ofPairs(last.load()) : loadReport.ofBody(whole);
                long elapsed = loop.nowUs() - startUs;
                loop.post(() -> module.probed(loop.nowUs(), workerId, outcome, elapsed, report));
            }
        }.start();
    }

    @Override
    public void timer(long token, long delayUs) {
        loop.after(delayUs, () -> module.timer(loop.nowUs(), token));
    }

    @Override
    public void guard(int requestId, long token, long delayUs) {
        Exchange x = exchanges.get(requestId);
        if (invariants.hold(x != null, "guard of an unknown exchange")) {
            x.guard = loop.after(delayUs, () -> module.timer(loop.nowUs(), token));
        }
    }

    @Override
    public void watchList(boolean on) {
        membership.watch(on);
    }

    @Override
    public void fetchList() {
        membership.fetch();
    }

    @Override
    public void tell(int peer, byte[] body) {
        // The socket protocol has no messages between schedulers.
        invariants.count("messages to peers dropped");
    }

    @Override
    public void log(String text) {
        Log.line("module: " + text);
    }

    // ---- a planned end ----

    /** Operators sent clients away or called them back: those connected follow. A planned end is not undone by it. */
    void turned() {
        boolean away = standing.isQuiesced() || draining || retired;
        invariants.count(away ? "clients sent away" : "clients welcome");
        ingress.sendAway(away);
    }

    /**
     * After SIGTERM: ends the clients' connections between requests, so that they go to other schedulers, lets
     * the module refuse what it can't see to its end, and stops the loop once nothing is held.
     */
    public void drain() {
        if (!draining) {
            draining = true;
            standing.leaves();
            int held = byName.size();
            long since = loop.nowUs();
            ingress.sendAway(true);
            module.leaving(since, since + LET_GO_AFTER_US);
            Log.line("draining, held=" + held + ", of them let go at once " + exchanges.values().stream().filter(x -> x.closed).count());
            loop.after(EXIT_AFTER_US, () -> exitWhenIdle(since));
        }
    }

    private void exitWhenIdle(long since) {
        if (exchanges.isEmpty() && ingress.quiet()) {
            // Whoever comes now waits in an inherited socket for the process that follows.
            ingress.accepts(false);
            Log.line("idle " + (loop.nowUs() - since) / 1000 + " ms after the signal, leaving; " + invariants);
            loop.stop();
        } else {
            loop.after(EXIT_POLL_US, () -> exitWhenIdle(since));
        }
    }
}
