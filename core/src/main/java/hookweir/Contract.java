package hookweir;

import hookweir.membership.ListCallFailure;
import java.util.ArrayList;
import java.util.List;

/**
 * The interface between a dispatcher, which makes the scheduling decisions ({@link Policy}), and its host, which does the I/O.
 *
 * <p><b>Units.</b> All times are in microseconds of one monotonic clock of the host, with an arbitrary origin. Each event carries the
 * current time, which never decreases. Slots and memory are in the workers' own units. An unknown number is {@code NaN}.
 *
 * <p><b>Threading.</b> A dispatcher is single-threaded: the host delivers one event at a time, and the dispatcher calls its
 * {@link Host} only during that event. It has no threads, clock or I/O of its own.
 *
 * <p><b>Order.</b> {@link Dispatcher#workerListReceived} is the first event. All others are delivered in the order in which they
 * happened. Attempts of a request are numbered 0, 1, 2 ... in the order of {@link Host#send}, and for each attempt there is exactly one
 * {@link Dispatcher#attemptEnded}.
 *
 * <p><b>Ownership.</b> The dispatcher keeps {@link Settings}, requests and workers, so they must not change once passed to it. New
 * settings are a new object, in which a changed request class has a new number. A list of workers, a report and a message body belong
 * to the host again when the call returns. Bodies passed to {@link Host#sendToPeer} belong to the host.
 */
public final class Contract {
    private Contract() {
    }

    /** Whether a request may be executed more than once. */
    public enum Idempotency {
        /** May run any number of times. */
        IDEMPOTENT,
        /** Carries an idempotency key; the workers of one group drop repeats within the deduplication window. */
        KEYED,
        /** Must never run twice. */
        NON_IDEMPOTENT
    }

    /** The group of workers that drops repeats of a keyed request: all, those of one zone, or those of one cell. */
    public enum DedupScope { ALL, ZONE, CELL }

    /** How load reports arrive. */
    public enum LoadReportSource { RESPONSES_AND_PROBES, PROBES, NONE }

    /** The meaning of a worker's size in the worker list. */
    public enum SizeMetric {
        /** The size means nothing. */
        NONE,
        /** The exact or approximate size. */
        NOMINAL,
        /** Size / (1 + outstanding requests per core), as of some time ago. */
        LIVE
    }

    /** State of a worker in the worker list. */
    public enum WorkerState { DRAINING, READY, GONE }

    /** How an attempt or a probe ended. */
    public enum Outcome {
        /** The worker returned a result. */
        OK(false),
        /** The worker returned an error; the attempt may have run. */
        ERROR(false),
        /** The worker rejected the attempt without running it. */
        FULL(true),
        /** No response in time; the attempt may have run or may still be running. */
        TIMEOUT(false),
        /** The connection could not be established. */
        CONNECT_FAILED(true),
        /** The connection was lost; the attempt may have run. */
        RESET(false),
        /** The attempt was cancelled; it may have run. */
        CANCELLED(false),
        /** Never sent: the request had ended, had no time or attempts left, or the list lease had expired. */
        MOOT(true);

        /** True if this outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Why a dispatcher ends a request without a result. */
    public enum EndReason {
        /** No attempts are left, or another one would not be safe. */
        NO_ATTEMPT_LEFT,
        /** It can't be completed in time to earn any value. */
        TOO_LATE,
        /** As {@link #TOO_LATE}, where no attempt could start because the worker list may be out of date. */
        NO_LIST,
        /** The client's deadline is about to pass. */
        OUT_OF_TIME,
        /** The process is shutting down, and the request can't complete before that. */
        LEAVING,
        /** The attempt that streamed its response has ended. */
        STREAM_OVER
    }

    /** A class of requests. The defaults describe a plain class of idempotent requests. */
    public static final class RequestClass {
        /** A response within this time, plus {@link #softDeadlineStretch} times the request's own run time, earns the full value. */
        public long softDeadlineUs = 500_000;
        /** Multiple of the request's own run time that is added to the soft deadline. */
        public double softDeadlineStretch;
        /** The total time that a client waits, over all its tries. */
        public long deadlineUs = 1_000_000;
        /** Value of one request, or of one unit of work. */
        public double value = 1;
        /** Share of the value that a response between soft deadline and deadline earns. */
        public double lateValueShare;
        /** Whether a request may be executed more than once. */
        public Idempotency idempotency = Idempotency.IDEMPOTENT;
        /** For a keyed class, the group of workers that drops repeats. */
        public DedupScope dedupScope = DedupScope.ALL;
        /** How long the group remembers a key, counted from the first attempt that may have run. */
        public long dedupWindowUs;
        /** The kind of worker that the class needs; -1 for any. */
        public int requiredKind = -1;
        /** Priority in the workers' queues, where these are ordered by priority. */
        public int priority;
    }

    /** The settings of a dispatcher. Unset fields have cautious defaults. */
    public static final class Settings {
        /** Request classes, by number. */
        public final List<RequestClass> classes = new ArrayList<>();
        /** The longest deadline of the classes that are configured. Classes that a reload has removed don't count. */
        public long longestDeadlineUs;
        /** For each tenant, the number of requests per second over all schedulers that are within its share. */
        public double[] tenantRatePerS = new double[0];
        /** The index of this scheduler among {@link #schedulerCount}. */
        public int schedulerIndex;
        /** The number of schedulers. */
        public int schedulerCount = 1;
        /** The zone of this scheduler. */
        public int zone;
        /** The worker list has to be polled; else it is pushed. */
        public boolean pollList;
        /** A scheduler that has not polled for this long counts as notified of all changes (0: no such rule). */
        public long maxPollIntervalUs;
        /** No new work may reach a worker later than this after the notification that it is draining or gone. */
        public long drainGraceUs;
        /** A worker that has just started has at least this share of its capacity. */
        public double coldCapacityShare = 0.1;
        /** A worker has its full capacity this long after its start. */
        public long warmUpUs;
        /** A warming-up worker collapses if it is sent more than this multiple of its current capacity ... */
        public double collapseLoadFactor = 2;
        /** ... for this long. */
        public long collapseAfterUs = 1_000_000;
        /** A final response may be this much later than the client's deadline. */
        public long responseSlackUs;
        /** The interval at which the host handles events. */
        public long tickUs = 1_000;
        /** An attempt leaves within this time after {@link Host#send}, or never: it may have to wait for a connection to be established. */
        public long connectTimeoutUs;
        /** The maximum number of attempts of a request. */
        public int maxAttempts = 1;
        /** Two attempts of one request may be in flight at once. */
        public boolean concurrentAttemptsAllowed;
        /** Attempts may be cancelled. */
        public boolean cancelAllowed;
        /** Probes may be sent. */
        public boolean probesAllowed;
        /** Messages to other schedulers may be sent. */
        public boolean peerMessagesAllowed;
        /** Rejections tell the client when to retry. */
        public boolean retryAfterAllowed;
        /** The longest retry delay that clients respect. */
        public long maxRetryAfterUs;
        /** How load reports arrive. */
        public LoadReportSource loadReportSource = LoadReportSource.NONE;
        /** The meaning of the size in the worker list. */
        public SizeMetric sizeMetric = SizeMetric.NONE;
        /** Price if jobs need data, named by the request's key, that a worker keeps for a while. */
        public double originFetchPrice;
        /** Price if every request crosses zones, as a share of the maximum score. */
        public double crossZonePrice;
        /** Price of one probe per request. */
        public double probePrice;
        /** Price of 256 bytes delivered to peers per request. */
        public double peerMessagePrice;
        /** Price of as much wasted work as was requested. */
        public double wastedWorkPrice;
        /** Price if all requests fail, and only after the soft deadline. */
        public double lateFailurePrice;
        /** Share of its value that a request beyond its tenant's share keeps. */
        public double overShareValue = 1;
        /** Workers report the start of a job. */
        public boolean jobStartReported;
        /** The interval between progress reports; 0: none. */
        public long progressIntervalUs;
        /** A job that waits at the head of a worker's queue blocks those behind it. */
        public boolean headOfLineBlocking = true;
    }

    /** A worker as described by the worker list. */
    public static final class Worker {
        /** Its id, the same at all schedulers and across restarts of its process. */
        public int id;
        /** Its state. */
        public WorkerState state = WorkerState.READY;
        /** When its process last started; 0: long ago. */
        public long startedAtUs;
        /** Its zone. */
        public int zone;
        /** Its cell. */
        public int cell;
        /** Its kind of machine. */
        public int kind;
        /** Its size, see {@link SizeMetric}. */
        public double size = 1;
    }

    /** An accepted request. */
    public static final class Request {
        /** Its id, which is never reused. */
        public int id;
        /** The number of its class. */
        public int requestClass;
        /** The index of its tenant in {@link Settings#tenantRatePerS}; -1: none of them. */
        public int tenant;
        /** A rough estimate of its cost in core time; 0: unknown. */
        public long costHintUs;
        /** Slots that it occupies. */
        public double slots = 1;
        /** Memory that it occupies. */
        public double memory;
        /** Identifies the data that it needs; 0: none. */
        public long key;
        /** The client marked this as a retry. */
        public boolean clientRetry;
        /** When the client abandons this try. */
        public long deadlineAtUs;
    }

    /** A worker's load report; absent values are {@code NaN}. It is not exact, and some time old. */
    public static final class Report {
        /** Free slots. */
        public double freeSlots;
        /** Free memory. */
        public double freeMemory;
        /** Busy share of the cores. */
        public double utilization;
        /** Recent service time without queueing, in milliseconds. */
        public double serviceTimeMs;
        /** Outstanding requests, including queued ones. */
        public double outstanding;
        /** Queued requests. */
        public double queued;
        /** Errors per second. */
        public double errorsPerS;

        /** Makes all values absent. */
        public void clear() {
            freeSlots = freeMemory = utilization = serviceTimeMs = outstanding = queued = errorsPerS = Double.NaN;
        }
    }

    /** The events that a host delivers to its dispatcher. */
    public interface Dispatcher {
        /** The worker list: either complete, replacing the old one, or (delta) only the changed entries. */
        void workerListReceived(long nowUs, boolean delta, List<Worker> entries);

        /** A call to the list service failed or the watch was lost; the last list stays valid. */
        void workerListFailed(long nowUs);

        /** As {@link #workerListFailed(long)}, where the host knows the kind of failure. */
        default void workerListFailed(long nowUs, ListCallFailure failure) {
            workerListFailed(nowUs);
        }

        /**
         * No attempt may start from untilUs on, as the worker list may be out of date then. Called whenever that time changes; before
         * the first call there is no limit.
         */
        default void listLeaseChanged(long nowUs, long untilUs) {
        }

        /** A request was accepted. */
        void requestAccepted(long nowUs, Request request);

        /** A worker started the job of an attempt, or (share above 0) reported its progress. */
        default void progressReported(long nowUs, int requestId, int attempt, int workerId, double completedShare) {
        }

        /** An attempt has started to stream its response; the request can't move to another attempt any more. */
        void streamStarted(long nowUs, int requestId, int attempt);

        /** An attempt ended. If requestClosed, no response is due for the request any more. The report may be null. */
        void attemptEnded(long nowUs, int requestId, int attempt, int workerId, Outcome outcome, long elapsedUs,
            boolean requestClosed, Report report);

        /** The client no longer waits for this request. */
        void requestAbandoned(long nowUs, int requestId);

        /** A probe ended; the report may be null. */
        void probeEnded(long nowUs, int workerId, Outcome outcome, long elapsedUs, Report report);

        /**
         * The process is shutting down: every request needs its response by shutdownAtUs; other schedulers can accept new ones. Called again
         * if that time moves, which it only does to an earlier one.
         */
        default void shutdownStarted(long nowUs, long shutdownAtUs) {
        }

        /** The delay after which the client of a request that the host itself rejects should retry; 0: no advice. Has no effect. */
        default long retryAfterUs() {
            return 0;
        }

        /** New settings apply from now on; open requests keep the class with which they were accepted. */
        default void settingsChanged(long nowUs, Settings settings) {
        }

        /** The number of listed workers that get no new work at present. May be called at any time after the first list; has no effect. */
        default int excludedWorkerCount(long nowUs) {
            return 0;
        }

        /** A message from another scheduler arrived. */
        default void peerMessageReceived(long nowUs, int sender, byte[] body) {
        }

        /** A timer expired. */
        void timerExpired(long nowUs, long token);
    }

    /** The actions that a dispatcher requests from its host, during an event only. */
    public interface Host {
        /** Sends the request to a worker as its next attempt, which times out after timeoutUs (0: never). */
        void send(int requestId, int workerId, long timeoutUs);

        /** Reports why the rejection or failure that follows is sent, for the host's log. */
        default void reportEndReason(int requestId, EndReason reason) {
        }

        /** Final response: rejected; a retry is harmless, preferably after retryAfterUs (0: no advice). */
        void reject(int requestId, long retryAfterUs);

        /** Final response: failed; the request may have run. */
        void fail(int requestId);

        /** Cancels an attempt: stops waiting for it. */
        void cancel(int requestId, int attempt);

        /** Requests a load report from a worker. */
        void probe(int workerId);

        /** Calls {@link Dispatcher#timerExpired} with this token after delayUs. */
        void startTimer(long token, long delayUs);

        /**
         * As {@link #startTimer}, but at most once per request, during {@link Dispatcher#requestAccepted}. The host may drop this timer
         * when the request has its final response and no attempt is in flight.
         */
        default void startRequestTimer(int requestId, long token, long delayUs) {
            startTimer(token, delayUs);
        }

        /** Starts or ends the watch of the worker list. */
        void watchWorkerList(boolean on);

        /** Polls the complete worker list once. */
        void fetchWorkerList();

        /** Sends a message to one scheduler, or to all others ({@link #ALL_PEERS}). */
        void sendToPeer(int peer, byte[] body);

        /** Writes a line to the operators' log. */
        void log(String text);
    }

    /** Receiver of a message for all other schedulers. */
    public static final int ALL_PEERS = -1;
}
