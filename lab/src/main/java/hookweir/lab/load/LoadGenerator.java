package hookweir.lab.load;

import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.net.HttpConnection;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.Checksums;
import hookweir.lab.record.EventSink;
import hookweir.lab.standin.StubWorkers;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.HdrHistogram.Histogram;

/**
 * Generates load over persistent connections, either at a fixed rate (open loop) or with each client starting its next job
 * as soon as it has a response (closed loop). In an open loop latency is measured from the intended start, so a stalled
 * scheduler cannot hide its delay by stalling the generator (coordinated omission).
 */
public final class LoadGenerator {
    private static final long MAX_LATENCY_NS = 120_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long RETRY_DELAY_NS = 50_000_000L;

    /**
     * The load to generate.
     *
     * @param connections the maximum number of connections
     * @param jobsPerSecond jobs started per second, evenly spaced; 0 for a closed loop
     * @param bodyBytes length of each job's body
     * @param deadlineMs the deadline that each request carries
     * @param kind the request class of all jobs
     */
    public record Workload(int connections, double jobsPerSecond, int bodyBytes, long deadlineMs, String kind) {
    }

    /** Outcomes of jobs within one measurement interval. All times are in ns. */
    public static final class Measurements {
        public final Histogram served = new Histogram(MAX_LATENCY_NS, SIGNIFICANT_DIGITS);
        public final Histogram rejected = new Histogram(MAX_LATENCY_NS, SIGNIFICANT_DIGITS);
        public long started;
        public long failed;
        public long unanswered;

        /** Jobs that got a response of any status. */
        public long responseCount() {
            return served.getTotalCount() + rejected.getTotalCount() + failed;
        }
    }

    private final Reactor reactor;
    private final InetSocketAddress address;
    private final Workload workload;
    private final String idPrefix;
    private final byte[] body;
    private final EventSink events;
    private final Deque<Client> idle = new ArrayDeque<>();
    private final Deque<Long> dueStartsNs = new ArrayDeque<>();
    private Measurements measurements = new Measurements();
    private long jobCount;
    private int openConnections;
    private final Set<Client> allClients = new HashSet<>();
    private long nextStartNs;
    private boolean stopping;
    private volatile boolean resendEnabled = true;
    private volatile boolean connectEnabled = true;
    private int outstanding;

    /** Creates clients on the reactor's thread. The prefix keeps their job ids distinct; the event sink receives all that clients observe. */
    public LoadGenerator(Reactor reactor, InetSocketAddress to, Workload workload, String idPrefix, EventSink witness) {
        this.events = witness;
        this.reactor = reactor;
        this.address = to;
        this.workload = workload;
        this.idPrefix = idPrefix;
        body = "w".repeat(workload.bodyBytes).getBytes(StandardCharsets.US_ASCII);
    }

    /** Starts generating load. */
    public void start() {
        reactor.post(() -> {
            if (workload.jobsPerSecond > 0) {
                nextStartNs = System.nanoTime();
                enqueueDueJobs();
            } else {
                for (int i = 0; i < workload.connections; i++) {
                    openClient();
                }
            }
        });
    }

    /**
     * Sets whether a request is resent once if its reused connection is closed while the request is in flight. Disabled while
     * a scheduler is killed, as a client then can't tell whether its request was read. May be called from any thread.
     */
    public void setResendEnabled(boolean on) {
        resendEnabled = on;
    }

    /** Sets whether new connections are made: a load balancer sends no client to a draining scheduler. May be called from any thread. */
    public void setConnectEnabled(boolean on) {
        connectEnabled = on;
    }

    private void runWhenConnectEnabled(Runnable task) {
        if (connectEnabled) {
            task.run();
        } else {
            reactor.schedule(System.nanoTime() + RETRY_DELAY_NS, () -> runWhenConnectEnabled(task));
        }
    }

    /** Returns and resets the measurements since the last call or the start. May be called from any thread. */
    public Measurements takeMeasurements() throws InterruptedException {
        Measurements[] result = new Measurements[1];
        CountDownLatch done = new CountDownLatch(1);
        reactor.post(() -> {
            result[0] = measurements;
            measurements = new Measurements();
            done.countDown();
        });
        done.await();
        return result[0];
    }

    /** Starts no more jobs; returns true, and closes all connections, once no job is outstanding. May be called from any thread. */
    public boolean stop() throws InterruptedException {
        boolean[] finished = new boolean[1];
        CountDownLatch done = new CountDownLatch(1);
        reactor.post(() -> {
            stopping = true;
            dueStartsNs.clear();
            finished[0] = outstanding == 0;
            if (finished[0]) {
                new ArrayList<>(allClients).forEach(Client::close); // idle connections would count against the scheduler's limit
            }
            done.countDown();
        });
        done.await();
        return finished[0];
    }

    private void enqueueDueJobs() {
        long now = System.nanoTime();
        while (nextStartNs <= now && !stopping) {
            dueStartsNs.addLast(nextStartNs);
            nextStartNs += (long) (1e9 / workload.jobsPerSecond);
        }
        dispatchDueJobs();
        if (!stopping) {
            reactor.schedule(nextStartNs, this::enqueueDueJobs);
        }
    }

    private void dispatchDueJobs() {
        while (!dueStartsNs.isEmpty()) {
            Client c = idle.pollFirst();
            if (c == null && openConnections < workload.connections) {
                c = openClient();
            }
            if (c == null) {
                return; // all connections are busy: the job waits, and the wait counts as latency
            }
            c.sendJob(dueStartsNs.pollFirst());
        }
    }

    private Client openClient() {
        Client c = new Client();
        openConnections++;
        reactor.connect(address, c);
        if (workload.jobsPerSecond <= 0) {
            c.sendJob(System.nanoTime());
        }
        return c;
    }

    private final class Client extends HttpConnection {
        private long startNs;
        private boolean awaitingResponse;
        /** The connection has carried a request before: if it closes during the next request, the protocol permits one resend. */
        private boolean reused;
        /** The delay before the next request of a rejected client: its Retry-After, if any. */
        private long retryDelayNs = RETRY_DELAY_NS;
        private String id;
        private String head;
        private boolean requestSent;
        /** Resends a request whose first connection was closed while it was in flight. */
        private boolean isResend;

        Client() {
            allClients.add(this);
        }

        void sendJob(long intendedStartNs) {
            sendJob(intendedStartNs, idPrefix + Long.toHexString(jobCount++));
        }

        private void sendJob(long intendedStartNs, String jobId) {
            id = jobId;
            requestSent = false;
            startNs = intendedStartNs;
            awaitingResponse = true;
            outstanding++;
            measurements.started++;
            head = "POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: "
                + workload.kind + "\r\nReq-Deadline-Ms: " + workload.deadlineMs + "\r\nContent-Length: " + body.length + "\r\n\r\n";
            byte[] request = new byte[head.length() + body.length];
            System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, request, 0, head.length());
            System.arraycopy(body, 0, request, head.length(), body.length);
            write(request);
        }

        @Override
        protected void onSending() {
            if (events.isEnabled() && isResend) {
                events.accept(Event.of(Type.AGAIN, id, "", StubWorkers.SCHEDULER_NAME));
            } else if (events.isEnabled()) {
                events.accept(Event.ask(id, StubWorkers.SCHEDULER_NAME, workload.kind, workload.deadlineMs, Checksums.forwarded(head, null, body)));
            }
            requestSent = true;
        }

        @Override
        protected void onMessage(String head, byte[] responseBody) {
            if (!awaitingResponse) {
                return;
            }
            awaitingResponse = false;
            reused = true;
            isResend = false;
            outstanding--;
            long latencyNs = Math.min(MAX_LATENCY_NS, Math.max(1, System.nanoTime() - startNs));
            String status = head.substring(9, 12);
            if (events.isEnabled()) {
                String retryAfterHeader = header(head, "Retry-After");
                events.accept(Event.of(Type.ANSWER, id, "", "").withResponse(Integer.parseInt(status), Checksums.body(responseBody))
                    .retryAfter(retryAfterHeader == null ? "" : retryAfterHeader));
            }
            switch (status) {
                case "200" -> measurements.served.recordValue(latencyNs);
                case "429", "503" -> measurements.rejected.recordValue(latencyNs);
                default -> measurements.failed++;
            }
            boolean closing = head.contains("onnection: close");
            String retryAfter = status.equals("200") ? null : header(head, "Retry-After");
            retryDelayNs = retryAfter == null ? RETRY_DELAY_NS : (long) (Double.parseDouble(retryAfter) * 1e9);
            if (closing) {
                close();
            } else if (workload.jobsPerSecond > 0) {
                idle.addFirst(this);
                dispatchDueJobs();
            } else if (!stopping) {
                if (status.equals("200")) {
                    sendJob(System.nanoTime());
                } else {
                    reactor.schedule(System.nanoTime() + retryDelayNs, () -> {
                        if (!stopping && !isClosed() && !awaitingResponse) {
                            sendJob(System.nanoTime());
                        }
                    });
                }
            }
        }

        /** Sends the same request on a new connection. */
        private void resend(long atNs) {
            measurements.started--;
            Client resender = new Client();
            resender.isResend = true;
            openConnections++;
            outstanding++;
            reactor.schedule(atNs, () -> runWhenConnectEnabled(() -> {
                outstanding--;
                reactor.connect(address, resender);
                resender.sendJob(startNs, id);
            }));
        }

        @Override
        protected void onClosed() {
            openConnections--;
            allClients.remove(this);
            idle.remove(this);
            if (awaitingResponse) {
                awaitingResponse = false;
                outstanding--;
                if (events.isEnabled() && requestSent) {
                    events.accept(Event.cut(id, reused));
                }
                if (reused && requestSent && resendEnabled) {
                    resend(System.nanoTime());
                    return;
                }
                if (isResend && !requestSent) {
                    resend(System.nanoTime() + RETRY_DELAY_NS); // could not connect
                    return;
                }
                measurements.unanswered++;
            }
            if (!stopping && workload.jobsPerSecond <= 0) {
                reactor.schedule(System.nanoTime() + retryDelayNs, () -> runWhenConnectEnabled(() -> {
                    if (!stopping) {
                        openClient();
                    }
                }));
            }
        }
    }
}
