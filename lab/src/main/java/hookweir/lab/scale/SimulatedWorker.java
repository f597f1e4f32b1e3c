package hookweir.lab.scale;

import hookweir.Contract;
import java.util.Locale;

/** A worker without work: it holds tasks until their time is up, turns away what finds no slot, and tells what is free. */
final class SimulatedWorker {
    private static final int SLOTS_WITHOUT_ACCELERATORS = 8;
    private static final int ACCELERATORS_PER_WORKER = 3;
    /** Five of eleven workers have accelerators: 1,500 in 1,100 workers. */
    private static final int KIND_CYCLE_LENGTH = 11;
    private static final int ACCELERATOR_WORKERS_PER_CYCLE = 5;

    final int id;
    final String name;
    final String host;
    final int zone;
    final int rack;
    final int kind;
    final int slots;
    /** As the list has it; replaced by a new entry at each change. */
    private Contract.Worker listEntry;
    /** Taken by others' work. */
    boolean occupiedByOthers;
    /** Silent: what is sent to it is never answered. */
    boolean unresponsive;
    boolean draining;
    /** Of its process: a new one knows no connection and no task of the old. */
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

    /** Changes its entry in the list. */
    void updateListEntry(Contract.WorkerState state, long startedAtUs) {
        listEntry = new Contract.Worker();
        listEntry.id = id;
        listEntry.zone = zone;
        listEntry.cell = rack;
        listEntry.kind = kind;
        listEntry.state = state;
        listEntry.startedAtUs = startedAtUs;
    }

    /** Its present entry. */
    Contract.Worker listEntry() {
        return listEntry;
    }

    int freeSlots() {
        return occupiedByOthers || draining ? 0 : slots - busySlots;
    }

    /** Takes a task, or not. */
    boolean tryAccept() {
        if (freeSlots() <= 0) {
            return false;
        }
        busySlots++;
        startedTasks++;
        return true;
    }

    /** A task of this process ended. */
    void taskEnded(int taskIncarnation) {
        if (taskIncarnation == incarnation) {
            busySlots--;
        }
    }

    int busySlots() {
        return busySlots;
    }

    /** Its process is replaced. */
    void restart() {
        incarnation++;
        busySlots = 0;
    }

    /** Its entry in the list. */
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
