package hookweir.lab.lives;

import hookweir.lab.check.History;
import hookweir.lab.check.RuleChecker;
import hookweir.lab.check.RuleLimits;
import hookweir.lab.net.Ports;
import hookweir.lab.record.Recorder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One scheduler's two lives: it is brought to a point with a job, stopped there, and started anew on the same address;
 * then the stand-ins go on, new jobs are served, and both lives are judged by one history.
 *
 * @param root  the folder with deploy/balancer.toml
 * @param point where the first life is stopped
 * @param stop  how
 * @param kind  the class of the job that is under way then
 */
record Scenario(Path root, Point point, Stop stop, String kind) {
    static final List<String> KINDS = List.of("live-status", "billing-post", "load-order");
    private static final String WATCHED = "w1";
    private static final long TERM_MS = 3700;
    private static final long REACH_S = 20;
    private static final long GRAIN_MS = 20;

    /**
     * What came of it.
     *
     * @param end      of the job that was under way
     * @param later    new jobs that the next life served, of those asked
     * @param breaches of the rules over both lives
     */
    record Result(Scenario scenario, Asker.End end, String later, List<RuleChecker.Violation> breaches) {
    }

    static RuleLimits terms() {
        RuleLimits b = RuleLimits.defaults();
        return new RuleLimits(true, Set.of("billing-post"), Map.of("load-order", new RuleLimits.KeyedClass(RuleLimits.Scope.ZONE, 40_000)), b.maxAttempts(),
            b.drainMs(), b.slackMs(), b.noticeDelayMs(), b.termGraceMs(), b.killDelayMs(), b.coldFactor(), b.coldWindowMs(), GRAIN_MS);
    }

    /** The configuration of a scheduler of three classes, one of each effect, and two data centres. */
    static String config(int discovery, String known) {
        String classes = "";
        String[] effects = {"read_like", "non_idempotent", "idempotency_key"};
        for (int i = 0; i < effects.length; i++) {
            classes += (i == 0 ? "" : ",") + "{'name':'" + KINDS.get(i) + "','aim_us':3000000,'deadline_us':" + Asker.DEADLINE_MS * 1000
                + ",'semantics':'" + effects[i] + "','key_scope':'zone','window_us':40000000}";
        }
        return ("{'name':'" + Life.NAME + "','listen':'127.0.0.1:0','discovery':'127.0.0.1:" + discovery + "','seed':'1','limits':{'sockets':256},"
            + "'known':").replace('\'', '"') + known + (",'settings':{'classes':[" + classes + "],'zones':['a','b'],'kinds':['m'],'discovery':'ask',"
            + "'rules':{'ask_within_us':10000000,'drain_grace_us':250000},'stats':{'via':'pull','fields':['x0']},"
            + "'limits':{'max_attempts':5,'probes':true,'cancel':true,'retry_after':true,'max_retry_after_us':1000000,"
            + "'dial_timeout_us':1000000,'conn_idle_us':10000000}}}").replace('\'', '"');
    }

    /** Plays it. */
    Result play() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("hw-lives");
        Path history = folder.resolve("history.jsonl");
        try (Recorder witness = new Recorder(history, terms());
                Holder shared = point.handOver() || stop == Stop.SUCCESSOR ? new Holder() : null) {
            Result r = new Play(folder, witness, shared).all();
            witness.finish();
            return new Result(this, r.end, r.later, RuleChecker.check(History.read(history)));
        } catch (IOException e) {
            throw new IOException(point + ", " + stop + ", " + kind + ": " + e.getMessage(), e);
        } finally {
            try (Stream<Path> left = Files.walk(folder)) {
                left.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        }
    }

    /** The stage of one play. */
    private final class Play {
        private final Path folder;
        private final Recorder witness;
        private final Holder shared;
        private final int port;
        private Workers workers;
        private ListService list;
        private Life first;
        private Life second;
        private Asker client;

        Play(Path folder, Recorder witness, Holder shared) throws IOException {
            this.folder = folder;
            this.witness = witness;
            this.shared = shared;
            port = shared == null ? Ports.free() : shared.port();
        }

        private Life life(int number) throws IOException {
            return Life.start(root, folder, shared, port, number, stop == Stop.ERROR && number == 1, witness);
        }

        private static void await(CountDownLatch latch, String what) throws IOException, InterruptedException {
            if (!latch.await(REACH_S, TimeUnit.SECONDS)) {
                throw new IOException(what + " within " + REACH_S + " s");
            }
        }

        Result all() throws IOException, InterruptedException {
            try (Workers w = new Workers(point, WATCHED, port, witness); ListService l = new ListService(w, witness)) {
                workers = w;
                list = l;
                configure();
                first = life(1);
                first.awaitReady();
                reach();
                end();
                if (second == null) {
                    configure();
                    second = life(2);
                    second.awaitReady();
                }
                letGo();
                return rest();
            } finally {
                if (first != null) {
                    first.discard();
                }
                if (second != null) {
                    second.discard();
                }
            }
        }

        /** The list in it is as the scheduler had it last. */
        private void configure() throws IOException {
            Files.writeString(folder.resolve("config.json"), config(list.port(), list.list()));
        }

        /** Brings the first life to the point. */
        private void reach() throws IOException, InterruptedException {
            if (point.halfAsked() && stop == Stop.SUCCESSOR) {
                // A request must be whole 2.5 s after its first byte, and a process may take longer to start: it waits for its list.
                list.holds();
                second = life(2);
                second.awaitLog("serves on port");
            }
            client = new Asker(port, WATCHED, kind, point, witness);
            boolean byClient = point.halfAsked() || point == Point.ANSWER_HALF_WRITTEN;
            if (point != Point.DIALLING) {
                await(byClient ? client.reached : workers.reached, "the point was not reached");
            }
            Life.ask(port, "/healthz"); // whatever was written before has been read when this is answered
            switch (point) {
                case LIST_MID_LINE -> list.drainsInMidLine();
                case CONFIGURATION_HALF_WRITTEN -> {
                    String whole = Files.readString(folder.resolve("config.json"));
                    Files.writeString(folder.resolve("config.json"), whole.substring(0, whole.length() / 2));
                    first.signal("HUP");
                    first.awaitLog("the configuration stays as it was");
                }
                case SUCCESSOR_WAITS_FOR_LIST -> {
                    list.holds();
                    second = life(2);
                    list.awaitAsked();
                }
                case SUCCESSOR_SERVES -> {
                    second = life(2);
                    second.awaitReady();
                }
                case CALL_BACK_BETWEEN_PROCESSES -> {
                    second = life(2);
                    second.awaitReady();
                    first.signal("STOP");
                    workers.letGo.countDown();
                    second.awaitLog("another process serves here");
                    Life.ask(port, "/healthz"); // its loop goes on while the first one owes it a verdict
                }
                default -> { }
            }
        }

        /** Stops it there. */
        private void end() throws IOException, InterruptedException {
            switch (stop) {
                case KILL -> first.kill();
                case ERROR -> first.strike();
                case TERM -> {
                    first.term();
                    letGo();
                    first.left();
                }
                case TERM_THEN_KILL -> {
                    long termed = System.nanoTime();
                    first.term();
                    Thread.sleep(Math.max(0, TERM_MS + 20 - (System.nanoTime() - termed) / 1_000_000));
                    if (first.isAlive()) {
                        first.kill();
                    } else {
                        first.left();
                    }
                }
                case SUCCESSOR -> {
                    if (second == null) {
                        configure();
                        second = life(2);
                    }
                    list.letsGo();
                    second.awaitReady();
                    first.term();
                    letGo();
                    first.left();
                }
                case KILL_SUCCESSOR -> {
                    second.kill();
                    if (point == Point.CALL_BACK_BETWEEN_PROCESSES) {
                        first.signal("CONT");
                    }
                    Life last = second;
                    second = first;
                    first = last;
                    second.awaitReady();
                }
                default -> throw new IllegalStateException(stop.toString());
            }
            list.letsGo();
        }

        private void letGo() {
            if (point.halfAsked() && stop != Stop.TERM && stop != Stop.SUCCESSOR) {
                client.giveUp();
            }
            client.goOn();
            workers.letGo.countDown();
        }

        /** New jobs of all classes; then the last life is left to end as planned. */
        private Result rest() throws IOException, InterruptedException {
            second.awaitReady();
            int served = 0;
            for (String k : KINDS) {
                served += new Asker(port, "n-" + k, k, null, witness).end() == Asker.End.SERVED ? 1 : 0;
            }
            Asker.End end = client.end();
            boolean calls = point != Point.DIALLING && point != Point.TAKEN_NOT_DRAWN && !point.halfAsked();
            if (calls) {
                await(workers.told, "the worker's call-back got no end");
            }
            second.term();
            second.left();
            return new Result(Scenario.this, end, served + " of " + KINDS.size(), List.of());
        }
    }
}
