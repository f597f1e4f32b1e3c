package hookweir.lab.standin;

import hookweir.lab.check.Event;
import hookweir.lab.check.Event.Type;
import hookweir.lab.net.Peer;
import hookweir.lab.net.Reactor;
import hookweir.lab.record.Checksums;
import hookweir.lab.record.EventSink;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Stand-in workers, each on a port of its own, that take every job and end it after a fixed time by a call-back, and the
 * list of them. They follow the protocol and check it: an attempt of a job that they hold or held counts as a breach.
 */
public final class Fleet {
    private static final long HEARTBEAT_NS = 2_000_000_000L;
    private static final int MOST_TRIES = 10;
    private static final long AGAIN_NS = 100_000_000L;
    /** The one scheduler round which they stand, as histories name it. */
    public static final String SCHEDULER = "n1";

    private static final String NO_BODY = "Content-Length: 0\r\n\r\n";

    private final Reactor reactor;
    private final long serviceNs;
    private final byte[] result;
    private final int slots;
    private final List<Integer> ports = new ArrayList<>();
    private final Deque<Caller> idle = new ArrayDeque<>();
    private final Set<String> seen = new HashSet<>();
    private final EventSink witness;
    private final boolean freshCalls;
    /** From a job's end to the answer to its call-back, in µs. */
    private final Histogram calls = new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(2), 3);
    private InetSocketAddress scheduler;
    private volatile boolean hangs;
    private volatile long begun;
    private volatile long probes;
    private volatile long probeBytes;
    private volatile long connections;
    private volatile long dials;
    private volatile long probeDials;
    private volatile long twice;
    private volatile long dropped;

    /**
     * So many workers, of so many slots in their reports.
     *
     * @param serviceNs from taking a job to telling its end, in ns
     * @param resultBytes length of each result
     * @param freshCalls each call-back goes on a connection of its own, as some workers' libraries do
     * @param witness hears of all that they see
     */
    public Fleet(Reactor reactor, int workers, int slots, long serviceNs, int resultBytes, boolean freshCalls, EventSink witness) throws IOException {
        this.reactor = reactor;
        this.witness = witness;
        this.freshCalls = freshCalls;
        this.serviceNs = serviceNs;
        this.slots = slots;
        result = "r".repeat(resultBytes).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < workers; i++) {
            String name = String.format("s-%08x", i);
            int[] busy = new int[1];
            Set<String> had = new HashSet<>();
            ports.add(reactor.listen(0, () -> new Worker(name, busy, had)));
            if (witness.isEnabled()) {
                witness.accept(Event.location(name, "a", 0));
            }
        }
    }

    /** Serves the list of these workers; the port. */
    public int list() throws IOException {
        return reactor.listen(0, Watcher::new);
    }

    /** Where the ends of jobs are told. */
    public void tells(InetSocketAddress newScheduler) {
        reactor.post(() -> {
            scheduler = newScheduler;
            idle.clear();
            seen.clear();
        });
    }

    /** While on, workers take jobs and never end them. Any thread. */
    public void hangs(boolean on) {
        hangs = on;
    }

    /** Jobs begun so far. */
    public long begun() {
        return begun;
    }

    /** Probes answered so far. */
    public long probes() {
        return probes;
    }

    /** Bytes of the probes' requests so far. */
    public long probeBytes() {
        return probeBytes;
    }

    /** Connections that workers accepted so far. */
    public long connections() {
        return connections;
    }

    /** Of the connections to workers, those whose first call was a probe or a notice. */
    public long probeDials() {
        return probeDials;
    }

    /** Connections to workers over which anything was called so far. */
    public long dials() {
        return dials;
    }

    /** Attempts of a job that some worker had already. */
    public long twice() {
        return twice;
    }

    /** From each job's end to the answer to its call-back, in µs. */
    public Histogram calls() {
        return calls;
    }

    /** Call-backs that got no answer. */
    public long dropped() {
        return dropped;
    }

    /** The list of them, in discovery's form. */
    public String servers() {
        StringBuilder out = new StringBuilder("{\"version\":1,\"full\":true,\"servers\":[");
        for (int i = 0; i < ports.size(); i++) {
            out.append(i == 0 ? "" : ",").append(String.format("{\"id\":\"s-%08x\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"kind\":\"m\","
                + "\"cell\":0,\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}", i, ports.get(i)));
        }
        return out.append("]}\n").toString();
    }

    private final class Worker extends Peer {
        private final String name;
        private final int[] busy;
        /** Ids that this worker got, where somebody writes them down. */
        private final Set<String> had;
        private boolean counted;

        Worker(String name, int[] busy, Set<String> had) {
            this.name = name;
            this.busy = busy;
            this.had = had;
            connections++;
        }

        @Override
        protected void message(String head, byte[] body) {
            if (!counted) {
                counted = true;
                probeDials += head.startsWith("POST ") ? 0 : 1;
                dials++;
            }
            if (head.startsWith("POST ")) {
                begun++;
                String id = header(head, "Req-Id");
                if (!seen.add(id)) {
                    twice++;
                }
                if (witness.isEnabled()) {
                    had.add(id);
                    witness.accept(Event.of(Type.ATTEMPT, id, name, SCHEDULER).checksum(Checksums.forwarded(head, header(head, "Idempotency-Key"), body)));
                }
                busy[0]++;
                write("HTTP/1.1 202 Accepted\r\n" + NO_BODY);
                if (hangs) {
                    return; // taken, and never ended
                }
                if (serviceNs == 0) {
                    done(id);
                } else {
                    reactor.at(System.nanoTime() + serviceNs, () -> done(id));
                }
            } else if (head.startsWith("GET ")) {
                probes++;
                probeBytes += head.length();
                String report = "x0=" + Math.max(0, slots - busy[0]);
                write("HTTP/1.1 200 OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report);
            } else {
                String id = head.substring(head.indexOf("/jobs/") + 6, head.indexOf(' ', head.indexOf("/jobs/")));
                if (witness.isEnabled() && had.contains(id)) {
                    witness.accept(Event.of(Type.CANCEL, id, name, ""));
                }
                write("HTTP/1.1 200 OK\r\n" + NO_BODY);
            }
        }

        private void done(String id) {
            busy[0]--;
            if (witness.isEnabled()) {
                witness.accept(Event.end(id, name, "done", Checksums.body(result)));
            }
            String head = "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"done\",\"result\":\"";
            Caller caller = freshCalls ? null : idle.pollFirst();
            while (caller != null && caller.isClosed()) {
                caller = idle.pollFirst();
            }
            if (caller == null) {
                caller = new Caller();
                reactor.connect(scheduler, caller);
            }
            caller.begunNs = System.nanoTime();
            caller.tell(id, name, head, result);
        }

        @Override
        protected void ended() {
            // its jobs end all the same, as real ones do
        }
    }

    /** A connection for call-backs. */
    private final class Caller extends Peer {
        private boolean calling;
        private int tries;
        private long begunNs;
        private String id;
        private String worker;
        private String head;
        private byte[] text;

        void tell(String ofId, String ofWorker, String newHead, byte[] newText) {
            id = ofId;
            worker = ofWorker;
            head = newHead;
            text = newText;
            calling = true;
            write("POST /callback HTTP/1.1\r\nHost: s\r\nContent-Type: application/json\r\nContent-Length: " + (head.length() + text.length + 2)
                + "\r\n\r\n" + head + new String(text, StandardCharsets.US_ASCII) + "\"}");
        }

        @Override
        protected void message(String head, byte[] body) {
            calling = false;
            tries = 0;
            if (witness.isEnabled()) {
                witness.accept(Event.of(Type.CALL, id, worker, "").number(Integer.parseInt(head.substring(9, 12))));
            }
            calls.recordValue(Math.min(calls.getHighestTrackableValue(), (System.nanoTime() - begunNs) / 1000));
            if (freshCalls || head.contains("onnection: close")) {
                close();
            } else {
                idle.addFirst(this);
            }
        }

        @Override
        protected void ended() {
            if (calling && ++tries < MOST_TRIES) {
                // As the protocol has it: each call until it gets an answer, ten times at most.
                Caller again = new Caller();
                again.tries = tries;
                again.begunNs = begunNs;
                reactor.at(System.nanoTime() + AGAIN_NS, () -> {
                    reactor.connect(scheduler, again);
                    again.tell(id, worker, head, text);
                });
            } else if (calling) {
                dropped++;
            }
        }
    }

    /** Somebody who asks for the list. */
    private final class Watcher extends Peer {
        @Override
        protected void message(String head, byte[] body) {
            String whole = servers();
            if (head.contains("watch=1")) {
                write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(whole));
                beat();
            } else {
                write("HTTP/1.1 200 OK\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole);
            }
        }

        private void beat() {
            reactor.at(System.nanoTime() + HEARTBEAT_NS, () -> {
                if (!isClosed()) {
                    write(chunk("\n"));
                    beat();
                }
            });
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        @Override
        protected void ended() {
            // nothing is kept of it
        }
    }

    /** The loopback address with this port. */
    public static InetSocketAddress local(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
