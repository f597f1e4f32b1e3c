import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Workers turn attempts away, and answer a second time some milliseconds later: does a job that must never run twice run twice? */
final class SecondAnswer {
    private static final int BURST = 16;
    private static final long DEADLINE_MS = 25_000;
    /** How late the second answer comes. */
    private static final long SECOND_ANSWER_MS = 30;
    /** How long a worker takes until it answers 202. */
    private static final long TAKE_MS = 80;
    private static final long RUN_MS = 3000;

    public static void main(String[] args) {
        Rig.main(args, SecondAnswer::play);
    }

    private static Client.Request[] burst(Set<String> ids) {
        Client.Request[] requests = new Client.Request[BURST];
        for (int i = 0; i < BURST; i++) {
            requests[i] = new Client.Request("billing-post", DEADLINE_MS);
            ids.add(requests[i].id);
        }
        return requests;
    }

    private static String play(Rig rig) throws Exception {
        Set<String> earlier = ConcurrentHashMap.newKeySet();
        Set<String> first = ConcurrentHashMap.newKeySet();
        Map<String, Worker.Job> holders = new ConcurrentHashMap<>();
        CountDownLatch arrived = new CountDownLatch(BURST);
        CountDownLatch turnedAway = new CountDownLatch(BURST);
        Worker.Behaviour behaviour = job -> {
            if (earlier.contains(job.id)) {
                job.serve(200);
            } else if (job.request.header("req-kind").equals("usage-report")) {
                job.take();
                holders.put(job.id, job);
            } else if (first.contains(job.id) && arrived.getCount() + turnedAway.getCount() > 0 && !holders.containsKey(job.id)) {
                holders.put(job.id, job); // only the first attempt is turned away
                arrived.countDown();
                arrived.await(300, TimeUnit.MILLISECONDS);
                job.endedMs = Rig.nowMs();
                job.answer("503 Service Unavailable", "Srv-Declined: 1\r\n");
                turnedAway.countDown();
                if (Rig.TROUBLE) {
                    Rig.spawn(() -> {
                        Thread.sleep(SECOND_ANSWER_MS);
                        job.answer("503 Service Unavailable", "Srv-Declined: 1\r\n");
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
        rig.startScheduler(rig.config(discovery.port(), "{'name':'usage-report','aim_us':2000000,'deadline_us':25000000,'semantics':'read_like',"
            + "'key_scope':'all','window_us':5000000,'importance':1.0,'late_value':0.0,'streaming':false},"
            + "{'name':'billing-post','aim_us':3000000,'deadline_us':25000000,'semantics':'non_idempotent',"
            + "'key_scope':'all','window_us':5000000,'importance':3.0,'late_value':0.0,'streaming':false}", discovery.whole(), false));
        Thread.sleep(500);
        // Quiet traffic, by which the scheduler learns what the workers hold.
        for (int i = 0; i < 20; i++) {
            Client.Request request = new Client.Request("usage-report", DEADLINE_MS);
            earlier.add(request.id);
            Client.send(rig, request);
            Thread.sleep(i < 4 ? 1000 : 150);
        }
        // Jobs that end one after another later on, each with a report.
        for (int i = 0; i < 8; i++) {
            Client.send(rig, new Client.Request("usage-report", DEADLINE_MS));
            Thread.sleep(100);
        }
        Thread.sleep(300);
        List<Worker.Job> running = new ArrayList<>(holders.values());
        for (Client.Request request : burst(first)) {
            Client.send(rig, request);
        }
        if (!turnedAway.await(3, TimeUnit.SECONDS) || running.size() < 4) {
            throw new IOException("the workers did not get the first jobs");
        }
        for (Worker worker : workers) {
            Rig.spawn(() -> {
                for (Worker.Job job : running) {
                    if (job.worker == worker) {
                        job.call("done", "result of " + job.id);
                        Thread.sleep(30);
                    }
                }
            });
        }
        Thread.sleep(8);
        Client.Request[] secondBurst = burst(ConcurrentHashMap.newKeySet());
        for (Client.Request request : secondBurst) {
            Client.send(rig, request);
        }
        Thread.sleep(3 * RUN_MS);
        String broken = null;
        int twice = 0;
        int refused = 0;
        for (Client.Request request : secondBurst) {
            List<String> ran = new ArrayList<>();
            for (Worker worker : workers) {
                worker.jobs.stream().filter(job -> job.id.equals(request.id) && job.takenMs >= 0)
                    .forEach(job -> ran.add(worker.name + " from " + job.takenMs + " ms to " + job.endedMs + " ms"));
            }
            if (ran.size() > 1) {
                twice++;
                broken = "billing-post " + request.id + " ran more than once: " + ran;
                rig.log(broken);
            } else if (ran.size() == 1 && (request.status == 429 || request.status == 503)) {
                refused++;
                String text = "billing-post " + request.id + " was refused with " + request.status + ", and ran: " + ran;
                broken = broken == null ? text : broken;
                rig.log(text);
            }
        }
        rig.log(twice + " of " + BURST + " ran twice, " + refused + " more ran and were refused");
        return broken;
    }
}
