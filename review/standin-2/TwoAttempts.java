import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Workers answer an attempt with an error, and once more some milliseconds later: are two attempts of a request out at once? */
final class TwoAttempts {
    private static final int REQUESTS = 16;
    private static final long DEADLINE_MS = 25_000;
    /** How late the second answer comes. */
    private static final long SECOND_ANSWER_MS = 40;
    /** How long a worker takes until it answers 202. */
    private static final long TAKE_MS = 30;
    private static final long RUN_MS = 2500;

    public static void main(String[] args) {
        Rig.main(args, TwoAttempts::play);
    }

    private static String play(Rig rig) throws Exception {
        Set<String> earlier = ConcurrentHashMap.newKeySet();
        Set<String> seen = ConcurrentHashMap.newKeySet();
        CountDownLatch arrived = new CountDownLatch(REQUESTS);
        Worker.Behaviour behaviour = job -> {
            if (earlier.contains(job.id)) {
                job.serve(200);
            } else if (seen.add(job.id)) {
                // The first attempts fail together.
                arrived.countDown();
                arrived.await(300, TimeUnit.MILLISECONDS);
                job.endedMs = Rig.nowMs();
                job.answer("500 Internal Server Error", "");
                if (Rig.TROUBLE) {
                    Rig.spawn(() -> {
                        Thread.sleep(SECOND_ANSWER_MS);
                        job.answer("500 Internal Server Error", "");
                    });
                }
            } else {
                Thread.sleep(TAKE_MS);
                job.serve(RUN_MS);
            }
        };
        Discovery discovery = new Discovery(rig);
        Worker[] workers = {new Worker(rig, "s-00000001", behaviour), new Worker(rig, "s-00000002", behaviour)};
        for (Worker worker : workers) {
            worker.reportsLoad = true;
            discovery.put(worker.name, worker.port(), "SERVING");
        }
        rig.startScheduler(rig.config(discovery.port(), "{'name':'load-order','aim_us':2000000,'deadline_us':25000000,"
            + "'semantics':'idempotency_key','key_scope':'zone','window_us':40000000,'importance':5.0,'late_value':0.0,'streaming':false}",
            discovery.whole(), false));
        Thread.sleep(500);
        // Quiet traffic, by which the scheduler learns what the workers hold.
        for (int i = 0; i < 20; i++) {
            Client.Request request = new Client.Request("load-order", DEADLINE_MS);
            earlier.add(request.id);
            Client.send(rig, request);
            Thread.sleep(i < 4 ? 1000 : 150);
        }
        Thread.sleep(1500);
        Client.Request[] requests = new Client.Request[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            requests[i] = new Client.Request("load-order", DEADLINE_MS);
            Client.send(rig, requests[i]);
        }
        if (!arrived.await(3, TimeUnit.SECONDS)) {
            throw new IOException("the workers did not get the jobs");
        }
        Thread.sleep(3 * RUN_MS);
        String broken = null;
        Set<String> doubled = ConcurrentHashMap.newKeySet();
        for (Client.Request request : requests) {
            List<Worker.Job> attempts = new ArrayList<>();
            for (Worker worker : workers) {
                worker.jobs.stream().filter(job -> job.id.equals(request.id)).forEach(attempts::add);
            }
            for (Worker.Job one : attempts) {
                for (Worker.Job other : attempts) {
                    boolean earlierTaken = one != other && one.takenMs >= 0 && one.takenMs < other.arrivedMs;
                    boolean ended = one.endedMs >= 0 && one.endedMs <= other.arrivedMs;
                    boolean givenUp = one.givenUpMs >= 0 && one.givenUpMs <= other.arrivedMs;
                    if (earlierTaken && !ended && !givenUp) {
                        broken = "load-order " + request.id + " was sent to " + other.worker.name + " at " + other.arrivedMs + " ms, while "
                            + one.worker.name + ", which took it at " + one.takenMs + " ms, had neither ended it nor been told to give it up";
                        rig.log(broken);
                        doubled.add(request.id);
                    }
                }
            }
        }
        rig.log(doubled.size() + " of " + REQUESTS + " requests had two attempts out at once");
        return broken;
    }
}
