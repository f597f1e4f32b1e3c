package hookweir.lab.scale;

import hookweir.Contract;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Hollow workers and schedulers on one virtual clock, with what happens to them. The same shape gives the same figures each time. */
final class World {
    private static final long SECOND_US = 1_000_000;
    private static final double HOUR_US = 3_600e6;
    /** A worker is full of others' work or free of it for so long on average, both together. */
    private static final double CYCLE_US = 20e6;
    /** Schedulers start one after the other within this. */
    private static final long START_SPREAD_US = 2 * SECOND_US;
    /** The list names a silent worker as gone after this: assumed. */
    private static final long DETECTED_US = 10 * SECOND_US;
    /** A zone and a region come back after this. */
    private static final long OUTAGE_US = 20 * SECOND_US;
    /** A draining worker's process is replaced after this. */
    private static final long DRAIN_US = 15 * SECOND_US;

    final Shape shape;
    final EventQueue queue = new EventQueue();
    final Network network = new Network();
    final Traffic traffic = new Traffic();
    final Figures figures = new Figures();
    final List<HollowWorker> workers = new ArrayList<>();
    final ListService list;
    final ConfigurationSource configuration;
    private final HollowScheduler[] schedulers;
    private final Random random;

    World(Shape shape) {
        this.shape = shape;
        random = new Random(shape.seed());
        for (int id = 0; id < shape.workers(); id++) {
            workers.add(new HollowWorker(id));
        }
        list = new ListService(queue, traffic, workers);
        configuration = new ConfigurationSource(queue, traffic, new Random(shape.seed() ^ 1), shape, figures.inForceS);
        schedulers = new HollowScheduler[shape.schedulers()];
        for (int number = 0; number < schedulers.length; number++) {
            int scheduler = number;
            queue.after((long) (random.nextDouble() * START_SPREAD_US), () -> start(scheduler));
        }
        if (shape.fullShare() > 0) {
            workers.forEach(this::toggle);
        }
        if (shape.restartsPerHour() > 0) {
            nextRestart();
        }
    }

    private void start(int number) {
        schedulers[number] = new HollowScheduler(this, number, random.nextLong());
    }

    /** Runs it; what was seen. */
    Row run() {
        queue.runUntil(shape.warmUpSeconds() * SECOND_US);
        Traffic before = traffic.copy();
        figures.clear();
        workers.forEach(worker -> worker.tasks = 0);
        queue.after(shape.seconds() * SECOND_US / 3, this::fail);
        long running = 0;
        long controlPeak = 0;
        long listPeak = 0;
        for (int second = 1; second <= shape.seconds(); second++) {
            long control = traffic.control(Role.SCHEDULER).bytes();
            long listed = traffic.control(Role.LIST_SERVICE).bytes();
            queue.runUntil((shape.warmUpSeconds() + second) * SECOND_US);
            controlPeak = Math.max(controlPeak, traffic.control(Role.SCHEDULER).bytes() - control);
            listPeak = Math.max(listPeak, traffic.control(Role.LIST_SERVICE).bytes() - listed);
            running += workers.stream().filter(worker -> !worker.silent).mapToInt(HollowWorker::busy).sum();
        }
        return Row.of(this, traffic.since(before), new Row.Peaks(controlPeak, listPeak, (double) running / shape.seconds()));
    }

    // ---- what happens ----

    private void toggle(HollowWorker worker) {
        worker.full = random.nextDouble() < shape.fullShare();
        schedule(worker);
    }

    private void schedule(HollowWorker worker) {
        double mean = CYCLE_US * (worker.full ? shape.fullShare() : 1 - shape.fullShare());
        queue.after((long) (-Math.log(1 - random.nextDouble()) * mean), () -> {
            worker.full = !worker.full;
            schedule(worker);
        });
    }

    private void nextRestart() {
        queue.after((long) (-Math.log(1 - random.nextDouble()) * HOUR_US / shape.restartsPerHour()), () -> {
            replace(workers.get(random.nextInt(workers.size())));
            nextRestart();
        });
    }

    private void replace(HollowWorker worker) {
        if (worker.draining || worker.silent) {
            return;
        }
        worker.draining = true;
        tell(List.of(worker), Contract.WorkerState.DRAINING);
        queue.after(DRAIN_US, () -> {
            tell(List.of(worker), Contract.WorkerState.GONE);
            comeBack(List.of(worker));
        });
    }

    private void comeBack(List<HollowWorker> back) {
        for (HollowWorker worker : back) {
            worker.restart();
            worker.silent = false;
            worker.draining = false;
            worker.list(Contract.WorkerState.READY, queue.nowUs());
        }
        list.changed(back);
    }

    private void tell(List<HollowWorker> changed, Contract.WorkerState state) {
        changed.forEach(worker -> worker.list(state, worker.listed().startedAtUs));
        list.changed(changed);
    }

    private void fail() {
        switch (shape.failure()) {
            case NONE -> { }
            case RACK -> silence(workers.stream().filter(worker -> worker.rack == 0).toList());
            case ZONE -> {
                List<HollowWorker> zone = workers.stream().filter(worker -> worker.zone == 0).toList();
                silence(zone);
                queue.after(OUTAGE_US, () -> comeBack(zone));
            }
            case REGION_CUT -> {
                network.cut(true);
                queue.after(OUTAGE_US, () -> network.cut(false));
            }
            case SCHEDULERS_RESTART -> {
                for (int number = 0; number < schedulers.length; number++) {
                    schedulers[number].kill();
                    start(number);
                }
            }
        }
    }

    private void silence(List<HollowWorker> failed) {
        failed.forEach(worker -> worker.silent = true);
        queue.after(DETECTED_US, () -> tell(failed, Contract.WorkerState.GONE));
    }
}
