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
 * Two stub workers, one in each data centre, which implement the worker protocol on blocking sockets. The first attempt of the job that a
 * scenario selects is held at the scenario's point until the scenario resumes it.
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
    /** Counted down when the selected job has reached its point. */
    final CountDownLatch pointReached = new CountDownLatch(1);
    /** Counted down to let the held job continue. */
    final CountDownLatch resumed = new CountDownLatch(1);
    /** Counted down when the selected job's callback got a response or was abandoned. */
    final CountDownLatch callbackDone = new CountDownLatch(1);
    private volatile boolean closed;

    /** Starts the workers of a scenario that holds the job with this id; callbacks go to the scheduler on {@code schedulerPort}. */
    StubWorkerPair(Point point, String heldJobId, int schedulerPort, EventSink witness) throws IOException {
        this.point = point;
        this.heldJobId = heldJobId;
        this.schedulerPort = schedulerPort;
        this.witness = witness;
        for (int i = 0; i < 2; i++) {
            boolean backlogFull = point == Point.DIALLING;
            ServerSocket listener = new ServerSocket(0, backlogFull ? 1 : 50, InetAddress.getLoopbackAddress());
            listeners.add(listener);
            String name = name(i);
            witness.accept(Event.location(name, i == 0 ? "a" : "b", 0));
            if (backlogFull) {
                fillBacklog(listener);
            }
            startThread(() -> acceptConnections(listener, name));
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

    private static void startThread(IoTask task) {
        Thread t = new Thread(() -> {
            try {
                task.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException e) {
                return; // the connection ended; whoever waits for the job notices that
            }
        });
        t.setDaemon(true);
        t.start();
    }

    /** Fills the listen backlog, so that the next connection is not established. */
    private void fillBacklog(ServerSocket listener) throws IOException {
        for (int i = 0; i < 8; i++) {
            Socket s = new Socket();
            backlogFillers.add(s);
            try {
                s.connect(listener.getLocalSocketAddress(), 200);
            } catch (java.net.SocketTimeoutException e) {
                return; // the backlog is full
            }
        }
        throw new IOException("the listen backlog of a worker could not be filled");
    }

    private void acceptConnections(ServerSocket listener, String name) throws IOException, InterruptedException {
        if (point == Point.DIALLING) {
            resumed.await();
            for (Socket s : backlogFillers) {
                s.close();
            }
        }
        while (!closed) {
            Socket s = listener.accept();
            connections.add(s);
            startThread(() -> serve(s, name));
        }
    }

    private void serve(Socket s, String name) throws IOException, InterruptedException {
        String pendingId = null;
        try (s) {
            for (BlockingHttp.Message request = BlockingHttp.readMessage(s.getInputStream()); request != null;
                    request = BlockingHttp.readMessage(s.getInputStream())) {
                if (request.startLine().startsWith("POST ")) {
                    String id = BlockingHttp.header(request.head(), "Req-Id");
                    witness.accept(Event.of(Type.ATTEMPT, id, name, SchedulerProcess.SCHEDULER_NAME)
                        .checksum(Checksums.forwarded(request.head(), BlockingHttp.header(request.head(), "Idempotency-Key"), request.body())));
                    pendingId = id;
                    if (respond(s, id, name)) {
                        pendingId = null;
                    }
                } else if (request.startLine().startsWith("DELETE ")) {
                    String path = request.startLine().split(" ")[1];
                    witness.accept(Event.of(Type.CANCEL, path.substring(path.lastIndexOf('/') + 1), name, ""));
                    BlockingHttp.write(s, OK);
                } else {
                    BlockingHttp.write(s, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=8");
                }
            }
        } finally {
            connections.remove(s);
            if (pendingId != null) {
                witness.accept(Event.of(Type.CANCEL, pendingId, name, "")); // closed before the 202: the scheduler abandoned the attempt
            }
        }
    }

    /** Responds to an attempt as the point requires; returns false if the 202 is withheld for now. */
    private boolean respond(Socket s, String id, String name) throws IOException {
        boolean held = id.equals(heldJobId) && resumed.getCount() > 0;
        if (held && point == Point.TAKEN_NOT_DRAWN) {
            witness.accept(Event.end(id, name, "returned", ""));
            BlockingHttp.write(s, DECLINED);
            pointReached.countDown();
            return true;
        }
        if (held && point == Point.SENT_NO_202) {
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
            if (held && (point == Point.AFTER_202 || point == Point.LIST_MID_LINE || point == Point.CONFIGURATION_HALF_WRITTEN
                    || point.needsSecondProcess())) {
                pointReached.countDown();
                resumed.await();
            }
            witness.accept(Event.end(id, name, "done", Checksums.body(result.getBytes(StandardCharsets.US_ASCII))));
            sendCallback(id, name, result);
        });
        return true;
    }

    /** Sends the callback that ends a job, at most {@link #MAX_CALLBACK_ATTEMPTS} times, until it gets a response. */
    private void sendCallback(String id, String name, String result) throws InterruptedException {
        String body = "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"done\",\"result\":\"" + result + "\"}";
        String request = "POST /callback HTTP/1.1\r\nHost: s\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try {
            for (int attempts = 0; attempts < MAX_CALLBACK_ATTEMPTS && !closed; attempts++) {
                boolean held = id.equals(heldJobId) && point == Point.CALL_BACK_HALF_READ && resumed.getCount() > 0;
                int half = held ? request.length() - body.length() / 2 : request.length();
                try (Socket s = new Socket(InetAddress.getLoopbackAddress(), schedulerPort)) {
                    s.setSoTimeout(5000);
                    BlockingHttp.write(s, request.substring(0, half));
                    if (held) {
                        pointReached.countDown();
                        resumed.await();
                        BlockingHttp.write(s, request.substring(half));
                    }
                    BlockingHttp.Message response = BlockingHttp.readMessage(s.getInputStream());
                    if (response != null) {
                        witness.accept(Event.of(Type.CALL, id, name, "").number(Integer.parseInt(response.startLine().split(" ")[1])));
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
