package hookweir.lab.standin;

import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.net.HttpConnection;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.Checksums;
import hookweir.lab.record.EventSink;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Stand-in workers, each on a port of its own, that take every job and end it after a fixed time by a call-back, and the
 * list of them. They follow the protocol and check it: an attempt of a job that they hold or held counts as a breach.
 */
public final class StubWorkers {
    private static final long HEARTBEAT_NS = 2_000_000_000L;
    private static final int MAX_CALLBACK_ATTEMPTS = 10;
    private static final long CALLBACK_RETRY_DELAY_NS = 100_000_000L;
    /** The one scheduler round which they stand, as histories name it. */
    public static final String SCHEDULER_NAME = "n1";

    private static final String EMPTY_BODY = "Content-Length: 0\r\n\r\n";

    private final Reactor reactor;
    private final long serviceNs;
    private final byte[] result;
    private final int slots;
    private final List<Integer> ports = new ArrayList<>();
    private final Deque<CallbackConnection> idleCallbackConnections = new ArrayDeque<>();
    private final Set<String> receivedJobIds = new HashSet<>();
    private final EventSink events;
    private final boolean freshCallbackConnections;
    /** From a job's end to the answer to its call-back, in µs. */
    private final Histogram callbackLatencyUs = new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(2), 3);
    private InetSocketAddress scheduler;
    private volatile boolean setHangJobs;
    private volatile long jobsStarted;
    private volatile long probes;
    private volatile long probeBytes;
    private volatile long connections;
    private volatile long usedConnections;
    private volatile long probeConnections;
    private volatile long repeatedAttempts;
    private volatile long droppedCallbacks;

    /**
     * So many workers, of so many slots in their reports.
     *
     * @param serviceNs from taking a job to telling its end, in ns
     * @param resultBytes length of each result
     * @param freshCalls each call-back goes on a connection of its own, as some workers' libraries do
     * @param witness hears of all that they see
     */
    public StubWorkers(Reactor reactor, int workers, int slots, long serviceNs, int resultBytes, boolean freshCalls, EventSink witness) throws IOException {
        this.reactor = reactor;
        this.events = witness;
        this.freshCallbackConnections = freshCalls;
        this.serviceNs = serviceNs;
        this.slots = slots;
        result = "r".repeat(resultBytes).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < workers; i++) {
            String name = String.format("s-%08x", i);
            int[] busy = new int[1];
            Set<String> had = new HashSet<>();
            ports.add(reactor.listen(0, () -> new WorkerConnection(name, busy, had)));
            if (witness.isEnabled()) {
                witness.accept(Event.location(name, "a", 0));
            }
        }
    }

    /** Serves the list of these workers; the port. */
    public int serveWorkerList() throws IOException {
        return reactor.listen(0, ListConnection::new);
    }

    /** Where the ends of jobs are told. */
    public void setScheduler(InetSocketAddress newScheduler) {
        reactor.post(() -> {
            scheduler = newScheduler;
            idleCallbackConnections.clear();
            receivedJobIds.clear();
        });
    }

    /** While on, workers take jobs and never end them. Any thread. */
    public void setHangJobs(boolean on) {
        setHangJobs = on;
    }

    /** Jobs begun so far. */
    public long jobsStarted() {
        return jobsStarted;
    }

    /** Probes answered so far. */
    public long probes() {
        return probes;
    }

    /** Bytes of the probes' requests so far. */
    public long probeBytes() {
        return probeBytes;
    }

    /** Connections that workers accepted so far. */
    public long connections() {
        return connections;
    }

    /** Of the connections to workers, those whose first call was a probe or a notice. */
    public long probeConnections() {
        return probeConnections;
    }

    /** Connections to workers over which anything was called so far. */
    public long usedConnections() {
        return usedConnections;
    }

    /** Attempts of a job that some worker had already. */
    public long repeatedAttempts() {
        return repeatedAttempts;
    }

    /** From each job's end to the answer to its call-back, in µs. */
    public Histogram callbackLatencyUs() {
        return callbackLatencyUs;
    }

    /** Call-backs that got no answer. */
    public long droppedCallbacks() {
        return droppedCallbacks;
    }

    /** The list of them, in discovery's form. */
    public String workerListJson() {
        StringBuilder out = new StringBuilder("{\"version\":1,\"full\":true,\"servers\":[");
        for (int i = 0; i < ports.size(); i++) {
            out.append(i == 0 ? "" : ",").append(String.format("{\"id\":\"s-%08x\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"kind\":\"m\","
                + "\"cell\":0,\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}", i, ports.get(i)));
        }
        return out.append("]}\n").toString();
    }

    private final class WorkerConnection extends HttpConnection {
        private final String name;
        private final int[] busySlots;
        /** Ids that this worker got, where somebody writes them down. */
        private final Set<String> receivedIds;
        private boolean counted;

        WorkerConnection(String name, int[] busy, Set<String> had) {
            this.name = name;
            this.busySlots = busy;
            this.receivedIds = had;
            connections++;
        }

        @Override
        protected void onMessage(String head, byte[] body) {
            if (!counted) {
                counted = true;
                probeConnections += head.startsWith("POST ") ? 0 : 1;
                usedConnections++;
            }
            if (head.startsWith("POST ")) {
                jobsStarted++;
                String id = header(head, "Req-Id");
                if (!receivedJobIds.add(id)) {
                    repeatedAttempts++;
                }
                if (events.isEnabled()) {
                    receivedIds.add(id);
                    events.accept(Event.of(Type.ATTEMPT, id, name, SCHEDULER_NAME).checksum(Checksums.forwarded(head, header(head, "Idempotency-Key"), body)));
                }
                busySlots[0]++;
                write("HTTP/1.1 202 Accepted\r\n" + EMPTY_BODY);
                if (setHangJobs) {
                    return; // taken, and never ended
                }
                if (serviceNs == 0) {
                    finishJob(id);
                } else {
                    reactor.schedule(System.nanoTime() + serviceNs, () -> finishJob(id));
                }
            } else if (head.startsWith("GET ")) {
                probes++;
                probeBytes += head.length();
                String report = "x0=" + Math.max(0, slots - busySlots[0]);
                write("HTTP/1.1 200 OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report);
            } else {
                String id = head.substring(head.indexOf("/jobs/") + 6, head.indexOf(' ', head.indexOf("/jobs/")));
                if (events.isEnabled() && receivedIds.contains(id)) {
                    events.accept(Event.of(Type.CANCEL, id, name, ""));
                }
                write("HTTP/1.1 200 OK\r\n" + EMPTY_BODY);
            }
        }

        private void finishJob(String id) {
            busySlots[0]--;
            if (events.isEnabled()) {
                events.accept(Event.end(id, name, "done", Checksums.body(result)));
            }
            String head = "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"done\",\"result\":\"";
            CallbackConnection caller = freshCallbackConnections ? null : idleCallbackConnections.pollFirst();
            while (caller != null && caller.isClosed()) {
                caller = idleCallbackConnections.pollFirst();
            }
            if (caller == null) {
                caller = new CallbackConnection();
                reactor.connect(scheduler, caller);
            }
            caller.jobEndNs = System.nanoTime();
            caller.send(id, name, head, result);
        }

        @Override
        protected void onClosed() {
            // its jobs end all the same, as real ones do
        }
    }

    /** A connection for call-backs. */
    private final class CallbackConnection extends HttpConnection {
        private boolean awaitingResponse;
        private int failedAttempts;
        private long jobEndNs;
        private String id;
        private String worker;
        private String head;
        private byte[] result;

        void send(String ofId, String ofWorker, String newHead, byte[] newText) {
            id = ofId;
            worker = ofWorker;
            head = newHead;
            result = newText;
            awaitingResponse = true;
            write("POST /callback HTTP/1.1\r\nHost: s\r\nContent-Type: application/json\r\nContent-Length: " + (head.length() + result.length + 2)
                + "\r\n\r\n" + head + new String(result, StandardCharsets.US_ASCII) + "\"}");
        }

        @Override
        protected void onMessage(String head, byte[] body) {
            awaitingResponse = false;
            failedAttempts = 0;
            if (events.isEnabled()) {
                events.accept(Event.of(Type.CALL, id, worker, "").number(Integer.parseInt(head.substring(9, 12))));
            }
            callbackLatencyUs.recordValue(Math.min(callbackLatencyUs.getHighestTrackableValue(), (System.nanoTime() - jobEndNs) / 1000));
            if (freshCallbackConnections || head.contains("onnection: close")) {
                close();
            } else {
                idleCallbackConnections.addFirst(this);
            }
        }

        @Override
        protected void onClosed() {
            if (awaitingResponse && ++failedAttempts < MAX_CALLBACK_ATTEMPTS) {
                // As the protocol has it: each call until it gets an answer, ten times at most.
                CallbackConnection again = new CallbackConnection();
                again.failedAttempts = failedAttempts;
                again.jobEndNs = jobEndNs;
                reactor.schedule(System.nanoTime() + CALLBACK_RETRY_DELAY_NS, () -> {
                    reactor.connect(scheduler, again);
                    again.send(id, worker, head, result);
                });
            } else if (awaitingResponse) {
                droppedCallbacks++;
            }
        }
    }

    /** Somebody who asks for the list. */
    private final class ListConnection extends HttpConnection {
        @Override
        protected void onMessage(String head, byte[] body) {
            String whole = workerListJson();
            if (head.contains("watch=1")) {
                write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(whole));
                scheduleHeartbeat();
            } else {
                write("HTTP/1.1 200 OK\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole);
            }
        }

        private void scheduleHeartbeat() {
            reactor.schedule(System.nanoTime() + HEARTBEAT_NS, () -> {
                if (!isClosed()) {
                    write(chunk("\n"));
                    scheduleHeartbeat();
                }
            });
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        @Override
        protected void onClosed() {
            // nothing is kept of it
        }
    }

    /** The loopback address with this port. */
    public static InetSocketAddress loopbackAddress(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
