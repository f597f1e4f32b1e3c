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
final class Workers implements AutoCloseable {
    private static final int MOST_TRIES = 10;
    private static final long AGAIN_MS = 150;
    private static final int BIG_RESULT = 60_000;
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String TAKEN = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    private static final String DECLINED = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

    private final Point point;
    private final String watched;
    private final EventSink witness;
    private final int scheduler;
    private final List<ServerSocket> doors = new ArrayList<>();
    private final List<Socket> crowd = new ArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    /** The watched job has got to its point. */
    final CountDownLatch reached = new CountDownLatch(1);
    /** What was held there goes on. */
    final CountDownLatch letGo = new CountDownLatch(1);
    /** The watched job's call-back has its answer, or has given up. */
    final CountDownLatch told = new CountDownLatch(1);
    private volatile boolean closed;

    /** Workers for a scenario in which the job of this id is held, round the scheduler on that port. */
    Workers(Point point, String watched, int scheduler, EventSink witness) throws IOException {
        this.point = point;
        this.watched = watched;
        this.scheduler = scheduler;
        this.witness = witness;
        for (int i = 0; i < 2; i++) {
            boolean shut = point == Point.DIALLING;
            ServerSocket door = new ServerSocket(0, shut ? 1 : 50, InetAddress.getLoopbackAddress());
            doors.add(door);
            String name = name(i);
            witness.accept(Event.location(name, i == 0 ? "a" : "b", 0));
            if (shut) {
                fill(door);
            }
            thread(() -> admit(door, name));
        }
    }

    static String name(int i) {
        return "s-0" + (i + 1);
    }

    int port(int i) {
        return doors.get(i).getLocalPort();
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void thread(Work work) {
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
    private void fill(ServerSocket door) throws IOException {
        for (int i = 0; i < 8; i++) {
            Socket s = new Socket();
            crowd.add(s);
            try {
                s.connect(door.getLocalSocketAddress(), 200);
            } catch (java.net.SocketTimeoutException e) {
                return; // full
            }
        }
        throw new IOException("the backlog of a worker could not be filled");
    }

    private void admit(ServerSocket door, String name) throws IOException, InterruptedException {
        if (point == Point.DIALLING) {
            letGo.await();
            for (Socket s : crowd) {
                s.close();
            }
        }
        while (!closed) {
            Socket s = door.accept();
            open.add(s);
            thread(() -> serve(s, name));
        }
    }

    private void serve(Socket s, String name) throws IOException, InterruptedException {
        String unanswered = null;
        try (s) {
            for (Wires.Message m = Wires.hear(s.getInputStream()); m != null; m = Wires.hear(s.getInputStream())) {
                if (m.first().startsWith("POST ")) {
                    String id = Wires.header(m.head(), "Req-Id");
                    witness.accept(Event.of(Type.ATTEMPT, id, name, Life.NAME)
                        .checksum(Checksums.forwarded(m.head(), Wires.header(m.head(), "Idempotency-Key"), m.body())));
                    unanswered = id;
                    if (answers(s, id, name)) {
                        unanswered = null;
                    }
                } else if (m.first().startsWith("DELETE ")) {
                    String path = m.first().split(" ")[1];
                    witness.accept(Event.of(Type.CANCEL, path.substring(path.lastIndexOf('/') + 1), name, ""));
                    Wires.say(s, OK);
                } else {
                    Wires.say(s, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=8");
                }
            }
        } finally {
            open.remove(s);
            if (unanswered != null) {
                witness.accept(Event.of(Type.CANCEL, unanswered, name, "")); // closed before the 202: given up
            }
        }
    }

    /** Answers an attempt by the point; false where its 202 is left out for now. */
    private boolean answers(Socket s, String id, String name) throws IOException {
        boolean holds = id.equals(watched) && letGo.getCount() > 0;
        if (holds && point == Point.TAKEN_NOT_DRAWN) {
            witness.accept(Event.end(id, name, "returned", ""));
            Wires.say(s, DECLINED);
            reached.countDown();
            return true;
        }
        if (holds && point == Point.SENT_NO_202) {
            thread(() -> {
                reached.countDown();
                letGo.await();
                witness.accept(Event.end(id, name, "done", "r-" + id));
                try {
                    Wires.say(s, TAKEN);
                } finally {
                    tell(id, name, "r-" + id);
                }
            });
            return false;
        }
        Wires.say(s, TAKEN);
        String result = id.equals(watched) && point == Point.ANSWER_HALF_WRITTEN ? "R".repeat(BIG_RESULT) : "r-" + id;
        thread(() -> {
            if (holds && (point == Point.AFTER_202 || point == Point.LIST_MID_LINE || point == Point.CONFIGURATION_HALF_WRITTEN
                    || point.handOver())) {
                reached.countDown();
                letGo.await();
            }
            witness.accept(Event.end(id, name, "done", Checksums.body(result.getBytes(StandardCharsets.US_ASCII))));
            tell(id, name, result);
        });
        return true;
    }

    /** Tells the end of a job until it has an answer, ten times at most. */
    private void tell(String id, String name, String result) throws InterruptedException {
        String body = "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"done\",\"result\":\"" + result + "\"}";
        String call = "POST /callback HTTP/1.1\r\nHost: s\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try {
            for (int tries = 0; tries < MOST_TRIES && !closed; tries++) {
                boolean holds = id.equals(watched) && point == Point.CALL_BACK_HALF_READ && letGo.getCount() > 0;
                int half = holds ? call.length() - body.length() / 2 : call.length();
                try (Socket s = new Socket(InetAddress.getLoopbackAddress(), scheduler)) {
                    s.setSoTimeout(5000);
                    Wires.say(s, call.substring(0, half));
                    if (holds) {
                        reached.countDown();
                        letGo.await();
                        Wires.say(s, call.substring(half));
                    }
                    Wires.Message m = Wires.hear(s.getInputStream());
                    if (m != null) {
                        witness.accept(Event.of(Type.CALL, id, name, "").number(Integer.parseInt(m.first().split(" ")[1])));
                        return;
                    }
                } catch (IOException e) {
                    Thread.sleep(AGAIN_MS);
                    continue;
                }
                Thread.sleep(AGAIN_MS);
            }
        } finally {
            if (id.equals(watched)) {
                told.countDown();
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        letGo.countDown();
        for (ServerSocket d : doors) {
            d.close();
        }
        for (Socket s : open) {
            s.close();
        }
        for (Socket s : crowd) {
            s.close();
        }
    }
}
