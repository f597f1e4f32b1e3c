package hookweir;

import static hookweir.Decay.fade;
import static hookweir.Decay.mean;

import hookweir.Contract.DedupScope;
import hookweir.Contract.EndReason;
import hookweir.Contract.Idempotency;
import hookweir.Contract.Outcome;
import hookweir.Contract.RequestClass;
import hookweir.Contract.WorkerState;
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
 * Every decision of one dispatcher; the interface, with units and order of events, is in Contract.java.
 *
 * <p>Ordinary path (Kumaran and Sahoo's PSBU): a job goes to a ready worker drawn with probability
 * proportional to its free room by the newest figures; an even draw when all read full; the next check of a
 * worker comes 1 / (fill x alpha) after its last. Departures are marked here and listed in docs/design.md.
 */
public final class Policy implements Contract.Dispatcher {
    // All constants; the rest scales by the settings and by what is seen.
    private static final double CHECK_POINTS = 0.006; // share of the result that checks may cost
    private static final int MOST_PROBED = 4; // beyond a few candidates, or rounds, one more adds little
    private static final double BELIEVED = 1; // reports older than so many mean jobs can't tell who is full
    private static final double TIMED_SHARE = 0.2; // of the checks stay timed while candidates take the rest
    private static final double FLOOR_FILL = 0.25; // checks get no rarer below: an idle one's crash is found
    private static final double FLOOR_ALPHA = 0.02; // least top rate a second, for quiet dispatchers
    private static final double STALE_GAIN = 0.3; // step to a longer report period: one odd one can't set it
    private static final double RECHECK = 0.15; // mean jobs until a held job tries again: slots free up
    private static final long LEAST_GAP_US = 20_000; // between checks of a worker, however many jobs come
    private static final double ABROAD = 0.1; // room abroad counts so much where crossing costs anything
    private static final double NEXT_BY_KEY = 0.2; // room at a key's next worker, of the one before it
    private static final int SAMPLE = 64; // workers weighed for a job in a fleet of more than twice as many
    private static final double LEAST_ROOM = 0.5; // less by a fresh figure reads as full
    private static final double TOO_SLOW = 0.1; // room at a worker whose pace ends a job after its aim
    private static final double COLD_WORK = 0.45; // for a cold worker, of the multiple that pushes it over
    private static final double COLD_HEAVY = 1.5; // mean jobs: a heavier one spends a cold budget
    private static final double LEAST_PASSED = 0.2; // of the work that falls on cold ones, taken to go there
    private static final double ERRING = 0.05; // errors in a mean job's time, for each slot: it is left out
    private static final double AMPLE = 0.75; // fill up to which a guess that a job is late is doubted
    private static final double RESERVE = 0.25; // of a worker is left free by work that is late already
    private static final double PRIOR = 0.01; // worker at half fill in the mean, for want of figures
    private static final double RATE_WINDOW_S = 5; // requests of so many seconds make up the request rate
    private static final double FAILURE_GAIN = 0.3; // of each failed job on its worker; good ones take it off
    private static final double EXCUSED = 0.4; // a single failure says little: the next call may do well
    private static final double FORGIVEN = 10; // mean jobs in which most of them fade
    private static final int MOST_ASIDE = 32; // mean jobs that a worker is left alone after failures, at most
    private static final double BEST_PACE = 0.6; // of a job's hint is the least that its run takes anywhere
    private static final long BACK_SOON_US = 300_000; // by then clients come to others than one that leaves

    private static final int GUARD = 0, AGAIN = 1, PROBED = 2, CHECK = 3, WATCH = 4;

    /** What is known of one worker. */
    private static final class W {
        Contract.Worker e;
        int failures;
        boolean ready, cold, listed, checkOut;
        long hash, listedStartUs, startedUs, heardUs, recentUs, figureUs, fullUntilUs, asideUntilUs;
        double busy = Double.NaN, serviceMs = Double.NaN;
        double load, free, sizeMax, out, recent, fresh, bad, errors;
        long badUs;
    }

    /** An open request, kept until its last attempt is back. */
    private static final class Job {
        int attempts, out, probesOut, rounds;
        double slots;
        long aimUs, fairUs, firstRunUs, startedUs;
        boolean done, bound, mayHaveRun, waiting;
        Contract.Request r;
        RequestClass in;
        W firstRun, last;
        List<W> candidates;
        boolean[] back;
    }

    private Contract.Settings set;
    private final Contract.Host host;
    private final Map<Integer, W> byId = new HashMap<>();
    private final Map<Integer, Job> jobs = new HashMap<>();
    private final List<W> workers = new ArrayList<>();
    private final List<Job> probing = new ArrayList<>();
    private boolean checksOn;
    private double checksPerRequest;
    private final long salt;
    private ListCallPacer listCalls;
    private final WorkerStartTimes starts = new WorkerStartTimes();
    private int from, span, fitting;
    private double[] weight = new double[64], kindSlots = {}, kindPace = {};
    private double meanHintUs, serviceUs = 1e6, staleUs, probeUs, arrivals;
    private double passed = 0.67, meanPace = 1, meanFill = 0.5, meanErrors, meanMs = Double.NaN;
    private final SplitMix random;
    private long arrivalsUs, leaveUs, turnedUs = Long.MIN_VALUE / 2, leaseUntilUs = Long.MAX_VALUE;
    private boolean started, listHeld, watching, cooling; // cooling: some worker may be cold

    /** A dispatcher at its start; the seed makes its draws differ from those of others. */
    public Policy(Contract.Settings settings, long seed, Contract.Host host) {
        this.host = host;
        random = new SplitMix(seed);
        salt = SplitMix.mix(seed);
        for (RequestClass c : settings.classes) serviceUs = Math.min(serviceUs, c.softDeadlineUs);
        probeUs = staleUs = 4.0 * settings.tickUs;
        settingsChanged(0, settings);
    }

    /** What was learnt stays; all that settings decide follows. */
    @Override public void settingsChanged(long now, Contract.Settings settings) {
        if (set == null || set.schedulerCount != settings.schedulerCount || set.pollList != settings.pollList) {
            listCalls = new ListCallPacer(settings.schedulerCount, settings.pollList, settings.maxPollIntervalUs);
        }
        set = settings;
        checksOn = settings.probesAllowed && settings.loadReportSource != Contract.LoadReportSource.NONE;
        checksPerRequest = Math.max(1, Math.min(MOST_PROBED, CHECK_POINTS / Math.max(set.probePrice, 1e-9)));
    }

    // ---- the list of workers ----

    @Override public void workerListReceived(long now, boolean delta, List<Contract.Worker> entries) {
        if (started && leased(now)) listCalls.callSucceeded();
        if (!started && set.pollList) host.startTimer(WATCH, listCalls.firstCallDelayUs(random.uniform()));
        started = true;
        for (int i = 0; !delta && i < workers.size(); i++) workers.get(i).listed = false;
        for (Contract.Worker e : entries) {
            W w = byId.get(e.id);
            if (w == null) w = added(e, now);
            w.listed = e.state != WorkerState.GONE;
            w.ready = e.state == WorkerState.READY;
            w.e = e;
            if (e.kind >= kindSlots.length) {
                kindSlots = Arrays.copyOf(kindSlots, 2 * e.kind + 8);
                kindPace = Arrays.copyOf(kindPace, 2 * e.kind + 8);
            }
            if (e.startedAtUs != w.listedStartUs) restarted(w, e.startedAtUs, now);
            if (set.sizeMetric == Contract.SizeMetric.LIVE && e.size > 0) {
                // Departure: where the list's size figure falls with the requests held, it is a report too.
                w.sizeMax = Math.max(w.sizeMax, e.size);
                staleUs += w.heardUs == 0 ? 0 : Decay.GAIN / 10 * (now - w.heardUs - staleUs);
                heard(w, now, slots(w) * (w.sizeMax / e.size - 1));
            }
        }
        // Rule 3: a worker that is gone, or missing from a whole list, is out of every draw from now on.
        workers.removeIf(w -> !w.listed && byId.remove(w.e.id, w));
        listHeld |= !workers.isEmpty();
        if (weight.length < workers.size()) weight = new double[2 * workers.size()];
    }

    /** Draining ones, and those set aside for failures. */
    @Override public int excludedWorkerCount(long now) {
        return (int) workers.stream().filter(w -> !w.ready || now < w.asideUntilUs).count();
    }

    private W added(Contract.Worker e, long now) {
        W w = new W();
        w.figureUs = now;
        w.hash = SplitMix.mix(e.id);
        byId.put(e.id, w);
        workers.add(w);
        host.startTimer(token(CHECK, e.id), (long) (random.uniform() * serviceUs));
        return w;
    }

    /** A restarted process holds nothing and has failed nobody yet. */
    private void restarted(W w, long startedUs, long now) {
        w.listedStartUs = startedUs;
        w.startedUs = starts.startTimeUs(w.e.id, startedUs, now, listHeld);
        w.cold = startedUs > 0;
        cooling |= w.cold;
        w.busy = w.serviceMs = Double.NaN;
        w.out = w.recent = w.bad = w.errors = w.failures = 0;
        w.asideUntilUs = w.fullUntilUs = 0;
    }

    @Override public void workerListFailed(long now) {
        workerListFailed(now, ListCallFailure.UNANSWERED);
    }

    @Override public void workerListFailed(long now, ListCallFailure failure) {
        watching = false;
        host.startTimer(WATCH, listCalls.retryDelayUs(failure, random.uniform()));
    }

    @Override public void listLeaseChanged(long now, long untilUs) {
        leaseUntilUs = untilUs;
    }

    // ---- requests ----

    @Override public void requestAccepted(long now, Contract.Request r) {
        Job j = new Job();
        j.r = r;
        j.in = set.classes.get(r.requestClass);
        j.slots = r.slots > 0 ? r.slots : 1;
        j.back = new boolean[set.maxAttempts];
        // A client's tries share one aim, counted from its first.
        long born = Math.min(now, r.deadlineAtUs - j.in.deadlineUs);
        j.aimUs = Math.min(born + j.in.softDeadlineUs + (long) (j.in.softDeadlineStretch * j.r.costHintUs), r.deadlineAtUs);
        // That it waited before is a guess by its deadline: unless marked it may be a first try.
        j.fairUs = j.aimUs - j.r.costHintUs;
        if (!r.clientRetry) j.fairUs = Math.min(j.fairUs + now - born, r.deadlineAtUs - j.r.costHintUs);
        jobs.put(j.r.id, j);
        meanHintUs = meanHintUs == 0 ? j.r.costHintUs : mean(meanHintUs, j.r.costHintUs);
        arrivals = arrivals * fade(now - arrivalsUs, RATE_WINDOW_S * 1e6) + 1;
        arrivalsUs = now;
        long guardUs = leaveUs > 0 ? Math.min(leaveUs, j.r.deadlineAtUs) : j.r.deadlineAtUs;
        host.startRequestTimer(j.r.id, token(GUARD, j.r.id), Math.max(0, guardUs - now - 2 * set.tickUs));
        boolean firstTry = !r.clientRetry && born >= now - 4 * set.tickUs;
        W lot = firstTry && leased(now) && endsHere(j, now) ? coldLot(j, now) : null;
        if (lot != null && maySend(j, now)) send(j, lot, now);
        else start(j, now);
    }

    /**
     * Rule 4, a departure while any worker is cold: these are out of the draw. Each first try draws a lot
     * over the fleet by the capacity that each surely has; falls it on a cold worker, it goes there. So all
     * together send it that share and no more, however full others are or often tried. Of what falls on them
     * only jobs that end in time at their present pace go there, and lots count for so much more than once.
     */
    private W coldLot(Job j, long now) {
        if (!cooling) return null;
        cooling = false;
        from = 0;
        span = workers.size();
        double cold = 0, ending = 0;
        double lots = Math.max(1, COLD_WORK * set.collapseLoadFactor / Math.max(LEAST_PASSED, passed));
        for (int i = 0; i < span; i++) {
            W w = workers.get(i);
            double warm = warmth(w, now);
            cooling |= warm < 1;
            w.cold = w.ready && warm < 1;
            weight[i] = w.ready ? warm * slots(w) / pace(w) : 0;
            if (!w.cold) continue;
            cold += weight[i];
            ending += endsCold(j, w, now) ? weight[i] : 0;
            weight[i] *= lots;
        }
        if (cold > 0) passed += Decay.GAIN * Math.min(4, j.r.costHintUs / serviceUs) * (ending / cold - passed);
        int at = draw();
        W w = at < 0 ? null : workers.get(at);
        boolean open = w != null && w.cold && now >= w.asideUntilUs && fits(j, w) && endsCold(j, w, now);
        return open && slots(w) - busy(w, now) >= j.slots ? w : null;
    }

    /** A cold worker runs slower by what it lacks. */
    private boolean endsCold(Job j, W w, long now) {
        if (j.r.costHintUs > COLD_HEAVY * meanHintUs) return false;
        return now + j.r.costHintUs * pace(w) / warmth(w, now) < j.aimUs;
    }

    /** Departure: a run's pace, of its hint, by the list's size for a slot and as its kind was seen. */
    private double pace(W w) {
        boolean sized = set.sizeMetric == Contract.SizeMetric.NOMINAL && w.e.size > 0;
        return (sized ? slots(w) / w.e.size : 1) * (1 + kindPace[w.e.kind]);
    }

    /** The share of its capacity that a worker surely has. */
    private double warmth(W w, long now) {
        if (w.startedUs == 0 || now - w.startedUs >= set.warmUpUs) return 1;
        return set.coldCapacityShare + (1 - set.coldCapacityShare) * Math.max(0, now - w.startedUs) / set.warmUpUs;
    }

    private void start(Job j, long now) {
        if (!endsHere(j, now) && mayRefuse(j)) finish(j, EndReason.LEAVING, now);
        else if (checksOn && leased(now) && believed(j) && maySend(j, now)) probeCandidates(j, now);
        else place(j, now);
    }

    /** The list is as good as told: an attempt may begin by it. */
    private boolean leased(long now) {
        return now < leaseUntilUs;
    }

    /** Reports are young enough to tell who is full; half the age where a key leaves few to look at. */
    private boolean believed(Job j) {
        return staleUs < BELIEVED * serviceUs * (j != null && j.r.key != 0 ? 0.5 : 1);
    }

    /** Departure: before the draw, figures of some candidates, themselves drawn by room, are taken afresh. */
    private void probeCandidates(Job j, long now) {
        weigh(j, now);
        j.candidates = new ArrayList<>();
        j.probesOut = 0;
        for (int i = 0; i < (int) checksPerRequest; i++) {
            int at = draw();
            if (at < 0) break;
            W w = workers.get(at);
            j.candidates.add(w);
            weight[at] = 0;
            if (now - w.heardUs > Math.max(serviceUs * RECHECK, LEAST_GAP_US)) check(w);
            j.probesOut += w.checkOut ? 1 : 0;
        }
        j.waiting = true;
        probing.add(j);
        if (j.probesOut > 0) host.startTimer(token(PROBED, j.r.id), (long) (2 * probeUs) + set.tickUs);
        else place(j, now);
    }

    /** Draws a worker for the job and sends it there; holds or ends it where that can't be. */
    private void place(Job j, long now) {
        j.waiting = false;
        probing.remove(j);
        if (j.done || j.bound) return;
        if (!maySend(j, now)) {
            if (j.out == 0) finish(j, EndReason.NO_ATTEMPT_LEFT, now);
            return;
        }
        if (!leased(now)) {
            j.candidates = null;
            hold(j, EndReason.NO_LIST, now);
            return;
        }
        double room = weigh(j, now);
        for (int n = 0; j.candidates != null && room > 0 && n < span; n++) {
            W w = workers.get(at(n));
            if (w.checkOut || !j.candidates.contains(w)) weight[at(n)] = 0;
        }
        int at = draw();
        boolean inTime = now < latestStart(j);
        // Departure: where those looked at have no room, others are looked at: few requests, old figures.
        boolean further = at < 0 && room > 0 && inTime && j.rounds++ < MOST_PROBED;
        if (!further && at < 0 && room > 0 && weigh(j, now) > 0) at = draw();
        j.candidates = null;
        // Who waited was turned away somewhere; while nobody was here, a short deadline is a client's own.
        boolean calm = meanFill < AMPLE && now - turnedUs > j.in.deadlineUs;
        boolean hurry = room > 0 && now < j.fairUs && calm;
        boolean worthless = !inTime && !hurry && j.in.lateValueShare <= 0 && mayRefuse(j);
        if (further) {
            probeCandidates(j, now);
        } else if (at >= 0 && !worthless && (room > 0 || !believed(j) || !inTime && !mayRefuse(j))) {
            send(j, workers.get(at), now);
        } else {
            hold(j, EndReason.TOO_LATE, now);
        }
    }

    /** Departure: while nobody can take it and time is left, the job waits where it can still go anywhere. */
    private void hold(Job j, EndReason otherwise, long now) {
        if (now >= latestStart(j)) {
            finish(j, otherwise, now);
            return;
        }
        j.waiting = true;
        double pause = Math.min(serviceUs * RECHECK * (0.5 + random.uniform()), latestStart(j) - now);
        host.startTimer(token(AGAIN, j.r.id), (long) Math.max(set.tickUs, pause));
    }

    /** The last moment at which a start still earns the full worth; without a hint, for the smallest job. */
    private long latestStart(Job j) {
        return j.aimUs - j.r.costHintUs;
    }

    /** Rule 2, in one place: may this request go out once more? */
    private boolean maySend(Job j, long now) {
        boolean closing = now + set.connectTimeoutUs >= j.firstRunUs + j.in.dedupWindowUs * 15 / 16;
        return j.attempts < Math.min(set.maxAttempts, j.back.length) && now < j.r.deadlineAtUs - set.tickUs
            && (j.out == 0 || set.concurrentAttemptsAllowed)
            && (j.firstRun == null || j.in.idempotency == Idempotency.IDEMPOTENT || j.in.idempotency == Idempotency.KEYED && !closing);
    }

    /** Rule 2: a refusal says that a repeat is harmless. */
    private boolean mayRefuse(Job j) {
        return j.firstRun == null || j.in.idempotency == Idempotency.IDEMPOTENT
            || j.in.idempotency == Idempotency.KEYED && j.in.dedupScope == DedupScope.ALL;
    }

    /** Rule 2: a keyed request that may have run stays in the group that drops its repeats. */
    private boolean inGroup(Job j, W w) {
        if (j.in.idempotency != Idempotency.KEYED || j.firstRun == null || j.in.dedupScope == DedupScope.ALL) return true;
        return j.in.dedupScope == DedupScope.ZONE ? w.e.zone == j.firstRun.e.zone : w.e.cell == j.firstRun.e.cell;
    }

    /** The one place that sends; until an outcome proves otherwise, the attempt may have run. */
    private void send(Job j, W w, long now) {
        j.last = w;
        j.attempts++;
        j.startedUs = 0;
        j.out++;
        j.firstRunUs = j.firstRun == null ? now : j.firstRunUs;
        j.firstRun = j.firstRun == null ? w : j.firstRun;
        count(w, j.slots, now);
        host.send(j.r.id, w.e.id, 0);
    }

    /** Jobs that can't end here in time are let go while others can take them; the rest goes on till then. */
    @Override public void shutdownStarted(long now, long byUs) {
        leaveUs = byUs;
        for (Job j : new ArrayList<>(jobs.values())) {
            if (j.done || j.bound || !mayRefuse(j)) continue;
            boolean ends = endsHere(j, j.out > 0 && j.startedUs > 0 ? j.startedUs : now);
            if (!ends) finish(j, EndReason.LEAVING, now);
            else host.startTimer(token(GUARD, j.r.id), byUs - now);
        }
    }

    private boolean endsHere(Job j, long startUs) {
        return leaveUs == 0 || startUs + (long) (j.r.costHintUs * BEST_PACE) < leaveUs;
    }

    @Override public void progressReported(long now, int requestId, int attempt, int workerId, double share) {
        Job j = jobs.get(requestId);
        if (j != null && attempt == j.attempts - 1 && j.startedUs == 0) j.startedUs = now;
    }

    /** The one place that ends a request: refused where a repeat is harmless, else failed. */
    private void finish(Job j, EndReason reason, long now) {
        host.reportEndReason(j.r.id, reason);
        turnedUs = now;
        long back = leaveUs > 0 ? Math.min(BACK_SOON_US, set.maxRetryAfterUs) : set.maxRetryAfterUs;
        if (mayRefuse(j)) host.reject(j.r.id, set.retryAfterAllowed ? back : 0);
        else host.fail(j.r.id);
        close(j);
    }

    private void close(Job j) {
        j.done = true;
        // A job that ends while it probes leaves the list now: a struck worker's check never places it.
        probing.remove(j);
        for (int i = 0; set.cancelAllowed && i < j.attempts; i++) {
            if (!j.back[i]) host.cancel(j.r.id, i);
        }
        if (j.out == 0) jobs.remove(j.r.id);
    }

    @Override public void attemptEnded(long now, int requestId, int attempt, int workerId, Outcome outcome,
            long elapsedUs, boolean closed, Contract.Report report) {
        W w = byId.get(workerId);
        Job j = jobs.get(requestId);
        if (w != null) {
            judge(w, outcome, now);
            noteFailure(w, outcome, now);
            if (report != null) take(w, report, now);
            if (outcome == Outcome.FULL) {
                // A blocked call: full, whatever an older report says, until about two slots have freed up.
                w.fullUntilUs = now + (long) Math.min(staleUs, 2 * serviceUs / slots(w));
                heard(w, now, slots(w) * 1.1);
            }
            count(w, j == null ? 0 : -j.slots, now);
        }
        if (j == null) return;
        j.out--;
        j.back[attempt] = true;
        if (outcome == Outcome.OK) {
            serviceUs = mean(serviceUs, elapsedUs);
            double runUs = j.startedUs > 0 ? now - j.startedUs : elapsedUs;
            double pace = runUs / (j.r.costHintUs > 0 ? j.r.costHintUs : serviceUs);
            if (w != null && warmth(w, now) == 1) {
                kindPace[w.e.kind] = (1 + kindPace[w.e.kind]) * mean(1, pace / pace(w)) - 1;
                meanPace = mean(meanPace, pace);
            }
        }
        j.mayHaveRun |= !outcome.neverRan;
        j.firstRun = j.out == 0 && !j.mayHaveRun ? null : j.firstRun;
        if (closed || j.done) close(j);
        else if (j.bound && j.out == 0) finish(j, EndReason.STREAM_OVER, now);
        else if (!j.waiting && !j.bound) start(j, now);
    }

    /** A worker out of reach, or not well by its check, is set aside, longer each time, until it answers. */
    private void judge(W w, Outcome outcome, long now) {
        if (outcome == Outcome.OK || outcome == Outcome.FULL) {
            w.failures = 0;
            w.asideUntilUs = 0;
        } else if (outcome != Outcome.ERROR && outcome != Outcome.CANCELLED && outcome != Outcome.MOOT) {
            w.failures = Math.min(w.failures + 1, 10);
            double jobsLong = Math.min(MOST_ASIDE, 1 << w.failures) * (0.5 + random.uniform());
            w.asideUntilUs = now + (long) (serviceUs * jobsLong);
        }
    }

    /** Departure: room counts by the share of jobs that end well there: a fast error is not free room. */
    private void noteFailure(W w, Outcome outcome, long now) {
        boolean failed = outcome == Outcome.ERROR || outcome == Outcome.TIMEOUT;
        if (!failed && outcome != Outcome.OK) return;
        w.bad = failureShare(w, now) * (1 - FAILURE_GAIN) + (failed ? FAILURE_GAIN : 0);
        w.badUs = now;
    }

    private double failureShare(W w, long now) {
        return w.bad == 0 ? 0 : w.bad * fade(now - w.badUs, FORGIVEN * serviceUs);
    }

    @Override public void streamStarted(long now, int requestId, int attempt) {
        Job j = jobs.get(requestId);
        if (j != null) j.bound = true;
    }

    @Override public void requestAbandoned(long now, int requestId) {
        Job j = jobs.get(requestId);
        if (j != null && !j.done) close(j);
    }

    // ---- what is known of a worker's load ----

    @Override public void probeEnded(long now, int workerId, Outcome outcome, long elapsedUs,
            Contract.Report report) {
        W w = byId.get(workerId);
        if (w == null) return;
        w.checkOut = false;
        judge(w, outcome == Outcome.ERROR ? Outcome.RESET : outcome, now);
        if (outcome == Outcome.OK) probeUs = mean(probeUs, elapsedUs);
        if (report != null) take(w, report, now);
        for (int i = probing.size() - 1; i >= 0; i--) {
            Job j = probing.get(i);
            if (j.candidates.contains(w) && --j.probesOut == 0) place(j, now);
        }
    }

    private void take(W w, Contract.Report r, long now) {
        if (r.freeSlots >= 0) {
            kindSlots[w.e.kind] = Math.max(kindSlots[w.e.kind], r.freeSlots);
            heard(w, now, slots(w) - r.freeSlots);
        } else if (r.utilization >= 0) {
            heard(w, now, slots(w) * Math.min(1, r.utilization));
        }
        double load = r.utilization >= 0 ? r.utilization : r.outstanding;
        // The same noisy figures again: not refreshed in between, so reports are at least this old.
        boolean same = load == w.load && r.freeSlots == w.free && load != Math.rint(load) && !(r.utilization > 1);
        if (same) staleUs += Math.max(0, now - w.figureUs - staleUs) * STALE_GAIN;
        else w.figureUs = now;
        w.errors = r.errorsPerS > 0 ? r.errorsPerS * serviceUs / 1e6 / slots(w) : 0;
        w.load = load;
        w.free = r.freeSlots;
        if (r.serviceTimeMs > 0) {
            w.serviceMs = r.serviceTimeMs;
            meanMs = Double.isNaN(meanMs) ? r.serviceTimeMs : mean(meanMs, r.serviceTimeMs);
        }
    }

    /** The newest figure: so many slots were busy; what of them own jobs were when it was made comes off. */
    private void heard(W w, long now, double busy) {
        w.heardUs = now;
        w.busy = Math.max(0, busy - Math.max(0, known(w, now) - recent(w, now)));
    }

    /** T of the design; workers of one kind are taken to be alike, as few of them are ever seen empty. */
    private double slots(W w) {
        return Math.max(1, kindSlots[w.e.kind]);
    }

    /** Departure: slots of own jobs are busy from send to end; reports tell of the others alone. */
    private void count(W w, double slots, long now) {
        w.out = Math.max(0, known(w, now) + slots);
        w.recent = recent(w, now) + slots;
        w.recentUs = now;
    }

    /** Own jobs there; where slots are not told they fade as jobs end, or one would fill a worker. */
    private double known(W w, long now) {
        return kindSlots[w.e.kind] > 0 ? w.out : w.out * fade(now - w.recentUs, serviceUs);
    }

    /** Own sends less own ends that no report can tell yet. */
    private double recent(W w, long now) {
        return w.recent * fade(now - w.recentUs, staleUs);
    }

    /** Departure: an aging figure fades into the fleet's mean: a silent worker's last room stops drawing. */
    private double busy(W w, long now) {
        boolean unheard = Double.isNaN(w.busy);
        w.fresh = unheard ? 0 : fade(now - w.heardUs + (long) (staleUs / 2), serviceUs);
        double figure = unheard ? 0 : w.busy * w.fresh;
        double own = known(w, now), mean = w.cold ? 0 : slots(w) * meanFill;
        return figure + w.fresh * own + (1 - w.fresh) * Math.max(own, mean);
    }

    // ---- the draw ----

    /**
     * Weights of workers for this job; their sum, or 0 when all read full (weights are then even). Departure:
     * of a large fleet a part is weighed, another for each job; for keys, or where too few fit, all are.
     */
    private double weigh(Job j, long now) {
        int all = workers.size();
        span = all > 2 * SAMPLE && j.r.key == 0 ? SAMPLE : all;
        from = span < all ? (int) ((SplitMix.mix(8L * j.r.id + j.attempts ^ salt) >>> 33) % all) : 0;
        double sum = weighSpan(j, now);
        if (sum > 0 || span == all || fitting >= SAMPLE / 4) return sum;
        span = all;
        return weighSpan(j, now);
    }

    /** The place of the n-th worker of those weighed. */
    private int at(int n) {
        return from + n < workers.size() ? from + n : from + n - workers.size();
    }

    private double weighSpan(Job j, long now) {
        fitting = 0;
        boolean late = now > latestStart(j);
        double sum = 0, errors = 0, fills = PRIOR * 0.5, trust = PRIOR;
        for (int n = 0; n < span; n++) {
            int i = at(n);
            W w = workers.get(i);
            weight[i] = 0;
            if (!w.ready) continue;
            double total = slots(w), room = total - busy(w, now);
            fills += w.fresh > 0 ? w.fresh * Math.min(1, (w.busy + w.out) / total) : 0;
            trust += w.fresh;
            errors += w.errors * w.fresh;
            if (w.cold || !fits(j, w)) continue;
            fitting++;
            if (now < w.asideUntilUs || now < w.fullUntilUs) continue;
            // Departure: one whose reports tell of errors, more than the others' do, is left out.
            if (w.errors * w.fresh > Math.max(ERRING, 1.5 * meanErrors)) continue;
            // Departure: a job needs the room that it takes; late work leaves a reserve to what is in time.
            room -= late ? RESERVE * total : 0;
            if (room < LEAST_ROOM * Math.min(1, 4 * w.fresh * w.fresh)) continue;
            room = Math.max(room - (j.slots - 1), room * 0.1);
            // Departure: room counts by the worker's speed as reports tell it, else by its kind's as seen.
            room *= Math.min(2, w.serviceMs > 0 ? meanMs / w.serviceMs : meanPace / pace(w));
            room *= failureShare(w, now) < EXCUSED ? 1 : 1 - failureShare(w, now);
            // Departure: a job goes where its run can still end in time: slow cores outlast some clients.
            room *= now + j.r.costHintUs * pace(w) > j.aimUs ? TOO_SLOW : 1;
            weight[i] = Math.max(0, room * home(w));
            sum += weight[i];
        }
        meanFill = fills / trust;
        meanErrors = errors / trust;
        if (sum > 0) return j.r.key == 0 ? sum : byKey(j.r.key);
        for (int n = 0; n < span; n++) {
            int i = at(n);
            W w = workers.get(i);
            weight[i] = !w.ready || w.cold || !fits(j, w) ? 0 : home(w) * (now < w.asideUntilUs ? 0.01 : 1);
        }
        return 0;
    }

    /** Departure: room abroad counts for less where crossing costs. */
    private double home(W w) {
        return w.e.zone == set.zone || set.crossZonePrice <= 0 ? 1 : ABROAD;
    }

    /** The worker can run the job, may by rule 2, and is not the one that just failed to. */
    private boolean fits(Job j, W w) {
        return (j.in.requiredKind < 0 || j.in.requiredKind == w.e.kind)
            && (j.attempts == 0 || inGroup(j, w) && j.last != w)
            && (j.slots <= 1 || j.slots <= slots(w) + 0.5 || kindSlots[w.e.kind] <= 1);
    }

    /**
     * Departure: where jobs carry keys, room counts by the chance that the worker holds what the key needs:
     * full at the first worker by a hash of key and id, the same at every dispatcher, less at each next one.
     */
    private double byKey(long key) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < workers.size(); i++) if (weight[i] > 0) order.add(i);
        order.sort(Comparator.comparing(i -> -SplitMix.mix(key ^ workers.get(i).hash)));
        double sum = 0, chance = 1;
        for (int i : order) {
            sum += weight[i] *= chance;
            chance *= NEXT_BY_KEY;
        }
        return sum;
    }

    /** Place of a worker drawn in proportion to the weights; -1 if all are 0. */
    private int draw() {
        double sum = 0;
        for (int n = 0; n < span; n++) sum += weight[at(n)];
        double at = random.uniform() * sum;
        int last = -1;
        for (int n = 0; n < span && at >= 0; n++) {
            int i = at(n);
            if (weight[i] <= 0) continue;
            last = i;
            at -= weight[i];
        }
        return last;
    }

    private void check(W w) {
        if (!w.checkOut) host.probe(w.e.id);
        w.checkOut = true;
    }

    /** Next check 1 / (fill x alpha) after the newest figure; alpha spends what checks may cost. */
    private void checkDue(W w, long now) {
        double rate = arrivals * fade(now - arrivalsUs, RATE_WINDOW_S * 1e6) / RATE_WINDOW_S;
        double perS = checksPerRequest * rate * (believed(null) ? TIMED_SHARE : 1);
        double alpha = Math.max(FLOOR_ALPHA, perS / workers.size() / Math.max(meanFill, FLOOR_FILL));
        double u = Double.isNaN(w.busy) ? 1 : Math.min(1, (w.busy + w.out) / slots(w));
        double gap = Math.max(LEAST_GAP_US, 1e6 / (Math.max(FLOOR_FILL, u) * alpha));
        gap *= 0.75 + random.uniform() / 2;
        double left = Math.max(w.heardUs, w.figureUs) + gap - now;
        if (left <= set.tickUs && w.ready) {
            if (checksOn) check(w);
            left = gap;
        }
        host.startTimer(token(CHECK, w.e.id), (long) Math.max(left, set.tickUs));
    }

    @Override public void timerExpired(long now, long token) {
        int id = (int) (token >> 3), what = (int) (token & 7);
        if (what == CHECK && byId.containsKey(id)) checkDue(byId.get(id), now);
        if (what == WATCH && !watching) host.watchWorkerList(watching = true);
        Job j = what == WATCH || what == CHECK ? null : jobs.get(id);
        if (j == null || j.done || j.bound) return;
        // The guard is against a request that is held here, or out on a worker that never answers.
        if (what == GUARD) finish(j, leaveUs > 0 ? EndReason.LEAVING : EndReason.OUT_OF_TIME, now);
        else if (what == PROBED && j.candidates != null) place(j, now);
        else if (what == AGAIN && j.waiting && j.candidates == null) start(j, now);
    }

    private static long token(int what, int id) {
        return (id & 0xffffffffL) << 3 | what;
    }
}
