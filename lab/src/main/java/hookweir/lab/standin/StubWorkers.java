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
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * Stub workers, each on its own port, that accept every job and report its end by a callback after a fixed time, and a stub
 * list service that lists them. They count protocol violations: a second attempt of a job that any of them has received.
 */
public final class StubWorkers {
    private static final long HEARTBEAT_NS = 2_000_000_000L;
    /** The name of the scheduler under test in histories. */
    public static final String SCHEDULER_NAME = "n1";

    private static final String EMPTY_BODY = "Content-Length: 0\r\n\r\n";
    private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\n" + EMPTY_BODY;
    private static final String DECLINED = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\n" + EMPTY_BODY;

    private final Reactor reactor;
    private final long serviceNs;
    private final byte[] result;
    private final int slots;
    private final List<Integer> ports = new ArrayList<>();
    private final Set<String> receivedJobIds = new HashSet<>();
    private final EventSink events;
    private final StubCallbacks callbacks;
    private volatile JobHandling jobHandling = JobHandling.SERVE;
    private volatile long jobsStarted;
    private volatile long probes;
    private volatile long probeBytes;
    private volatile long connections;
    private volatile long usedConnections;
    private volatile long probeConnections;
    private volatile long repeatedAttempts;

    /**
     * Starts the workers.
     *
     * @param reactor the thread on which they run
     * @param workers the number of workers
     * @param slots the free slots that an idle worker reports
     * @param serviceNs time from accepting a job to reporting its end, in ns
     * @param resultBytes the length of each job's result
     * @param freshCallbackConnections each callback uses a new connection, as some workers' HTTP libraries do
     * @param events receives everything that the workers observe
     */
    public StubWorkers(Reactor reactor, int workers, int slots, long serviceNs, int resultBytes, boolean freshCallbackConnections, EventSink events)
            throws IOException {
        this.reactor = reactor;
        this.events = events;
        callbacks = new StubCallbacks(reactor, freshCallbackConnections, events);
        this.serviceNs = serviceNs;
        this.slots = slots;
        result = "r".repeat(resultBytes).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < workers; i++) {
            String name = String.format("s-%08x", i);
            int[] busySlots = new int[1];
            Set<String> receivedIds = new HashSet<>();
            ports.add(reactor.listen(0, () -> new WorkerConnection(name, busySlots, receivedIds)));
            if (events.isEnabled()) {
                events.accept(Event.location(name, "a", 0));
            }
        }
    }

    /** Starts a list service that lists these workers; returns its port. */
    public int serveWorkerList() throws IOException {
        return reactor.listen(0, ListConnection::new);
    }

    /** Sets the scheduler that callbacks are sent to. */
    public void setScheduler(InetSocketAddress newScheduler) {
        reactor.post(() -> {
            callbacks.setScheduler(newScheduler);
            receivedJobIds.clear();
        });
    }

    /** Sets what workers do with the jobs that they receive from now on. May be called from any thread. */
    public void setJobHandling(JobHandling handling) {
        jobHandling = handling;
    }

    /** Attempts received so far. */
    public long jobsStarted() {
        return jobsStarted;
    }

    /** Probes answered so far. */
    public long probes() {
        return probes;
    }

    /** Bytes of the probe requests so far. */
    public long probeBytes() {
        return probeBytes;
    }

    /** Connections that workers accepted so far. */
    public long connections() {
        return connections;
    }

    /** Connections to workers whose first request was a probe or a cancellation. */
    public long probeConnections() {
        return probeConnections;
    }

    /** Connections to workers that carried at least one request. */
    public long usedConnections() {
        return usedConnections;
    }

    /** Attempts of a job that a worker had received before. */
    public long repeatedAttempts() {
        return repeatedAttempts;
    }

    /** Time from each job's end to the response to its callback, in µs. */
    public Histogram callbackLatencyUs() {
        return callbacks.latencyUs();
    }

    /** Callbacks abandoned without a response. */
    public long droppedCallbacks() {
        return callbacks.dropped();
    }

    /** The worker list, in the list service's JSON format. */
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
        /** Ids of the jobs that this worker received, kept only if events are recorded. */
        private final Set<String> receivedIds;
        private boolean counted;
        /** The job on this connection that was neither accepted nor declined, or null. */
        private String unansweredId;

        WorkerConnection(String name, int[] busySlots, Set<String> receivedIds) {
            this.name = name;
            this.busySlots = busySlots;
            this.receivedIds = receivedIds;
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
                handleJob(id);
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

        private void handleJob(String id) {
            switch (jobHandling) {
                case SERVE -> {
                    busySlots[0]++;
                    write(ACCEPTED);
                    if (serviceNs == 0) {
                        finishJob(id);
                    } else {
                        reactor.schedule(System.nanoTime() + serviceNs, () -> finishJob(id));
                    }
                }
                case HANG -> {
                    busySlots[0]++;
                    write(ACCEPTED);
                }
                case NO_RESPONSE -> unansweredId = id;
                case DECLINE -> {
                    if (events.isEnabled()) {
                        events.accept(Event.end(id, name, "refused", ""));
                    }
                    write(DECLINED);
                }
                default -> throw new IllegalStateException(jobHandling.toString());
            }
        }

        private void finishJob(String id) {
            busySlots[0]--;
            if (events.isEnabled()) {
                events.accept(Event.end(id, name, "done", Checksums.body(result)));
            }
            callbacks.sendDone(id, name, result);
        }

        @Override
        protected void onClosed() {
            // Accepted jobs still end, as those of real workers do. The end of the connection gives up one that was not.
            if (unansweredId != null && events.isEnabled()) {
                events.accept(Event.of(Type.CANCEL, unansweredId, name, ""));
            }
        }
    }

    /** A connection of a client of the list service. */
    private final class ListConnection extends HttpConnection {
        @Override
        protected void onMessage(String head, byte[] body) {
            String workerList = workerListJson();
            if (head.contains("watch=1")) {
                write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(workerList));
                scheduleHeartbeat();
            } else {
                write("HTTP/1.1 200 OK\r\nContent-Length: " + workerList.length() + "\r\n\r\n" + workerList);
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
            // no state to release
        }
    }

    /** The loopback address with this port. */
    public static InetSocketAddress loopbackAddress(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
