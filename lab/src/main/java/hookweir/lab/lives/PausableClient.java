package hookweir.lab.lives;

import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.record.Checksums;
import hookweir.lab.record.EventSink;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

/** A client that sends one request and can pause while it writes the request or reads the response. */
final class PausableClient {
    /** How a request ended from the client's point of view. */
    enum Outcome { NOT_ASKED, SERVED, REFUSED, FAILED, LOST, NOTHING }

    static final long DEADLINE_MS = 6000;
    /** The client waits slightly longer than the deadline, so that a response sent in time is still read. */
    private static final long READ_TIMEOUT_MS = DEADLINE_MS + 300;
    private static final String BODY = "work to be done";

    private final Socket socket;
    private final EventSink witness;
    private final String id;
    private final String kind;
    private final Point point;
    private final String request;
    /** Counted down once the client has paused at its point. */
    final CountDownLatch pointReached = new CountDownLatch(1);
    /** Counted down to let a paused client continue. */
    private final CountDownLatch resumed = new CountDownLatch(1);
    private volatile boolean abandoned;
    private volatile Outcome outcome = Outcome.NOT_ASKED;
    private final Thread thread;

    /**
     * Connects and sends the request in its own thread. At HEAD_HALF_READ, BODY_HALF_READ and ANSWER_HALF_WRITTEN the client pauses
     * until {@link #resume} is called.
     */
    PausableClient(int port, String id, String kind, Point point, EventSink witness) throws IOException {
        this.id = id;
        this.kind = kind;
        this.point = point;
        this.witness = witness;
        request = "POST /api/7f3a HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline-Ms: " + DEADLINE_MS
            + (kind.equals("load-order") ? "\r\nIdempotency-Key: k-" + id : "") + "\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        thread = new Thread(this::sendAndReceive, "client " + id);
        thread.setDaemon(true);
        thread.start();
    }

    private void sendAndReceive() {
        try (socket) {
            int half = point == Point.HEAD_HALF_READ ? request.indexOf("Req-Kind") : request.length() - BODY.length() / 2;
            if (point != null && point.isRequestIncomplete()) {
                BlockingHttp.write(socket, request.substring(0, half));
                pointReached.countDown();
                resumed.await();
                if (abandoned) {
                    return;
                }
                recordRequest();
                BlockingHttp.write(socket, request.substring(half));
            } else {
                recordRequest();
                BlockingHttp.write(socket, request);
            }
            readResponse();
        } catch (IOException e) {
            recordLost();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void recordRequest() {
        String key = kind.equals("load-order") ? "k-" + id : null;
        witness.accept(Event.ask(id, SchedulerProcess.SCHEDULER_NAME, kind, DEADLINE_MS,
            Checksums.forwarded(request, key, BODY.getBytes(StandardCharsets.US_ASCII))));
        outcome = Outcome.NOTHING;
    }

    private void readResponse() throws IOException, InterruptedException {
        socket.setSoTimeout((int) READ_TIMEOUT_MS);
        InputStream in = socket.getInputStream();
        try {
            BlockingHttp.Message response;
            if (point == Point.ANSWER_HALF_WRITTEN) {
                byte[] part = in.readNBytes(1000);
                pointReached.countDown();
                resumed.await();
                response = BlockingHttp.readMessage(new java.io.SequenceInputStream(new java.io.ByteArrayInputStream(part), in));
            } else {
                response = BlockingHttp.readMessage(in);
            }
            if (response == null) {
                recordLost();
                return;
            }
            int status = Integer.parseInt(response.startLine().split(" ")[1]);
            String retryAfter = BlockingHttp.header(response.head(), "Retry-After");
            witness.accept(Event.of(Type.ANSWER, id, "", "").withResponse(status, Checksums.body(response.body())).retryAfter(retryAfter == null
                ? "" : retryAfter));
            outcome = status == 200 ? Outcome.SERVED : status == 429 || status == 503 ? Outcome.REFUSED : Outcome.FAILED;
        } catch (SocketTimeoutException e) {
            witness.accept(Event.of(Type.GONE, id, "", "")); // no response by 0.3 s after the deadline
        }
    }

    /** Records that the connection closed before a complete response arrived. */
    private void recordLost() {
        if (outcome == Outcome.NOTHING) {
            witness.accept(Event.cut(id, false));
            outcome = Outcome.LOST;
        }
    }

    /** Lets a paused client continue. */
    void resume() {
        resumed.countDown();
    }

    /** Ends a paused client; a request that is only half written is never completed. */
    void abandon() {
        abandoned = true;
        resumed.countDown();
    }

    /** Waits until the client has finished and returns how its request ended. */
    Outcome awaitOutcome() throws InterruptedException {
        thread.join();
        return outcome;
    }
}
