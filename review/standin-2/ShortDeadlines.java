import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A planned restart where the longest deadline is short: is what came after the signal answered before the process is killed? */
final class ShortDeadlines {
    private static final long DEADLINE_MS = 1500;
    /** SIGKILL comes no sooner than the longest deadline plus 0.7 s after SIGTERM. */
    private static final long KILL_AFTER_MS = DEADLINE_MS + 700;
    private static final long RUN_MS = 1300;
    /** New connections keep coming for 0.2 to 0.4 s after SIGTERM. */
    private static final long CONNECT_AFTER_MS = 200;
    /** How long a slow client writes its request. */
    private static final long WRITE_MS = 1000;
    private static final int CLIENTS = 3;

    public static void main(String[] args) {
        Rig.main(args, ShortDeadlines::play);
    }

    private static String play(Rig rig) throws Exception {
        Worker.Behaviour behaviour = job -> job.serve(RUN_MS);
        Discovery discovery = new Discovery(rig);
        Worker[] workers = {new Worker(rig, "s-00000001", behaviour), new Worker(rig, "s-00000002", behaviour)};
        for (Worker worker : workers) {
            discovery.put(worker.name, worker.port(), "SERVING");
        }
        Process scheduler = rig.startScheduler(rig.config(discovery.port(), "{'name':'billing-post','aim_us':1200000,'deadline_us':"
            + DEADLINE_MS * 1000 + ",'semantics':'non_idempotent','key_scope':'all','window_us':5000000,'importance':3.0,'late_value':0.0,"
            + "'streaming':false}", discovery.whole(), true));
        Thread.sleep(1500);
        Client.Request before = new Client.Request("billing-post", DEADLINE_MS);
        Client.send(rig, before);
        Thread.sleep(1500);
        long signalMs = Rig.nowMs();
        if (Rig.TROUBLE) {
            rig.log("SIGTERM");
            scheduler.destroy();
        }
        Thread.sleep(CONNECT_AFTER_MS);
        List<Client.Request> requests = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client.Request request = new Client.Request("billing-post", DEADLINE_MS);
            requests.add(request);
            Rig.spawn(() -> writeSlowly(rig, request));
        }
        Thread.sleep(Math.max(0, signalMs + KILL_AFTER_MS + 50 - Rig.nowMs()));
        if (Rig.TROUBLE) {
            rig.log("SIGKILL, " + (Rig.nowMs() - signalMs) + " ms after SIGTERM; the scheduler " + (scheduler.isAlive() ? "still runs" : "has ended"));
            scheduler.destroyForcibly();
        }
        Thread.sleep(3000);
        if (before.status != 200) {
            throw new IOException("the request before the signal was not served");
        }
        String broken = null;
        for (Client.Request request : requests) {
            boolean late = request.sentMs - signalMs > 700;
            if (late && request.answeredMs < 0) {
                broken = "request " + request.id + ", whole " + (request.sentMs - signalMs) + " ms after SIGTERM, got no answer";
                rig.log(broken);
            }
        }
        return broken;
    }

    /** Writes a request in pieces, over one second in all. */
    private static void writeSlowly(Rig rig, Client.Request request) throws Exception {
        Socket socket = rig.closeLater(Rig.connect(rig.port));
        rig.log("client connects and begins to write " + request.id);
        byte[] bytes = Http.bytes(request.bytes());
        int pieces = 10;
        for (int i = 0; i < pieces; i++) {
            int from = bytes.length * i / pieces;
            socket.getOutputStream().write(bytes, from, bytes.length * (i + 1) / pieces - from);
            if (i < pieces - 1) {
                Thread.sleep(WRITE_MS / (pieces - 1));
            }
        }
        request.sentMs = Rig.nowMs();
        rig.log("client has written " + request.id);
        Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
        if (answer == null) {
            rig.log("the connection ended with no answer to " + request.id);
            return;
        }
        request.status = answer.status();
        request.answeredMs = Rig.nowMs();
        rig.log("client has answer " + answer.status() + " to " + request.id + " after " + (request.answeredMs - request.sentMs) + " ms");
    }
}
