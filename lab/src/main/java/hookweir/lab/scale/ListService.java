package hookweir.lab.scale;

import hookweir.Contract;
import java.util.ArrayList;
import java.util.List;

/** The list of workers, its watches, and what they cost: whole lists at a start, then a line for each change. */
final class ListService {
    private static final long HEARTBEAT_INTERVAL_US = 2_000_000;
    private static final String HOST = "10.0.0.2:8080";
    private static final String EMPTY_LINE = "\n";

    /** Who watches. */
    interface Watcher {
        /** The whole list, or what changed. */
        void onWorkerList(boolean delta, List<Contract.Worker> entries);
    }

    private final EventQueue queue;
    private final Traffic traffic;
    private final List<SimulatedWorker> workers;
    private final List<Watcher> watchers = new ArrayList<>();
    private long version = 1;

    ListService(EventQueue queue, Traffic traffic, List<SimulatedWorker> workers) {
        this.queue = queue;
        this.traffic = traffic;
        this.workers = workers;
        queue.schedule(HEARTBEAT_INTERVAL_US, this::sendHeartbeats);
    }

    /** A start: the whole list on a connection of its own, then a watch from that version on. */
    void startWatch(Watcher watcher) {
        traffic.recordConnection(Role.SCHEDULER, Role.LIST_SERVICE, MessageKind.LIST_CONNECTION);
        queue.schedule(4 * Network.SAME_ZONE_US, () -> {
            String whole = HttpMessages.okResponse(listJson(true, workers));
            traffic.recordCall(Role.SCHEDULER, Role.LIST_SERVICE, MessageKind.WHOLE_LIST, HttpMessages.listRequest(HOST, "").length(), whole.length());
            watcher.onWorkerList(false, workers.stream().map(SimulatedWorker::listEntry).toList());
            traffic.recordConnection(Role.SCHEDULER, Role.LIST_SERVICE, MessageKind.LIST_CONNECTION);
            traffic.recordCall(Role.SCHEDULER, Role.LIST_SERVICE, MessageKind.LIST_CONNECTION,
                HttpMessages.listRequest(HOST, "?watch=1&after=" + version).length(), HttpMessages.watchResponseHead().length());
            watchers.add(watcher);
        });
    }

    /** A watch's connection ended. */
    void stopWatch(Watcher watcher) {
        watchers.remove(watcher);
    }

    /** Entries that changed together are told in one line. */
    void publishChange(List<SimulatedWorker> entries) {
        version++;
        int bytes = HttpMessages.chunk(listJson(false, entries)).length();
        List<Contract.Worker> listed = entries.stream().map(SimulatedWorker::listEntry).toList();
        for (Watcher watcher : List.copyOf(watchers)) {
            traffic.recordMessage(Role.LIST_SERVICE, Role.SCHEDULER, MessageKind.LIST_CHANGE, bytes);
            queue.schedule(Network.SAME_ZONE_US, () -> {
                if (watchers.contains(watcher)) {
                    watcher.onWorkerList(true, listed);
                }
            });
        }
    }

    private String listJson(boolean full, List<SimulatedWorker> entries) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[");
        for (int i = 0; i < entries.size(); i++) {
            text.append(i == 0 ? "" : ",").append(entries.get(i).listEntryJson());
        }
        return text.append("]}\n").toString();
    }

    private void sendHeartbeats() {
        int bytes = HttpMessages.chunk(EMPTY_LINE).length();
        for (int i = 0; i < watchers.size(); i++) {
            traffic.recordMessage(Role.LIST_SERVICE, Role.SCHEDULER, MessageKind.LIST_HEARTBEAT, bytes);
        }
        queue.schedule(HEARTBEAT_INTERVAL_US, this::sendHeartbeats);
    }
}
