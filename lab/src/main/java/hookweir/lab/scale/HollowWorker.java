package hookweir.lab.scale;

import hookweir.Contract;
import java.util.Locale;

/** A worker without work: it holds tasks until their time is up, turns away what finds no slot, and tells what is free. */
final class HollowWorker {
    private static final int PLAIN_SLOTS = 8;
    private static final int ACCELERATORS = 3;
    /** Five of eleven workers have accelerators: 1,500 in 1,100 workers. */
    private static final int PATTERN = 11;
    private static final int WITH_ACCELERATORS = 5;

    final int id;
    final String name;
    final String host;
    final int zone;
    final int rack;
    final int kind;
    final int slots;
    /** As the list has it; replaced by a new entry at each change. */
    private Contract.Worker listed;
    /** Taken by others' work. */
    boolean full;
    /** Silent: what is sent to it is never answered. */
    boolean silent;
    boolean draining;
    /** Of its process: a new one knows no connection and no task of the old. */
    int process;
    long tasks;
    private int busy;

    HollowWorker(int id) {
        this.id = id;
        rack = id / Shape.RACK;
        zone = rack % Shape.ZONES;
        kind = id % PATTERN < WITH_ACCELERATORS ? 1 : 0;
        slots = kind == 1 ? ACCELERATORS : PLAIN_SLOTS;
        name = String.format(Locale.ROOT, "s-%08x", id);
        host = "10." + (1 + zone) + "." + (id >> 8) + "." + (id & 0xff) + ":8080";
        list(Contract.WorkerState.READY, 0);
    }

    /** Changes its entry in the list. */
    void list(Contract.WorkerState state, long startedAtUs) {
        listed = new Contract.Worker();
        listed.id = id;
        listed.zone = zone;
        listed.cell = rack;
        listed.kind = kind;
        listed.state = state;
        listed.startedAtUs = startedAtUs;
    }

    /** Its present entry. */
    Contract.Worker listed() {
        return listed;
    }

    int free() {
        return full || draining ? 0 : slots - busy;
    }

    /** Takes a task, or not. */
    boolean takes() {
        if (free() <= 0) {
            return false;
        }
        busy++;
        tasks++;
        return true;
    }

    /** A task of this process ended. */
    void ended(int ofProcess) {
        if (ofProcess == process) {
            busy--;
        }
    }

    int busy() {
        return busy;
    }

    /** Its process is replaced. */
    void restart() {
        process++;
        busy = 0;
    }

    /** Its entry in the list. */
    String entry() {
        return "{\"id\":\"" + name + "\",\"addr\":\"" + host + "\",\"zone\":\"" + (char) ('a' + zone) + "\",\"kind\":\"" + (kind == 1 ? "g" : "m")
            + "\",\"cell\":" + rack + ",\"state\":\"" + state() + "\",\"weight\":1.0,\"started_ms\":" + listed.startedAtUs / 1000 + "}";
    }

    private String state() {
        return switch (listed.state) {
            case READY -> "SERVING";
            case DRAINING -> "DRAINING";
            case GONE -> "DELETED";
        };
    }
}
