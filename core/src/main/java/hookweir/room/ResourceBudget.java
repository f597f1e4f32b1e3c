package hookweir.room;

import hookweir.Contract.Idempotency;
import hookweir.Contract.RequestClass;
import java.util.List;

/**
 * The one account of what a process holds for others: bytes of jobs' bodies, of results on their way and of output that
 * clients have not read, and the number of jobs. It decides what is read, what waits in the kernel and what is refused;
 * a host only tells it what came and went. Pure state: no clock, no I/O, not thread-safe.
 *
 * <p>Jobs may take {@link #MAX_BODY_SHARE} of the bytes at most, so that results, which end jobs, always find room. As room
 * for jobs gets scarce the cheap and repeatable are turned away first: a class is let in up to its own mark, between
 * {@link #MIN_THRESHOLD} and all of the room.
 */
public final class ResourceBudget {
    /** Of all bytes, what jobs' bodies may take. */
    public static final double MAX_BODY_SHARE = 0.6;
    /** The class that is turned away first is let in while less than this share of the room is taken. */
    public static final double MIN_THRESHOLD = 0.75;
    /** A body up to this size is read at once: to have it wait would cost as much as to hold it. */
    public static final int SMALL_BODY_BYTES = 2048;

    /** Of all descriptors, what links to workers may take at most, and what is always left to them. */
    public static final double MAX_WORKER_CONNECTION_SHARE = 0.45;
    private static final double SPARE_DESCRIPTOR_SHARE = 0.85;
    private static final double RESERVED_WORKER_CONNECTION_SHARE = 0.2;
    /** Of accepted connections, what clients may take: the others are workers', whose calls end jobs. */
    private static final double MAX_CLIENT_SHARE = 0.75;

    /** What becomes of something that wants room. */
    public enum Admission {
        /** It is let in, and counted. */
        ADMIT,
        /** Not now: there will be room when what is held has ended. */
        WAIT,
        /** It is turned away. */
        REJECT
    }

    private long maxBytes;
    private int maxJobs;
    private double[] threshold = new double[0];
    private long bodyBytes;
    private long resultBytes;
    private long outputBytes;
    private int heldJobs;
    private int setMaxDescriptors;

    /** Room for so many bytes and jobs. */
    public ResourceBudget(long mostBytes, int mostJobs) {
        setLimits(mostBytes, mostJobs);
    }

    /** Other limits hold from now on; what is held above them stays, and nothing is let in until it has ended. */
    public void setLimits(long bytes, int atMostJobs) {
        maxBytes = bytes;
        maxJobs = atMostJobs;
    }

    /** So many descriptors may be held for links and accepted connections together. */
    public void setMaxDescriptors(int most) {
        setMaxDescriptors = most;
    }

    /** So many connections may be accepted beside these links: those to workers are few, mostly, and always have a share. */
    public int maxAcceptedConnections(int links) {
        return setMaxDescriptors - Math.max(links, (int) (setMaxDescriptors * RESERVED_WORKER_CONNECTION_SHARE));
    }

    /** So many of the accepted ones may be clients'. */
    public int maxClientConnections() {
        return (int) (setMaxDescriptors * (1 - RESERVED_WORKER_CONNECTION_SHARE) * MAX_CLIENT_SHARE);
    }

    /** So many links are worth keeping while they carry nothing. */
    public int maxIdleWorkerConnections() {
        return (int) (setMaxDescriptors * MAX_WORKER_CONNECTION_SHARE / 2);
    }

    /** Links may be kept beyond what is worth it, as nobody needs their descriptors. */
    public boolean hasSpareDescriptors(int links, int accepted) {
        return links + accepted < setMaxDescriptors * SPARE_DESCRIPTOR_SHARE;
    }

    /** Another link may be made beside these and the accepted connections. */
    public boolean mayConnectToWorker(int links, int accepted) {
        return links < setMaxDescriptors * MAX_WORKER_CONNECTION_SHARE && links + accepted < setMaxDescriptors;
    }

    /** The classes by number: they are ranked by what a refusal costs, which is least where a repeat is safe. */
    public void setClasses(List<RequestClass> classes) {
        threshold = new double[classes.size()];
        for (int i = 0; i < threshold.length; i++) {
            int below = 0;
            int all = 0;
            for (RequestClass other : classes) {
                below += rejectionCost(other) < rejectionCost(classes.get(i)) ? 1 : 0;
                all += rejectionCost(other) != rejectionCost(classes.get(i)) ? 1 : 0;
            }
            threshold[i] = all == 0 ? 1 : MIN_THRESHOLD + (1 - MIN_THRESHOLD) * below / all;
        }
    }

    /** By effect first: a client can't lightly repeat what must not run twice; then by worth. */
    private static double rejectionCost(RequestClass c) {
        double byWorth = c.value / (1 + c.value);
        return byWorth + (c.idempotency == Idempotency.IDEMPOTENT ? 0 : c.idempotency == Idempotency.KEYED ? 1 : 2);
    }

    /** So full jobs may make it for this class; one that is unknown is worth least. */
    private double threshold(int requestClass) {
        return requestClass >= 0 && requestClass < threshold.length ? threshold[requestClass] : MIN_THRESHOLD;
    }

    /** A job's body of so many bytes is about to be read. */
    public Admission reserveBody(int requestClass, int bytes) {
        double limit = maxBytes * MAX_BODY_SHARE;
        if (bytes <= SMALL_BODY_BYTES || bodyBytes + bytes <= limit * threshold(requestClass) && heldBytes() + bytes <= maxBytes) {
            bodyBytes += bytes;
            return Admission.ADMIT;
        }
        return Admission.WAIT;
    }

    /** A job has come whole: may it be taken on? Its body is counted already. */
    public Admission admitJob(int requestClass) {
        double full = Math.max((double) heldJobs / maxJobs, bodyBytes / (maxBytes * MAX_BODY_SHARE));
        // What was let in for its body's size is not turned away for it after all.
        if (heldJobs >= maxJobs * threshold(requestClass) || full > 1.0 + (double) SMALL_BODY_BYTES / maxBytes) {
            return Admission.REJECT;
        }
        heldJobs++;
        return Admission.ADMIT;
    }

    /** A worker's call of so many bytes is about to be read. */
    public Admission reserveResult(int bytes) {
        if (bytes <= SMALL_BODY_BYTES || heldBytes() + bytes <= maxBytes) {
            resultBytes += bytes;
            return Admission.ADMIT;
        }
        return Admission.WAIT;
    }

    /** A body, or part of what was counted for it, is let go of. */
    public void releaseBody(int bytes) {
        bodyBytes -= bytes;
    }

    /** A job is over. */
    public void releaseJob() {
        heldJobs--;
    }

    /** A call, or part of what was counted for it, is let go of. */
    public void releaseResult(int bytes) {
        resultBytes -= bytes;
    }

    /** Output was handed to a connection that may not take it at once. */
    public void addOutput(int bytes) {
        outputBytes += bytes;
    }

    /** Output was taken, or its connection ended. */
    public void releaseOutput(int bytes) {
        outputBytes -= bytes;
    }

    /** Output that nobody reads leaves too little room for results. */
    public boolean isOutputBacklogged() {
        return outputBytes > maxBytes * (1 - MAX_BODY_SHARE) / 2;
    }

    /** Bytes held, of all kinds. */
    public long heldBytes() {
        return bodyBytes + resultBytes + outputBytes;
    }

    /** Bytes of jobs' bodies. */
    public long bodyBytes() {
        return bodyBytes;
    }

    /** Bytes of output not taken yet. */
    public long outputBytes() {
        return outputBytes;
    }

    /** Bytes that may be held. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Jobs held. */
    public int heldJobs() {
        return heldJobs;
    }

    /** Jobs that may be held. */
    public int maxJobs() {
        return maxJobs;
    }
}
