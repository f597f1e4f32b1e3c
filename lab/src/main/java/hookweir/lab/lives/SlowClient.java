package hookweir.lab.lives;

import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.record.Checksums;
import hookweir.lab.record.EventSink;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A client that writes its request in two parts, at given times, on a thread of its own. A request counts as sent with its last byte, unless
 * the client has a response by then.
 */
final class SlowClient extends Thread {
    /** The first part of a request contains it. */
    private static final String REQUEST_LINE = "POST /api/7f3a HTTP/1.1\r\n";
    private static final String BODY = "work to be done";
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** The client waits slightly longer than its deadline, so that a response sent in time is still read. */
    private static final int EXTRA_WAIT_MS = 300;
    private static final long NS_PER_MS = 1_000_000;

    private final int port;
    private final String id;
    private final String kind;
    private final long deadlineMs;
    private final long connectNs;
    private final long completeNs;
    private final EventSink witness;
    private final String request;

    /** Prepares a request; times are by {@link System#nanoTime}. */
    SlowClient(int port, String id, String kind, long deadlineMs, long connectNs, long completeNs, EventSink witness) {
        super("slow client " + id);
        setDaemon(true);
        this.port = port;
        this.id = id;
        this.kind = kind;
        this.deadlineMs = deadlineMs;
        this.connectNs = connectNs;
        this.completeNs = completeNs;
        this.witness = witness;
        request = REQUEST_LINE + "Host: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline-Ms: " + deadlineMs
            + "\r\nIdempotency-Key: " + key() + "\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;
    }

    private String key() {
        return "k-" + id;
    }

    @Override
    public void run() {
        try (Socket socket = new Socket()) {
            sleepUntil(connectNs);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            int half = REQUEST_LINE.length() + Math.floorMod(id.hashCode(), request.length() - REQUEST_LINE.length());
            BlockingHttp.write(socket, request.substring(0, half));
            sleepUntil(completeNs);
            if (!hasInput(socket)) {
                complete(socket, request.substring(half));
            }
        } catch (IOException e) {
            return; // the connection ended, or was not made, before the request was complete
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long ns) throws InterruptedException {
        long leftNs = ns - System.nanoTime();
        if (leftNs > 0) {
            Thread.sleep(leftNs / NS_PER_MS, (int) (leftNs % NS_PER_MS));
        }
    }

    /** Whether a response or the end of the connection has arrived. */
    private static boolean hasInput(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            socket.getInputStream().read();
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        }
    }

    private void complete(Socket socket, String rest) {
        witness.accept(Event.ask(id, SchedulerProcess.SCHEDULER_NAME, kind, deadlineMs,
            Checksums.forwarded(request, key(), BODY.getBytes(StandardCharsets.US_ASCII))));
        try {
            BlockingHttp.write(socket, rest);
        } catch (IOException e) {
            // A response may have arrived before the connection ended.
        }
        try {
            socket.setSoTimeout((int) deadlineMs + EXTRA_WAIT_MS);
            readResponse(socket.getInputStream());
        } catch (java.net.SocketTimeoutException e) {
            witness.accept(Event.of(Type.GONE, id, "", ""));
        } catch (IOException e) {
            witness.accept(Event.cut(id, false));
        }
    }

    private void readResponse(InputStream in) throws IOException {
        BlockingHttp.Message response = BlockingHttp.readMessage(in);
        if (response == null) {
            throw new IOException("no response");
        }
        String retryAfter = BlockingHttp.header(response.head(), "Retry-After");
        witness.accept(Event.of(Type.ANSWER, id, "", "").withResponse(Integer.parseInt(response.startLine().split(" ")[1]),
            Checksums.body(response.body())).retryAfter(retryAfter == null ? "" : retryAfter));
    }
}
