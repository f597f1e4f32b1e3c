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

/** A client with one request, which can stop in the midst of writing it or of reading its answer. */
final class Asker {
    /** How a request ended for its client. */
    enum End { NOT_ASKED, SERVED, REFUSED, FAILED, LOST, NOTHING }

    static final long DEADLINE_MS = 6000;
    private static final long PATIENCE_MS = DEADLINE_MS + 300;
    private static final String BODY = "work to be done";

    private final Socket socket;
    private final EventSink witness;
    private final String id;
    private final String kind;
    private final Point point;
    private final String request;
    /** It has got to its point. */
    final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch goesOn = new CountDownLatch(1);
    private volatile boolean gaveUp;
    private volatile End end = End.NOT_ASKED;
    private final Thread thread;

    /** Begins; at HEAD_HALF_READ, BODY_HALF_READ and ANSWER_HALF_WRITTEN it waits there until {@link #goOn}. */
    Asker(int port, String id, String kind, Point point, EventSink witness) throws IOException {
        this.id = id;
        this.kind = kind;
        this.point = point;
        this.witness = witness;
        request = "POST /api/7f3a HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline-Ms: " + DEADLINE_MS
            + (kind.equals("load-order") ? "\r\nIdempotency-Key: k-" + id : "") + "\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        thread = new Thread(this::run, "client " + id);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try (socket) {
            int half = point == Point.HEAD_HALF_READ ? request.indexOf("Req-Kind") : request.length() - BODY.length() / 2;
            if (point != null && point.halfAsked()) {
                Wires.say(socket, request.substring(0, half));
                reached.countDown();
                goesOn.await();
                if (gaveUp) {
                    return;
                }
                asked();
                Wires.say(socket, request.substring(half));
            } else {
                asked();
                Wires.say(socket, request);
            }
            reads();
        } catch (IOException e) {
            lost();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void asked() {
        String key = kind.equals("load-order") ? "k-" + id : null;
        witness.accept(Event.ask(id, Life.NAME, kind, DEADLINE_MS,
            Checksums.forwarded(request, key, BODY.getBytes(StandardCharsets.US_ASCII))));
        end = End.NOTHING;
    }

    private void reads() throws IOException, InterruptedException {
        socket.setSoTimeout((int) PATIENCE_MS);
        InputStream in = socket.getInputStream();
        try {
            Wires.Message m;
            if (point == Point.ANSWER_HALF_WRITTEN) {
                byte[] part = in.readNBytes(1000);
                reached.countDown();
                goesOn.await();
                m = Wires.hear(new java.io.SequenceInputStream(new java.io.ByteArrayInputStream(part), in));
            } else {
                m = Wires.hear(in);
            }
            if (m == null) {
                lost();
                return;
            }
            int status = Integer.parseInt(m.first().split(" ")[1]);
            String advice = Wires.header(m.head(), "Retry-After");
            witness.accept(Event.of(Type.ANSWER, id, "", "").withResponse(status, Checksums.body(m.body())).retryAfter(advice == null ? "" : advice));
            end = status == 200 ? End.SERVED : status == 429 || status == 503 ? End.REFUSED : End.FAILED;
        } catch (SocketTimeoutException e) {
            witness.accept(Event.of(Type.GONE, id, "", "")); // long after its deadline
        }
    }

    /** The connection ended with no whole answer. */
    private void lost() {
        if (end == End.NOTHING) {
            witness.accept(Event.cut(id, false));
            end = End.LOST;
        }
    }

    /** Goes on with what it held back. */
    void goOn() {
        goesOn.countDown();
    }

    /** Leaves what it has not asked yet unasked. */
    void giveUp() {
        gaveUp = true;
        goesOn.countDown();
    }

    /** What came of it. */
    End end() throws InterruptedException {
        thread.join();
        return end;
    }
}
