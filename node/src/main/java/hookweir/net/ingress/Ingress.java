package hookweir.net.ingress;

import hookweir.net.HalfClose;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.Message;
import hookweir.net.Transport;
import hookweir.net.ingress.IngressConnection.Phase;
import hookweir.room.Room;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;

/**
 * The client's side: owns the listening address and all accepted connections, those of workers' call-backs
 * included. It hands whole requests to its {@link Handler} on the loop and writes the answers; which decisions
 * they lead to is none of its business, so another protocol's ingress can stand beside it.
 */
public final class Ingress {
    /** Takes whole requests, on the loop. Each is to be answered once. */
    public interface Handler {
        /** The request's body counts as held until {@link Ingress#release}. */
        void request(IngressConnection from, IngressRequest request);

        /** This path brings a job. */
        boolean isJob(String path);

        /** The number of a class as clients name it, or -1. */
        int numberOf(String kind);

        /** A job of this class, as named, found no room before its body was read; its client is told. */
        void turnedAway(String kind);

        /** When to come back, for those turned away: a Retry-After, or null. */
        String comeBack();
    }

    private static final Attribute<IngressConnection> HERE =
        Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hookweir.ingress");
    /** A kept connection may stand unused for so long. */
    private static final long SILENT_US = 60_000_000;
    /**
     * From accepting a connection to the end of its first request, and from a request's first byte to its last. Good
     * clients may write for 2 s, and bad ones are owed an answer within 3 s, the sweep's turn included.
     */
    private static final long SLOW_US = 2_500_000;
    private static final long SWEEP_US = 200_000;
    /** Where no client rests, a crowd does not have all of them looked through for each job that it brings. */
    private static final long LOOK_AGAIN_US = 50_000;
    /** So much is read and dropped at a time; a sender of more is left to stall for so long, again and again. */
    private static final int MOST_DROPPED = 256 * 1024;
    private static final long STALL_US = 100_000;
    private static final int MOST_AHEAD = 8;
    /** Bytes behind those, on one connection and on all; whoever sends more is cut off after what was taken. */
    private static final int MOST_KEPT = 16 * 1024;
    private static final int MOST_KEPT_IN_ALL = 1024 * 1024;
    /** Those that made way at the cap and still linger: their descriptors come on top, out of the process's own. */
    private static final int MOST_LEAVING = 16;
    /** A job's body waits so long for room; good clients still have time to go elsewhere then. */
    private static final long WAIT_US = 500_000;
    /** A client that does not read its answer may be cut off after so long, while results lack room. */
    private static final long UNREAD_US = 3_000_000;
    private static final byte[] NOTHING = new byte[0];
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final String CALLBACK = "/callback";
    private static final int NO_CONTENT = 204;
    private static final int BAD = 400;
    private static final int TIMED_OUT = 408;
    private static final int SHED = 429;
    private static final int FAILED = 500;
    /** After so many requests that were no good, each further one is followed by a pause. */
    private static final int MOST_ERRORS = 3;
    private static final long PENANCE_US = 100_000;

    private final Loop loop;
    private final Transport transport;
    private final Invariants invariants;
    private final Room room;
    private final Handler handler;
    /** How many links to workers there are. */
    private final IntSupplier links;
    /** Connections that brought a job. */
    private int clients;
    private final Set<IngressConnection> all = new LinkedHashSet<>();
    /** Those whose body waits for room, in order. */
    private final Set<IngressConnection> waiting = new LinkedHashSet<>();
    private boolean lettingIn;
    private final Door door;
    /** Those that made way at the cap, and linger beside all the others. */
    private final Set<IngressConnection> leaving = new LinkedHashSet<>();
    private boolean sendingAway;
    private int writing;
    /** Bytes that were read and can't be looked at yet. */
    private int kept;
    private long noneRestsUntilUs;
    private boolean accepting;

    public Ingress(Loop loop, Transport transport, Invariants invariants, Room room, IntSupplier links, Handler handler) {
        this.loop = loop;
        this.transport = transport;
        this.invariants = invariants;
        this.room = room;
        this.links = links;
        this.handler = handler;
        door = new Door(loop, TCPNIOBindingHandler.builder(transport.tcp()).processor(FilterChainBuilder.stateless()
            .add(new TransportFilter()).add(new RequestFilter()).build()).build(), invariants);
    }

    /** Takes the address, or the listening socket inherited as descriptor 0; the port that it got. */
    public int listen(InetSocketAddress at, boolean inherited) throws IOException {
        int port = door.listen(at, inherited);
        loop.post(this::sweep);
        return port;
    }

    /** Lets clients in, or leaves them to whoever else accepts from the same socket. */
    public void accepts(boolean on) {
        door.accepts(on);
    }

    /** Runs on the selector: reads requests, each as far as there is room for it. */
    private final class RequestFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            Connection<?> c = ctx.getConnection();
            IngressConnection here = new IngressConnection(c, loop.nowUs());
            HERE.set(c, here);
            c.addCloseListener((CloseListener<Closeable, CloseType>) (closeable, type) -> loop.post(() -> closed(here)));
            opened(here);
            door.accepted();
            if (!accepting) {
                accepting = true;
                loop.post(() -> {
                    door.acceptMore();
                    accepting = false;
                });
            }
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            IngressConnection here = HERE.get(ctx.getConnection());
            Buffer in = ctx.getMessage();
            int n = in.remaining();
            byte[] bytes = transport.received(in);
            if (here != null) {
                loop.now(() -> read(here, bytes, 0, n));
            }
            return ctx.getStopAction();
        }
    }

    private void read(IngressConnection c, byte[] bytes, int from, int to) {
        if (c.rest != null) {
            keepBehind(c, bytes, from, to); // what was read before comes first
            return;
        }
        Framing framing = c.framing;
        for (int at = from; at < to && !c.deaf();) {
            if (stalls(c)) {
                c.insideSinceUs = 0;
                keepBehind(c, bytes, at, to);
                return;
            }
            at = framing.feed(bytes, at, to);
            if (framing.announced() > 0 && framing.fault() == 0 && !admit(c)) {
                keep(c, Arrays.copyOfRange(bytes, at, to));
                return;
            }
            if (framing.fault() != 0) {
                drop(c, to - at);
                unreadable(c, framing.fault());
                return;
            }
            if (framing.whole()) {
                IngressRequest request = framing.take();
                count(c, request.body().length - c.reserved);
                c.reserved = 0;
                arrived(c, request);
            }
        }
        if (c.deaf()) {
            drop(c, to - from);
        } else if (!framing.inside()) {
            c.insideSinceUs = 0;
        } else if (c.insideSinceUs == 0) {
            c.insideSinceUs = loop.nowUs();
        }
    }

    /** No further request of it is looked at until one was answered, or its pause is over. */
    private static boolean stalls(IngressConnection c) {
        return c.ahead.size() >= MOST_AHEAD || c.penance;
    }

    /**
     * Puts aside what comes behind requests that wait. It is read at all, so that its sender's end is seen: of a client that
     * left nothing more is sent on. Of a sender of too much the rest is dropped, and it hears so after its answers.
     */
    private void keepBehind(IngressConnection c, byte[] bytes, int from, int to) {
        int had = c.rest == null ? 0 : c.rest.length;
        int n = to - from;
        if (c.waitsSinceUs == 0 && (had + n > MOST_KEPT || kept + n > MOST_KEPT_IN_ALL)) {
            invariants.count("ingress sent too much ahead");
            drop(c, had + n);
            keep(c, null);
            unreadable(c, SHED);
            return;
        }
        byte[] both = had == 0 ? new byte[n] : Arrays.copyOf(c.rest, had + n);
        System.arraycopy(bytes, from, both, had, n);
        keep(c, both);
    }

    private void keep(IngressConnection c, byte[] rest) {
        kept += (rest == null ? 0 : rest.length) - (c.rest == null ? 0 : c.rest.length);
        c.rest = rest;
    }

    /** Looks at what was put aside, where nothing holds it up any more. */
    private void readRest(IngressConnection c) {
        if (c.rest != null && c.waitsSinceUs == 0 && !stalls(c)) {
            byte[] rest = c.rest;
            keep(c, null);
            read(c, rest, 0, rest.length);
        }
    }

    /** Nothing more of this connection is looked at. */
    private void drop(IngressConnection c, int bytes) {
        c.enter(Phase.DEAF);
        count(c, -c.reserved);
        c.reserved = 0;
        if (c.ended() && bytes > 0) {
            invariants.count("ingress bytes after the end");
        }
        c.dropped += bytes;
        if (c.dropped > MOST_DROPPED && !c.stalled) {
            // Its end has to be seen all the same: what it sent before may wait for a worker still.
            c.stalled = true;
            reads(c, false);
            loop.after(STALL_US, () -> {
                c.stalled = false;
                c.dropped = 0;
                if (c.connection.isOpen()) {
                    reads(c, true);
                }
            });
        }
    }

    /** Counts bytes of the message that is coming in, or takes them off. */
    private void count(IngressConnection c, int bytes) {
        if (bytes < 0) {
            let(c.callback, -bytes);
        } else if (bytes > 0) {
            invariants.hold(false, "a body was longer than announced");
        }
    }

    private void let(boolean callback, int bytes) {
        if (callback) {
            room.resultGone(bytes);
        } else {
            room.bodyGone(bytes);
        }
        if (!waiting.isEmpty() && !lettingIn) {
            lettingIn = true;
            loop.post(this::letIn);
        }
    }

    /** Whoever a request was given to no longer keeps its body. */
    public void release(IngressRequest request) {
        if (request.body().length > 0) {
            let(isCallback(request.path()), request.body().length);
        }
    }

    private static boolean isCallback(String path) {
        return path.equals(CALLBACK);
    }

    /** Clients have all the connections that they may; what is left is for the calls that end their jobs. */
    private boolean isOneTooMany(IngressConnection c, String path) {
        return !c.carriesJobs && clients >= room.mostClients() && handler.isJob(path) && !makesWay();
    }

    /** The client that rests longest, if any does, leaves its connection to one that brings a job. */
    private boolean makesWay() {
        long now = loop.nowUs();
        if (now < noneRestsUntilUs) {
            return false;
        }
        for (IngressConnection c : all) { // the longest unused first
            if (c.carriesJobs && c.resting() && !c.closing() && c.cost(now) < IngressConnection.YOUNG) {
                invariants.count("ingress made way for a job");
                evict(c);
                return true;
            }
        }
        noneRestsUntilUs = now + LOOK_AGAIN_US;
        return false;
    }

    /** Finds room for the body that was announced, or has the connection wait for it with its reading off. */
    private boolean admit(IngressConnection c) {
        int bytes = c.framing.announced();
        c.callback = isCallback(c.framing.path());
        if (isOneTooMany(c, c.framing.path())) {
            turnAway(c, c.framing.kind());
            return true;
        }
        Room.Verdict verdict = c.callback ? room.result(bytes) : room.body(handler.numberOf(c.framing.kind()), bytes);
        if (verdict == Room.Verdict.TAKE) {
            c.reserved = bytes;
            c.framing.admit();
            if (c.framing.takeExpectation()) {
                write(c, transport.pooled(CONTINUE), () -> { });
            }
            return true;
        }
        if (c.waitsSinceUs == 0) {
            invariants.count("ingress waits for room");
            c.waitsSinceUs = loop.nowUs();
            waiting.add(c);
            regulate(c);
        }
        return false;
    }

    /** Something was let go of: those that wait for room try again, the first to come first. */
    private void letIn() {
        lettingIn = false;
        for (IngressConnection c : new ArrayList<>(waiting)) {
            if (!c.closing() && admit(c)) {
                goOn(c);
            }
        }
    }

    private void goOn(IngressConnection c) {
        if (c.deaf()) {
            return; // it was turned away after all
        }
        waiting.remove(c);
        c.waitsSinceUs = 0;
        c.insideSinceUs = loop.nowUs(); // the time it waited was not its client's
        readRest(c);
        regulate(c);
    }

    /** No room was found in time: the client hears so now, as far as its place in the order of answers allows. */
    private void turnAway(IngressConnection c, String kind) {
        waiting.remove(c);
        c.waitsSinceUs = 0;
        keep(c, null);
        invariants.count("ingress turned away for room");
        handler.turnedAway(kind);
        drop(c, 0);
        regulate(c);
        unreadable(c, SHED);
    }

    /**
     * Reads on, or lets the rest wait in the kernel. Guards memory against bodies that find no room, and the loop against a
     * client that sends the same bad thing again and again.
     */
    private void regulate(IngressConnection c) {
        boolean held = !c.closing() && (c.penance || c.waitsSinceUs != 0);
        if (held != c.held) {
            c.held = held;
            invariants.count(held ? "ingress held back" : "ingress read on");
            reads(c, !held);
        }
    }

    private static void reads(IngressConnection c, boolean on) {
        try {
            if (on) {
                ((NIOConnection) c.connection).enableIOEvent(IOEvent.READ);
            } else {
                ((NIOConnection) c.connection).disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            c.connection.closeSilently();
        }
    }

    private void opened(IngressConnection c) {
        all.add(c);
        fit();
    }

    /** Keeps to the descriptors that there are: ends connections as far as that harms nobody, and shuts the door else. */
    public void fit() {
        int most = room.mostAccepted(links.getAsInt());
        for (var victim = victim(); all.size() > most && victim.isPresent(); victim = victim()) {
            evict(victim.get());
        }
        // Once it is shut it opens where one may leave for the next: else those that rest would keep everybody out.
        door.full(all.size() > most || all.size() == most && door.isFull() && cheapest().isEmpty());
    }

    /**
     * The one whose end costs least, of several such the longest unused; none where each would lose a job. Those who come
     * then wait in the kernel: clients with a job under way have their answers first.
     */
    private Optional<IngressConnection> victim() {
        return all.size() <= room.mostAccepted(links.getAsInt()) ? Optional.empty() : cheapest();
    }

    private Optional<IngressConnection> cheapest() {
        long now = loop.nowUs();
        IngressConnection best = null;
        int least = IngressConnection.YOUNG;
        for (IngressConnection c : all) {
            int cost = c.cost(now);
            if (cost < least) {
                least = cost;
                best = c;
            }
        }
        return Optional.ofNullable(best);
    }

    private void evict(IngressConnection victim) {
        invariants.count("ingress closed at the cap");
        all.remove(victim);
        if (victim.carriesJobs) {
            victim.carriesJobs = false;
            clients--;
        }
        if (victim.resting() && leaving.size() < MOST_LEAVING) {
            leaving.add(victim);
            end(victim);
        } else {
            victim.enter(Phase.CLOSED);
            victim.connection.closeSilently();
        }
    }

    private void closed(IngressConnection c) {
        c.enter(Phase.CLOSED);
        all.remove(c);
        if (c.carriesJobs) {
            clients--;
        }
        leaving.remove(c);
        if (door.isFull()) {
            fit();
        }
        waiting.remove(c);
        c.ahead.forEach(this::release);
        c.ahead.clear();
        keep(c, null);
        drop(c, 0);
        if (c.linger != null) {
            c.linger.cancel();
        }
        if (c.onGone != null) {
            Runnable gone = c.onGone;
            c.onGone = null;
            gone.run();
        }
    }

    private void arrived(IngressConnection c, IngressRequest request) {
        if (c.closing()) {
            release(request);
            return;
        }
        if (isOneTooMany(c, request.path())) {
            release(request);
            turnAway(c, request.headers().kind());
            return;
        }
        c.lastUsedUs = loop.nowUs();
        c.proven = true;
        if (c.current != null) {
            c.ahead.add(request);
            return;
        }
        begin(c, request);
    }

    private void begin(IngressConnection c, IngressRequest request) {
        c.current = request;
        all.remove(c);
        all.add(c); // the longest unused one stands first
        handler.request(c, request);
    }

    /** What came can't be read: an error ends the connection, after the answers to what could be. */
    private void unreadable(IngressConnection c, int status) {
        invariants.count("ingress unreadable " + status);
        c.fault = status;
        if (c.idle() && !c.closing()) {
            endWithError(c);
        }
    }

    private void endWithError(IngressConnection c) {
        c.enter(Phase.LAST_WORD);
        regulate(c);
        Message head = head(c.fault, 0, c.fault == SHED ? handler.comeBack() : null).header("Connection", "close").line();
        write(c, transport.pooled(head, NOTHING), () -> end(c));
    }

    /**
     * The one way to end a connection whose client may still write: its output is shut, and what comes is dropped until the
     * client's end or a bound. A client that reads on sees the end at once, and its own end is seen here.
     */
    private void end(IngressConnection c) {
        if (c.enter(Phase.LINGERING) && HalfClose.shutOutput(c.connection)) {
            drop(c, 0);
            keep(c, null);
            regulate(c);
            c.linger = loop.after(HalfClose.LINGER_US, c.connection::closeSilently);
        }
    }

    private Message head(int status, int bodyBytes, String retryAfter) {
        Message m = transport.message().add(StatusLine.of(status));
        if (status != NO_CONTENT) {
            m.add("Content-Length: ").add(bodyBytes).line();
        }
        return m.header("Retry-After", retryAfter);
    }

    /** Writes and counts what its peer has not taken yet; the task runs, in the loop's next turn, when it has. */
    private void write(IngressConnection c, Buffer message, Runnable taken) {
        int bytes = message.remaining();
        room.output(bytes);
        writing++;
        if (c.unreadSinceUs == 0) {
            c.unreadSinceUs = loop.nowUs();
        }
        c.unread += bytes;
        @SuppressWarnings("unchecked")
        Connection<SocketAddress> out = (Connection<SocketAddress>) c.connection;
        out.write(message, new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
            @Override
            public void completed(WriteResult<Buffer, SocketAddress> result) {
                loop.post(() -> {
                    over();
                    taken.run();
                });
            }

            @Override
            public void failed(Throwable t) {
                c.connection.closeSilently();
                loop.post(this::over);
            }

            private void over() {
                writing--;
                room.outputGone(bytes);
                c.unread -= bytes;
                c.unreadSinceUs = c.unread == 0 ? 0 : loop.nowUs();
            }
        });
    }

    /** Marks what to do if the client leaves before its answer. */
    public void onGone(IngressConnection c, Runnable gone) {
        if (!c.carriesJobs) {
            c.carriesJobs = true;
            clients++;
        }
        c.onGone = gone;
    }

    /** Marks a connection that carries call-backs: it is of use for as long as jobs are out. */
    public void carriesCallbacks(IngressConnection c) {
        c.carriesCallbacks = true;
    }

    /** Answers the connection's present request; retryAfter may be null. */
    public void answer(IngressConnection c, int status, String retryAfter, byte[] body) {
        IngressRequest request = c.current;
        if (!invariants.hold(request != null, "answer without a request")) {
            return;
        }
        c.onGone = null;
        if (c.closing()) {
            return;
        }
        c.errors = status >= BAD && status != SHED && status < FAILED ? c.errors + 1 : 0;
        if (c.errors > MOST_ERRORS && !c.penance) {
            c.penance = true;
            regulate(c);
            loop.after(PENANCE_US, () -> {
                c.penance = false;
                readRest(c);
                regulate(c);
            });
        }
        // While newcomers wait at the door workers take turns: the calls that wait there end jobs too. What a client sent ahead
        // was taken, and is answered before it is sent away.
        boolean ends = !request.keepAlive() || (c.carriesCallbacks ? door.isFull() : sendingAway && c.nothingAhead());
        Message head = head(status, body.length, retryAfter);
        if (ends) {
            c.enter(Phase.LAST_WORD);
            regulate(c);
            head.header("Connection", "close");
        } else if (request.oldVersion()) {
            head.header("Connection", "keep-alive");
        }
        write(c, transport.pooled(head.line(), body), () -> answered(c, ends));
    }

    private void answered(IngressConnection c, boolean ends) {
        c.current = null;
        c.lastUsedUs = loop.nowUs();
        if (ends) {
            end(c);
        } else if (!c.ahead.isEmpty()) {
            begin(c, c.ahead.poll());
            readRest(c);
        } else if (c.fault != 0 && !c.closing()) {
            endWithError(c);
        }
    }

    /** Guards against clients that say nothing, or stop in mid-request, and connections nobody uses any more. */
    private void sweep() {
        long now = loop.nowUs();
        if (door.isFull()) {
            fit();
        }
        for (IngressConnection c : new ArrayList<>(all)) {
            long inside = c.insideSinceUs;
            boolean slow = inside != 0 ? now - inside > SLOW_US : !c.proven && now - c.openedUs > SLOW_US;
            if (c.unreadSinceUs != 0 && now - c.unreadSinceUs > UNREAD_US && room.choked()) {
                invariants.count("ingress answer not read");
                c.connection.terminateSilently();
                continue;
            }
            if (c.waitsSinceUs != 0) {
                if (now - c.waitsSinceUs > WAIT_US && !c.callback && !c.closing()) {
                    turnAway(c, c.framing.kind());
                }
                continue;
            }
            if (c.closing() || !c.idle()) {
                continue;
            }
            if (slow && inside != 0 && c.framing.path() != null && isCallback(c.framing.path())) {
                // An answer, whatever it says, would end the worker's tries, and with them the job.
                invariants.count("ingress slow call-back");
                end(c);
            } else if (slow && inside != 0) {
                invariants.count("ingress slow request");
                c.fault = TIMED_OUT;
                endWithError(c);
            } else if (sendingAway && c.mayLeave(now)) {
                end(c);
            } else if (slow || now - c.lastUsedUs > SILENT_US) {
                invariants.count("ingress silent");
                end(c);
            }
        }
        loop.after(SWEEP_US, this::sweep);
    }

    /**
     * While on, answers end their connections and idle ones are ended, once what lies on them unread has been read; new ones
     * are still accepted and served. A connection whose first request is due, or on which one is coming in, is not idle: its
     * client would lose a job.
     */
    public void sendAway(boolean on) {
        sendingAway = on;
        loop.afterRound(() -> {
            long now = loop.nowUs();
            for (IngressConnection c : new ArrayList<>(all)) {
                if (sendingAway && c.mayLeave(now)) {
                    end(c);
                }
            }
        });
    }

    /**
     * Nothing is being read or answered, and no client's connection is left: each was ended in two halves, as a request may come
     * on it until then.
     */
    public boolean quiet() {
        return writing == 0 && leaving.isEmpty() && all.stream().allMatch(c -> c.isQuiet() && c.carriesCallbacks);
    }

    /** Open connections. */
    public int size() {
        return all.size();
    }
}
