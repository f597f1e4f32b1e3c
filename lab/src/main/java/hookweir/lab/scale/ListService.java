package hookweir.lab.scale;

import hookweir.Contract;
import java.util.ArrayList;
import java.util.List;

/** The list of workers, its watches, and what they cost: whole lists at a start, then a line for each change. */
final class ListService {
    private static final long HEARTBEAT_US = 2_000_000;
    private static final String HOST = "10.0.0.2:8080";
    private static final String EMPTY_LINE = "\n";

    /** Who watches. */
    interface Watcher {
        /** The whole list, or what changed. */
        void listed(boolean delta, List<Contract.Worker> entries);
    }

    private final EventQueue queue;
    private final Traffic traffic;
    private final List<HollowWorker> workers;
    private final List<Watcher> watchers = new ArrayList<>();
    private long version = 1;

    ListService(EventQueue queue, Traffic traffic, List<HollowWorker> workers) {
        this.queue = queue;
        this.traffic = traffic;
        this.workers = workers;
        queue.after(HEARTBEAT_US, this::beat);
    }

    /** A start: the whole list on a connection of its own, then a watch from that version on. */
    void watch(Watcher watcher) {
        traffic.connection(Role.SCHEDULER, Role.LIST_SERVICE, MessageKind.LIST_CONNECTION);
        queue.after(4 * Network.ZONE_US, () -> {
            String whole = HttpText.ok(object(true, workers));
            traffic.call(Role.SCHEDULER, Role.LIST_SERVICE, MessageKind.WHOLE_LIST, HttpText.listRequest(HOST, "").length(), whole.length());
            watcher.listed(false, workers.stream().map(HollowWorker::listed).toList());
            traffic.connection(Role.SCHEDULER, Role.LIST_SERVICE, MessageKind.LIST_CONNECTION);
            traffic.call(Role.SCHEDULER, Role.LIST_SERVICE, MessageKind.LIST_CONNECTION,
                HttpText.listRequest(HOST, "?watch=1&after=" + version).length(), HttpText.watchHead().length());
            watchers.add(watcher);
        });
    }

    /** A watch's connection ended. */
    void forget(Watcher watcher) {
        watchers.remove(watcher);
    }

    /** Entries that changed together are told in one line. */
    void changed(List<HollowWorker> entries) {
        version++;
        int bytes = HttpText.chunk(object(false, entries)).length();
        List<Contract.Worker> listed = entries.stream().map(HollowWorker::listed).toList();
        for (Watcher watcher : List.copyOf(watchers)) {
            traffic.message(Role.LIST_SERVICE, Role.SCHEDULER, MessageKind.LIST_CHANGE, bytes);
            queue.after(Network.ZONE_US, () -> {
                if (watchers.contains(watcher)) {
                    watcher.listed(true, listed);
                }
            });
        }
    }

    private String object(boolean full, List<HollowWorker> entries) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[");
        for (int i = 0; i < entries.size(); i++) {
            text.append(i == 0 ? "" : ",").append(entries.get(i).entry());
        }
        return text.append("]}\n").toString();
    }

    private void beat() {
        int bytes = HttpText.chunk(EMPTY_LINE).length();
        for (int i = 0; i < watchers.size(); i++) {
            traffic.message(Role.LIST_SERVICE, Role.SCHEDULER, MessageKind.LIST_HEARTBEAT, bytes);
        }
        queue.after(HEARTBEAT_US, this::beat);
    }
}
