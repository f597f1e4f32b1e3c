package hookweir.lab.lives;

import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.record.EventSink;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/** A list service with two workers whose responses can be held back, and whose watch can stop in the middle of a line. */
final class StubListService implements AutoCloseable {
    private static final int WORKERS = 2;
    private static final long HEARTBEAT_MS = 2000;
    /** While overloaded, the service rejects each request after this delay. */
    private static final long REJECT_DELAY_MS = 1000;

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final StubWorkerPair workers;
    private final EventSink witness;
    private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
    /** Every response waits for this latch. */
    private volatile CountDownLatch responseGate = new CountDownLatch(0);
    /** Counted down when a request waits for {@link #responseGate}. */
    private volatile CountDownLatch requestWaiting = new CountDownLatch(1);
    /** The second worker drains, and possibly the first as well. */
    private volatile boolean secondDraining;
    /** Both workers drain. */
    private volatile boolean allDraining;
    /** Requests are rejected after {@link #REJECT_DELAY_MS}, as by a service whose queue is too long. */
    private volatile boolean overloaded;

    StubListService(StubWorkerPair workers, EventSink witness) throws IOException {
        this.workers = workers;
        this.witness = witness;
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    Socket s = listener.accept();
                    Thread connection = new Thread(() -> serve(s));
                    connection.setDaemon(true);
                    connection.start();
                }
            } catch (IOException e) {
                return; // the listener was closed
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** The worker list in the format of the list service. */
    String listJson() {
        return "{\"version\":" + (secondDraining ? 2 : 1) + ",\"full\":true,\"servers\":[" + entryJson(0, allDraining ? "DRAINING" : "SERVING") + ","
            + entryJson(1, secondDraining ? "DRAINING" : "SERVING") + "]}";
    }

    private String entryJson(int i, String state) {
        return "{\"id\":\"" + StubWorkerPair.name(i) + "\",\"addr\":\"127.0.0.1:" + workers.port(i) + "\",\"zone\":\"" + (i == 0 ? "a" : "b")
            + "\",\"kind\":\"m\",\"cell\":0,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** Holds back all responses until {@link #releaseResponses}. */
    void holdResponses() {
        requestWaiting = new CountDownLatch(1);
        responseGate = new CountDownLatch(1);
    }

    /** Waits until a request waits for its response. */
    void awaitRequest() throws InterruptedException {
        requestWaiting.await();
    }

    void releaseResponses() {
        responseGate.countDown();
    }

    /** Marks the second worker as draining and sends each open watch the first half of the update line. The second half is never sent. */
    void drainSecondMidLine() throws IOException {
        secondDraining = true;
        witness.accept(Event.of(Type.DRAIN, "", StubWorkerPair.name(1), SchedulerProcess.SCHEDULER_NAME).notified(false));
        String line = "{\"version\":2,\"full\":false,\"servers\":[" + entryJson(1, "DRAINING") + "]}\n";
        for (Socket s : watches) {
            BlockingHttp.write(s, Integer.toHexString(line.length()) + "\r\n" + line.substring(0, line.length() / 2));
        }
    }

    /**
     * Marks all workers as draining while the service accepts connections but rejects each request after a delay. No scheduler receives
     * the update until {@link #respondAgain}.
     */
    void drainAllWhileOverloaded() throws IOException {
        overloaded = true;
        allDraining = true;
        secondDraining = true;
        for (int i = 0; i < WORKERS; i++) {
            witness.accept(Event.of(Type.DRAIN, "", StubWorkerPair.name(i), SchedulerProcess.SCHEDULER_NAME).notified(false));
        }
        for (Socket s : watches) {
            s.close();
        }
    }

    /** Ends the overload: requests get the list again. */
    void respondAgain() {
        overloaded = false;
    }

    private void serve(Socket s) {
        try (s) {
            for (BlockingHttp.Message request = BlockingHttp.readMessage(s.getInputStream()); request != null;
                    request = BlockingHttp.readMessage(s.getInputStream())) {
                if (responseGate.getCount() > 0) {
                    requestWaiting.countDown();
                    responseGate.await();
                }
                if (overloaded) {
                    Thread.sleep(REJECT_DELAY_MS);
                    BlockingHttp.write(s, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                String list = listJson();
                if (secondDraining) {
                    witness.accept(Event.of(Type.DRAIN, "", StubWorkerPair.name(1), SchedulerProcess.SCHEDULER_NAME));
                }
                if (!request.startLine().contains("watch=1")) {
                    BlockingHttp.write(s, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                    continue;
                }
                BlockingHttp.write(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n");
                watches.add(s);
                boolean sentDraining = secondDraining; // no heartbeat is sent into a half-written line
                while (sentDraining == secondDraining) {
                    Thread.sleep(HEARTBEAT_MS);
                    if (sentDraining == secondDraining) {
                        BlockingHttp.write(s, "1\r\n\n\r\n");
                    }
                }
                s.getInputStream().read(); // keeps the half-written line open until the scheduler closes the connection
            }
        } catch (IOException | InterruptedException e) {
            watches.remove(s);
        }
    }

    @Override
    public void close() throws IOException {
        responseGate.countDown();
        listener.close();
        for (Socket s : watches) {
            s.close();
        }
    }
}
