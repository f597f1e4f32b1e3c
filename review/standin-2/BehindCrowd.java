import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A crowd stops half way in its requests: do usual clients get an answer, or at least a close, in their time? */
final class BehindCrowd {
    private static final int CROWD = 800;
    private static final int USUAL_CLIENTS = 5;
    private static final long DEADLINE_MS = 7500;
    /** The time limit's growth on sockets, plus the half second in which an answer only earns nothing. */
    private static final long LATE_MS = 50 + 500;
    private static final long RUN_MS = 300;

    public static void main(String[] args) {
        Rig.main(args, BehindCrowd::play);
    }

    private static String play(Rig rig) throws Exception {
        Worker.Behaviour behaviour = job -> job.serve(RUN_MS);
        Discovery discovery = new Discovery(rig);
        Worker[] workers = {new Worker(rig, "s-00000001", behaviour), new Worker(rig, "s-00000002", behaviour)};
        for (Worker worker : workers) {
            discovery.put(worker.name, worker.port(), "SERVING");
        }
        rig.startScheduler(rig.config(discovery.port(), "{'name':'live-status','aim_us':300000,'deadline_us':7500000,'semantics':'read_like',"
            + "'key_scope':'all','window_us':5000000,'importance':3.0,'late_value':0.0,'streaming':false}", discovery.whole(), true)
            .replace("\"sockets\":1024", "\"sockets\":256"));
        Thread.sleep(1500);
        if (Rig.TROUBLE) {
            for (int i = 0; i < CROWD; i++) {
                Socket socket = rig.closeLater(Rig.connect(rig.port));
                socket.getOutputStream().write(Http.bytes("POST /api/00 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: 00"));
            }
            rig.log(CROWD + " clients have connected and stopped half way in a request");
        }
        List<Client.Request> requests = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            Client.Request request = new Client.Request("live-status", DEADLINE_MS);
            requests.add(request);
            Client.send(rig, request);
        }
        Thread.sleep(DEADLINE_MS + LATE_MS + 8000);
        String broken = null;
        for (Client.Request request : requests) {
            long endMs = request.answeredMs >= 0 ? request.answeredMs : request.closedMs;
            long tookMs = endMs < 0 ? -1 : endMs - request.sentMs;
            if (tookMs < 0 || tookMs > DEADLINE_MS + LATE_MS) {
                broken = "request " + request.id + " with " + DEADLINE_MS + " ms of time had "
                    + (tookMs < 0 ? "neither an answer nor a close" : "its " + (request.answeredMs >= 0 ? "answer " + request.status : "close")
                    + " " + tookMs + " ms after its last byte");
                rig.log(broken);
            }
            for (Worker worker : workers) {
                for (Worker.Job job : worker.jobs) {
                    if (job.id.equals(request.id)) {
                        rig.log(worker.name + " got " + request.id + " with " + job.request.header("req-deadline-ms") + " ms, the client had "
                            + (request.sentMs + DEADLINE_MS - job.arrivedMs) + " ms left");
                    }
                }
            }
        }
        return broken;
    }
}
