package hookweir.room;

import hookweir.Contract.Idempotency;
import hookweir.Contract.RequestClass;
import java.util.List;

/**
 * The limits of what a process holds for its clients: bytes of job bodies, of results in transit and of output that clients have not read,
 * the number of jobs, and file descriptors. It decides what is read, what stays in the kernel's buffers and what is rejected; the host
 * reports what was reserved and released. It holds state only, without a clock or I/O, and is not thread-safe.
 *
 * <p>Job bodies may take at most {@link #MAX_BODY_SHARE} of the bytes, so that there is always memory for results, which complete jobs.
 * As capacity for jobs runs short, jobs that are cheap and safe to repeat are rejected first: each request class is admitted up to its own
 * threshold, between {@link #MIN_THRESHOLD} and the whole capacity.
 */
public final class ResourceBudget {
    /** Maximum share of the bytes for job bodies. */
    public static final double MAX_BODY_SHARE = 0.6;
    /** The class that is rejected first is admitted while less than this share of the capacity is in use. */
    public static final double MIN_THRESHOLD = 0.75;
    /** Bodies up to this size are read at once: making them wait would cost as much as holding them. */
    public static final int SMALL_BODY_BYTES = 2048;
    /** The part of each head that is not reserved: it is covered by what a job or a connection takes anyway. */
    public static final int FREE_HEAD_BYTES = 1024;
    /** Maximum share of the bytes that heads may take, beside that part. */
    public static final double MAX_HEAD_SHARE = 0.25;
    /** Maximum share of the bytes that bodies may take together with small ones, which are not reserved. */
    public static final double MAX_SMALL_BODY_SHARE = 0.8;
    /** Maximum share of the bytes that requests waiting behind others may take, beside large heads and bodies. */
    public static final double MAX_WAITING_SHARE = 0.15;
    /** What the objects of a waiting request take, beside its text. */
    private static final int WAITING_REQUEST_BYTES = 512;

    /** Maximum share of the descriptors for connections to workers. */
    public static final double MAX_WORKER_CONNECTION_SHARE = 0.45;
    /** While less than this share of the descriptors is in use, idle connections need not be closed. */
    private static final double SPARE_DESCRIPTOR_SHARE = 0.85;
    /** Share of the descriptors that is always left for connections to workers. */
    private static final double RESERVED_WORKER_CONNECTION_SHARE = 0.2;
    /** Maximum share of the accepted connections for clients; the rest is for workers, whose callbacks complete jobs. */
    private static final double MAX_CLIENT_SHARE = 0.75;

    /** The decision on a reservation. */
    public enum Admission {
        /** Admitted and counted. */
        ADMIT,
        /** Not yet: capacity becomes free when something held is released. */
        WAIT,
        /** Rejected. */
        REJECT
    }

    private long maxBytes;
    private int maxJobs;
    private double[] thresholds = new double[0];
    private long bodyBytes;
    private long resultBytes;
    private long outputBytes;
    private long headBytes;
    /** What waiting requests take beside large heads and bodies. */
    private long waitingBytes;
    /** The part of it that is not counted as bodies. */
    private long waitingOverheadBytes;
    private int heldJobs;
    private int maxDescriptors;

    /** Creates a budget with these limits of bytes and jobs. */
    public ResourceBudget(long maxBytes, int maxJobs) {
        setLimits(maxBytes, maxJobs);
    }

    /** Changes the limits. What is held beyond them is kept, and nothing is admitted until usage has fallen below them. */
    public void setLimits(long newMaxBytes, int newMaxJobs) {
        maxBytes = newMaxBytes;
        maxJobs = newMaxJobs;
    }

    /** Sets the maximum number of descriptors for connections to workers and accepted connections together. */
    public void setMaxDescriptors(int newMaxDescriptors) {
        maxDescriptors = newMaxDescriptors;
    }

    /**
     * Returns how many accepted connections there may be beside this many connections to workers. Those are usually few and always have a
     * reserved share.
     */
    public int maxAcceptedConnections(int workerConnections) {
        return maxDescriptors - Math.max(workerConnections, (int) (maxDescriptors * RESERVED_WORKER_CONNECTION_SHARE));
    }

    /** Returns how many of the accepted connections may belong to clients. */
    public int maxClientConnections() {
        return (int) (maxDescriptors * (1 - RESERVED_WORKER_CONNECTION_SHARE) * MAX_CLIENT_SHARE);
    }

    /** Returns how many idle connections to workers are worth keeping. */
    public int maxIdleWorkerConnections() {
        return (int) (maxDescriptors * MAX_WORKER_CONNECTION_SHARE / 2);
    }

    /** Returns whether descriptors are plentiful, so that idle connections beyond {@link #maxIdleWorkerConnections} may be kept. */
    public boolean hasSpareDescriptors(int workerConnections, int acceptedConnections) {
        return workerConnections + acceptedConnections < maxDescriptors * SPARE_DESCRIPTOR_SHARE;
    }

    /** Returns whether another connection to a worker may be opened. */
    public boolean mayConnectToWorker(int workerConnections, int acceptedConnections) {
        return workerConnections < maxDescriptors * MAX_WORKER_CONNECTION_SHARE && workerConnections + acceptedConnections < maxDescriptors;
    }

    /** Sets the request classes by number. They are ranked by the cost of a rejection, which is least where a repeat is safe. */
    public void setClasses(List<RequestClass> classes) {
        thresholds = new double[classes.size()];
        for (int i = 0; i < thresholds.length; i++) {
            int below = 0;
            int all = 0;
            for (RequestClass other : classes) {
                below += rejectionCost(other) < rejectionCost(classes.get(i)) ? 1 : 0;
                all += rejectionCost(other) != rejectionCost(classes.get(i)) ? 1 : 0;
            }
            thresholds[i] = all == 0 ? 1 : MIN_THRESHOLD + (1 - MIN_THRESHOLD) * below / all;
        }
    }

    /** Ranks by effect first, as a client can't easily repeat what must not run twice, and then by value. */
    private static double rejectionCost(RequestClass c) {
        double valuePart = c.value / (1 + c.value);
        return valuePart + (c.idempotency == Idempotency.IDEMPOTENT ? 0 : c.idempotency == Idempotency.KEYED ? 1 : 2);
    }

    /** Returns the usage up to which this class is admitted; an unknown class gets the lowest threshold. */
    private double threshold(int requestClass) {
        return requestClass >= 0 && requestClass < thresholds.length ? thresholds[requestClass] : MIN_THRESHOLD;
    }

    /** Reserves memory for a job body that is about to be read. */
    public Admission reserveBody(int requestClass, int bytes) {
        double limit = maxBytes * MAX_BODY_SHARE;
        if (bytes <= SMALL_BODY_BYTES || bodyBytes + bytes <= limit * threshold(requestClass) && heldBytes() + bytes <= maxBytes) {
            bodyBytes += bytes;
            return Admission.ADMIT;
        }
        return Admission.WAIT;
    }

    /** Decides whether a completely received job is accepted. Its body has been counted already. */
    public Admission admitJob(int requestClass) {
        // A job whose body was reserved is not rejected for it; small bodies are not reserved.
        if (heldJobs >= maxJobs * threshold(requestClass) || bodyBytes > maxBytes * MAX_SMALL_BODY_SHARE + SMALL_BODY_BYTES) {
            return Admission.REJECT;
        }
        heldJobs++;
        return Admission.ADMIT;
    }

    /** Reserves memory for a worker's callback that is about to be read. */
    public Admission reserveResult(int bytes) {
        if (bytes <= SMALL_BODY_BYTES || heldBytes() + bytes <= maxBytes) {
            resultBytes += bytes;
            return Admission.ADMIT;
        }
        return Admission.WAIT;
    }

    /** Returns how many bytes of a head of this size have to be reserved. */
    public static int chargedHeadBytes(int bytes) {
        return Math.max(0, bytes - FREE_HEAD_BYTES);
    }

    /** Reserves memory for a part of a head; returns false if there is none. */
    public boolean reserveHead(int bytes) {
        if (headBytes + bytes > maxBytes * MAX_HEAD_SHARE || heldBytes() + bytes > maxBytes) {
            return false;
        }
        headBytes += bytes;
        return true;
    }

    /** Releases a head, or part of its reservation. */
    public void releaseHead(int bytes) {
        headBytes -= bytes;
    }

    /** Counts a request with a head and a body of these sizes that waits behind another one on its connection. */
    public void addWaiting(int requestHeadBytes, int requestBodyBytes) {
        int overhead = waitingOverhead(requestHeadBytes);
        waitingOverheadBytes += overhead;
        waitingBytes += overhead + smallBody(requestBodyBytes);
    }

    /** Counts such a request that no longer waits. */
    public void removeWaiting(int requestHeadBytes, int requestBodyBytes) {
        int overhead = waitingOverhead(requestHeadBytes);
        waitingOverheadBytes -= overhead;
        waitingBytes -= overhead + smallBody(requestBodyBytes);
    }

    private static int waitingOverhead(int requestHeadBytes) {
        return WAITING_REQUEST_BYTES + Math.min(requestHeadBytes, FREE_HEAD_BYTES);
    }

    private static int smallBody(int bytes) {
        return bytes <= SMALL_BODY_BYTES ? bytes : 0;
    }

    /** Returns whether no further request may wait behind another one. */
    public boolean isWaitingLimitReached() {
        return waitingBytes >= maxBytes * MAX_WAITING_SHARE;
    }

    /** Releases a job body, or part of its reservation. */
    public void releaseBody(int bytes) {
        bodyBytes -= bytes;
    }

    /** Releases a completed job. */
    public void releaseJob() {
        heldJobs--;
    }

    /** Releases a worker's callback, or part of its reservation. */
    public void releaseResult(int bytes) {
        resultBytes -= bytes;
    }

    /** Counts output handed to a connection that may not be able to write it at once. */
    public void addOutput(int bytes) {
        outputBytes += bytes;
    }

    /** Releases output that was written or whose connection was closed. */
    public void releaseOutput(int bytes) {
        outputBytes -= bytes;
    }

    /** Returns whether unread output leaves too little memory for results. */
    public boolean isOutputBacklogged() {
        return outputBytes > maxBytes * (1 - MAX_BODY_SHARE) / 2;
    }

    /** Returns the bytes held, of all kinds. */
    public long heldBytes() {
        return bodyBytes + resultBytes + outputBytes + headBytes + waitingOverheadBytes;
    }

    /** Returns the bytes of job bodies held. */
    public long bodyBytes() {
        return bodyBytes;
    }

    /** Returns the bytes of output not written yet. */
    public long outputBytes() {
        return outputBytes;
    }

    /** Returns the maximum number of bytes held. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Returns the number of jobs held. */
    public int heldJobs() {
        return heldJobs;
    }

    /** Returns the maximum number of jobs held. */
    public int maxJobs() {
        return maxJobs;
    }
}
