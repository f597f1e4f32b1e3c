package hookweir.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker for a {@link TestNode}, run by threads: accepts every job, and completes it at once if so configured. */
final class AutoWorker {
    final AtomicInteger jobs = new AtomicInteger();
    final AtomicInteger bodyBytes = new AtomicInteger();
    /** Ids of the jobs in order of arrival. */
    final Queue<String> ids = new ConcurrentLinkedQueue<>();
    private final TestNode node;
    private final String name;
    private final boolean completesJobs;

    AutoWorker(TestNode node, boolean completesJobs) {
        this(node, node.workerListener, "s-01", completesJobs, Integer.MAX_VALUE);
    }

    /** A worker of this name at this listener; it serves at most {@code maxConnections} connections and closes further ones unread. */
    AutoWorker(TestNode node, ServerSocket listener, String name, boolean completesJobs, int maxConnections) {
        this.node = node;
        this.name = name;
        this.completesJobs = completesJobs;
        start(() -> {
            for (int held = 0; true; held++) {
                Socket socket = listener.accept();
                if (held < maxConnections) {
                    start(() -> serve(socket));
                } else {
                    socket.close();
                }
            }
        });
    }

    private interface Task {
        void run() throws IOException;
    }

    /** Starts a thread that ends when its sockets are closed. */
    private static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                Thread.currentThread().interrupt(); // the test is over
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (String head = head(in); head != null; head = head(in)) {
            int lengthAt = head.indexOf("Content-Length: ");
            int length = lengthAt < 0 ? 0 : Integer.parseInt(head.substring(lengthAt + 16, head.indexOf('\r', lengthAt)));
            bodyBytes.addAndGet(in.readNBytes(length).length);
            if (head.startsWith("POST ")) {
                int idAt = head.indexOf("Req-Id: ") + 8;
                String job = head.substring(idAt, head.indexOf('\r', idAt));
                ids.add(job);
                jobs.incrementAndGet();
                socket.getOutputStream().write(TestNode.ACCEPTED.getBytes(StandardCharsets.US_ASCII));
                if (completesJobs) {
                    node.sendCallback(job, name, "done");
                }
            } else {
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.toString();
    }
}
