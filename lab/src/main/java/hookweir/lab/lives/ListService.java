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
final class ListService implements AutoCloseable {
    private static final int WORKERS = 2;
    private static final long BEAT_MS = 2000;
    /** So long a call waits in the queue before it is refused. */
    private static final long QUEUED_MS = 1000;

    private final ServerSocket door = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Workers workers;
    private final EventSink witness;
    private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
    /** Whoever asks for the list waits for this. */
    private volatile CountDownLatch gate = new CountDownLatch(0);
    /** Somebody waits at the gate. */
    private volatile CountDownLatch atGate = new CountDownLatch(1);
    private volatile boolean drains;
    /** All workers drain, and not the second one alone. */
    private volatile boolean drainsAll;
    /** Calls wait in a queue that is too long, and are refused. */
    private volatile boolean busy;

    ListService(Workers workers, EventSink witness) throws IOException {
        this.workers = workers;
        this.witness = witness;
        Thread t = new Thread(() -> {
            try {
                while (true) {
                    Socket s = door.accept();
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
        return door.getLocalPort();
    }

    /** The list, in discovery's form. */
    String list() {
        return "{\"version\":" + (drains ? 2 : 1) + ",\"full\":true,\"servers\":[" + entry(0, drainsAll ? "DRAINING" : "SERVING") + ","
            + entry(1, drains ? "DRAINING" : "SERVING") + "]}";
    }

    private String entry(int i, String state) {
        return "{\"id\":\"" + Workers.name(i) + "\",\"addr\":\"127.0.0.1:" + workers.port(i) + "\",\"zone\":\"" + (i == 0 ? "a" : "b")
            + "\",\"kind\":\"m\",\"cell\":0,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** From now on whoever asks waits. */
    void holds() {
        atGate = new CountDownLatch(1);
        gate = new CountDownLatch(1);
    }

    /** Waits until somebody waits. */
    void awaitAsked() throws InterruptedException {
        atGate.await();
    }

    void letsGo() {
        gate.countDown();
    }

    /** The second worker drains; half of the line that tells it goes to those who watch. The rest never comes. */
    void drainsInMidLine() throws IOException {
        drains = true;
        witness.accept(Event.of(Type.DRAIN, "", Workers.name(1), Life.NAME).notified(false));
        String line = "{\"version\":2,\"full\":false,\"servers\":[" + entry(1, "DRAINING") + "]}\n";
        for (Socket s : watches) {
            Wires.say(s, Integer.toHexString(line.length()) + "\r\n" + line.substring(0, line.length() / 2));
        }
    }

    /** All workers drain; the service can be reached, but whoever asks is refused after a wait: nobody hears of it until {@link #answers}. */
    void drainsAllWhileBusy() throws IOException {
        busy = true;
        drainsAll = true;
        drains = true;
        for (int i = 0; i < WORKERS; i++) {
            witness.accept(Event.of(Type.DRAIN, "", Workers.name(i), Life.NAME).notified(false));
        }
        for (Socket s : watches) {
            s.close();
        }
    }

    /** Calls are answered again. */
    void answers() {
        busy = false;
    }

    private void serve(Socket s) {
        try (s) {
            for (Wires.Message m = Wires.hear(s.getInputStream()); m != null; m = Wires.hear(s.getInputStream())) {
                if (gate.getCount() > 0) {
                    atGate.countDown();
                    gate.await();
                }
                if (busy) {
                    Thread.sleep(QUEUED_MS);
                    Wires.say(s, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                String list = list();
                if (drains) {
                    witness.accept(Event.of(Type.DRAIN, "", Workers.name(1), Life.NAME));
                }
                if (!m.first().contains("watch=1")) {
                    Wires.say(s, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                    continue;
                }
                Wires.say(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n");
                watches.add(s);
                boolean held = drains; // one told so far is not beaten at in mid-line
                while (held == drains) {
                    Thread.sleep(BEAT_MS);
                    if (held == drains) {
                        Wires.say(s, "1\r\n\n\r\n");
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
        gate.countDown();
        door.close();
        for (Socket s : watches) {
            s.close();
        }
    }
}
