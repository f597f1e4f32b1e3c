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
 * A stop and restart of one scheduler: the first process is brought to a point of its work on a job and stopped there, and a second
 * process starts on the same address. Then the stubs continue, new jobs are served, and the rules are checked on one history of both
 * processes.
 *
 * @param root  the folder with deploy/balancer.toml
 * @param point where the first process is stopped
 * @param stop  how it is stopped
 * @param kind  the class of the job in progress at that time
 */
record Scenario(Path root, Point point, Stop stop, String kind) {
    static final List<String> KINDS = List.of("live-status", "billing-post", "load-order");
    /** The id of the job that is held at the point. */
    private static final String JOB_ID = "w1";
    private static final long REACH_TIMEOUT_S = 20;
    private static final int DESCRIPTORS = 256;
    private static final long RECORDER_RESOLUTION_MS = 20;

    /**
     * The result of a scenario.
     *
     * @param outcome      how the job in progress ended for its client
     * @param servedByNext how many of the new jobs the next process served, as in "3 of 3"
     * @param violations   the rules that the history of both processes violates
     */
    record Result(Scenario scenario, PausableClient.Outcome outcome, String servedByNext, List<RuleChecker.Violation> violations) {
    }

    /** The rules by which histories of these tests are checked. */
    static RuleLimits terms() {
        RuleLimits brief = RuleLimits.defaults();
        return new RuleLimits(true, Set.of("billing-post"), Map.of("load-order", new RuleLimits.KeyedClass(RuleLimits.Scope.ZONE, 40_000)), brief.maxAttempts(),
            brief.drainMs(), brief.slackMs(), brief.noticeDelayMs(), brief.termGraceMs(), brief.killDelayMs(), brief.coldFactor(),
                brief.coldWindowMs(), RECORDER_RESOLUTION_MS);
    }

    /** The configuration of a scheduler with three job classes, one for each kind of repeat semantics, and two data centres. */
    static String config(int listServicePort, String knownServers) {
        return config(listServicePort, knownServers, PausableClient.DEADLINE_MS, DESCRIPTORS);
    }

    /** As above, with the deadline of all classes and the number of descriptors. */
    static String config(int listServicePort, String knownServers, long deadlineMs, int descriptors) {
        String classes = "";
        String[] semantics = {"read_like", "non_idempotent", "idempotency_key"};
        for (int i = 0; i < semantics.length; i++) {
            classes += (i == 0 ? "" : ",") + "{'name':'" + KINDS.get(i) + "','aim_us':" + deadlineMs * 1000 / 2 + ",'deadline_us':" + deadlineMs * 1000
                + ",'semantics':'" + semantics[i] + "','key_scope':'zone','window_us':40000000}";
        }
        return ("{'name':'" + SchedulerProcess.SCHEDULER_NAME + "','listen':'127.0.0.1:0','discovery':'127.0.0.1:" + listServicePort
            + "','seed':'1','limits':{'sockets':" + descriptors + "},'known':").replace('\'', '"') + knownServers
            + (",'settings':{'classes':[" + classes + "],'zones':['a','b'],'kinds':['m'],'discovery':'ask',"
            + "'rules':{'ask_within_us':10000000,'drain_grace_us':250000},'stats':{'via':'pull','fields':['x0']},"
            + "'limits':{'max_attempts':5,'probes':true,'cancel':true,'retry_after':true,'max_retry_after_us':1000000,"
            + "'dial_timeout_us':1000000,'conn_idle_us':10000000}}}").replace('\'', '"');
    }

    /** Runs the scenario. */
    Result run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("hw-lives");
        Path history = folder.resolve("history.jsonl");
        try (Recorder witness = new Recorder(history, terms());
                ListeningSocketHolder socketHolder = point.needsSecondProcess() || stop == Stop.SUCCESSOR ? new ListeningSocketHolder() : null) {
            Result result = new Run(folder, witness, socketHolder).execute();
            witness.finish();
            return new Result(this, result.outcome, result.servedByNext, RuleChecker.check(History.read(history)));
        } catch (IOException e) {
            throw new IOException(point + ", " + stop + ", " + kind + ": " + e.getMessage(), e);
        } finally {
            try (Stream<Path> left = Files.walk(folder)) {
                left.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        }
    }

    /** The processes and stubs of one run. */
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

        Run(Path folder, Recorder witness, ListeningSocketHolder socketHolder) throws IOException {
            this.folder = folder;
            this.witness = witness;
            this.socketHolder = socketHolder;
            port = socketHolder == null ? Ports.allocate() : socketHolder.port();
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

        /** Writes the configuration file; its worker list is the current one of the list service. */
        private void writeConfiguration() throws IOException {
            Files.writeString(folder.resolve("config.json"), config(listService.port(), listService.listJson()));
        }

        /** Brings the first process to the point. */
        private void reachPoint() throws IOException, InterruptedException {
            if (point.isRequestIncomplete() && stop == Stop.SUCCESSOR) {
                // A request must be complete 2.5 s after its first byte, and a process may take longer to start. So the second process is
                // started before the request, and held while it waits for its worker list.
                listService.holdResponses();
                second = startProcess(2);
                second.awaitLog("serves on port");
            }
            client = new PausableClient(port, JOB_ID, kind, point, witness);
            boolean byClient = point.isRequestIncomplete() || point == Point.ANSWER_HALF_WRITTEN;
            if (point != Point.DIALLING) {
                await(byClient ? client.pointReached : workers.pointReached, "the point was not reached");
            }
            SchedulerProcess.getStatus(port, "/healthz"); // once this gets a response, everything written before has been read
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
                    SchedulerProcess.getStatus(port, "/healthz"); // the loop of the second must not block while the first owes it a reply
                }
                default -> { }
            }
        }

        /** Stops the first process at the point, or the second one for KILL_SUCCESSOR. */
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
                    first.terminate();
                    if (!first.awaitExitUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RuleLimits.earliestKillMs(PausableClient.DEADLINE_MS)))) {
                        first.kill();
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
                    SchedulerProcess killed = second;
                    second = first;
                    first = killed;
                    second.awaitReady();
                }
                default -> throw new IllegalStateException(stop.toString());
            }
            listService.releaseResponses();
        }

        /** Lets the client and the workers continue. */
        private void resumeStubs() {
            if (point.isRequestIncomplete() && stop != Stop.TERM && stop != Stop.SUCCESSOR) {
                client.abandon();
            }
            client.resume();
            workers.resumed.countDown();
        }

        /** Runs a new job of each class, then shuts the last process down by SIGTERM. */
        private Result runNewJobsAndStop() throws IOException, InterruptedException {
            second.awaitReady();
            int served = 0;
            for (String k : KINDS) {
                served += new PausableClient(port, "n-" + k, k, null, witness).awaitOutcome() == PausableClient.Outcome.SERVED ? 1 : 0;
            }
            PausableClient.Outcome outcome = client.awaitOutcome();
            boolean callbackExpected = point != Point.DIALLING && point != Point.TAKEN_NOT_DRAWN && !point.isRequestIncomplete();
            if (callbackExpected) {
                await(workers.callbackDone, "the worker's callback got no response and was not abandoned");
            }
            second.terminate();
            second.awaitExit();
            return new Result(Scenario.this, outcome, served + " of " + KINDS.size(), List.of());
        }
    }
}
