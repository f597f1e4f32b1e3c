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
 * Clients on kept connections, at a rate of their own (open loop) or each as soon as it has its answer (closed loop).
 * In an open loop a job's time counts from when it was meant to start, so a scheduler that stalls can't hide it by
 * holding the generator up (coordinated omission).
 */
public final class LoadGenerator {
    private static final long MAX_LATENCY_NS = 120_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long RETRY_DELAY_NS = 50_000_000L;

    /**
     * What the clients do.
     *
     * @param connections how many connections there are at most
     * @param jobsPerSecond jobs begun in a second, evenly; 0 for a closed loop
     * @param bodyBytes length of each job's body
     * @param deadlineMs what each client says it waits
     * @param kind the class of all jobs
     */
    public record Workload(int connections, double jobsPerSecond, int bodyBytes, long deadlineMs, String kind) {
    }

    /** What came of the jobs that were begun in one span. All times in ns. */
    public static final class Measurements {
        public final Histogram served = new Histogram(MAX_LATENCY_NS, SIGNIFICANT_DIGITS);
        public final Histogram rejected = new Histogram(MAX_LATENCY_NS, SIGNIFICANT_DIGITS);
        public long started;
        public long failed;
        public long unanswered;

        /** Jobs that got any answer. */
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
    private int openClient;
    private final Set<Client> allClients = new HashSet<>();
    private long nextStartNs;
    private boolean stopping;
    private volatile boolean setResendEnabled = true;
    private volatile boolean setConnectEnabled = true;
    private int outstanding;

    /** Clients of this thread; the prefix keeps their jobs' ids apart from those of others, and the witness hears of all they see. */
    public LoadGenerator(Reactor reactor, InetSocketAddress to, Workload plan, String idPrefix, EventSink witness) {
        this.events = witness;
        this.reactor = reactor;
        this.address = to;
        this.workload = plan;
        this.idPrefix = idPrefix;
        body = "w".repeat(plan.bodyBytes).getBytes(StandardCharsets.US_ASCII);
    }

    /** Begins. */
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
     * Whether what a kept connection's end crossed is sent once more. Off while a scheduler is killed: a client can't tell
     * then whether its request had been read. Any thread.
     */
    public void setResendEnabled(boolean on) {
        setResendEnabled = on;
    }

    /** Whether new connections are made, as a front has it: it sends nobody to a scheduler that it knows to be leaving. Any thread. */
    public void setConnectEnabled(boolean on) {
        setConnectEnabled = on;
    }

    private void runWhenConnectEnabled(Runnable task) {
        if (setConnectEnabled) {
            task.run();
        } else {
            reactor.schedule(System.nanoTime() + RETRY_DELAY_NS, () -> runWhenConnectEnabled(task));
        }
    }

    /** What was seen since the last call, or the start. Any thread. */
    public Measurements takeMeasurements() throws InterruptedException {
        Measurements[] taken = new Measurements[1];
        CountDownLatch done = new CountDownLatch(1);
        reactor.post(() -> {
            taken[0] = measurements;
            measurements = new Measurements();
            done.countDown();
        });
        done.await();
        return taken[0];
    }

    /** Begins no more jobs; true once all that were begun have ended and their connections with them. Any thread. */
    public boolean stop() throws InterruptedException {
        boolean[] over = new boolean[1];
        CountDownLatch done = new CountDownLatch(1);
        reactor.post(() -> {
            stopping = true;
            dueStartsNs.clear();
            over[0] = outstanding == 0;
            if (over[0]) {
                new ArrayList<>(allClients).forEach(Client::close); // what rests would keep others out
            }
            done.countDown();
        });
        done.await();
        return over[0];
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
            if (c == null && openClient < workload.connections) {
                c = openClient();
            }
            if (c == null) {
                return; // all are busy: the job waits, and its time runs
            }
            c.sendJob(dueStartsNs.pollFirst());
        }
    }

    private Client openClient() {
        Client c = new Client();
        openClient++;
        reactor.connect(address, c);
        if (workload.jobsPerSecond <= 0) {
            c.sendJob(System.nanoTime());
        }
        return c;
    }

    private final class Client extends HttpConnection {
        private long startNs;
        private boolean awaitingResponse;
        /** A kept connection: its end may cross a request, which the protocol lets a client send once more. */
        private boolean reused;
        /** A refused client comes back when it was told to. */
        private long retryDelayNs = RETRY_DELAY_NS;
        private String id;
        private String head;
        private boolean requestSent;
        /** Sends once more what another connection's end crossed. */
        private boolean isResend;

        Client() {
            allClients.add(this);
        }

        void sendJob(long meantNs) {
            sendJob(meantNs, idPrefix + Long.toHexString(jobCount++));
        }

        private void sendJob(long meantNs, String withId) {
            id = withId;
            requestSent = false;
            startNs = meantNs;
            awaitingResponse = true;
            outstanding++;
            measurements.started++;
            head = "POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: "
                + workload.kind + "\r\nReq-Deadline-Ms: " + workload.deadlineMs + "\r\nContent-Length: " + body.length + "\r\n\r\n";
            byte[] text = new byte[head.length() + body.length];
            System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, text, 0, head.length());
            System.arraycopy(body, 0, text, head.length(), body.length);
            write(text);
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
        protected void onMessage(String head, byte[] answer) {
            if (!awaitingResponse) {
                return;
            }
            awaitingResponse = false;
            reused = true;
            isResend = false;
            outstanding--;
            long took = Math.min(MAX_LATENCY_NS, Math.max(1, System.nanoTime() - startNs));
            String status = head.substring(9, 12);
            if (events.isEnabled()) {
                String advice = header(head, "Retry-After");
                events.accept(Event.of(Type.ANSWER, id, "", "").withResponse(Integer.parseInt(status), Checksums.body(answer))
                    .retryAfter(advice == null ? "" : advice));
            }
            switch (status) {
                case "200" -> measurements.served.recordValue(took);
                case "429", "503" -> measurements.rejected.recordValue(took);
                default -> measurements.failed++;
            }
            boolean ends = head.contains("onnection: close");
            String wait = status.equals("200") ? null : header(head, "Retry-After");
            retryDelayNs = wait == null ? RETRY_DELAY_NS : (long) (Double.parseDouble(wait) * 1e9);
            if (ends) {
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

        /** The same request on a new connection. */
        private void resend(long atNs) {
            measurements.started--;
            Client once = new Client();
            once.isResend = true;
            openClient++;
            outstanding++;
            reactor.schedule(atNs, () -> runWhenConnectEnabled(() -> {
                outstanding--;
                reactor.connect(address, once);
                once.sendJob(startNs, id);
            }));
        }

        @Override
        protected void onClosed() {
            openClient--;
            allClients.remove(this);
            idle.remove(this);
            if (awaitingResponse) {
                awaitingResponse = false;
                outstanding--;
                if (events.isEnabled() && requestSent) {
                    events.accept(Event.cut(id, reused));
                }
                if (reused && requestSent && setResendEnabled) {
                    resend(System.nanoTime());
                    return;
                }
                if (isResend && !requestSent) {
                    resend(System.nanoTime() + RETRY_DELAY_NS); // nobody was there
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
