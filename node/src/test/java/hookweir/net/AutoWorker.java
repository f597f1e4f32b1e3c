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

/** The worker of a {@link TestNode}, played by threads: takes every job, and ends it at once unless it is told not to. */
final class AutoWorker {
    final AtomicInteger jobs = new AtomicInteger();
    final AtomicInteger bodyBytes = new AtomicInteger();
    /** Ids of the jobs in the order in which they came. */
    final Queue<String> ids = new ConcurrentLinkedQueue<>();
    private final TestNode node;
    private final String name;
    private final boolean completesJobs;

    AutoWorker(TestNode node, boolean ends) {
        this(node, node.worker, "s-01", ends, Integer.MAX_VALUE);
    }

    /** Behind that door, by that name; it holds so many connections and ends further ones unread. */
    AutoWorker(TestNode node, ServerSocket door, String name, boolean ends, int mostConnections) {
        this.node = node;
        this.name = name;
        this.completesJobs = ends;
        start(() -> {
            for (int held = 0; true; held++) {
                Socket s = door.accept();
                if (held < mostConnections) {
                    start(() -> serve(s));
                } else {
                    s.close();
                }
            }
        });
    }

    private interface Task {
        void run() throws IOException;
    }

    /** A thread that ends with the sockets that it works on. */
    private static void start(Task task) {
        Thread t = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                Thread.currentThread().interrupt(); // the test is over
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private void serve(Socket s) throws IOException {
        InputStream in = new BufferedInputStream(s.getInputStream());
        for (String head = head(in); head != null; head = head(in)) {
            int at = head.indexOf("Content-Length: ");
            int length = at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at)));
            bodyBytes.addAndGet(in.readNBytes(length).length);
            if (head.startsWith("POST ")) {
                int id = head.indexOf("Req-Id: ") + 8;
                String job = head.substring(id, head.indexOf('\r', id));
                ids.add(job);
                jobs.incrementAndGet();
                s.getOutputStream().write(TestNode.TAKEN.getBytes(StandardCharsets.US_ASCII));
                if (completesJobs) {
                    node.tell(job, name, "done");
                }
            } else {
                s.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.append((char) b);
        }
        return head.toString();
    }
}
