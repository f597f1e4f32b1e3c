package hookweir.room;

import hookweir.Contract.Idempotency;
import hookweir.Contract.RequestClass;
import java.util.List;

/**
 * The one account of what a process holds for others: bytes of jobs' bodies, of results on their way and of output that
 * clients have not read, and the number of jobs. It decides what is read, what waits in the kernel and what is refused;
 * a host only tells it what came and went. Pure state: no clock, no I/O, not thread-safe.
 *
 * <p>Jobs may take {@link #INTAKE_SHARE} of the bytes at most, so that results, which end jobs, always find room. As room
 * for jobs gets scarce the cheap and repeatable are turned away first: a class is let in up to its own mark, between
 * {@link #FIRST_OUT} and all of the room.
 */
public final class Room {
    /** Of all bytes, what jobs' bodies may take. */
    public static final double INTAKE_SHARE = 0.6;
    /** The class that is turned away first is let in while less than this share of the room is taken. */
    public static final double FIRST_OUT = 0.75;
    /** A body up to this size is read at once: to have it wait would cost as much as to hold it. */
    public static final int SMALL_BYTES = 2048;

    /** Of all descriptors, what links to workers may take at most, and what is always left to them. */
    public static final double LINKS_SHARE = 0.45;
    private static final double AMPLE = 0.85;
    private static final double LINKS_LEAST = 0.2;
    /** Of accepted connections, what clients may take: the others are workers', whose calls end jobs. */
    private static final double CLIENTS_SHARE = 0.75;

    /** What becomes of something that wants room. */
    public enum Verdict {
        /** It is let in, and counted. */
        TAKE,
        /** Not now: there will be room when what is held has ended. */
        WAIT,
        /** It is turned away. */
        REFUSE
    }

    private long mostBytes;
    private int mostJobs;
    private double[] mark = new double[0];
    private long bodyBytes;
    private long resultBytes;
    private long outputBytes;
    private int jobs;
    private int descriptors;

    /** Room for so many bytes and jobs. */
    public Room(long mostBytes, int mostJobs) {
        limit(mostBytes, mostJobs);
    }

    /** Other limits hold from now on; what is held above them stays, and nothing is let in until it has ended. */
    public void limit(long bytes, int atMostJobs) {
        mostBytes = bytes;
        mostJobs = atMostJobs;
    }

    /** So many descriptors may be held for links and accepted connections together. */
    public void descriptors(int most) {
        descriptors = most;
    }

    /** So many connections may be accepted beside these links: those to workers are few, mostly, and always have a share. */
    public int mostAccepted(int links) {
        return descriptors - Math.max(links, (int) (descriptors * LINKS_LEAST));
    }

    /** So many of the accepted ones may be clients'. */
    public int mostClients() {
        return (int) (descriptors * (1 - LINKS_LEAST) * CLIENTS_SHARE);
    }

    /** So many links are worth keeping while they carry nothing. */
    public int mostIdleLinks() {
        return (int) (descriptors * LINKS_SHARE / 2);
    }

    /** Links may be kept beyond what is worth it, as nobody needs their descriptors. */
    public boolean isAmple(int links, int accepted) {
        return links + accepted < descriptors * AMPLE;
    }

    /** Another link may be made beside these and the accepted connections. */
    public boolean mayDial(int links, int accepted) {
        return links < descriptors * LINKS_SHARE && links + accepted < descriptors;
    }

    /** The classes by number: they are ranked by what a refusal costs, which is least where a repeat is safe. */
    public void classes(List<RequestClass> classes) {
        mark = new double[classes.size()];
        for (int i = 0; i < mark.length; i++) {
            int below = 0;
            int all = 0;
            for (RequestClass other : classes) {
                below += dearness(other) < dearness(classes.get(i)) ? 1 : 0;
                all += dearness(other) != dearness(classes.get(i)) ? 1 : 0;
            }
            mark[i] = all == 0 ? 1 : FIRST_OUT + (1 - FIRST_OUT) * below / all;
        }
    }

    /** By effect first: a client can't lightly repeat what must not run twice; then by worth. */
    private static double dearness(RequestClass c) {
        double byWorth = c.value / (1 + c.value);
        return byWorth + (c.idempotency == Idempotency.IDEMPOTENT ? 0 : c.idempotency == Idempotency.KEYED ? 1 : 2);
    }

    /** So full jobs may make it for this class; one that is unknown is worth least. */
    private double mark(int requestClass) {
        return requestClass >= 0 && requestClass < mark.length ? mark[requestClass] : FIRST_OUT;
    }

    /** A job's body of so many bytes is about to be read. */
    public Verdict body(int requestClass, int bytes) {
        double limit = mostBytes * INTAKE_SHARE;
        if (bytes <= SMALL_BYTES || bodyBytes + bytes <= limit * mark(requestClass) && bytes() + bytes <= mostBytes) {
            bodyBytes += bytes;
            return Verdict.TAKE;
        }
        return Verdict.WAIT;
    }

    /** A job has come whole: may it be taken on? Its body is counted already. */
    public Verdict job(int requestClass) {
        double full = Math.max((double) jobs / mostJobs, bodyBytes / (mostBytes * INTAKE_SHARE));
        // What was let in for its body's size is not turned away for it after all.
        if (jobs >= mostJobs * mark(requestClass) || full > 1.0 + (double) SMALL_BYTES / mostBytes) {
            return Verdict.REFUSE;
        }
        jobs++;
        return Verdict.TAKE;
    }

    /** A worker's call of so many bytes is about to be read. */
    public Verdict result(int bytes) {
        if (bytes <= SMALL_BYTES || bytes() + bytes <= mostBytes) {
            resultBytes += bytes;
            return Verdict.TAKE;
        }
        return Verdict.WAIT;
    }

    /** A body, or part of what was counted for it, is let go of. */
    public void bodyGone(int bytes) {
        bodyBytes -= bytes;
    }

    /** A job is over. */
    public void jobGone() {
        jobs--;
    }

    /** A call, or part of what was counted for it, is let go of. */
    public void resultGone(int bytes) {
        resultBytes -= bytes;
    }

    /** Output was handed to a connection that may not take it at once. */
    public void output(int bytes) {
        outputBytes += bytes;
    }

    /** Output was taken, or its connection ended. */
    public void outputGone(int bytes) {
        outputBytes -= bytes;
    }

    /** Output that nobody reads leaves too little room for results. */
    public boolean choked() {
        return outputBytes > mostBytes * (1 - INTAKE_SHARE) / 2;
    }

    /** Bytes held, of all kinds. */
    public long bytes() {
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
    public long mostBytes() {
        return mostBytes;
    }

    /** Jobs held. */
    public int jobs() {
        return jobs;
    }

    /** Jobs that may be held. */
    public int mostJobs() {
        return mostJobs;
    }
}
