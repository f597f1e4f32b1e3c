package hookweir.lab.scale;

import hookweir.Contract;
import hookweir.Contract.Outcome;
import hookweir.Policy;
import hookweir.room.ResourceBudget;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A simulated scheduler: runs the real decision module on the virtual clock, and counts the messages of its host instead of using sockets. */
final class SimulatedScheduler implements Contract.Host, ListService.Watcher {
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_DESCRIPTORS = 1024;
    private static final long MAX_HELD_BYTES = 16 << 20;
    private static final int MAX_HELD_JOBS = 4096;
    private static final String HOST = "10.0.0.1:8080";
    /** A healthy worker accepts a job within this time. */
    private static final long ACCEPT_TIMEOUT_US = 6 * ConnectionPool.CONNECT_TIMEOUT_US;
    /** A healthy worker responds to a probe within this time. */
    private static final long PROBE_TIMEOUT_US = 2 * ConnectionPool.CONNECT_TIMEOUT_US;
    /** A scheduler closes a connection from a worker that has been idle for this long. */
    private static final long CALLBACK_IDLE_TIMEOUT_US = 60_000_000;
    private static final long CALLBACK_RETRY_DELAY_US = 1_000_000;
    private static final int MAX_CALLBACK_TRIES = 10;
    private static final long ACCEPTED_COUNT_INTERVAL_US = 1_000_000;
    private static final double SOFT_DEADLINE_FACTOR = 3;
    private static final long MIN_SOFT_DEADLINE_US = 1_000_000;
    private static final long PROBE_ALL_INTERVAL_US = 1_000_000;

    /** An attempt to run a job at one worker. */
    private static final class Attempt {
        private final int requestId;
        private final int number;
        private final SimulatedWorker worker;
        private final long startUs;
        private boolean isEnded;
        private boolean isAccepted;
        private int incarnation;

        Attempt(int requestId, int number, SimulatedWorker worker, long startUs) {
            this.requestId = requestId;
            this.number = number;
            this.worker = worker;
            this.startUs = startUs;
        }
    }

    /** A job of a client with its attempts. */
    private static final class Job {
        private final List<Attempt> attempts = new ArrayList<>();
        private long deadlineAtUs;
        private boolean isResponseSent;
    }

    final int zone;
    private final Simulation simulation;
    private final EventQueue queue;
    private final Traffic traffic;
    private final Random random;
    private final Contract.Settings settings;
    private final Policy policy;
    private final ConnectionPool connections;
    private final ResourceBudget resourceBudget;
    private final Map<Integer, Job> jobs = new HashMap<>();
    /** Time of the last load report received from each worker; negative if there was none. */
    private final long[] lastReportUs;
    /** For each worker, the times when its idle callback connections were last used. */
    private final Map<Integer, Deque<Long>> idleCallbackConnections = new HashMap<>();
    private final Runnable stopPolling;
    private int nextRequest;
    private int acceptedConnections;
    private long acceptedCountedAtUs;
    private boolean isStopped;

    SimulatedScheduler(Simulation simulation, int number, long seed) {
        this.simulation = simulation;
        zone = number % Shape.ZONE_COUNT;
        queue = simulation.queue;
        traffic = simulation.traffic;
        random = new Random(seed);
        settings = settings(simulation.shape, number, zone);
        policy = new Policy(settings, seed, this);
        lastReportUs = new long[simulation.workers.size()];
        java.util.Arrays.fill(lastReportUs, -1);
        resourceBudget = new ResourceBudget(MAX_HELD_BYTES, MAX_HELD_JOBS);
        resourceBudget.setMaxDescriptors(MAX_DESCRIPTORS);
        connections = new ConnectionPool(queue, simulation.network, traffic, zone, resourceBudget, this::acceptedConnections,
            () -> simulation.workers.size());
        stopPolling = simulation.configurationSource.startPolling(() -> policy.settingsChanged(queue.nowUs(), settings));
        policy.workerListReceived(queue.nowUs(), false, List.of());
        if (simulation.shape.mechanism() == Shape.Mechanism.PROBE_ALL) {
            queue.schedule(PROBE_ALL_INTERVAL_US, this::probeAll);
        }
        queue.schedule(nextArrivalDelayUs(), this::acceptJob);
    }

    private static Contract.Settings settings(Shape shape, int number, int zone) {
        Contract.Settings settings = new Contract.Settings();
        for (int kind : new int[] {-1, 1}) {
            Contract.RequestClass task = new Contract.RequestClass();
            task.softDeadlineUs = Math.max(MIN_SOFT_DEADLINE_US, (long) (SOFT_DEADLINE_FACTOR * shape.serviceMs() * 1000));
            task.deadlineUs = 2 * task.softDeadlineUs;
            task.requiredKind = kind;
            settings.classes.add(task);
        }
        settings.schedulerIndex = number;
        settings.schedulerCount = shape.schedulers();
        settings.zone = zone;
        settings.pollList = true;
        settings.maxPollIntervalUs = 4_000_000;
        settings.connectTimeoutUs = 2 * ConnectionPool.CONNECT_TIMEOUT_US;
        settings.maxAttempts = MAX_ATTEMPTS;
        settings.cancelAllowed = true;
        settings.probesAllowed = true;
        settings.retryAfterAllowed = true;
        settings.maxRetryAfterUs = 1_000_000;
        settings.loadReportSource = Contract.LoadReportSource.PROBES;
        return settings;
    }

    /** Ends the scheduler process, which loses all its jobs and connections. */
    void kill() {
        isStopped = true;
        simulation.listService.stopWatch(this);
        connections.close();
        stopPolling.run();
        jobs.values().forEach(job -> job.attempts.forEach(attempt -> attempt.isEnded = true));
    }

    private void scheduleIfRunning(long delayUs, Runnable task) {
        queue.schedule(delayUs, () -> {
            if (!isStopped) {
                task.run();
            }
        });
    }

    private long nextArrivalDelayUs() {
        return (long) (-Math.log(1 - random.nextDouble()) * 1e6 / simulation.shape.jobsPerSecond());
    }

    private void acceptJob() {
        if (isStopped) {
            return;
        }
        Contract.Request request = new Contract.Request();
        request.id = nextRequest++;
        request.tenant = -1;
        request.requestClass = random.nextDouble() < Shape.ACCELERATOR_SHARE ? 1 : 0;
        Job job = new Job();
        job.deadlineAtUs = queue.nowUs() + settings.classes.get(request.requestClass).deadlineUs;
        request.deadlineAtUs = job.deadlineAtUs;
        jobs.put(request.id, job);
        simulation.metrics.jobs++;
        traffic.recordMessage(Role.CLIENT, Role.SCHEDULER, MessageKind.CLIENT,
            HttpMessages.jobRequestBytes("app.svc", settings.classes.get(0).deadlineUs / 1000));
        policy.requestAccepted(queue.nowUs(), request);
        scheduleIfRunning(nextArrivalDelayUs(), this::acceptJob);
    }

    private void probeAll() {
        simulation.workers.forEach(worker -> probe(worker.id));
        scheduleIfRunning(PROBE_ALL_INTERVAL_US, this::probeAll);
    }

    @Override
    public void onWorkerList(boolean delta, List<Contract.Worker> entries) {
        if (!isStopped) {
            policy.workerListReceived(queue.nowUs(), delta, entries);
        }
    }

    // ---- attempts ----

    @Override
    public void send(int requestId, int workerId, long timeoutUs) {
        Job job = jobs.get(requestId);
        SimulatedWorker worker = simulation.workers.get(workerId);
        Attempt attempt = new Attempt(requestId, job.attempts.size(), worker, queue.nowUs());
        job.attempts.add(attempt);
        long remainingUs = job.deadlineAtUs - queue.nowUs();
        if (job.isResponseSent || remainingUs <= 0) {
            scheduleIfRunning(0, () -> endAttempt(attempt, Outcome.MOOT));
            return;
        }
        simulation.metrics.attemptSent(lastReportUs[workerId] < 0 ? -1 : queue.nowUs() - lastReportUs[workerId]);
        scheduleIfRunning(timeoutUs > 0 ? Math.min(timeoutUs, remainingUs) : remainingUs, () -> abandon(attempt, Outcome.TIMEOUT));
        connections.acquire(worker, MessageKind.JOB_CONNECTION, connection -> sendAttempt(attempt, connection, remainingUs));
    }

    private void sendAttempt(Attempt attempt, ConnectionPool.Connection connection, long remainingUs) {
        if (connection == null) {
            endAttempt(attempt, Outcome.CONNECT_FAILED);
            return;
        }
        if (isStopped || attempt.isEnded) {
            connections.release(connection, 0);
            return;
        }
        SimulatedWorker worker = attempt.worker;
        int requestBytes = HttpMessages.jobRequestBytes(worker.host, remainingUs / 1000);
        if (!simulation.network.canReach(zone, worker)) {
            traffic.recordMessage(Role.SCHEDULER, Role.WORKER, MessageKind.JOB, requestBytes);
            scheduleIfRunning(ACCEPT_TIMEOUT_US, () -> {
                connections.discard(connection);
                endAttempt(attempt, Outcome.TIMEOUT);
            });
            return;
        }
        long oneWay = simulation.network.oneWayUs(zone, worker.zone);
        queue.schedule(oneWay, () -> {
            boolean accepted = !attempt.isEnded && !connection.isBroken() && worker.tryAccept();
            traffic.recordCall(Role.SCHEDULER, Role.WORKER, MessageKind.JOB, requestBytes,
                (accepted ? HttpMessages.ACCEPTED : HttpMessages.DECLINED).length());
            if (accepted) {
                startTask(attempt);
            }
            scheduleIfRunning(oneWay, () -> responseReceived(attempt, connection, accepted));
        });
    }

    private void responseReceived(Attempt attempt, ConnectionPool.Connection connection, boolean accepted) {
        connections.release(connection, ConnectionPool.REUSE_DELAY_US);
        if (!accepted) {
            endAttempt(attempt, connection.isBroken() ? Outcome.CONNECT_FAILED : Outcome.FULL);
        }
    }

    private void startTask(Attempt attempt) {
        attempt.isAccepted = true;
        attempt.incarnation = attempt.worker.incarnation;
        long runTimeUs = (long) (simulation.shape.serviceMs() * 1000 * (0.5 + random.nextDouble()));
        queue.schedule(runTimeUs, () -> taskFinished(attempt));
    }

    private void taskFinished(Attempt attempt) {
        if (!attempt.isAccepted) {
            return; // The attempt was cancelled.
        }
        attempt.worker.taskEnded(attempt.incarnation);
        sendCallback(attempt, 1);
    }

    /** Sends a callback, which the worker retries a limited number of times. If the worker process died, its machine reports that instead. */
    private void sendCallback(Attempt attempt, int tryNumber) {
        SimulatedWorker worker = attempt.worker;
        if (isStopped || worker.unresponsive || tryNumber > MAX_CALLBACK_TRIES) {
            return;
        }
        if (!simulation.network.canReach(zone, worker)) {
            queue.schedule(CALLBACK_RETRY_DELAY_US, () -> sendCallback(attempt, tryNumber + 1));
            return;
        }
        Deque<Long> idleSinceUs = idleCallbackConnections.computeIfAbsent(worker.id, id -> new ArrayDeque<>());
        Long lastUsedUs = idleSinceUs.pollFirst();
        boolean isReused = lastUsedUs != null && queue.nowUs() - lastUsedUs < CALLBACK_IDLE_TIMEOUT_US;
        if (!isReused) {
            idleSinceUs.clear();
            traffic.recordConnection(Role.WORKER, Role.SCHEDULER, MessageKind.CALL_BACK_CONNECTION);
        }
        long oneWay = simulation.network.oneWayUs(zone, worker.zone);
        scheduleIfRunning(isReused ? oneWay : 3 * oneWay, () -> {
            traffic.recordCall(Role.WORKER, Role.SCHEDULER, MessageKind.CALL_BACK, HttpMessages.callbackRequestBytes(HOST, worker.name),
                HttpMessages.NO_CONTENT.length());
            idleSinceUs.addFirst(queue.nowUs());
            endAttempt(attempt, attempt.incarnation == worker.incarnation ? Outcome.OK : Outcome.RESET);
        });
    }

    /** Returns the number of connections from workers that have not reached their idle timeout, limited by the resource budget. */
    private int acceptedConnections() {
        if (queue.nowUs() >= acceptedCountedAtUs + ACCEPTED_COUNT_INTERVAL_US) {
            acceptedCountedAtUs = queue.nowUs();
            idleCallbackConnections.values()
                .forEach(lastUsedUs -> lastUsedUs.removeIf(usedUs -> queue.nowUs() - usedUs >= CALLBACK_IDLE_TIMEOUT_US));
            idleCallbackConnections.values().removeIf(Deque::isEmpty);
            acceptedConnections = idleCallbackConnections.values().stream().mapToInt(Deque::size).sum();
        }
        return Math.min(acceptedConnections, resourceBudget.maxAcceptedConnections(connections.openCount()));
    }

    @Override
    public void cancel(int requestId, int attempt) {
        Job job = jobs.get(requestId);
        if (job != null && attempt < job.attempts.size()) {
            abandon(job.attempts.get(attempt), Outcome.CANCELLED);
        }
    }

    private void abandon(Attempt attempt, Outcome outcome) {
        if (attempt.isEnded) {
            return;
        }
        if (attempt.isAccepted) {
            traffic.recordCall(Role.SCHEDULER, Role.WORKER, MessageKind.JOB, HttpMessages.cancelRequest(attempt.worker.host).length(),
                HttpMessages.DELETED.length());
            attempt.isAccepted = false;
            attempt.worker.taskEnded(attempt.incarnation);
        }
        scheduleIfRunning(0, () -> endAttempt(attempt, outcome));
    }

    private void endAttempt(Attempt attempt, Outcome outcome) {
        if (attempt.isEnded || isStopped) {
            return;
        }
        attempt.isEnded = true;
        simulation.metrics.attemptEnded(outcome);
        Job job = jobs.get(attempt.requestId);
        if (outcome == Outcome.OK && !job.isResponseSent) {
            sendClientResponse(job, HttpMessages.resultResponseBytes());
        }
        policy.attemptEnded(queue.nowUs(), attempt.requestId, attempt.number, attempt.worker.id, outcome, queue.nowUs() - attempt.startUs,
            job.isResponseSent, null);
    }

    private void sendClientResponse(Job job, int responseBytes) {
        job.isResponseSent = true;
        traffic.recordMessage(Role.SCHEDULER, Role.CLIENT, MessageKind.CLIENT, responseBytes);
    }

    @Override
    public void reject(int requestId, long retryAfterUs) {
        simulation.metrics.rejected++;
        sendClientResponse(jobs.get(requestId), HttpMessages.rejectionResponse().length());
    }

    @Override
    public void fail(int requestId) {
        simulation.metrics.failed++;
        sendClientResponse(jobs.get(requestId), HttpMessages.rejectionResponse().length());
    }

    // ---- probes, worker list, timers ----

    @Override
    public void probe(int workerId) {
        SimulatedWorker worker = simulation.workers.get(workerId);
        long startUs = queue.nowUs();
        connections.acquire(worker, MessageKind.PROBE_CONNECTION, connection -> sendProbe(worker, connection, startUs));
    }

    private void sendProbe(SimulatedWorker worker, ConnectionPool.Connection connection, long startUs) {
        if (connection == null) {
            scheduleIfRunning(0, () -> policy.probeEnded(queue.nowUs(), worker.id, Outcome.CONNECT_FAILED, queue.nowUs() - startUs, null));
            return;
        }
        simulation.metrics.probes++;
        int requestBytes = HttpMessages.probeRequest(worker.host).length();
        if (!simulation.network.canReach(zone, worker)) {
            traffic.recordMessage(Role.SCHEDULER, Role.WORKER, MessageKind.PROBE, requestBytes);
            connections.discard(connection);
            scheduleIfRunning(PROBE_TIMEOUT_US, () -> policy.probeEnded(queue.nowUs(), worker.id, Outcome.TIMEOUT, PROBE_TIMEOUT_US, null));
            return;
        }
        long oneWay = simulation.network.oneWayUs(zone, worker.zone);
        queue.schedule(oneWay, () -> {
            int freeSlots = worker.freeSlots();
            long reportedAtUs = queue.nowUs();
            traffic.recordCall(Role.SCHEDULER, Role.WORKER, MessageKind.PROBE, requestBytes, HttpMessages.probeResponse(freeSlots).length());
            scheduleIfRunning(oneWay, () -> {
                connections.release(connection, 0);
                lastReportUs[worker.id] = reportedAtUs;
                Contract.Report report = new Contract.Report();
                report.clear();
                report.freeSlots = freeSlots;
                policy.probeEnded(queue.nowUs(), worker.id, Outcome.OK, queue.nowUs() - startUs, report);
            });
        });
    }

    @Override
    public void startTimer(long token, long delayUs) {
        scheduleIfRunning(delayUs, () -> policy.timerExpired(queue.nowUs(), token));
    }

    @Override
    public void watchWorkerList(boolean on) {
        simulation.listService.stopWatch(this);
        if (on) {
            simulation.listService.startWatch(this);
        }
    }

    @Override
    public void fetchWorkerList() {
        watchWorkerList(true);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        // The simulation has no messages between schedulers.
    }

    @Override
    public void log(String text) {
        // The simulation discards log lines.
    }
}
