import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Discovery, asked: the whole list, and watches with an empty line every 2 s. */
final class Discovery {
    private final Rig rig;
    private final ServerSocket server;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Integer> changedAt = new HashMap<>();
    private int version = 41;
    final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    /** While set, nothing is written to watches, and calls get no answer. */
    volatile boolean silent;

    Discovery(Rig rig) throws IOException {
        this.rig = rig;
        server = rig.listen(this::serve);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Adds or changes a worker. Returns once the change is written to the open watches. */
    synchronized void put(String id, int port, String state) {
        version++;
        entries.put(id, "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port
            + "\",\"zone\":\"tallinn\",\"kind\":\"large\",\"cell\":0,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}");
        changedAt.put(id, version);
        rig.log("discovery has: " + id + " " + state + ", version " + version);
        notifyAll();
    }

    synchronized String whole() {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries.values()) + "]}";
    }

    private synchronized String changesAfter(int after) {
        List<String> changed = new ArrayList<>();
        entries.forEach((id, entry) -> {
            if (changedAt.get(id) > after) {
                changed.add(entry);
            }
        });
        return "{\"version\":" + version + ",\"full\":false,\"servers\":[" + String.join(",", changed) + "]}";
    }

    /** Goes down: ends every connection by a reset and refuses new ones. */
    void goDown() throws IOException {
        server.close();
        for (Socket socket : connections) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private void serve(Socket socket) {
        connections.add(socket);
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http request = Http.read(in); request != null; request = Http.read(in)) {
                if (silent) {
                    Thread.sleep(600_000);
                }
                String target = request.target();
                rig.log("discovery is asked: " + target);
                if (target.contains("watch=1")) {
                    watch(socket.getOutputStream(), Integer.parseInt(target.replaceAll(".*after=(\\d+).*", "$1")));
                    return;
                }
                byte[] body = Http.bytes(whole());
                OutputStream out = socket.getOutputStream();
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n"));
                out.write(body);
            }
        } catch (IOException | InterruptedException e) {
            // the call has ended
        } finally {
            connections.remove(socket);
        }
    }

    private void watch(OutputStream out, int after) throws IOException, InterruptedException {
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
        int told = after;
        while (true) {
            String line = "";
            synchronized (this) {
                if (version <= told) {
                    wait(2000);
                }
                if (version > told) {
                    line = changesAfter(told);
                    told = version;
                }
            }
            if (silent) {
                Thread.sleep(600_000);
            }
            byte[] chunk = Http.bytes(line + "\n");
            out.write(Http.bytes(Integer.toHexString(chunk.length) + "\r\n" + line + "\n\r\n"));
            out.flush();
            if (!line.isEmpty()) {
                rig.log("discovery has told version " + told);
            }
        }
    }
}
