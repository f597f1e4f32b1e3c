package hookweir.lab.lives;

import hookweir.lab.net.Ports;
import hookweir.lab.record.EventSink;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Clients leave a real scheduler by a {@link DeparturePlan}. Checked from outside: no attempt, of whatever request of a client, begins more
 * than 0.1 s after the client has left; no request that a worker accepted is sent again, to whichever process its id comes again.
 */
final class DepartureRun {
    /** An attempt that begins later than this after its client's close violates the rule on lost requests. */
    private static final long MAX_LATE_NS = 100_000_000;
    private static final long NS_PER_MS = 1_000_000;
    private static final int CLIENT_GAP_MS = 15;
    private static final int SIGNAL_GAP_MS = 20;
    private static final int POLL_MS = 2;
    /** How long the scheduler is watched after the last client has left; where a crowd keeps it from accepting clients, longer. */
    private static final int SETTLE_MS = 1_300;
    private static final int CROWD_SETTLE_MS = 6_500;
    private static final int JOIN_TIMEOUT_MS = 20_000;
    private static final int RETRY_DELAY_MS = 20;
    private static final String UNFINISHED_REQUEST = "POST /api HTTP/1.1\r\nHost: h\r\n";
    private static final String DIAL_TIMEOUT_OF_SCENARIO = "\"dial_timeout_us\":1000000";
    /** Longer than the second after which the system tries again to open a connection. */
    private static final String LONG_DIAL_TIMEOUT = "\"dial_timeout_us\":2500000";

    private final DeparturePlan plan;
    private final Path root;
    private final Path folder;
    private final List<SchedulerProcess> schedulers = new ArrayList<>();
    private final List<ProcessHandle> busyProcesses = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * What a run has shown.
     *
     * @param violations the rules that were violated, each with its request and time
     * @param attempts   the number of attempts that arrived
     * @param log        the logs of all processes
     */
    record Result(List<String> violations, int attempts, String log) {
    }

    private DepartureRun(Path root, Path folder, DeparturePlan plan) {
        this.root = root;
        this.folder = folder;
        this.plan = plan;
    }

    /** Runs the plan with the scheduler of this root folder. */
    static Result of(Path root, DeparturePlan plan) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("hw-departures");
        try {
            return new DepartureRun(root, folder, plan).execute();
        } finally {
            try (Stream<Path> left = Files.walk(folder)) {
                left.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        }
    }

    private Result execute() throws IOException, InterruptedException {
        try (DepartureWorkers workers = new DepartureWorkers(plan); ListeningSocketHolder holder = plan.upgrade() ? new ListeningSocketHolder() : null) {
            int port = holder == null ? Ports.allocate() : holder.port();
            // Nobody listens at the list service's port: the scheduler serves by the cached worker list.
            Files.writeString(folder.resolve("config.json"), Scenario.config(Ports.allocate(), workers.listJson())
                .replace(DIAL_TIMEOUT_OF_SCENARIO, LONG_DIAL_TIMEOUT));
            startScheduler(holder, port);
            openWorkerConnections(port);
            IdleConnections crowd = new IdleConnections(port, plan.crowd(), UNFINISHED_REQUEST);
            letClientsLeave(holder, port, workers);
            crowd.close();
            for (SchedulerProcess scheduler : schedulers) {
                if (!scheduler.isAlive() && !plan.signals().contains("TERM")) {
                    violations.add("a scheduler ended by itself");
                }
            }
            return new Result(violations, workers.attempts().values().stream().mapToInt(List::size).sum(), logs());
        } finally {
            schedulers.forEach(SchedulerProcess::destroy);
            busyProcesses.forEach(ProcessHandle::destroyForcibly);
        }
    }

    private String logs() throws IOException {
        StringBuilder all = new StringBuilder();
        for (SchedulerProcess scheduler : schedulers) {
            all.append(scheduler.log()).append('\n');
        }
        return all.toString();
    }

    /** Lets the scheduler open connections to workers, which are idle when the clients come: a job can be sent on them at once. */
    private void openWorkerConnections(int port) {
        if (plan.moment() == DeparturePlan.Moment.BETWEEN_ATTEMPTS) {
            new LeavingClient(port, "warm-up", plan).comeAgain();
        }
    }

    private void startScheduler(ListeningSocketHolder holder, int port) throws IOException, InterruptedException {
        SchedulerProcess scheduler = SchedulerProcess.start(root, folder, holder, port, schedulers.size() + 1, false, EventSink.NONE);
        schedulers.add(scheduler);
        scheduler.awaitReady();
        int processor = Runtime.getRuntime().availableProcessors() - 1;
        new ProcessBuilder("taskset", "-acp", Integer.toString(processor), Long.toString(scheduler.pid())).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD).start().waitFor();
        for (int i = busyProcesses.size(); i < plan.busy(); i++) {
            busyProcesses.add(new ProcessBuilder("taskset", "-c", Integer.toString(processor), "sh", "-c", "while :; do :; done").start().toHandle());
        }
    }

    private void letClientsLeave(ListeningSocketHolder holder, int port, DepartureWorkers workers) throws IOException, InterruptedException {
        List<LeavingClient> clients = new ArrayList<>();
        for (int i = 0; i < plan.clients(); i++) {
            LeavingClient client = new LeavingClient(port, "c" + i, plan);
            clients.add(client);
            client.start();
            while (!client.hasSent() && client.isAlive()) {
                Thread.sleep(POLL_MS);
            }
            if (!plan.upgrade() && plan.signals().isEmpty()) {
                client.stayUntil(System.nanoTime() + plan.stayMs() * NS_PER_MS);
            }
            Thread.sleep(CLIENT_GAP_MS);
        }
        if (plan.upgrade()) {
            startScheduler(holder, port);
        }
        for (String signal : plan.signals()) {
            schedulers.get(0).signal(signal);
            Thread.sleep(SIGNAL_GAP_MS);
        }
        if (plan.upgrade() || !plan.signals().isEmpty()) {
            clients.forEach(client -> client.stayUntil(System.nanoTime() + plan.stayMs() * NS_PER_MS));
        }
        clients.get(0).join(JOIN_TIMEOUT_MS);
        workers.finishDials();
        for (LeavingClient client : clients) {
            client.join(JOIN_TIMEOUT_MS);
        }
        if (plan.comesAgain()) {
            for (LeavingClient client : clients) {
                client.comeAgain();
                Thread.sleep(RETRY_DELAY_MS);
            }
        }
        Thread.sleep(plan.crowd() > 0 ? CROWD_SETTLE_MS : SETTLE_MS);
        clients.forEach(client -> check(client, workers.attempts()));
    }

    private void check(LeavingClient client, Map<String, List<DepartureWorkers.ReceivedAttempt>> attempts) {
        attempts.forEach((id, received) -> {
            if (id.equals(client.firstId()) || id.startsWith(client.firstId() + "-")) {
                check(id, client.leftNs(), received);
            }
        });
    }

    private void check(String id, long leftNs, List<DepartureWorkers.ReceivedAttempt> received) {
        // A request that was first read when it came again was not sent on for the client that had left.
        boolean readAtFirst = !plan.comesAgain() || received.get(0).atNs() < leftNs;
        boolean accepted = false;
        for (DepartureWorkers.ReceivedAttempt attempt : received) {
            long lateNs = attempt.atNs() - leftNs;
            if (readAtFirst && lateNs > MAX_LATE_NS) {
                violations.add("request " + id + " was sent on " + lateNs / NS_PER_MS + " ms after its client had left");
            }
            if (accepted) {
                violations.add("request " + id + " was sent again after a worker had accepted it");
            }
            accepted |= attempt.accepted();
        }
    }
}
