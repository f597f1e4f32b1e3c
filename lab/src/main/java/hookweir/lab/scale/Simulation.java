package hookweir.lab.scale;

import hookweir.Contract;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One simulation: workers and schedulers on one virtual clock, with worker restarts, configuration changes and an injected failure.
 * The same {@link Shape} always gives the same result.
 */
final class Simulation {
    private static final long SECOND_US = 1_000_000;
    private static final double HOUR_US = 3_600e6;
    /** Mean length of one cycle in which a worker is once occupied and once not occupied by other work. */
    private static final double OCCUPANCY_CYCLE_US = 20e6;
    /** Schedulers start at random times within this period. */
    private static final long START_SPREAD_US = 2 * SECOND_US;
    /** Time until the list service marks an unresponsive worker as gone. */
    private static final long FAILURE_DETECTION_US = 10 * SECOND_US;
    /** Duration of a zone failure and of a partition between regions. */
    private static final long OUTAGE_DURATION_US = 20 * SECOND_US;
    /** Time from the start of draining until the worker process is replaced. */
    private static final long DRAIN_DURATION_US = 15 * SECOND_US;

    final Shape shape;
    final EventQueue queue = new EventQueue();
    final Network network = new Network();
    final Traffic traffic = new Traffic();
    final SimulationMetrics metrics = new SimulationMetrics();
    final List<SimulatedWorker> workers = new ArrayList<>();
    final ListService listService;
    final ConfigurationSource configurationSource;
    private final SimulatedScheduler[] schedulers;
    private final Random random;

    Simulation(Shape shape) {
        this.shape = shape;
        random = new Random(shape.seed());
        for (int id = 0; id < shape.workers(); id++) {
            workers.add(new SimulatedWorker(id));
        }
        listService = new ListService(queue, traffic, workers);
        configurationSource = new ConfigurationSource(queue, traffic, new Random(shape.seed() ^ 1), shape, metrics.activationDelayS);
        schedulers = new SimulatedScheduler[shape.schedulers()];
        for (int number = 0; number < schedulers.length; number++) {
            int scheduler = number;
            queue.schedule((long) (random.nextDouble() * START_SPREAD_US), () -> startScheduler(scheduler));
        }
        if (shape.fullShare() > 0) {
            workers.forEach(this::startOccupancyCycle);
        }
        if (shape.restartsPerHour() > 0) {
            scheduleNextRestart();
        }
    }

    private void startScheduler(int number) {
        schedulers[number] = new SimulatedScheduler(this, number, random.nextLong());
    }

    /** Runs the simulation and returns its result. */
    Row run() {
        queue.runUntil(shape.warmUpSeconds() * SECOND_US);
        Traffic before = traffic.copy();
        metrics.reset();
        workers.forEach(worker -> worker.startedTasks = 0);
        queue.schedule(shape.seconds() * SECOND_US / 3, this::injectFailure);
        long running = 0;
        long controlPeak = 0;
        long listPeak = 0;
        for (int second = 1; second <= shape.seconds(); second++) {
            long controlBefore = traffic.controlTally(Role.SCHEDULER).bytes();
            long listServiceBefore = traffic.controlTally(Role.LIST_SERVICE).bytes();
            queue.runUntil((shape.warmUpSeconds() + second) * SECOND_US);
            controlPeak = Math.max(controlPeak, traffic.controlTally(Role.SCHEDULER).bytes() - controlBefore);
            listPeak = Math.max(listPeak, traffic.controlTally(Role.LIST_SERVICE).bytes() - listServiceBefore);
            running += workers.stream().filter(worker -> !worker.unresponsive).mapToInt(SimulatedWorker::busySlots).sum();
        }
        return Row.of(this, traffic.since(before), new Row.PerSecondStats(controlPeak, listPeak, (double) running / shape.seconds()));
    }

    // ---- events ----

    private void startOccupancyCycle(SimulatedWorker worker) {
        worker.occupiedByOthers = random.nextDouble() < shape.fullShare();
        scheduleOccupancyChange(worker);
    }

    private void scheduleOccupancyChange(SimulatedWorker worker) {
        double mean = OCCUPANCY_CYCLE_US * (worker.occupiedByOthers ? shape.fullShare() : 1 - shape.fullShare());
        queue.schedule((long) (-Math.log(1 - random.nextDouble()) * mean), () -> {
            worker.occupiedByOthers = !worker.occupiedByOthers;
            scheduleOccupancyChange(worker);
        });
    }

    private void scheduleNextRestart() {
        queue.schedule((long) (-Math.log(1 - random.nextDouble()) * HOUR_US / shape.restartsPerHour()), () -> {
            drainAndRestart(workers.get(random.nextInt(workers.size())));
            scheduleNextRestart();
        });
    }

    private void drainAndRestart(SimulatedWorker worker) {
        if (worker.draining || worker.unresponsive) {
            return;
        }
        worker.draining = true;
        publishState(List.of(worker), Contract.WorkerState.DRAINING);
        queue.schedule(DRAIN_DURATION_US, () -> {
            publishState(List.of(worker), Contract.WorkerState.GONE);
            restartAll(List.of(worker));
        });
    }

    private void restartAll(List<SimulatedWorker> restarted) {
        for (SimulatedWorker worker : restarted) {
            worker.restart();
            worker.unresponsive = false;
            worker.draining = false;
            worker.updateListEntry(Contract.WorkerState.READY, queue.nowUs());
        }
        listService.publishChange(restarted);
    }

    private void publishState(List<SimulatedWorker> changed, Contract.WorkerState state) {
        changed.forEach(worker -> worker.updateListEntry(state, worker.listEntry().startedAtUs));
        listService.publishChange(changed);
    }

    private void injectFailure() {
        switch (shape.failure()) {
            case NONE -> { }
            case RACK -> stopResponding(workers.stream().filter(worker -> worker.rack == 0).toList());
            case ZONE -> {
                List<SimulatedWorker> zone = workers.stream().filter(worker -> worker.zone == 0).toList();
                stopResponding(zone);
                queue.schedule(OUTAGE_DURATION_US, () -> restartAll(zone));
            }
            case REGION_CUT -> {
                network.setPartitioned(true);
                queue.schedule(OUTAGE_DURATION_US, () -> network.setPartitioned(false));
            }
            case SCHEDULERS_RESTART -> {
                for (int number = 0; number < schedulers.length; number++) {
                    schedulers[number].kill();
                    startScheduler(number);
                }
            }
        }
    }

    private void stopResponding(List<SimulatedWorker> failed) {
        failed.forEach(worker -> worker.unresponsive = true);
        queue.schedule(FAILURE_DETECTION_US, () -> publishState(failed, Contract.WorkerState.GONE));
    }
}
