import java.util.ArrayList;
import java.util.List;

/** Clients send many commands at once on a connection: does each get an answer? */
final class ManyAtOnce {
    private static final int COMMANDS = 24;
    private static final int BODY_BYTES = 2048;
    private static final long DEADLINE_MS = 25_000;
    private static final long RUN_MS = 100;

    public static void main(String[] args) {
        Rig.main(args, ManyAtOnce::play);
    }

    private static String play(Rig rig) throws Exception {
        Worker.Behaviour behaviour = job -> job.serve(RUN_MS);
        Discovery discovery = new Discovery(rig);
        Worker[] workers = {new Worker(rig, "s-00000001", behaviour), new Worker(rig, "s-00000002", behaviour)};
        for (Worker worker : workers) {
            discovery.put(worker.name, worker.port(), "SERVING");
        }
        rig.startScheduler(rig.config(discovery.port(), "{'name':'billing-post','aim_us':3000000,'deadline_us':25000000,"
            + "'semantics':'non_idempotent','key_scope':'all','window_us':5000000,'importance':3.0,'late_value':0.0,'streaming':false}",
            discovery.whole(), true));
        Thread.sleep(1000);
        Client.Request[] requests = new Client.Request[COMMANDS];
        for (int i = 0; i < COMMANDS; i++) {
            requests[i] = new Client.Request("billing-post", DEADLINE_MS);
            requests[i].body = "x".repeat(BODY_BYTES);
        }
        if (Rig.TROUBLE) {
            Client.send(rig, requests);
        } else {
            for (Client.Request request : requests) {
                Client.send(rig, request);
            }
        }
        Thread.sleep(DEADLINE_MS + 1500);
        List<String> unanswered = new ArrayList<>();
        for (Client.Request request : requests) {
            if (request.answeredMs < 0) {
                unanswered.add(request.id);
            }
        }
        return unanswered.isEmpty() ? null : unanswered.size() + " of " + COMMANDS + " requests got no answer: " + unanswered;
    }
}
