package hookweir.lab.lives;

import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.record.Checksums;
import hookweir.lab.record.EventSink;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * Two workers, one in each data centre, that follow the protocol by hand on blocking sockets. The first attempt of the job
 * that a scenario watches is held at its point until the scenario lets go.
 */
final class StubWorkerPair implements AutoCloseable {
    private static final int MAX_CALLBACK_ATTEMPTS = 10;
    private static final long CALLBACK_RETRY_MS = 150;
    private static final int LARGE_RESULT_BYTES = 60_000;
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    private static final String DECLINED = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

    private final Point point;
    private final String heldJobId;
    private final EventSink witness;
    private final int schedulerPort;
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final List<Socket> backlogFillers = new ArrayList<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    /** The watched job has got to its point. */
    final CountDownLatch pointReached = new CountDownLatch(1);
    /** What was held there goes on. */
    final CountDownLatch resumed = new CountDownLatch(1);
    /** The watched job's call-back has its answer, or has given up. */
    final CountDownLatch callbackDone = new CountDownLatch(1);
    private volatile boolean closed;

    /** Workers for a scenario in which the job of this id is held, round the scheduler on that port. */
    StubWorkerPair(Point point, String watched, int scheduler, EventSink witness) throws IOException {
        this.point = point;
        this.heldJobId = watched;
        this.schedulerPort = scheduler;
        this.witness = witness;
        for (int i = 0; i < 2; i++) {
            boolean shut = point == Point.DIALLING;
            ServerSocket door = new ServerSocket(0, shut ? 1 : 50, InetAddress.getLoopbackAddress());
            listeners.add(door);
            String name = name(i);
            witness.accept(Event.location(name, i == 0 ? "a" : "b", 0));
            if (shut) {
                fillBacklog(door);
            }
            startThread(() -> acceptConnections(door, name));
        }
    }

    static String name(int i) {
        return "s-0" + (i + 1);
    }

    int port(int i) {
        return listeners.get(i).getLocalPort();
    }

    private interface IoTask {
        void run() throws IOException, InterruptedException;
    }

    private static void startThread(IoTask work) {
        Thread t = new Thread(() -> {
            try {
                work.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException e) {
                return; // a connection that ended: whoever waits for it sees that
            }
        });
        t.setDaemon(true);
        t.start();
    }

    /** Takes all places of the backlog, so that the next connection does not come up. */
    private void fillBacklog(ServerSocket door) throws IOException {
        for (int i = 0; i < 8; i++) {
            Socket s = new Socket();
            backlogFillers.add(s);
            try {
                s.connect(door.getLocalSocketAddress(), 200);
            } catch (java.net.SocketTimeoutException e) {
                return; // full
            }
        }
        throw new IOException("the backlog of a worker could not be filled");
    }

    private void acceptConnections(ServerSocket door, String name) throws IOException, InterruptedException {
        if (point == Point.DIALLING) {
            resumed.await();
            for (Socket s : backlogFillers) {
                s.close();
            }
        }
        while (!closed) {
            Socket s = door.accept();
            connections.add(s);
            startThread(() -> serve(s, name));
        }
    }

    private void serve(Socket s, String name) throws IOException, InterruptedException {
        String unanswered = null;
        try (s) {
            for (BlockingHttp.Message m = BlockingHttp.readMessage(s.getInputStream()); m != null; m = BlockingHttp.readMessage(s.getInputStream())) {
                if (m.startLine().startsWith("POST ")) {
                    String id = BlockingHttp.header(m.head(), "Req-Id");
                    witness.accept(Event.of(Type.ATTEMPT, id, name, SchedulerProcess.SCHEDULER_NAME)
                        .checksum(Checksums.forwarded(m.head(), BlockingHttp.header(m.head(), "Idempotency-Key"), m.body())));
                    unanswered = id;
                    if (respond(s, id, name)) {
                        unanswered = null;
                    }
                } else if (m.startLine().startsWith("DELETE ")) {
                    String path = m.startLine().split(" ")[1];
                    witness.accept(Event.of(Type.CANCEL, path.substring(path.lastIndexOf('/') + 1), name, ""));
                    BlockingHttp.write(s, OK);
                } else {
                    BlockingHttp.write(s, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=8");
                }
            }
        } finally {
            connections.remove(s);
            if (unanswered != null) {
                witness.accept(Event.of(Type.CANCEL, unanswered, name, "")); // closed before the 202: given up
            }
        }
    }

    /** Answers an attempt by the point; false where its 202 is left out for now. */
    private boolean respond(Socket s, String id, String name) throws IOException {
        boolean holds = id.equals(heldJobId) && resumed.getCount() > 0;
        if (holds && point == Point.TAKEN_NOT_DRAWN) {
            witness.accept(Event.end(id, name, "returned", ""));
            BlockingHttp.write(s, DECLINED);
            pointReached.countDown();
            return true;
        }
        if (holds && point == Point.SENT_NO_202) {
            startThread(() -> {
                pointReached.countDown();
                resumed.await();
                witness.accept(Event.end(id, name, "done", "r-" + id));
                try {
                    BlockingHttp.write(s, ACCEPTED);
                } finally {
                    sendCallback(id, name, "r-" + id);
                }
            });
            return false;
        }
        BlockingHttp.write(s, ACCEPTED);
        String result = id.equals(heldJobId) && point == Point.ANSWER_HALF_WRITTEN ? "R".repeat(LARGE_RESULT_BYTES) : "r-" + id;
        startThread(() -> {
            if (holds && (point == Point.AFTER_202 || point == Point.LIST_MID_LINE || point == Point.CONFIGURATION_HALF_WRITTEN
                    || point.needsSecondProcess())) {
                pointReached.countDown();
                resumed.await();
            }
            witness.accept(Event.end(id, name, "done", Checksums.body(result.getBytes(StandardCharsets.US_ASCII))));
            sendCallback(id, name, result);
        });
        return true;
    }

    /** Tells the end of a job until it has an answer, ten times at most. */
    private void sendCallback(String id, String name, String result) throws InterruptedException {
        String body = "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"done\",\"result\":\"" + result + "\"}";
        String call = "POST /callback HTTP/1.1\r\nHost: s\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try {
            for (int tries = 0; tries < MAX_CALLBACK_ATTEMPTS && !closed; tries++) {
                boolean holds = id.equals(heldJobId) && point == Point.CALL_BACK_HALF_READ && resumed.getCount() > 0;
                int half = holds ? call.length() - body.length() / 2 : call.length();
                try (Socket s = new Socket(InetAddress.getLoopbackAddress(), schedulerPort)) {
                    s.setSoTimeout(5000);
                    BlockingHttp.write(s, call.substring(0, half));
                    if (holds) {
                        pointReached.countDown();
                        resumed.await();
                        BlockingHttp.write(s, call.substring(half));
                    }
                    BlockingHttp.Message m = BlockingHttp.readMessage(s.getInputStream());
                    if (m != null) {
                        witness.accept(Event.of(Type.CALL, id, name, "").number(Integer.parseInt(m.startLine().split(" ")[1])));
                        return;
                    }
                } catch (IOException e) {
                    Thread.sleep(CALLBACK_RETRY_MS);
                    continue;
                }
                Thread.sleep(CALLBACK_RETRY_MS);
            }
        } finally {
            if (id.equals(heldJobId)) {
                callbackDone.countDown();
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        resumed.countDown();
        for (ServerSocket d : listeners) {
            d.close();
        }
        for (Socket s : connections) {
            s.close();
        }
        for (Socket s : backlogFillers) {
            s.close();
        }
    }
}
