import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/** A client's connection, and the requests sent on it. */
final class Client {
    /** One request with its final answer. */
    static final class Request {
        final String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
        final String kind;
        final long deadlineMs;
        volatile long sentMs = -1;
        volatile long answeredMs = -1;
        /** When the connection ended before the answer. */
        volatile long closedMs = -1;
        volatile int status;
        volatile String text = "";
        String body = "{}";

        Request(String kind, long deadlineMs) {
            this.kind = kind;
            this.deadlineMs = deadlineMs;
        }

        String bytes() {
            return "POST /api/" + id + " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Deadline-Ms: " + deadlineMs
                + "\r\nIdempotency-Key: " + id + id + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
        }
    }

    private Client() {
    }

    /** Sends the requests at once on a new connection, and reads their answers in order on a thread of its own. */
    static void send(Rig rig, Request... requests) throws IOException {
        Socket socket = rig.closeLater(Rig.connect(rig.port));
        StringBuilder all = new StringBuilder();
        List<String> ids = new ArrayList<>();
        for (Request request : requests) {
            all.append(request.bytes());
            ids.add(request.id);
        }
        rig.log("client sends " + ids + " on connection " + socket.getLocalPort());
        socket.getOutputStream().write(Http.bytes(all.toString()));
        for (Request request : requests) {
            request.sentMs = Rig.nowMs();
        }
        Rig.spawn(() -> {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request : requests) {
                Http answer;
                try {
                    answer = Http.read(in);
                } catch (IOException e) {
                    answer = null;
                }
                if (answer == null) {
                    request.closedMs = Rig.nowMs();
                    rig.log("connection " + socket.getLocalPort() + " ended before the answer to " + request.id);
                    return;
                }
                request.status = answer.status();
                request.text = answer.text();
                request.answeredMs = Rig.nowMs();
                rig.log("client has answer " + answer.status() + " to " + request.id + " after " + (request.answeredMs - request.sentMs) + " ms");
            }
        });
    }
}
