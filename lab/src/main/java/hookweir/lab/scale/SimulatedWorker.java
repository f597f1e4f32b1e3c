package hookweir.lab.scale;

import hookweir.Contract;
import java.util.Locale;

/** A simulated worker: holds a slot for each running task, rejects tasks when no slot is free, and reports its free slots. */
final class SimulatedWorker {
    private static final int SLOTS_WITHOUT_ACCELERATORS = 8;
    private static final int ACCELERATORS_PER_WORKER = 3;
    /** Five of eleven workers have accelerators, which makes 1,500 accelerators in 1,100 workers. */
    private static final int KIND_CYCLE_LENGTH = 11;
    private static final int ACCELERATOR_WORKERS_PER_CYCLE = 5;

    final int id;
    final String name;
    final String host;
    final int zone;
    final int rack;
    final int kind;
    final int slots;
    /** Current entry in the worker list; each change replaces it by a new object. */
    private Contract.Worker listEntry;
    /** Whether all slots are occupied by work of other origin. */
    boolean occupiedByOthers;
    /** Whether the worker never responds to messages. */
    boolean unresponsive;
    boolean draining;
    /** Number of the worker process; a new process has none of the connections and tasks of the old one. */
    int incarnation;
    long startedTasks;
    private int busySlots;

    SimulatedWorker(int id) {
        this.id = id;
        rack = id / Shape.WORKERS_PER_RACK;
        zone = rack % Shape.ZONE_COUNT;
        kind = id % KIND_CYCLE_LENGTH < ACCELERATOR_WORKERS_PER_CYCLE ? 1 : 0;
        slots = kind == 1 ? ACCELERATORS_PER_WORKER : SLOTS_WITHOUT_ACCELERATORS;
        name = String.format(Locale.ROOT, "s-%08x", id);
        host = "10." + (1 + zone) + "." + (id >> 8) + "." + (id & 0xff) + ":8080";
        updateListEntry(Contract.WorkerState.READY, 0);
    }

    /** Replaces the entry in the worker list. */
    void updateListEntry(Contract.WorkerState state, long startedAtUs) {
        listEntry = new Contract.Worker();
        listEntry.id = id;
        listEntry.zone = zone;
        listEntry.cell = rack;
        listEntry.kind = kind;
        listEntry.state = state;
        listEntry.startedAtUs = startedAtUs;
    }

    /** Returns the current entry in the worker list. */
    Contract.Worker listEntry() {
        return listEntry;
    }

    int freeSlots() {
        return occupiedByOthers || draining ? 0 : slots - busySlots;
    }

    /** Accepts a task if a slot is free; returns whether it did. */
    boolean tryAccept() {
        if (freeSlots() <= 0) {
            return false;
        }
        busySlots++;
        startedTasks++;
        return true;
    }

    /** Frees the slot of a task that ended, unless the process that ran it has been replaced. */
    void taskEnded(int taskIncarnation) {
        if (taskIncarnation == incarnation) {
            busySlots--;
        }
    }

    int busySlots() {
        return busySlots;
    }

    /** Replaces the process, which loses all running tasks. */
    void restart() {
        incarnation++;
        busySlots = 0;
    }

    /** Returns the entry in the worker list as the list service sends it. */
    String listEntryJson() {
        return "{\"id\":\"" + name + "\",\"addr\":\"" + host + "\",\"zone\":\"" + (char) ('a' + zone) + "\",\"kind\":\"" + (kind == 1 ? "g" : "m")
            + "\",\"cell\":" + rack + ",\"state\":\"" + stateName() + "\",\"weight\":1.0,\"started_ms\":" + listEntry.startedAtUs / 1000 + "}";
    }

    private String stateName() {
        return switch (listEntry.state) {
            case READY -> "SERVING";
            case DRAINING -> "DRAINING";
            case GONE -> "DELETED";
        };
    }
}
