package hookweir.lab.lives;

import hookweir.lab.net.HttpConnection;
import hookweir.lab.net.Reactor;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Workers that end no job, and record when each attempt of a request arrived. */
final class DepartureWorkers implements AutoCloseable {
    private static final int WORKERS = 8;
    private static final long NS_PER_MS = 1_000_000;

    /**
     * An attempt that has arrived.
     *
     * @param atNs     when, by {@link System#nanoTime}
     * @param accepted whether the worker accepted the job: it may have run
     */
    record ReceivedAttempt(long atNs, boolean accepted) {
    }

    private final DeparturePlan plan;
    private final Reactor reactor = new Reactor("workers");
    private final Map<String, List<ReceivedAttempt>> attempts = new ConcurrentHashMap<>();
    private final List<Integer> ports = new ArrayList<>();
    private final List<StalledListener> stalledListeners = new ArrayList<>();

    DepartureWorkers(DeparturePlan plan) throws IOException {
        this.plan = plan;
        for (int i = 0; i < WORKERS; i++) {
            int port = reactor.listen(0, WorkerConnection::new);
            if (plan.moment() == DeparturePlan.Moment.DIALLING) {
                stalledListeners.add(new StalledListener(port));
                port = stalledListeners.get(i).port();
            }
            ports.add(port);
        }
    }

    /** The attempts by the ids of their requests. */
    Map<String, List<ReceivedAttempt>> attempts() {
        return attempts;
    }

    /** Lets connections that are being opened come up; the system tries again one second after it began to open them. */
    void finishDials() {
        stalledListeners.forEach(Thread::start);
    }

    /** The worker list, in the list service's JSON format. */
    String listJson() {
        StringBuilder list = new StringBuilder("{\"version\":1,\"full\":true,\"servers\":[");
        for (int i = 0; i < ports.size(); i++) {
            list.append(i == 0 ? "" : ",").append(String.format("{\"id\":\"s-%08x\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"kind\":\"m\","
                + "\"cell\":0,\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}", i, ports.get(i)));
        }
        return list.append("]}").toString();
    }

    private final class WorkerConnection extends HttpConnection {
        @Override
        protected void onMessage(String head, byte[] body) {
            if (!head.startsWith("POST ")) {
                write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx0=64");
                return;
            }
            boolean accepts = plan.moment() == DeparturePlan.Moment.AT_WORKER;
            attempts.computeIfAbsent(header(head, "Req-Id"), id -> new CopyOnWriteArrayList<>())
                .add(new ReceivedAttempt(System.nanoTime(), accepts));
            if (accepts) {
                write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
            } else {
                reactor.schedule(System.nanoTime() + plan.workerMs() * NS_PER_MS, this::endAttempt);
            }
        }

        private void endAttempt() {
            if (plan.moment() == DeparturePlan.Moment.WAITING) {
                close();
            } else if (!isClosed()) {
                write("HTTP/1.1 504 Gateway Timeout\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
            }
        }

        @Override
        protected void onClosed() {
            // nothing to release
        }
    }

    /** A listening socket whose queue is full until it is started; then it passes every connection on to a worker. */
    private static final class StalledListener extends Thread implements AutoCloseable {
        private static final int BACKLOG = 1;
        /** The system queues one connection more than the backlog. */
        private static final int FILLERS = BACKLOG + 1;

        private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        private final List<Socket> open = new CopyOnWriteArrayList<>();
        private final int workerPort;

        StalledListener(int workerPort) throws IOException {
            super("stalled-listener");
            setDaemon(true);
            this.workerPort = workerPort;
            for (int i = 0; i < FILLERS; i++) {
                Socket filler = new Socket();
                filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port()));
                open.add(filler);
            }
        }

        int port() {
            return listener.getLocalPort();
        }

        @Override
        public void run() {
            try {
                for (int accepted = 0; true; accepted++) {
                    Socket fromScheduler = listener.accept();
                    open.add(fromScheduler);
                    if (accepted >= FILLERS) {
                        Socket toWorker = new Socket(InetAddress.getLoopbackAddress(), workerPort);
                        open.add(toWorker);
                        copy(fromScheduler, toWorker);
                        copy(toWorker, fromScheduler);
                    }
                }
            } catch (IOException closed) {
                interrupt(); // the run has ended
            }
        }

        private static void copy(Socket from, Socket to) {
            Thread thread = new Thread(() -> {
                try (to) {
                    from.getInputStream().transferTo(to.getOutputStream());
                } catch (IOException closed) {
                    Thread.currentThread().interrupt(); // one side has ended
                }
            }, "copy");
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (StalledListener listener : stalledListeners) {
            listener.close();
        }
        reactor.close();
    }
}
