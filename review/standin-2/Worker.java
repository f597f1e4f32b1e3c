import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A worker: takes jobs, reports on them, answers probes. What becomes of a job is up to the case. */
final class Worker {
    /** What a worker does with a job; it has to answer the request. */
    interface Behaviour {
        void handle(Job job) throws Exception;
    }

    /** One attempt that has arrived whole. */
    static final class Job {
        final Worker worker;
        final Http request;
        final String id;
        final long arrivedMs = Rig.nowMs();
        private final OutputStream out;
        volatile long takenMs = -1;
        volatile long endedMs = -1;
        volatile long givenUpMs = -1;

        Job(Worker worker, Http request, OutputStream out) {
            this.worker = worker;
            this.request = request;
            this.out = out;
            id = request.header("req-id");
        }

        /** Writes an answer on the connection that the attempt came on. */
        void answer(String status, String headers) throws IOException {
            synchronized (out) {
                worker.rig.log(worker.name + " answers " + status + " to " + id);
                out.write(Http.bytes("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n"));
                out.flush();
            }
        }

        void take() throws IOException {
            takenMs = Rig.nowMs();
            answer("202 Accepted", "");
        }

        /** Calls the scheduler back, up to ten times until it has an answer. */
        void call(String state, String result) {
            if (!state.equals("started")) {
                endedMs = Rig.nowMs();
            }
            String body = "{\"id\":\"" + id + "\",\"from\":\"" + worker.name + "\",\"state\":\"" + state + "\""
                + (result == null ? "" : ",\"result\":\"" + result + "\"")
                + (worker.reportsLoad && endedMs >= 0 ? ",\"load\":{\"x0\":12,\"utilization\":" + Math.random() / 4 + ",\"errors_per_s\":0}" : "") + "}";
            for (int i = 0; i < 10; i++) {
                try (Socket socket = Rig.connect(worker.rig.port)) {
                    socket.setSoTimeout(3000);
                    socket.getOutputStream().write(Http.bytes("POST /callback HTTP/1.1\r\nHost: app.svc\r\nContent-Type: application/json\r\n"
                        + "Connection: close\r\nContent-Length: " + Http.bytes(body).length + "\r\n\r\n" + body));
                    Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
                    if (answer != null) {
                        worker.rig.log(worker.name + " called back: " + state + " for " + id + ", answer " + answer.status());
                        return;
                    }
                } catch (IOException e) {
                    // once more
                }
            }
        }

        /** Takes the job, runs it, and reports the result. */
        void serve(long runMs) throws Exception {
            take();
            Rig.spawn(() -> {
                call("started", null);
                Thread.sleep(runMs);
                call("done", "result of " + id);
            });
        }
    }

    final Rig rig;
    final String name;
    final List<Job> jobs = new CopyOnWriteArrayList<>();
    /** Whether what ends an attempt carries a load report. */
    boolean reportsLoad;
    private final Behaviour behaviour;
    private final ServerSocket server;

    Worker(Rig rig, String name, Behaviour behaviour) throws IOException {
        this.rig = rig;
        this.name = name;
        this.behaviour = behaviour;
        server = rig.listen(this::serve);
    }

    int port() {
        return server.getLocalPort();
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http request = Http.read(in); request != null; request = Http.read(in)) {
                if (request.method().equals("GET")) {
                    byte[] load = Http.bytes("x0=3,utilization=0.2,errors_per_s=0");
                    out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + load.length + "\r\n\r\n"));
                    out.write(load);
                } else if (request.method().equals("DELETE")) {
                    String id = request.target().substring("/jobs/".length());
                    rig.log(name + " is told to give up " + id);
                    jobs.stream().filter(job -> job.id.equals(id)).forEach(job -> job.givenUpMs = Rig.nowMs());
                    out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
                } else {
                    Job job = new Job(this, request, out);
                    jobs.add(job);
                    rig.log(name + " gets " + job.id + " (" + request.header("req-kind") + "), " + request.header("req-deadline-ms")
                        + " ms left, on connection " + socket.getPort());
                    behaviour.handle(job);
                }
            }
            rig.log(name + ": connection " + socket.getPort() + " is closed");
        } catch (Exception e) {
            rig.log(name + ": connection " + socket.getPort() + " broke");
        }
    }
}
