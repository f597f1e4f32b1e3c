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

/** A scheduler without sockets: the real decision module on the virtual clock, with the messages that its host would exchange. */
final class HollowScheduler implements Contract.Host, ListService.Watcher {
    private static final int MAX_ATTEMPTS = 3;
    private static final int DESCRIPTORS = 1024;
    private static final long HELD_BYTES = 16 << 20;
    private static final int HELD_JOBS = 4096;
    private static final String HOST = "10.0.0.1:8080";
    /** A worker that is well takes a job or answers a probe within these. */
    private static final long TAKE_LIMIT_US = 6 * LinkPool.DIAL_LIMIT_US;
    private static final long PROBE_LIMIT_US = 2 * LinkPool.DIAL_LIMIT_US;
    /** A scheduler ends a connection on which workers have been silent for so long. */
    private static final long CALL_BACK_IDLE_US = 60_000_000;
    private static final long CALL_AGAIN_US = 1_000_000;
    private static final int MOST_CALLS = 10;
    private static final long ACCEPTED_EVERY_US = 1_000_000;
    private static final double AIM = 3;
    private static final long LEAST_AIM_US = 1_000_000;
    private static final long PROBE_ALL_US = 1_000_000;

    /** One attempt of a job. */
    private static final class Attempt {
        private final int request;
        private final int number;
        private final HollowWorker worker;
        private final long startUs;
        private boolean isOver;
        private boolean isTaken;
        private int process;

        Attempt(int request, int number, HollowWorker worker, long startUs) {
            this.request = request;
            this.number = number;
            this.worker = worker;
            this.startUs = startUs;
        }
    }

    /** One job. */
    private static final class Job {
        private final List<Attempt> attempts = new ArrayList<>();
        private long giveUpAtUs;
        private boolean closed;
    }

    final int zone;
    private final World world;
    private final EventQueue queue;
    private final Traffic traffic;
    private final Random random;
    private final Contract.Settings settings;
    private final Policy policy;
    private final LinkPool links;
    private final ResourceBudget room;
    private final Map<Integer, Job> jobs = new HashMap<>();
    /** When the figures last heard of each worker were made; negative where none was heard. */
    private final long[] figureUs;
    /** Of each worker, when its idle connections for call-backs were last used. */
    private final Map<Integer, Deque<Long>> callers = new HashMap<>();
    private final Runnable stopPolling;
    private int nextRequest;
    private int accepted;
    private long acceptedUs;
    private boolean dead;

    HollowScheduler(World world, int number, long seed) {
        this.world = world;
        zone = number % Shape.ZONES;
        queue = world.queue;
        traffic = world.traffic;
        random = new Random(seed);
        settings = settings(world.shape, number, zone);
        policy = new Policy(settings, seed, this);
        figureUs = new long[world.workers.size()];
        java.util.Arrays.fill(figureUs, -1);
        room = new ResourceBudget(HELD_BYTES, HELD_JOBS);
        room.setMaxDescriptors(DESCRIPTORS);
        links = new LinkPool(queue, world.network, traffic, zone, room, this::accepted, () -> world.workers.size());
        stopPolling = world.configuration.poll(() -> policy.settingsChanged(queue.nowUs(), settings));
        policy.workerListReceived(queue.nowUs(), false, List.of());
        if (world.shape.mechanism() == Shape.Mechanism.PROBE_ALL) {
            queue.after(PROBE_ALL_US, this::probeAll);
        }
        queue.after(gapUs(), this::arrival);
    }

    private static Contract.Settings settings(Shape shape, int number, int zone) {
        Contract.Settings settings = new Contract.Settings();
        for (int kind : new int[] {-1, 1}) {
            Contract.RequestClass task = new Contract.RequestClass();
            task.softDeadlineUs = Math.max(LEAST_AIM_US, (long) (AIM * shape.serviceMs() * 1000));
            task.deadlineUs = 2 * task.softDeadlineUs;
            task.requiredKind = kind;
            settings.classes.add(task);
        }
        settings.schedulerIndex = number;
        settings.schedulerCount = shape.schedulers();
        settings.zone = zone;
        settings.pollList = true;
        settings.maxPollIntervalUs = 4_000_000;
        settings.connectTimeoutUs = 2 * LinkPool.DIAL_LIMIT_US;
        settings.maxAttempts = MAX_ATTEMPTS;
        settings.cancelAllowed = true;
        settings.probesAllowed = true;
        settings.retryAfterAllowed = true;
        settings.maxRetryAfterUs = 1_000_000;
        settings.loadReportSource = Contract.LoadReportSource.PROBES;
        return settings;
    }

    /** Its process ends, with all that it holds. */
    void kill() {
        dead = true;
        world.list.forget(this);
        links.close();
        stopPolling.run();
        jobs.values().forEach(job -> job.attempts.forEach(attempt -> attempt.isOver = true));
    }

    private void later(long delayUs, Runnable task) {
        queue.after(delayUs, () -> {
            if (!dead) {
                task.run();
            }
        });
    }

    private long gapUs() {
        return (long) (-Math.log(1 - random.nextDouble()) * 1e6 / world.shape.jobsPerSecond());
    }

    private void arrival() {
        if (dead) {
            return;
        }
        Contract.Request request = new Contract.Request();
        request.id = nextRequest++;
        request.tenant = -1;
        request.requestClass = random.nextDouble() < Shape.ACCELERATOR_SHARE ? 1 : 0;
        Job job = new Job();
        job.giveUpAtUs = queue.nowUs() + settings.classes.get(request.requestClass).deadlineUs;
        request.deadlineAtUs = job.giveUpAtUs;
        jobs.put(request.id, job);
        world.figures.jobs++;
        traffic.message(Role.CLIENT, Role.SCHEDULER, MessageKind.CLIENT, HttpText.job("app.svc", settings.classes.get(0).deadlineUs / 1000));
        policy.requestAccepted(queue.nowUs(), request);
        later(gapUs(), this::arrival);
    }

    private void probeAll() {
        world.workers.forEach(worker -> probe(worker.id));
        later(PROBE_ALL_US, this::probeAll);
    }

    @Override
    public void listed(boolean delta, List<Contract.Worker> entries) {
        if (!dead) {
            policy.workerListReceived(queue.nowUs(), delta, entries);
        }
    }

    // ---- attempts ----

    @Override
    public void send(int requestId, int workerId, long withinUs) {
        Job job = jobs.get(requestId);
        HollowWorker worker = world.workers.get(workerId);
        Attempt attempt = new Attempt(requestId, job.attempts.size(), worker, queue.nowUs());
        job.attempts.add(attempt);
        long left = job.giveUpAtUs - queue.nowUs();
        if (job.closed || left <= 0) {
            later(0, () -> over(attempt, Outcome.MOOT));
            return;
        }
        world.figures.sent(figureUs[workerId] < 0 ? -1 : queue.nowUs() - figureUs[workerId]);
        later(withinUs > 0 ? Math.min(withinUs, left) : left, () -> giveUp(attempt, Outcome.TIMEOUT));
        links.acquire(worker, MessageKind.JOB_CONNECTION, link -> dispatch(attempt, link, left));
    }

    private void dispatch(Attempt attempt, LinkPool.Link link, long leftUs) {
        if (link == null) {
            over(attempt, Outcome.CONNECT_FAILED);
            return;
        }
        if (dead || attempt.isOver) {
            links.release(link, 0);
            return;
        }
        HollowWorker worker = attempt.worker;
        int request = HttpText.job(worker.host, leftUs / 1000);
        if (!world.network.reaches(zone, worker)) {
            traffic.message(Role.SCHEDULER, Role.WORKER, MessageKind.JOB, request);
            later(TAKE_LIMIT_US, () -> {
                links.end(link);
                over(attempt, Outcome.TIMEOUT);
            });
            return;
        }
        long oneWay = world.network.oneWayUs(zone, worker.zone);
        queue.after(oneWay, () -> {
            boolean takes = !attempt.isOver && !link.isBroken() && worker.takes();
            traffic.call(Role.SCHEDULER, Role.WORKER, MessageKind.JOB, request, (takes ? HttpText.ACCEPTED : HttpText.DECLINED).length());
            if (takes) {
                begin(attempt);
            }
            later(oneWay, () -> answered(attempt, link, takes));
        });
    }

    private void answered(Attempt attempt, LinkPool.Link link, boolean takes) {
        links.release(link, LinkPool.SETTLE_US);
        if (!takes) {
            over(attempt, link.isBroken() ? Outcome.CONNECT_FAILED : Outcome.FULL);
        }
    }

    private void begin(Attempt attempt) {
        attempt.isTaken = true;
        attempt.process = attempt.worker.process;
        long runUs = (long) (world.shape.serviceMs() * 1000 * (0.5 + random.nextDouble()));
        queue.after(runUs, () -> finished(attempt));
    }

    private void finished(Attempt attempt) {
        if (!attempt.isTaken) {
            return; // called off before
        }
        attempt.worker.ended(attempt.process);
        callBack(attempt, 1);
    }

    /** A worker repeats its call until it is answered, some times at most; of a process that died its machine tells. */
    private void callBack(Attempt attempt, int call) {
        HollowWorker worker = attempt.worker;
        if (dead || worker.silent || call > MOST_CALLS) {
            return;
        }
        if (!world.network.reaches(zone, worker)) {
            queue.after(CALL_AGAIN_US, () -> callBack(attempt, call + 1));
            return;
        }
        Deque<Long> idle = callers.computeIfAbsent(worker.id, id -> new ArrayDeque<>());
        Long used = idle.pollFirst();
        boolean kept = used != null && queue.nowUs() - used < CALL_BACK_IDLE_US;
        if (!kept) {
            idle.clear();
            traffic.connection(Role.WORKER, Role.SCHEDULER, MessageKind.CALL_BACK_CONNECTION);
        }
        long oneWay = world.network.oneWayUs(zone, worker.zone);
        later(kept ? oneWay : 3 * oneWay, () -> {
            traffic.call(Role.WORKER, Role.SCHEDULER, MessageKind.CALL_BACK, HttpText.callBack(HOST, worker.name), HttpText.NO_CONTENT.length());
            idle.addFirst(queue.nowUs());
            over(attempt, attempt.process == worker.process ? Outcome.OK : Outcome.RESET);
        });
    }

    /** Connections on which workers called not long ago, as far as they are kept. */
    private int accepted() {
        if (queue.nowUs() >= acceptedUs + ACCEPTED_EVERY_US) {
            acceptedUs = queue.nowUs();
            callers.values().forEach(idle -> idle.removeIf(used -> queue.nowUs() - used >= CALL_BACK_IDLE_US));
            callers.values().removeIf(Deque::isEmpty);
            accepted = callers.values().stream().mapToInt(Deque::size).sum();
        }
        return Math.min(accepted, room.maxAcceptedConnections(links.open()));
    }

    @Override
    public void cancel(int requestId, int attempt) {
        Job job = jobs.get(requestId);
        if (job != null && attempt < job.attempts.size()) {
            giveUp(job.attempts.get(attempt), Outcome.CANCELLED);
        }
    }

    private void giveUp(Attempt attempt, Outcome outcome) {
        if (attempt.isOver) {
            return;
        }
        if (attempt.isTaken) {
            traffic.call(Role.SCHEDULER, Role.WORKER, MessageKind.JOB, HttpText.cancel(attempt.worker.host).length(), HttpText.DELETED.length());
            attempt.isTaken = false;
            attempt.worker.ended(attempt.process);
        }
        later(0, () -> over(attempt, outcome));
    }

    private void over(Attempt attempt, Outcome outcome) {
        if (attempt.isOver || dead) {
            return;
        }
        attempt.isOver = true;
        world.figures.over(outcome);
        Job job = jobs.get(attempt.request);
        if (outcome == Outcome.OK && !job.closed) {
            close(job, HttpText.result());
        }
        policy.attemptEnded(queue.nowUs(), attempt.request, attempt.number, attempt.worker.id, outcome, queue.nowUs() - attempt.startUs, job.closed, null);
    }

    private void close(Job job, int answerBytes) {
        job.closed = true;
        traffic.message(Role.SCHEDULER, Role.CLIENT, MessageKind.CLIENT, answerBytes);
    }

    @Override
    public void reject(int requestId, long comeBackUs) {
        world.figures.refused++;
        close(jobs.get(requestId), HttpText.refusal().length());
    }

    @Override
    public void fail(int requestId) {
        world.figures.failed++;
        close(jobs.get(requestId), HttpText.refusal().length());
    }

    // ---- probes, list, timers ----

    @Override
    public void probe(int workerId) {
        HollowWorker worker = world.workers.get(workerId);
        long startUs = queue.nowUs();
        links.acquire(worker, MessageKind.PROBE_CONNECTION, link -> ask(worker, link, startUs));
    }

    private void ask(HollowWorker worker, LinkPool.Link link, long startUs) {
        if (link == null) {
            later(0, () -> policy.probeEnded(queue.nowUs(), worker.id, Outcome.CONNECT_FAILED, queue.nowUs() - startUs, null));
            return;
        }
        world.figures.probes++;
        int request = HttpText.probe(worker.host).length();
        if (!world.network.reaches(zone, worker)) {
            traffic.message(Role.SCHEDULER, Role.WORKER, MessageKind.PROBE, request);
            links.end(link);
            later(PROBE_LIMIT_US, () -> policy.probeEnded(queue.nowUs(), worker.id, Outcome.TIMEOUT, PROBE_LIMIT_US, null));
            return;
        }
        long oneWay = world.network.oneWayUs(zone, worker.zone);
        queue.after(oneWay, () -> {
            int free = worker.free();
            long madeUs = queue.nowUs();
            traffic.call(Role.SCHEDULER, Role.WORKER, MessageKind.PROBE, request, HttpText.report(free).length());
            later(oneWay, () -> {
                links.release(link, 0);
                figureUs[worker.id] = madeUs;
                Contract.Report report = new Contract.Report();
                report.clear();
                report.freeSlots = free;
                policy.probeEnded(queue.nowUs(), worker.id, Outcome.OK, queue.nowUs() - startUs, report);
            });
        });
    }

    @Override
    public void startTimer(long token, long delayUs) {
        later(delayUs, () -> policy.timerExpired(queue.nowUs(), token));
    }

    @Override
    public void watchWorkerList(boolean on) {
        world.list.forget(this);
        if (on) {
            world.list.watch(this);
        }
    }

    @Override
    public void fetchWorkerList() {
        watchWorkerList(true);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        // schedulers do not speak to each other on sockets
    }

    @Override
    public void log(String text) {
        // nobody reads it
    }
}
