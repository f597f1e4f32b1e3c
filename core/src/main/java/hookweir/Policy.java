package hookweir;

import static hookweir.Decay.fade;
import static hookweir.Decay.mean;
import static hookweir.RetryRules.isInDedupGroup;
import static hookweir.RetryRules.mayReject;
import static hookweir.RetryRules.mayRejectOnceSent;
import static hookweir.RetryRules.maySend;

import hookweir.Contract.EndReason;
import hookweir.Contract.Outcome;
import hookweir.membership.ListCallFailure;
import hookweir.membership.ListCallPacer;
import hookweir.membership.WorkerStartTimes;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The load balancing policy of one scheduler; Contract.java defines its interface, units and event order.
 * Based on Kumaran and Sahoo's PSBU: a job goes to a ready worker picked at random, weighted by free slots in
 * its newest report, or uniformly if all are full; a worker is probed 1 / (fill x alpha) after its last
 * report. Comments that begin "Unlike PSBU" say where the code differs from that rule, and why.
 */
public final class Policy implements Contract.Dispatcher {
    // Values without a unit in the name are ratios, or multiples of the mean service time where noted.
    private static final double PROBE_BUDGET = 0.006; // share of the total score that probes may cost
    private static final int MAX_PROBES = 4; // candidates per job, also further rounds; more add little
    private static final double MAX_REPORT_AGE = 1; // mean service times; older ones don't tell who is full
    private static final double PERIODIC_PROBE_SHARE = 0.2; // of all probes, where jobs probe candidates too
    private static final double MIN_FILL = 0.25; // fill for the probe rate: finds crashes of idle workers too
    private static final double MIN_ALPHA = 0.02; // probes per second at full load, if few requests arrive
    private static final double REPORT_AGE_GAIN = 0.3; // smoothing, so that one outlier can't set the age
    private static final double RETRY_PAUSE = 0.15; // mean service times until a waiting job tries again
    private static final long MIN_PROBE_GAP_US = 20_000; // per worker, at any request rate
    private static final double REMOTE_ZONE_WEIGHT = 0.1; // where crossing zones has a price
    private static final double NEXT_KEY_WEIGHT = 0.2; // each next worker for a key, relative to the previous
    private static final int SAMPLE_SIZE = 64; // workers considered per job in fleets over twice this size
    private static final double MIN_FREE_SLOTS = 0.5; // fewer by a fresh report count as full
    private static final double LATE_FINISH_WEIGHT = 0.1; // if the job would miss its soft deadline there
    private static final double COLD_LOAD = 0.45; // for cold workers, of the load at which they collapse
    private static final double MAX_COLD_HINT = 1.5; // mean hints; longer jobs use up a cold worker's budget
    private static final double MIN_COLD_FIT = 0.2; // assumed minimum of the work short enough for those
    private static final double MAX_ERROR_LEVEL = 0.05; // errors per mean service time and slot
    private static final double LOW_FILL = 0.75; // mean fill up to which a short deadline implies no retry
    private static final double LATE_RESERVE = 0.25; // of a worker's slots is not used by jobs already late
    private static final double FILL_PRIOR = 0.01; // weight of a half-full worker in the initial mean fill
    private static final double RATE_WINDOW_S = 5; // time constant of the request rate
    private static final double FAILURE_GAIN = 0.3; // weight of the newest job in a worker's failure share
    private static final double TOLERATED_FAILURES = 0.4; // share without effect, as one error says little
    private static final double FAILURE_MEMORY = 10; // mean service times in which failures mostly decay
    private static final int MAX_EJECTION = 32; // mean service times that a failing worker is excluded
    private static final double MIN_RUN_TIME = 0.6; // of a job's cost hint, on any worker
    private static final long SHUTDOWN_RETRY_US = 300_000; // clients reach other schedulers by then

    private static final int DEADLINE = 0, RETRY = 1, PROBES_DUE = 2, PROBE_AGAIN = 3, WATCH = 4;

    private Contract.Settings settings;
    private final Contract.Host host;
    private final Map<Integer, TrackedWorker> workersById = new HashMap<>();
    private final Map<Integer, Job> jobs = new HashMap<>();
    private final List<TrackedWorker> workers = new ArrayList<>();
    private final List<Job> probingJobs = new ArrayList<>();
    private boolean probesOn;
    private double probesPerJob;
    private final long sampleSalt;
    private ListCallPacer pacer;
    private final WorkerStartTimes starts = new WorkerStartTimes();
    private int sampleStart, sampleSize, eligibleCount;
    private double[] weights = new double[64], slotsByKind = {}, extraRunByKind = {};
    private double meanHintUs, serviceUs = 1e6, reportAgeUs, probeUs, arrivals;
    private double coldFit = 0.67, meanRun = 1, meanFill = 0.5, meanErrors, meanMs = Double.NaN;
    private final ClassServiceTimes serviceTimes = new ClassServiceTimes();
    private final SplitMix random;
    private long arrivalsUs, stopUs, rejectedUs = Long.MIN_VALUE / 2, leaseUntilUs = Long.MAX_VALUE;
    private boolean started, listHeld, watching, anyCold;

    /** A policy without any workers yet; schedulers need different seeds so that their picks differ. */
    public Policy(Contract.Settings settings, long seed, Contract.Host host) {
        this.host = host;
        random = new SplitMix(seed);
        sampleSalt = SplitMix.mix(seed);
        for (Contract.RequestClass c : settings.classes) serviceUs = Math.min(serviceUs, c.softDeadlineUs);
        probeUs = reportAgeUs = 4.0 * settings.tickUs;
        settingsChanged(0, settings);
    }

    /** Keeps all that was measured and replaces what is derived from the settings. */
    @Override public void settingsChanged(long now, Contract.Settings next) {
        if (settings == null || settings.schedulerCount != next.schedulerCount
                || settings.pollList != next.pollList) {
            pacer = new ListCallPacer(next.schedulerCount, next.pollList, next.maxPollIntervalUs);
        }
        settings = next;
        serviceTimes.setClassCount(next.classes.size());
        probesOn = next.probesAllowed && next.loadReportSource != Contract.LoadReportSource.NONE;
        probesPerJob = Math.max(1, Math.min(MAX_PROBES, PROBE_BUDGET / Math.max(settings.probePrice, 1e-9)));
    }

    @Override public void workerListReceived(long now, boolean delta, List<Contract.Worker> entries) {
        if (started && leaseValid(now)) pacer.callSucceeded();
        if (!started && settings.pollList) host.startTimer(WATCH, pacer.firstCallDelayUs(random.uniform()));
        started = true;
        for (int i = 0; !delta && i < workers.size(); i++) workers.get(i).listed = false;
        for (Contract.Worker entry : entries) {
            TrackedWorker worker = workersById.get(entry.id);
            if (worker == null) worker = addWorker(entry, now);
            worker.listed = entry.state != Contract.WorkerState.GONE;
            worker.ready = entry.state == Contract.WorkerState.READY;
            worker.entry = entry;
            if (entry.kind >= slotsByKind.length) {
                slotsByKind = Arrays.copyOf(slotsByKind, 2 * entry.kind + 8);
                extraRunByKind = Arrays.copyOf(extraRunByKind, 2 * entry.kind + 8);
            }
            if (entry.startedAtUs != worker.listedStartUs) resetWorker(worker, entry.startedAtUs, now);
            if (settings.sizeMetric == Contract.SizeMetric.LIVE && entry.size > 0) {
                // Unlike PSBU: a listed size that falls as the worker's load grows is a load report too.
                worker.maxSize = Math.max(worker.maxSize, entry.size);
                reportAgeUs += worker.seenUs == 0 ? 0 : Decay.GAIN / 10 * (now - worker.seenUs - reportAgeUs);
                setBusy(worker, now, slots(worker) * (worker.maxSize / entry.size - 1));
            }
        }
        // A worker that is gone, or missing from a whole list, must not get new work.
        workers.removeIf(worker -> !worker.listed && workersById.remove(worker.entry.id, worker));
        listHeld |= !workers.isEmpty();
        if (weights.length < workers.size()) weights = new double[2 * workers.size()];
    }

    /** Counts draining workers and those ejected after failures. */
    @Override public int excludedWorkerCount(long now) {
        return (int) workers.stream().filter(worker -> !worker.ready || now < worker.ejectedUntilUs).count();
    }

    private TrackedWorker addWorker(Contract.Worker entry, long now) {
        TrackedWorker worker = new TrackedWorker();
        worker.refreshedUs = now;
        worker.hash = SplitMix.mix(entry.id);
        workersById.put(entry.id, worker);
        workers.add(worker);
        host.startTimer(token(PROBE_AGAIN, entry.id), (long) (random.uniform() * serviceUs));
        return worker;
    }

    /** Forgets load and failures: a restarted process holds no jobs and has not failed any. */
    private void resetWorker(TrackedWorker worker, long startedUs, long now) {
        worker.listedStartUs = startedUs;
        worker.startedUs = starts.startTimeUs(worker.entry.id, startedUs, now, listHeld);
        worker.cold = startedUs > 0;
        anyCold |= worker.cold;
        worker.busy = worker.serviceMs = Double.NaN;
        worker.own = worker.unreported = worker.failureShare = worker.errorLevel = worker.failures = 0;
        worker.ejectedUntilUs = worker.fullUntilUs = 0;
    }

    @Override public void workerListFailed(long now) {
        workerListFailed(now, ListCallFailure.UNANSWERED);
    }

    @Override public void workerListFailed(long now, ListCallFailure failure) {
        watching = false;
        host.startTimer(WATCH, pacer.retryDelayUs(failure, random.uniform()));
    }

    @Override public void listLeaseChanged(long now, long untilUs) {
        leaseUntilUs = untilUs;
    }

    @Override public void requestAccepted(long now, Contract.Request request) {
        Job job = new Job();
        job.request = request;
        job.type = settings.classes.get(request.requestClass);
        job.slots = request.slots > 0 ? request.slots : 1;
        job.ended = new boolean[settings.maxAttempts];
        // All tries of a client share one soft deadline, counted from the first try.
        long firstTryUs = Math.min(now, request.deadlineAtUs - job.type.deadlineUs);
        job.dueUs = Math.min(firstTryUs + job.type.softDeadlineUs
            + (long) (job.type.softDeadlineStretch * job.request.costHintUs), request.deadlineAtUs);
        // A short deadline suggests an earlier try, but unless marked as a retry this may be the first one.
        job.firstTryStartUs = job.dueUs - job.request.costHintUs;
        if (!request.clientRetry) job.firstTryStartUs = Math.min(job.firstTryStartUs + now - firstTryUs,
            request.deadlineAtUs - job.request.costHintUs);
        jobs.put(job.request.id, job);
        meanHintUs = meanHintUs == 0 ? job.request.costHintUs : mean(meanHintUs, job.request.costHintUs);
        arrivals = arrivals * fade(now - arrivalsUs, RATE_WINDOW_S * 1e6) + 1;
        arrivalsUs = now;
        long endUs = stopUs > 0 ? Math.min(stopUs, job.request.deadlineAtUs) : job.request.deadlineAtUs;
        host.startRequestTimer(job.request.id, token(DEADLINE, job.request.id),
            Math.max(0, endUs - now - 2 * settings.tickUs));
        boolean firstTry = !request.clientRetry && firstTryUs >= now - 4 * settings.tickUs;
        TrackedWorker cold = firstTry && leaseValid(now) && endsBeforeStop(job, now)
            ? pickColdWorker(job, now) : null;
        if (cold != null && maySend(job, settings, now)) send(job, cold, now);
        else dispatch(job, now);
    }

    // Unlike PSBU: cold workers are not in the ordinary selection, so that all schedulers together stay below
    // the load at which one collapses. Each first try picks among all workers by guaranteed capacity
    // and goes there if that one is cold: neither retries nor full workers raise this share. Jobs that would
    // end late there are not sent, and picks of cold workers are boosted by the share of such work.
    private TrackedWorker pickColdWorker(Job job, long now) {
        if (!anyCold) return null;
        anyCold = false;
        sampleStart = 0;
        sampleSize = workers.size();
        double cold = 0, accepted = 0;
        double boost = Math.max(1, COLD_LOAD * settings.collapseLoadFactor / Math.max(MIN_COLD_FIT, coldFit));
        for (int i = 0; i < sampleSize; i++) {
            TrackedWorker worker = workers.get(i);
            double warm = warmFraction(worker, now);
            anyCold |= warm < 1;
            worker.cold = worker.ready && warm < 1;
            weights[i] = worker.ready ? warm * slots(worker) / runTime(worker) : 0;
            if (!worker.cold) continue;
            cold += weights[i];
            accepted += finishesOnCold(job, worker, now) ? weights[i] : 0;
            weights[i] *= boost;
        }
        if (cold > 0) coldFit += Decay.GAIN * Math.min(4, job.request.costHintUs / serviceUs)
            * (accepted / cold - coldFit);
        int index = pick();
        TrackedWorker worker = index < 0 ? null : workers.get(index);
        boolean open = worker != null && worker.cold && now >= worker.ejectedUntilUs && fits(job, worker)
            && finishesOnCold(job, worker, now);
        return open && slots(worker) - busySlots(worker, now) >= job.slots ? worker : null;
    }

    /** True if a worker that runs slower in proportion to its missing capacity finishes the job in time. */
    private boolean finishesOnCold(Job job, TrackedWorker w, long now) {
        if (job.request.costHintUs > MAX_COLD_HINT * meanHintUs) return false;
        return now + job.request.costHintUs * runTime(w) / warmFraction(w, now) < job.dueUs;
    }

    /** Unlike PSBU: run time relative to the cost hint, by listed size per slot and as measured per kind. */
    private double runTime(TrackedWorker w) {
        boolean sized = settings.sizeMetric == Contract.SizeMetric.NOMINAL && w.entry.size > 0;
        return (sized ? slots(w) / w.entry.size : 1) * (1 + extraRunByKind[w.entry.kind]);
    }

    /** The share of its capacity that a worker is guaranteed to have; it grows linearly while warming up. */
    private double warmFraction(TrackedWorker w, long now) {
        if (w.startedUs == 0 || now - w.startedUs >= settings.warmUpUs) return 1;
        return settings.coldCapacityShare
            + (1 - settings.coldCapacityShare) * Math.max(0, now - w.startedUs) / settings.warmUpUs;
    }

    private void dispatch(Job job, long now) {
        if (!endsBeforeStop(job, now) && mayReject(job)) finish(job, EndReason.LEAVING, now);
        else if (probesOn && leaseValid(now) && reportsFresh(job) && maySend(job, settings, now))
            probeFirst(job, now);
        else place(job, now);
    }

    /** Attempts may only start while the worker list can't be out of date. */
    private boolean leaseValid(long now) {
        return now < leaseUntilUs;
    }

    /** Reports are fresh enough to tell who is full; keyed jobs, with few candidates, need half that age. */
    private boolean reportsFresh(Job job) {
        return reportAgeUs < MAX_REPORT_AGE * serviceUs * (job != null && job.request.key != 0 ? 0.5 : 1);
    }

    /** Unlike PSBU: probes some candidates, picked by free slots, and then selects by their new reports. */
    private void probeFirst(Job job, long now) {
        computeWeights(job, now);
        job.candidates = new ArrayList<>();
        job.probesPending = 0;
        for (int i = 0; i < (int) probesPerJob; i++) {
            int index = pick();
            if (index < 0) break;
            TrackedWorker worker = workers.get(index);
            job.candidates.add(worker);
            weights[index] = 0;
            if (now - worker.seenUs > Math.max(serviceUs * RETRY_PAUSE, MIN_PROBE_GAP_US)) probe(worker);
            job.probesPending += worker.probePending ? 1 : 0;
        }
        job.waiting = true;
        probingJobs.add(job);
        if (job.probesPending > 0) host.startTimer(token(PROBES_DUE, job.request.id),
            (long) (2 * probeUs) + settings.tickUs);
        else place(job, now);
    }

    /** Selects a worker for the job and sends it there; if there is none, the job waits or ends. */
    private void place(Job job, long now) {
        job.waiting = false;
        probingJobs.remove(job);
        if (job.done || job.streaming) return;
        if (!maySend(job, settings, now)) {
            if (job.inFlight == 0) finish(job, EndReason.NO_ATTEMPT_LEFT, now);
            return;
        }
        if (!leaseValid(now)) {
            job.candidates = null;
            waitOrFinish(job, EndReason.NO_LIST, now);
            return;
        }
        double free = computeWeights(job, now);
        for (int n = 0; job.candidates != null && free > 0 && n < sampleSize; n++) {
            TrackedWorker worker = workers.get(indexOf(n));
            if (worker.probePending || !job.candidates.contains(worker)) weights[indexOf(n)] = 0;
        }
        int index = pick();
        boolean inTime = now < latestStart(job);
        // Unlike PSBU: if no candidate is free, others are probed; with few requests, their reports are old.
        boolean further = index < 0 && free > 0 && inTime && job.probeRounds++ < MAX_PROBES;
        if (!further && index < 0 && free > 0 && computeWeights(job, now) > 0) index = pick();
        job.candidates = null;
        // Retries of rejected requests have short deadlines; with no rejections, the client chose it.
        boolean lowLoad = meanFill < LOW_FILL && now - rejectedUs > job.type.deadlineUs;
        boolean shortDeadline = free > 0 && now < job.firstTryStartUs && lowLoad;
        boolean worthless = !inTime && !shortDeadline && job.type.lateValueShare <= 0 && mayReject(job);
        if (further) probeFirst(job, now);
        else if (index >= 0 && !worthless && (free > 0 || !reportsFresh(job) || !inTime && !mayReject(job)))
            send(job, workers.get(index), now);
        else waitOrFinish(job, EndReason.TOO_LATE, now);
    }

    /** Unlike PSBU: while all workers are full and time is left, it waits here, free to go anywhere. */
    private void waitOrFinish(Job job, EndReason otherwise, long now) {
        if (now >= latestStart(job)) {
            finish(job, otherwise, now);
            return;
        }
        job.waiting = true;
        double pauseUs = Math.min(serviceUs * RETRY_PAUSE * (0.5 + random.uniform()), latestStart(job) - now);
        host.startTimer(token(RETRY, job.request.id), (long) Math.max(settings.tickUs, pauseUs));
    }

    /** The latest start that still earns the full value; without a cost hint, that of the shortest job. */
    private long latestStart(Job job) {
        return job.dueUs - job.request.costHintUs;
    }

    /** The only place that sends; until an outcome proves otherwise, the attempt may have run. */
    private void send(Job job, TrackedWorker worker, long now) {
        job.lastWorker = worker;
        job.sentUs = now;
        job.attempts++;
        job.startedUs = 0;
        job.inFlight++;
        job.firstRunUs = job.firstRun == null ? now : job.firstRunUs;
        job.firstRun = job.firstRun == null ? worker : job.firstRun;
        addOwnSlots(worker, job.slots, now);
        host.send(job.request.id, worker.entry.id, 0);
    }

    /** Rejects what can't end before the shutdown, as other schedulers can take it; the rest continues. */
    @Override public void shutdownStarted(long now, long shutdownAtUs) {
        stopUs = shutdownAtUs;
        for (Job job : new ArrayList<>(jobs.values())) {
            if (job.done || job.streaming) continue;
            if (mayReject(job) && !endsBeforeStop(job, now)) finish(job, EndReason.LEAVING, now);
            else host.startTimer(token(DEADLINE, job.request.id), Math.max(0, shutdownAtUs - now));
        }
    }

    /** True unless the job, sent now if it is not at a worker, is expected to outlast the shutdown. */
    private boolean endsBeforeStop(Job job, long now) {
        return stopUs == 0 || now < stopUs && expectedEndUs(job, now) < stopUs;
    }

    /**
     * By the cost hint, counted from the job's start, or by what the jobs of its class took from send to
     * result. A job that can't be refused any more once it was sent gets no benefit of the doubt.
     */
    private double expectedEndUs(Job job, long now) {
        boolean sent = job.inFlight > 0, refusable = mayRejectOnceSent(job);
        double usualUs = serviceTimes.meanUs(job.request.requestClass, refusable ? 0 : serviceUs);
        if (job.request.costHintUs == 0) return (sent ? job.sentUs : now) + usualUs;
        double runTime = refusable ? MIN_RUN_TIME : Math.max(MIN_RUN_TIME, meanRun);
        return (sent && job.startedUs > 0 ? job.startedUs : now) + job.request.costHintUs * runTime;
    }

    @Override public void progressReported(long now, int requestId, int attempt, int workerId, double share) {
        Job job = jobs.get(requestId);
        if (job != null && attempt == job.attempts - 1 && job.startedUs == 0) job.startedUs = now;
    }

    /** The only place that ends a request without a result: rejected if a retry is harmless, else failed. */
    private void finish(Job job, EndReason reason, long now) {
        host.reportEndReason(job.request.id, reason);
        rejectedUs = now;
        if (mayReject(job)) host.reject(job.request.id, retryAfterUs());
        else host.fail(job.request.id);
        close(job);
    }

    @Override public long retryAfterUs() {
        if (!settings.retryAfterAllowed) return 0;
        return stopUs > 0 ? Math.min(SHUTDOWN_RETRY_US, settings.maxRetryAfterUs) : settings.maxRetryAfterUs;
    }

    private void close(Job job) {
        job.done = true;
        // Removed now: place() never runs for it if its probed worker leaves the list before it responds.
        probingJobs.remove(job);
        for (int i = 0; settings.cancelAllowed && i < job.attempts; i++)
            if (!job.ended[i]) host.cancel(job.request.id, i);
        if (job.inFlight == 0) jobs.remove(job.request.id);
    }

    @Override public void attemptEnded(long now, int requestId, int attempt, int workerId, Outcome outcome,
            long elapsedUs, boolean requestClosed, Contract.Report report) {
        TrackedWorker worker = workersById.get(workerId);
        Job job = jobs.get(requestId);
        if (worker != null) {
            updateEjection(worker, outcome, now);
            updateFailureShare(worker, outcome, now);
            if (report != null) applyReport(worker, report, now);
            if (outcome == Outcome.FULL) {
                // Full regardless of older reports, until about two slots should have become free.
                worker.fullUntilUs = now + (long) Math.min(reportAgeUs, 2 * serviceUs / slots(worker));
                setBusy(worker, now, slots(worker) * 1.1);
            }
            addOwnSlots(worker, job == null ? 0 : -job.slots, now);
        }
        if (job == null) return;
        job.inFlight--;
        job.ended[attempt] = true;
        if (outcome == Outcome.OK) {
            serviceUs = mean(serviceUs, elapsedUs);
            serviceTimes.record(job.request.requestClass, elapsedUs);
            double runUs = job.startedUs > 0 ? now - job.startedUs : elapsedUs;
            double ratio = runUs / (job.request.costHintUs > 0 ? job.request.costHintUs : serviceUs);
            if (worker != null && warmFraction(worker, now) == 1) {
                extraRunByKind[worker.entry.kind] =
                    (1 + extraRunByKind[worker.entry.kind]) * mean(1, ratio / runTime(worker)) - 1;
                meanRun = mean(meanRun, ratio);
            }
        }
        job.mayHaveRun |= !outcome.neverRan;
        job.firstRun = job.inFlight == 0 && !job.mayHaveRun ? null : job.firstRun;
        if (requestClosed || job.done) close(job);
        else if (job.streaming && job.inFlight == 0) finish(job, EndReason.STREAM_OVER, now);
        else if (!job.waiting && !job.streaming) dispatch(job, now);
    }

    /** Ejects an unreachable or unhealthy worker, twice as long per failure, until it responds again. */
    private void updateEjection(TrackedWorker worker, Outcome outcome, long now) {
        if (outcome == Outcome.OK || outcome == Outcome.FULL) {
            worker.failures = 0;
            worker.ejectedUntilUs = 0;
        } else if (outcome != Outcome.ERROR && outcome != Outcome.CANCELLED && outcome != Outcome.MOOT) {
            worker.failures = Math.min(worker.failures + 1, 10);
            double serviceTimes = Math.min(MAX_EJECTION, 1 << worker.failures) * (0.5 + random.uniform());
            worker.ejectedUntilUs = now + (long) (serviceUs * serviceTimes);
        }
    }

    /** Unlike PSBU: free slots count by the share of jobs that succeed, as a fast error is not capacity. */
    private void updateFailureShare(TrackedWorker worker, Outcome outcome, long now) {
        boolean failed = outcome == Outcome.ERROR || outcome == Outcome.TIMEOUT;
        if (!failed && outcome != Outcome.OK) return;
        worker.failureShare = failureShare(worker, now) * (1 - FAILURE_GAIN) + (failed ? FAILURE_GAIN : 0);
        worker.failedUs = now;
    }

    private double failureShare(TrackedWorker w, long now) {
        return w.failureShare == 0 ? 0 : w.failureShare * fade(now - w.failedUs, FAILURE_MEMORY * serviceUs);
    }

    @Override public void streamStarted(long now, int requestId, int attempt) {
        Job job = jobs.get(requestId);
        if (job != null) job.streaming = true;
    }

    @Override public void requestAbandoned(long now, int requestId) {
        Job job = jobs.get(requestId);
        if (job != null && !job.done) close(job);
    }

    @Override public void probeEnded(long now, int workerId, Outcome outcome, long elapsedUs,
            Contract.Report report) {
        TrackedWorker worker = workersById.get(workerId);
        if (worker == null) return;
        worker.probePending = false;
        updateEjection(worker, outcome == Outcome.ERROR ? Outcome.RESET : outcome, now);
        if (outcome == Outcome.OK) probeUs = mean(probeUs, elapsedUs);
        if (report != null) applyReport(worker, report, now);
        for (int i = probingJobs.size() - 1; i >= 0; i--) {
            Job job = probingJobs.get(i);
            if (job.candidates.contains(worker) && --job.probesPending == 0) place(job, now);
        }
    }

    private void applyReport(TrackedWorker worker, Contract.Report report, long now) {
        if (report.freeSlots >= 0) {
            slotsByKind[worker.entry.kind] = Math.max(slotsByKind[worker.entry.kind], report.freeSlots);
            setBusy(worker, now, slots(worker) - report.freeSlots);
        } else if (report.utilization >= 0) {
            setBusy(worker, now, slots(worker) * Math.min(1, report.utilization));
        }
        double load = report.utilization >= 0 ? report.utilization : report.outstanding;
        // Equal measured values: reports are at least this old. Whole or saturated values may repeat anyway.
        boolean same = load == worker.lastLoad && report.freeSlots == worker.lastFree
            && load != Math.rint(load) && !(report.utilization > 1);
        if (same) reportAgeUs += Math.max(0, now - worker.refreshedUs - reportAgeUs) * REPORT_AGE_GAIN;
        else worker.refreshedUs = now;
        worker.errorLevel = report.errorsPerS > 0 ? report.errorsPerS * serviceUs / 1e6 / slots(worker) : 0;
        worker.lastLoad = load;
        worker.lastFree = report.freeSlots;
        if (report.serviceTimeMs > 0) {
            worker.serviceMs = report.serviceTimeMs;
            meanMs = Double.isNaN(meanMs) ? report.serviceTimeMs : mean(meanMs, report.serviceTimeMs);
        }
    }

    /** Stores the reported busy slots, less those that own jobs held when the report was made. */
    private void setBusy(TrackedWorker w, long now, double busy) {
        w.seenUs = now;
        w.busy = Math.max(0, busy - Math.max(0, ownSlots(w, now) - unreported(w, now)));
    }

    /** Total slots: the most seen free at any worker of this kind, as a worker is rarely seen empty. */
    private double slots(TrackedWorker w) {
        return Math.max(1, slotsByKind[w.entry.kind]);
    }

    /** Unlike PSBU: own jobs hold slots from send to end; reports only count for other schedulers' jobs. */
    private void addOwnSlots(TrackedWorker w, double slots, long now) {
        w.own = Math.max(0, ownSlots(w, now) + slots);
        w.unreported = unreported(w, now) + slots;
        w.ownUs = now;
    }

    /** Slots of own jobs; these decay if no slots are reported, or a worker of unknown size looks full. */
    private double ownSlots(TrackedWorker w, long now) {
        return slotsByKind[w.entry.kind] > 0 ? w.own : w.own * fade(now - w.ownUs, serviceUs);
    }

    /** Change of own slots that is too recent to be part of a report. */
    private double unreported(TrackedWorker w, long now) {
        return w.unreported * fade(now - w.ownUs, reportAgeUs);
    }

    /** Unlike PSBU: an old report fades into the mean fill, so that a silent worker stops attracting jobs. */
    private double busySlots(TrackedWorker worker, long now) {
        boolean noReport = Double.isNaN(worker.busy);
        worker.fresh = noReport ? 0 : fade(now - worker.seenUs + (long) (reportAgeUs / 2), serviceUs);
        double reported = noReport ? 0 : worker.busy * worker.fresh;
        double own = ownSlots(worker, now), mean = worker.cold ? 0 : slots(worker) * meanFill;
        return reported + worker.fresh * own + (1 - worker.fresh) * Math.max(own, mean);
    }

    // Sets the weights for this job and returns their sum, or 0 if all are full and weights are uniform.
    // Unlike PSBU, each attempt samples a large fleet anew, which bounds the cost; all workers are considered
    // for keyed jobs and if too few in the sample are eligible.
    private double computeWeights(Job job, long now) {
        int all = workers.size();
        sampleSize = all > 2 * SAMPLE_SIZE && job.request.key == 0 ? SAMPLE_SIZE : all;
        sampleStart = sampleSize < all
            ? (int) ((SplitMix.mix(8L * job.request.id + job.attempts ^ sampleSalt) >>> 33) % all) : 0;
        double sum = weighSample(job, now);
        if (sum > 0 || sampleSize == all || eligibleCount >= SAMPLE_SIZE / 4) return sum;
        sampleSize = all;
        return weighSample(job, now);
    }

    /** The index in {@link #workers} of the n-th worker of the sample, which wraps around at the end. */
    private int indexOf(int n) {
        return sampleStart + n < workers.size() ? sampleStart + n : sampleStart + n - workers.size();
    }

    private double weighSample(Job job, long now) {
        eligibleCount = 0;
        boolean late = now > latestStart(job);
        double sum = 0, errors = 0, fills = FILL_PRIOR * 0.5, trust = FILL_PRIOR;
        for (int n = 0; n < sampleSize; n++) {
            int i = indexOf(n);
            TrackedWorker worker = workers.get(i);
            weights[i] = 0;
            if (!worker.ready) continue;
            double total = slots(worker), free = total - busySlots(worker, now);
            fills += worker.fresh > 0 ? worker.fresh * Math.min(1, (worker.busy + worker.own) / total) : 0;
            trust += worker.fresh;
            errors += worker.errorLevel * worker.fresh;
            if (worker.cold || !fits(job, worker)) continue;
            eligibleCount++;
            if (now < worker.ejectedUntilUs || now < worker.fullUntilUs) continue;
            // Unlike PSBU: a worker that reports many errors, and more than the others, is left out.
            if (worker.errorLevel * worker.fresh > Math.max(MAX_ERROR_LEVEL, 1.5 * meanErrors)) continue;
            // Unlike PSBU: a job needs all its slots, and late jobs leave a reserve for those in time.
            free -= late ? LATE_RESERVE * total : 0;
            if (free < MIN_FREE_SLOTS * Math.min(1, 4 * worker.fresh * worker.fresh)) continue;
            free = Math.max(free - (job.slots - 1), free * 0.1);
            // Unlike PSBU: free slots count by the worker's speed as reported, else as seen for its kind.
            free *= Math.min(2, worker.serviceMs > 0 ? meanMs / worker.serviceMs : meanRun / runTime(worker));
            free *= failureShare(worker, now) < TOLERATED_FAILURES ? 1 : 1 - failureShare(worker, now);
            // Unlike PSBU: prefers workers that end the job in time, as slow cores outlast some clients.
            free *= now + job.request.costHintUs * runTime(worker) > job.dueUs ? LATE_FINISH_WEIGHT : 1;
            weights[i] = Math.max(0, free * zoneWeight(worker));
            sum += weights[i];
        }
        meanFill = fills / trust;
        meanErrors = errors / trust;
        if (sum > 0) return job.request.key == 0 ? sum : applyKeyAffinity(job.request.key);
        for (int n = 0; n < sampleSize; n++) {
            int i = indexOf(n);
            TrackedWorker worker = workers.get(i);
            weights[i] = !worker.ready || worker.cold || !fits(job, worker) ? 0
                : zoneWeight(worker) * (now < worker.ejectedUntilUs ? 0.01 : 1);
        }
        return 0;
    }

    /** Unlike PSBU: free slots in other zones count less where crossing zones has a price. */
    private double zoneWeight(TrackedWorker w) {
        return w.entry.zone == settings.zone || settings.crossZonePrice <= 0 ? 1 : REMOTE_ZONE_WEIGHT;
    }

    /** True if the worker can run the job, a retry is safe there, and it did not run the last attempt. */
    private boolean fits(Job job, TrackedWorker worker) {
        return (job.type.requiredKind < 0 || job.type.requiredKind == worker.entry.kind)
            && (job.attempts == 0 || isInDedupGroup(job, worker) && job.lastWorker != worker)
            && (job.slots <= 1 || job.slots <= slots(worker) + 0.5 || slotsByKind[worker.entry.kind] <= 1);
    }

    // Unlike PSBU: for keyed jobs free slots count by the chance that the worker holds what the key needs.
    // All schedulers rank workers by the same hash of key and id; each next one counts less.
    private double applyKeyAffinity(long key) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < workers.size(); i++) if (weights[i] > 0) order.add(i);
        order.sort(Comparator.comparing(i -> -SplitMix.mix(key ^ workers.get(i).hash)));
        double sum = 0, chance = 1;
        for (int i : order) {
            sum += weights[i] *= chance;
            chance *= NEXT_KEY_WEIGHT;
        }
        return sum;
    }

    /** Picks the index of a worker at random in proportion to the weights; -1 if all are 0. */
    private int pick() {
        double sum = 0;
        for (int n = 0; n < sampleSize; n++) sum += weights[indexOf(n)];
        double left = random.uniform() * sum;
        int last = -1;
        for (int n = 0; n < sampleSize && left >= 0; n++) {
            int i = indexOf(n);
            if (weights[i] <= 0) continue;
            last = i;
            left -= weights[i];
        }
        return last;
    }

    private void probe(TrackedWorker worker) {
        if (!worker.probePending) host.probe(worker.entry.id);
        worker.probePending = true;
    }

    /** Probes a worker 1 / (fill x alpha) after its newest report; alpha is what the probe budget allows. */
    private void probeIfDue(TrackedWorker worker, long now) {
        double rate = arrivals * fade(now - arrivalsUs, RATE_WINDOW_S * 1e6) / RATE_WINDOW_S;
        double perS = probesPerJob * rate * (reportsFresh(null) ? PERIODIC_PROBE_SHARE : 1);
        double alpha = Math.max(MIN_ALPHA, perS / workers.size() / Math.max(meanFill, MIN_FILL));
        double fill = Double.isNaN(worker.busy) ? 1 : Math.min(1, (worker.busy + worker.own) / slots(worker));
        double gapUs = Math.max(MIN_PROBE_GAP_US, 1e6 / (Math.max(MIN_FILL, fill) * alpha));
        gapUs *= 0.75 + random.uniform() / 2;
        double leftUs = Math.max(worker.seenUs, worker.refreshedUs) + gapUs - now;
        if (leftUs <= settings.tickUs && worker.ready) {
            if (probesOn) probe(worker);
            leftUs = gapUs;
        }
        host.startTimer(token(PROBE_AGAIN, worker.entry.id), (long) Math.max(leftUs, settings.tickUs));
    }

    @Override public void timerExpired(long now, long token) {
        int id = (int) (token >> 3), kind = (int) (token & 7);
        if (kind == PROBE_AGAIN && workersById.containsKey(id)) probeIfDue(workersById.get(id), now);
        if (kind == WATCH && !watching) host.watchWorkerList(watching = true);
        Job job = kind == WATCH || kind == PROBE_AGAIN ? null : jobs.get(id);
        if (job == null || job.done || job.streaming) return;
        // Also ends requests that wait here, or whose worker never responds.
        if (kind == DEADLINE) finish(job, stopUs > 0 ? EndReason.LEAVING : EndReason.OUT_OF_TIME, now);
        else if (kind == PROBES_DUE && job.candidates != null) place(job, now);
        else if (kind == RETRY && job.waiting && job.candidates == null) dispatch(job, now);
    }

    private static long token(int kind, int id) {
        return (id & 0xffffffffL) << 3 | kind;
    }
}
