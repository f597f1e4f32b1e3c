package hookweir;

import hookweir.membership.ListCallFailure;
import java.util.ArrayList;
import java.util.List;

/**
 * The interface between one dispatcher's decisions ({@link Policy}) and the host it lives in.
 *
 * <p><b>Units.</b> All times are microseconds of one monotonic clock that the host owns; it may start
 * anywhere. Each event carries the present time, which never goes backwards. Slots, memory and free room are
 * in the workers' own units. A number that is not known is {@code NaN}.
 *
 * <p><b>Threading.</b> A dispatcher is single-threaded: the host delivers one event at a time and the
 * dispatcher acts on its {@link Host} only during that call. It keeps no thread, clock or I/O of its own.
 *
 * <p><b>Order.</b> {@link Dispatcher#workerListReceived} comes before anything else. Then events come in the order in
 * which they happened. Attempts of a request are numbered 0, 1, 2 ... in the order of {@link Host#send}.
 * For each attempt there is exactly one {@link Dispatcher#attemptEnded}.
 *
 * <p><b>Ownership.</b> {@link Settings}, requests and workers must not change once handed over (new settings
 * come as an object of their own, where a class that changed has a new number): the
 * dispatcher keeps them. The list of workers, a report and a message body belong to the host again on return.
 * Bodies given to {@link Host#sendToPeer} are the host's.
 */
public final class Contract {
    private Contract() {
    }

    /** What a repeat of a request does. */
    public enum Idempotency {
        /** May run any number of times. */
        IDEMPOTENT,
        /** Carries a key; the workers of one group drop a repeat for a while. */
        KEYED,
        /** Must never run twice. */
        NON_IDEMPOTENT
    }

    /** Which workers drop repeats of a keyed request. */
    public enum DedupScope { ALL, ZONE, CELL }

    /** How load reports arrive. */
    public enum LoadReportSource { RESPONSES_AND_PROBES, PROBES, NONE }

    /** What the list's size figure of a worker holds. */
    public enum SizeMetric {
        /** Nothing of use. */
        NONE,
        /** A size, exact or roughly so. */
        NOMINAL,
        /** Size / (1 + requests held for each core), some time ago. */
        LIVE
    }

    /** State of a worker in the list. */
    public enum WorkerState { DRAINING, READY, GONE }

    /** How an attempt or a probe ended. */
    public enum Outcome {
        /** Served. */
        OK(false),
        /** The worker answered with an error; it may have run. */
        ERROR(false),
        /** Turned away unseen. */
        FULL(true),
        /** No answer in time; may have run, may run still. */
        TIMEOUT(false),
        /** No connection was made. */
        CONNECT_FAILED(true),
        /** The connection dropped; may have run. */
        RESET(false),
        /** Called off; may have run. */
        CANCELLED(false),
        /** Never sent: the request was over, out of time or out of attempts, or no attempt may begin. */
        MOOT(true);

        /** True if this outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Why a dispatcher gives a request up. */
    public enum EndReason {
        /** No attempt is left to it, or none is allowed any more. */
        NO_ATTEMPT_LEFT,
        /** It can't earn anything any more. */
        TOO_LATE,
        /** The same, and no attempt may begin as the list of workers may be out of date. */
        NO_LIST,
        /** Its client's time is nearly over. */
        OUT_OF_TIME,
        /** The process leaves, and it can't end before that. */
        LEAVING,
        /** The attempt that it was bound to is over. */
        STREAM_OVER
    }

    /** A class of requests. Fields have the defaults of a plain, safe class. */
    public static final class RequestClass {
        /** Full worth is earned by an answer within this time plus {@link #softDeadlineStretch} times the own work. */
        public long softDeadlineUs = 500_000;
        /** The aim grows by this many times the request's own running time. */
        public double softDeadlineStretch;
        /** The client's total wait across its tries. */
        public long deadlineUs = 1_000_000;
        /** Worth of one request (or of one unit of work). */
        public double value = 1;
        /** Share of the worth that an answer between aim and deadline earns. */
        public double lateValueShare;
        /** What a repeat does. */
        public Idempotency idempotency = Idempotency.IDEMPOTENT;
        /** The group that drops repeats, for a keyed class. */
        public DedupScope dedupScope = DedupScope.ALL;
        /** How long the group remembers, counted from the first attempt that may have run. */
        public long dedupWindowUs;
        /** The machine kind that the class needs, or -1. */
        public int requiredKind = -1;
        /** Priority in the workers' queues, where these serve by priority. */
        public int priority;
    }

    /** What a dispatcher is told once, at its start. Unset fields have cautious defaults. */
    public static final class Settings {
        /** Request classes, by number. */
        public final List<RequestClass> classes = new ArrayList<>();
        /** For each tenant, the requests a second over all dispatchers that are inside its share. */
        public double[] tenantRatePerS = new double[0];
        /** This dispatcher's number among {@link #schedulerCount}. */
        public int schedulerIndex;
        /** How many dispatchers there are. */
        public int schedulerCount = 1;
        /** The zone of this dispatcher. */
        public int zone;
        /** The list of workers must be asked for; else it is pushed. */
        public boolean pollList;
        /** One that has not asked for this long counts as told all the same (0: no such rule). */
        public long maxPollIntervalUs;
        /** Nothing new to a worker later than this after word that it drains or is gone. */
        public long drainGraceUs;
        /** A started worker has at least this share of its capacity. */
        public double coldCapacityShare = 0.1;
        /** It has all of it after this time. */
        public long warmUpUs;
        /** It falls over when it is sent more than this many times its present capacity... */
        public double collapseLoadFactor = 2;
        /** ...for this long. */
        public long collapseAfterUs = 1_000_000;
        /** A final answer may come this much after the client's time. */
        public long responseSlackUs;
        /** The host handles events at most this often. */
        public long tickUs = 1_000;
        /** What {@link Host#send} sends leaves within this, or never: it may have to wait for a connection to come up. */
        public long connectTimeoutUs;
        /** The most attempts a request can have. */
        public int maxAttempts = 1;
        /** Two attempts of one request may be out at once. */
        public boolean concurrentAttemptsAllowed;
        /** Attempts may be called off. */
        public boolean cancelAllowed;
        /** Probes may be sent. */
        public boolean probesAllowed;
        /** Messages to other dispatchers may be sent. */
        public boolean peerMessagesAllowed;
        /** Clients are given advice on when to come back. */
        public boolean retryAfterAllowed;
        /** The longest such advice that is heeded. */
        public long maxRetryAfterUs;
        /** How load reports arrive. */
        public LoadReportSource loadReportSource = LoadReportSource.NONE;
        /** What the list's size figure holds. */
        public SizeMetric sizeMetric = SizeMetric.NONE;
        /** Jobs may need something that a worker keeps for a while, named by the request's key. */
        public double originFetchPrice;
        /** Points for each request that crosses zones, as a share of all points. */
        public double crossZonePrice;
        /** Points for one probe a request. */
        public double probePrice;
        /** Points for 256 bytes delivered to peers for each request. */
        public double peerMessagePrice;
        /** Points for as much wasted work as was asked for. */
        public double wastedWorkPrice;
        /** Points for all failing only after the aim. */
        public double lateFailurePrice;
        /** Worth kept by a request over its tenant's share. */
        public double overShareValue = 1;
        /** Workers say when a job starts. */
        public boolean jobStartReported;
        /** The gap between progress notes; 0: none. */
        public long progressIntervalUs;
        /** A waiting job at the head of a worker's queue holds up those behind it. */
        public boolean headOfLineBlocking = true;
    }

    /** One worker as the list has it. */
    public static final class Worker {
        /** Its id, the same at every dispatcher and across restarts of its process. */
        public int id;
        /** Its state. */
        public WorkerState state = WorkerState.READY;
        /** When its process last started; 0: long ago. */
        public long startedAtUs;
        /** Its zone. */
        public int zone;
        /** Its cell. */
        public int cell;
        /** Its machine kind. */
        public int kind;
        /** Its size figure, see {@link SizeMetric}. */
        public double size = 1;
    }

    /** A request as the dispatcher took it. */
    public static final class Request {
        /** Its id; never used again. */
        public int id;
        /** Its class. */
        public int requestClass;
        /** Its tenant, by its place in {@link Settings#tenantRatePerS}; -1: none of them. */
        public int tenant;
        /** A rough guess of its cost in core time; 0: none. */
        public long costHintUs;
        /** Slots that it takes. */
        public double slots = 1;
        /** Memory that it takes. */
        public double memory;
        /** What it concerns; 0: nothing. */
        public long key;
        /** The client says that this is a repeat. */
        public boolean clientRetry;
        /** When the client gives this try up. */
        public long deadlineAtUs;
    }

    /** A worker's load report; each figure is {@code NaN} when absent. It is some time old and not exact. */
    public static final class Report {
        /** Free slots. */
        public double freeSlots;
        /** Free memory. */
        public double freeMemory;
        /** Share of the cores that is busy. */
        public double utilization;
        /** Recent time to serve, without waiting, in milliseconds. */
        public double serviceTimeMs;
        /** Requests in hand, waiting ones included. */
        public double outstanding;
        /** Requests waiting. */
        public double queued;
        /** Errors a second. */
        public double errorsPerS;

        /** Makes every figure absent. */
        public void clear() {
            freeSlots = freeMemory = utilization = serviceTimeMs = outstanding = queued = errorsPerS = Double.NaN;
        }
    }

    /** The events that a host delivers. */
    public interface Dispatcher {
        /** The whole list, which replaces the old one, or (delta) only the entries that changed. */
        void workerListReceived(long nowUs, boolean delta, List<Worker> entries);

        /** A call to the list failed or the subscription broke; what was known stands. */
        void workerListFailed(long nowUs);

        /** As {@link #workerListFailed(long)}, where the host knows how it failed. */
        default void workerListFailed(long nowUs, ListCallFailure failure) {
            workerListFailed(nowUs);
        }

        /**
         * No attempt may begin from untilUs on, as the list of workers may be out of date then; told anew whenever that changes.
         * Before the first call there is no such limit.
         */
        default void listLeaseChanged(long nowUs, long untilUs) {
        }

        /** A request was taken. */
        void requestAccepted(long nowUs, Request request);

        /** A worker started the job of an attempt, or (share above 0) tells how much is done. */
        default void progressReported(long nowUs, int requestId, int attempt, int workerId, double completedShare) {
        }

        /** An attempt has begun to answer with a stream; the request is bound to it. */
        void streamStarted(long nowUs, int requestId, int attempt);

        /** An attempt ended. Closed: nothing more is owed for the request. Report: null or the load. */
        void attemptEnded(long nowUs, int requestId, int attempt, int workerId, Outcome outcome, long elapsedUs,
            boolean requestClosed, Report report);

        /** Nobody waits for this request any more. */
        void requestAbandoned(long nowUs, int requestId);

        /** A probe ended. Report: null or the worker's load. */
        void probeEnded(long nowUs, int workerId, Outcome outcome, long elapsedUs, Report report);

        /** The host leaves: what is open at byUs gets no answer from then on, and others can take new requests. */
        default void shutdownStarted(long nowUs, long shutdownAtUs) {
        }

        /** Other settings hold from now on; requests under way keep the class that they came with. */
        default void settingsChanged(long nowUs, Settings settings) {
        }

        /** How many listed workers it avoids at present. Any time after the first list; changes nothing. */
        default int excludedWorkerCount(long nowUs) {
            return 0;
        }

        /** Another dispatcher told this one something. */
        default void peerMessageReceived(long nowUs, int sender, byte[] body) {
        }

        /** A timer came due. */
        void timerExpired(long nowUs, long token);
    }

    /** The actions that a dispatcher asks of its host, during an event only. */
    public interface Host {
        /** Sends the request to a worker, as its next attempt; given up after withinUs (0: never). */
        void send(int requestId, int workerId, long timeoutUs);

        /** Why the final answer that follows, a refusal or a failure, is given; for the host's log. */
        default void reportEndReason(int requestId, EndReason reason) {
        }

        /** Final answer: turned away; trying again is harmless, best after comeBackUs (0: no advice). */
        void reject(int requestId, long retryAfterUs);

        /** Final answer: failed; it may have run. */
        void fail(int requestId);

        /** Stops waiting for an attempt. */
        void cancel(int requestId, int attempt);

        /** Asks a worker for its load. */
        void probe(int workerId);

        /** Calls {@link Dispatcher#timerExpired} with this token after delayUs. */
        void startTimer(long token, long delayUs);

        /**
         * As {@link #startTimer}, once for a request, during {@link Dispatcher#requestAccepted}: it need not come any more once the
         * request has its final answer and no attempt of it is out.
         */
        default void startRequestTimer(int requestId, long token, long delayUs) {
            startTimer(token, delayUs);
        }

        /** Subscribes to changes of the list, or ends that. */
        void watchWorkerList(boolean on);

        /** Asks for the whole list once. */
        void fetchWorkerList();

        /** Sends a message to a dispatcher, or to all others ({@link #ALL_PEERS}). */
        void sendToPeer(int peer, byte[] body);

        /** A line for the operators. */
        void log(String text);
    }

    /** Receiver of a message meant for every other dispatcher. */
    public static final int ALL_PEERS = -1;
}
