package hookweir.lab.scale;

import hookweir.Contract;
import java.util.ArrayList;
import java.util.List;

/** The simulated list service. A watcher gets the whole worker list first and then one line for each change; all bytes are counted. */
final class ListService {
    private static final long HEARTBEAT_INTERVAL_US = 2_000_000;
    private static final String HOST = "10.0.0.2:8080";
    private static final String EMPTY_LINE = "\n";

    /** A client that watches the worker list. */
    interface Watcher {
        /** Receives the whole worker list, or only the changed entries if {@code delta}. */
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

    /** Fetches the whole list on a separate connection, then starts a watch from its version on. */
    void startWatch(Watcher watcher) {
        traffic.recordConnection(Role.SCHEDULER, Role.LIST_SERVICE, MessageKind.LIST_CONNECTION);
        queue.schedule(4 * Network.SAME_ZONE_US, () -> {
            String response = HttpMessages.okResponse(listJson(true, workers));
            traffic.recordCall(Role.SCHEDULER, Role.LIST_SERVICE, MessageKind.WHOLE_LIST, HttpMessages.listRequest(HOST, "").length(), response.length());
            watcher.onWorkerList(false, workers.stream().map(SimulatedWorker::listEntry).toList());
            traffic.recordConnection(Role.SCHEDULER, Role.LIST_SERVICE, MessageKind.LIST_CONNECTION);
            traffic.recordCall(Role.SCHEDULER, Role.LIST_SERVICE, MessageKind.LIST_CONNECTION,
                HttpMessages.listRequest(HOST, "?watch=1&after=" + version).length(), HttpMessages.watchResponseHead().length());
            watchers.add(watcher);
        });
    }

    /** Stops a watch because its connection ended. */
    void stopWatch(Watcher watcher) {
        watchers.remove(watcher);
    }

    /** Sends the changed entries to all watchers, in one line. */
    void publishChange(List<SimulatedWorker> entries) {
        version++;
        int bytes = HttpMessages.chunk(listJson(false, entries)).length();
        List<Contract.Worker> changedEntries = entries.stream().map(SimulatedWorker::listEntry).toList();
        for (Watcher watcher : List.copyOf(watchers)) {
            traffic.recordMessage(Role.LIST_SERVICE, Role.SCHEDULER, MessageKind.LIST_CHANGE, bytes);
            queue.schedule(Network.SAME_ZONE_US, () -> {
                if (watchers.contains(watcher)) {
                    watcher.onWorkerList(true, changedEntries);
                }
            });
        }
    }

    private String listJson(boolean isFull, List<SimulatedWorker> entries) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"full\":" + isFull + ",\"servers\":[");
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
