package hookweir.lab.standin;

import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.net.HttpConnection;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.EventSink;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Sends stub workers' callbacks to the scheduler. As the protocol requires, each is repeated until it gets a response, at most ten times.
 * Used only on its {@link Reactor}'s thread, but for the figures.
 */
final class StubCallbacks {
    private static final int MAX_ATTEMPTS = 10;
    private static final long RETRY_DELAY_NS = 100_000_000L;
    private static final long MAX_LATENCY_MINUTES = 2;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Reactor reactor;
    private final boolean freshConnections;
    private final EventSink events;
    private final Deque<CallbackConnection> idleConnections = new ArrayDeque<>();
    private final Histogram latencyUs = new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(MAX_LATENCY_MINUTES), SIGNIFICANT_DIGITS);
    private InetSocketAddress scheduler;
    private volatile long dropped;

    /**
     * Creates a sender of callbacks.
     *
     * @param freshConnections each callback uses a new connection
     * @param events           receives each response
     */
    StubCallbacks(Reactor reactor, boolean freshConnections, EventSink events) {
        this.reactor = reactor;
        this.freshConnections = freshConnections;
        this.events = events;
    }

    /** Sets the scheduler that callbacks are sent to. */
    void setScheduler(InetSocketAddress newScheduler) {
        scheduler = newScheduler;
        idleConnections.clear();
    }

    /** Time from each job's end to the response to its callback, in µs. */
    Histogram latencyUs() {
        return latencyUs;
    }

    /** Callbacks abandoned without a response. */
    long dropped() {
        return dropped;
    }

    /** Reports that a job is done, with its result. */
    void sendDone(String id, String worker, byte[] result) {
        String body = "{\"id\":\"" + id + "\",\"from\":\"" + worker + "\",\"state\":\"done\",\"result\":\""
            + new String(result, StandardCharsets.US_ASCII) + "\"}";
        CallbackConnection connection = freshConnections ? null : idleConnections.pollFirst();
        while (connection != null && connection.isClosed()) {
            connection = idleConnections.pollFirst();
        }
        if (connection == null) {
            connection = new CallbackConnection();
            reactor.connect(scheduler, connection);
        }
        connection.send(new Callback(id, worker, body, System.nanoTime()), 0);
    }

    /** A callback, and when its job ended. */
    private record Callback(String id, String worker, String body, long jobEndNs) {
    }

    /** A connection for callbacks, one at a time. */
    private final class CallbackConnection extends HttpConnection {
        /** The callback that was sent last. */
        private Callback callback;
        private boolean awaitingResponse;
        private int failedAttempts;

        void send(Callback next, int earlierFailures) {
            callback = next;
            awaitingResponse = true;
            failedAttempts = earlierFailures;
            write("POST /callback HTTP/1.1\r\nHost: s\r\nContent-Type: application/json\r\nContent-Length: " + callback.body.length()
                + "\r\n\r\n" + callback.body);
        }

        @Override
        protected void onMessage(String head, byte[] body) {
            awaitingResponse = false;
            if (events.isEnabled()) {
                events.accept(Event.of(Type.CALL, callback.id, callback.worker, "").number(Integer.parseInt(head.substring(9, 12))));
            }
            latencyUs.recordValue(Math.min(latencyUs.getHighestTrackableValue(), (System.nanoTime() - callback.jobEndNs) / 1000));
            if (freshConnections || head.contains("onnection: close")) {
                close();
            } else {
                idleConnections.addFirst(this);
            }
        }

        @Override
        protected void onClosed() {
            if (!awaitingResponse) {
                return;
            }
            if (++failedAttempts == MAX_ATTEMPTS) {
                dropped++;
                return;
            }
            CallbackConnection retry = new CallbackConnection();
            reactor.schedule(System.nanoTime() + RETRY_DELAY_NS, () -> {
                reactor.connect(scheduler, retry);
                retry.send(callback, failedAttempts);
            });
        }
    }
}
