package hookweir.lab.load;

import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.net.Peer;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.Checksums;
import hookweir.lab.record.EventSink;
import hookweir.lab.standin.Fleet;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.HdrHistogram.Histogram;

/**
 * Clients on kept connections, at a rate of their own (open loop) or each as soon as it has its answer (closed loop).
 * In an open loop a job's time counts from when it was meant to start, so a scheduler that stalls can't hide it by
 * holding the generator up (coordinated omission).
 */
public final class Clients {
    private static final long MOST_NS = 120_000_000_000L;
    private static final int DIGITS = 3;
    private static final long RETRY_NS = 50_000_000L;

    /**
     * What the clients do.
     *
     * @param connections how many connections there are at most
     * @param perSecond jobs begun in a second, evenly; 0 for a closed loop
     * @param bodyBytes length of each job's body
     * @param deadlineMs what each client says it waits
     * @param kind the class of all jobs
     */
    public record Plan(int connections, double perSecond, int bodyBytes, long deadlineMs, String kind) {
    }

    /** What came of the jobs that were begun in one span. All times in ns. */
    public static final class Seen {
        public final Histogram served = new Histogram(MOST_NS, DIGITS);
        public final Histogram refused = new Histogram(MOST_NS, DIGITS);
        public long begun;
        public long failed;
        public long unanswered;

        /** Jobs that got any answer. */
        public long answered() {
            return served.getTotalCount() + refused.getTotalCount() + failed;
        }
    }

    private final Reactor reactor;
    private final InetSocketAddress to;
    private final Plan plan;
    private final String idPrefix;
    private final byte[] body;
    private final EventSink witness;
    private final Deque<Client> idle = new ArrayDeque<>();
    private final Deque<Long> due = new ArrayDeque<>();
    private Seen seen = new Seen();
    private long count;
    private int open;
    private final Set<Client> all = new HashSet<>();
    private long nextNs;
    private boolean stopping;
    private volatile boolean resends = true;
    private volatile boolean connects = true;
    private int out;

    /** Clients of this thread; the prefix keeps their jobs' ids apart from those of others, and the witness hears of all they see. */
    public Clients(Reactor reactor, InetSocketAddress to, Plan plan, String idPrefix, EventSink witness) {
        this.witness = witness;
        this.reactor = reactor;
        this.to = to;
        this.plan = plan;
        this.idPrefix = idPrefix;
        body = "w".repeat(plan.bodyBytes).getBytes(StandardCharsets.US_ASCII);
    }

    /** Begins. */
    public void start() {
        reactor.post(() -> {
            if (plan.perSecond > 0) {
                nextNs = System.nanoTime();
                tick();
            } else {
                for (int i = 0; i < plan.connections; i++) {
                    open();
                }
            }
        });
    }

    /**
     * Whether what a kept connection's end crossed is sent once more. Off while a scheduler is killed: a client can't tell
     * then whether its request had been read. Any thread.
     */
    public void resends(boolean on) {
        resends = on;
    }

    /** Whether new connections are made, as a front has it: it sends nobody to a scheduler that it knows to be leaving. Any thread. */
    public void connects(boolean on) {
        connects = on;
    }

    private void onceOpen(Runnable task) {
        if (connects) {
            task.run();
        } else {
            reactor.at(System.nanoTime() + RETRY_NS, () -> onceOpen(task));
        }
    }

    /** What was seen since the last call, or the start. Any thread. */
    public Seen take() throws InterruptedException {
        Seen[] taken = new Seen[1];
        CountDownLatch done = new CountDownLatch(1);
        reactor.post(() -> {
            taken[0] = seen;
            seen = new Seen();
            done.countDown();
        });
        done.await();
        return taken[0];
    }

    /** Begins no more jobs; true once all that were begun have ended and their connections with them. Any thread. */
    public boolean ends() throws InterruptedException {
        boolean[] over = new boolean[1];
        CountDownLatch done = new CountDownLatch(1);
        reactor.post(() -> {
            stopping = true;
            due.clear();
            over[0] = out == 0;
            if (over[0]) {
                new ArrayList<>(all).forEach(Client::close); // what rests would keep others out
            }
            done.countDown();
        });
        done.await();
        return over[0];
    }

    private void tick() {
        long now = System.nanoTime();
        while (nextNs <= now && !stopping) {
            due.addLast(nextNs);
            nextNs += (long) (1e9 / plan.perSecond);
        }
        spread();
        if (!stopping) {
            reactor.at(nextNs, this::tick);
        }
    }

    private void spread() {
        while (!due.isEmpty()) {
            Client c = idle.pollFirst();
            if (c == null && open < plan.connections) {
                c = open();
            }
            if (c == null) {
                return; // all are busy: the job waits, and its time runs
            }
            c.begin(due.pollFirst());
        }
    }

    private Client open() {
        Client c = new Client();
        open++;
        reactor.connect(to, c);
        if (plan.perSecond <= 0) {
            c.begin(System.nanoTime());
        }
        return c;
    }

    private final class Client extends Peer {
        private long startNs;
        private boolean waits;
        /** A kept connection: its end may cross a request, which the protocol lets a client send once more. */
        private boolean kept;
        /** A refused client comes back when it was told to. */
        private long againNs = RETRY_NS;
        private String id;
        private String head;
        private boolean asked;
        /** Sends once more what another connection's end crossed. */
        private boolean again;

        Client() {
            all.add(this);
        }

        void begin(long meantNs) {
            begin(meantNs, idPrefix + Long.toHexString(count++));
        }

        private void begin(long meantNs, String withId) {
            id = withId;
            asked = false;
            startNs = meantNs;
            waits = true;
            out++;
            seen.begun++;
            head = "POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: "
                + plan.kind + "\r\nReq-Deadline-Ms: " + plan.deadlineMs + "\r\nContent-Length: " + body.length + "\r\n\r\n";
            byte[] text = new byte[head.length() + body.length];
            System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, text, 0, head.length());
            System.arraycopy(body, 0, text, head.length(), body.length);
            write(text);
        }

        @Override
        protected void sending() {
            if (witness.isEnabled() && again) {
                witness.accept(Event.of(Type.AGAIN, id, "", Fleet.SCHEDULER));
            } else if (witness.isEnabled()) {
                witness.accept(Event.ask(id, Fleet.SCHEDULER, plan.kind, plan.deadlineMs, Checksums.forwarded(head, null, body)));
            }
            asked = true;
        }

        @Override
        protected void message(String head, byte[] answer) {
            if (!waits) {
                return;
            }
            waits = false;
            kept = true;
            again = false;
            out--;
            long took = Math.min(MOST_NS, Math.max(1, System.nanoTime() - startNs));
            String status = head.substring(9, 12);
            if (witness.isEnabled()) {
                String advice = header(head, "Retry-After");
                witness.accept(Event.of(Type.ANSWER, id, "", "").withResponse(Integer.parseInt(status), Checksums.body(answer))
                    .retryAfter(advice == null ? "" : advice));
            }
            switch (status) {
                case "200" -> seen.served.recordValue(took);
                case "429", "503" -> seen.refused.recordValue(took);
                default -> seen.failed++;
            }
            boolean ends = head.contains("onnection: close");
            String wait = status.equals("200") ? null : header(head, "Retry-After");
            againNs = wait == null ? RETRY_NS : (long) (Double.parseDouble(wait) * 1e9);
            if (ends) {
                close();
            } else if (plan.perSecond > 0) {
                idle.addFirst(this);
                spread();
            } else if (!stopping) {
                if (status.equals("200")) {
                    begin(System.nanoTime());
                } else {
                    reactor.at(System.nanoTime() + againNs, () -> {
                        if (!stopping && !isClosed() && !waits) {
                            begin(System.nanoTime());
                        }
                    });
                }
            }
        }

        /** The same request on a new connection. */
        private void resend(long atNs) {
            seen.begun--;
            Client once = new Client();
            once.again = true;
            open++;
            out++;
            reactor.at(atNs, () -> onceOpen(() -> {
                out--;
                reactor.connect(to, once);
                once.begin(startNs, id);
            }));
        }

        @Override
        protected void ended() {
            open--;
            all.remove(this);
            idle.remove(this);
            if (waits) {
                waits = false;
                out--;
                if (witness.isEnabled() && asked) {
                    witness.accept(Event.cut(id, kept));
                }
                if (kept && asked && resends) {
                    resend(System.nanoTime());
                    return;
                }
                if (again && !asked) {
                    resend(System.nanoTime() + RETRY_NS); // nobody was there
                    return;
                }
                seen.unanswered++;
            }
            if (!stopping && plan.perSecond <= 0) {
                reactor.at(System.nanoTime() + againNs, () -> onceOpen(() -> {
                    if (!stopping) {
                        open();
                    }
                }));
            }
        }
    }
}
