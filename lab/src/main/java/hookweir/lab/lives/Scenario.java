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
    private static final String JOB_ID = "w1";
    private static final long KILL_AFTER_TERM_MS = 3700;
    private static final long REACH_TIMEOUT_S = 20;
    private static final long RECORDER_RESOLUTION_MS = 20;

    /**
     * What came of it.
     *
     * @param outcome      of the job that was under way
     * @param servedByNext    new jobs that the next life served, of those asked
     * @param violations of the rules over both lives
     */
    record Result(Scenario scenario, PausableClient.Outcome outcome, String servedByNext, List<RuleChecker.Violation> violations) {
    }

    static RuleLimits terms() {
        RuleLimits b = RuleLimits.defaults();
        return new RuleLimits(true, Set.of("billing-post"), Map.of("load-order", new RuleLimits.KeyedClass(RuleLimits.Scope.ZONE, 40_000)), b.maxAttempts(),
            b.drainMs(), b.slackMs(), b.noticeDelayMs(), b.termGraceMs(), b.killDelayMs(), b.coldFactor(), b.coldWindowMs(), RECORDER_RESOLUTION_MS);
    }

    /** The configuration of a scheduler of three classes, one of each effect, and two data centres. */
    static String config(int listServicePort, String knownServers) {
        String classes = "";
        String[] effects = {"read_like", "non_idempotent", "idempotency_key"};
        for (int i = 0; i < effects.length; i++) {
            classes += (i == 0 ? "" : ",") + "{'name':'" + KINDS.get(i) + "','aim_us':3000000,'deadline_us':" + PausableClient.DEADLINE_MS * 1000
                + ",'semantics':'" + effects[i] + "','key_scope':'zone','window_us':40000000}";
        }
        return ("{'name':'" + SchedulerProcess.SCHEDULER_NAME + "','listen':'127.0.0.1:0','discovery':'127.0.0.1:" + listServicePort + "','seed':'1','limits':{'sockets':256},"
            + "'known':").replace('\'', '"') + knownServers + (",'settings':{'classes':[" + classes + "],'zones':['a','b'],'kinds':['m'],'discovery':'ask',"
            + "'rules':{'ask_within_us':10000000,'drain_grace_us':250000},'stats':{'via':'pull','fields':['x0']},"
            + "'limits':{'max_attempts':5,'probes':true,'cancel':true,'retry_after':true,'max_retry_after_us':1000000,"
            + "'dial_timeout_us':1000000,'conn_idle_us':10000000}}}").replace('\'', '"');
    }

    /** Plays it. */
    Result run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("hw-lives");
        Path history = folder.resolve("history.jsonl");
        try (Recorder witness = new Recorder(history, terms());
                ListeningSocketHolder socketHolder = point.needsSecondProcess() || stop == Stop.SUCCESSOR ? new ListeningSocketHolder() : null) {
            Result r = new Run(folder, witness, socketHolder).execute();
            witness.finish();
            return new Result(this, r.outcome, r.servedByNext, RuleChecker.check(History.read(history)));
        } catch (IOException e) {
            throw new IOException(point + ", " + stop + ", " + kind + ": " + e.getMessage(), e);
        } finally {
            try (Stream<Path> left = Files.walk(folder)) {
                left.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        }
    }

    /** The stage of one play. */
    private final class Run {
        private final Path folder;
        private final Recorder witness;
        private final ListeningSocketHolder socketHolder;
        private final int port;
        private StubWorkerPair workers;
        private StubListService listService;
        private SchedulerProcess first;
        private SchedulerProcess second;
        private PausableClient client;

        Run(Path folder, Recorder witness, ListeningSocketHolder shared) throws IOException {
            this.folder = folder;
            this.witness = witness;
            this.socketHolder = shared;
            port = shared == null ? Ports.free() : shared.port();
        }

        private SchedulerProcess startProcess(int number) throws IOException {
            return SchedulerProcess.start(root, folder, socketHolder, port, number, stop == Stop.ERROR && number == 1, witness);
        }

        private static void await(CountDownLatch latch, String what) throws IOException, InterruptedException {
            if (!latch.await(REACH_TIMEOUT_S, TimeUnit.SECONDS)) {
                throw new IOException(what + " within " + REACH_TIMEOUT_S + " s");
            }
        }

        Result execute() throws IOException, InterruptedException {
            try (StubWorkerPair w = new StubWorkerPair(point, JOB_ID, port, witness); StubListService l = new StubListService(w, witness)) {
                workers = w;
                listService = l;
                writeConfiguration();
                first = startProcess(1);
                first.awaitReady();
                reachPoint();
                stopAtPoint();
                if (second == null) {
                    writeConfiguration();
                    second = startProcess(2);
                    second.awaitReady();
                }
                resumeStubs();
                return runNewJobsAndStop();
            } finally {
                if (first != null) {
                    first.destroy();
                }
                if (second != null) {
                    second.destroy();
                }
            }
        }

        /** The list in it is as the scheduler had it last. */
        private void writeConfiguration() throws IOException {
            Files.writeString(folder.resolve("config.json"), config(listService.port(), listService.listJson()));
        }

        /** Brings the first life to the point. */
        private void reachPoint() throws IOException, InterruptedException {
            if (point.isRequestIncomplete() && stop == Stop.SUCCESSOR) {
                // A request must be whole 2.5 s after its first byte, and a process may take longer to start: it waits for its list.
                listService.holdResponses();
                second = startProcess(2);
                second.awaitLog("serves on port");
            }
            client = new PausableClient(port, JOB_ID, kind, point, witness);
            boolean byClient = point.isRequestIncomplete() || point == Point.ANSWER_HALF_WRITTEN;
            if (point != Point.DIALLING) {
                await(byClient ? client.pointReached : workers.pointReached, "the point was not reached");
            }
            SchedulerProcess.getStatus(port, "/healthz"); // whatever was written before has been read when this is answered
            switch (point) {
                case LIST_MID_LINE -> listService.drainSecondMidLine();
                case CONFIGURATION_HALF_WRITTEN -> {
                    String whole = Files.readString(folder.resolve("config.json"));
                    Files.writeString(folder.resolve("config.json"), whole.substring(0, whole.length() / 2));
                    first.signal("HUP");
                    first.awaitLog("the configuration stays as it was");
                }
                case SUCCESSOR_WAITS_FOR_LIST -> {
                    listService.holdResponses();
                    second = startProcess(2);
                    listService.awaitRequest();
                }
                case SUCCESSOR_SERVES -> {
                    second = startProcess(2);
                    second.awaitReady();
                }
                case CALL_BACK_BETWEEN_PROCESSES -> {
                    second = startProcess(2);
                    second.awaitReady();
                    first.signal("STOP");
                    workers.resumed.countDown();
                    second.awaitLog("another process serves here");
                    SchedulerProcess.getStatus(port, "/healthz"); // its loop goes on while the first one owes it a verdict
                }
                default -> { }
            }
        }

        /** Stops it there. */
        private void stopAtPoint() throws IOException, InterruptedException {
            switch (stop) {
                case KILL -> first.kill();
                case ERROR -> first.throwErrorInLoop();
                case TERM -> {
                    first.terminate();
                    resumeStubs();
                    first.awaitExit();
                }
                case TERM_THEN_KILL -> {
                    long termed = System.nanoTime();
                    first.terminate();
                    Thread.sleep(Math.max(0, KILL_AFTER_TERM_MS + 20 - (System.nanoTime() - termed) / 1_000_000));
                    if (first.isAlive()) {
                        first.kill();
                    } else {
                        first.awaitExit();
                    }
                }
                case SUCCESSOR -> {
                    if (second == null) {
                        writeConfiguration();
                        second = startProcess(2);
                    }
                    listService.releaseResponses();
                    second.awaitReady();
                    first.terminate();
                    resumeStubs();
                    first.awaitExit();
                }
                case KILL_SUCCESSOR -> {
                    second.kill();
                    if (point == Point.CALL_BACK_BETWEEN_PROCESSES) {
                        first.signal("CONT");
                    }
                    SchedulerProcess last = second;
                    second = first;
                    first = last;
                    second.awaitReady();
                }
                default -> throw new IllegalStateException(stop.toString());
            }
            listService.releaseResponses();
        }

        private void resumeStubs() {
            if (point.isRequestIncomplete() && stop != Stop.TERM && stop != Stop.SUCCESSOR) {
                client.abandon();
            }
            client.resume();
            workers.resumed.countDown();
        }

        /** New jobs of all classes; then the last life is left to end as planned. */
        private Result runNewJobsAndStop() throws IOException, InterruptedException {
            second.awaitReady();
            int served = 0;
            for (String k : KINDS) {
                served += new PausableClient(port, "n-" + k, k, null, witness).awaitOutcome() == PausableClient.Outcome.SERVED ? 1 : 0;
            }
            PausableClient.Outcome end = client.awaitOutcome();
            boolean calls = point != Point.DIALLING && point != Point.TAKEN_NOT_DRAWN && !point.isRequestIncomplete();
            if (calls) {
                await(workers.callbackDone, "the worker's call-back got no end");
            }
            second.terminate();
            second.awaitExit();
            return new Result(Scenario.this, end, served + " of " + KINDS.size(), List.of());
        }
    }
}
