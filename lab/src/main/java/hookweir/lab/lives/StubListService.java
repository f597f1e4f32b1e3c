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

/** Discovery by hand: the list of two workers, which can be held back, and a watch that can stop in mid-line. */
final class StubListService implements AutoCloseable {
    private static final int WORKERS = 2;
    private static final long HEARTBEAT_MS = 2000;
    /** So long a call waits in the queue before it is refused. */
    private static final long REJECT_DELAY_MS = 1000;

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final StubWorkerPair workers;
    private final EventSink witness;
    private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
    /** Whoever asks for the list waits for this. */
    private volatile CountDownLatch responseGate = new CountDownLatch(0);
    /** Somebody waits at the gate. */
    private volatile CountDownLatch requestWaiting = new CountDownLatch(1);
    private volatile boolean secondDraining;
    /** All workers drain, and not the second one alone. */
    private volatile boolean allDraining;
    /** Calls wait in a queue that is too long, and are refused. */
    private volatile boolean overloaded;

    StubListService(StubWorkerPair workers, EventSink witness) throws IOException {
        this.workers = workers;
        this.witness = witness;
        Thread t = new Thread(() -> {
            try {
                while (true) {
                    Socket s = listener.accept();
                    Thread one = new Thread(() -> serve(s));
                    one.setDaemon(true);
                    one.start();
                }
            } catch (IOException e) {
                return; // closed
            }
        });
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** The list, in discovery's form. */
    String listJson() {
        return "{\"version\":" + (secondDraining ? 2 : 1) + ",\"full\":true,\"servers\":[" + entryJson(0, allDraining ? "DRAINING" : "SERVING") + ","
            + entryJson(1, secondDraining ? "DRAINING" : "SERVING") + "]}";
    }

    private String entryJson(int i, String state) {
        return "{\"id\":\"" + StubWorkerPair.name(i) + "\",\"addr\":\"127.0.0.1:" + workers.port(i) + "\",\"zone\":\"" + (i == 0 ? "a" : "b")
            + "\",\"kind\":\"m\",\"cell\":0,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** From now on whoever asks waits. */
    void holdResponses() {
        requestWaiting = new CountDownLatch(1);
        responseGate = new CountDownLatch(1);
    }

    /** Waits until somebody waits. */
    void awaitRequest() throws InterruptedException {
        requestWaiting.await();
    }

    void releaseResponses() {
        responseGate.countDown();
    }

    /** The second worker drains; half of the line that tells it goes to those who watch. The rest never comes. */
    void drainSecondMidLine() throws IOException {
        secondDraining = true;
        witness.accept(Event.of(Type.DRAIN, "", StubWorkerPair.name(1), SchedulerProcess.SCHEDULER_NAME).notified(false));
        String line = "{\"version\":2,\"full\":false,\"servers\":[" + entryJson(1, "DRAINING") + "]}\n";
        for (Socket s : watches) {
            BlockingHttp.write(s, Integer.toHexString(line.length()) + "\r\n" + line.substring(0, line.length() / 2));
        }
    }

    /** All workers drain; the service can be reached, but whoever asks is refused after a wait: nobody hears of it until {@link #respondAgain}. */
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

    /** Calls are answered again. */
    void respondAgain() {
        overloaded = false;
    }

    private void serve(Socket s) {
        try (s) {
            for (BlockingHttp.Message m = BlockingHttp.readMessage(s.getInputStream()); m != null; m = BlockingHttp.readMessage(s.getInputStream())) {
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
                if (!m.startLine().contains("watch=1")) {
                    BlockingHttp.write(s, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                    continue;
                }
                BlockingHttp.write(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n");
                watches.add(s);
                boolean held = secondDraining; // one told so far is not beaten at in mid-line
                while (held == secondDraining) {
                    Thread.sleep(HEARTBEAT_MS);
                    if (held == secondDraining) {
                        BlockingHttp.write(s, "1\r\n\n\r\n");
                    }
                }
                s.getInputStream().read(); // held in mid-line until its reader leaves
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
