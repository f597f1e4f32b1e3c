package hookweir.net.ingress;

import hookweir.net.ChunkedBody;
import hookweir.net.Invariants;
import hookweir.net.Log;
import hookweir.net.Loop;
import hookweir.net.Transport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * The client's side: owns the listening address and all accepted connections, those of workers' call-backs
 * included. It hands whole requests to its {@link Handler} on the loop and writes the answers; which decisions
 * they lead to is none of its business, so another protocol's ingress can stand beside it.
 */
public final class Ingress {
    /** Takes whole requests, on the loop. Each is to be answered once. */
    public interface Handler {
        void request(IngressConnection from, IngressRequest request);
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
    /** After an error that ends a connection, its client has so long to read it. */
    private static final long LINGER_US = 500_000;
    /** So much is still read and dropped then, lest a reset overtake the error; a sender of more is left to stall. */
    private static final int MOST_DROPPED = 256 * 1024;
    private static final int MOST_AHEAD = 8;
    /** Connections accepted but not yet known to the loop may go over the cap by so many, then the door is shut. */
    private static final int UNSEEN = 8;
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
    private final Handler handler;
    /** Read by the selector. */
    private volatile int mostConnections;
    private final Set<IngressConnection> all = new LinkedHashSet<>();
    private final TCPNIOBindingHandler binding;
    private TCPNIOServerConnection listener;
    private final AtomicInteger accepted = new AtomicInteger();
    /** Clients are to be let in; a flood of them is not yet dealt with. Both guarded by this. */
    private boolean wanted = true;
    private boolean flooded;
    private boolean sendingAway;
    private int writing;

    @SuppressWarnings("deprecation") // no other constructor of the codec allows connections to be kept
    public Ingress(Loop loop, Transport transport, Invariants invariants, int mostConnections, Handler handler) {
        this.loop = loop;
        this.transport = transport;
        this.invariants = invariants;
        this.mostConnections = mostConnections;
        this.handler = handler;
        KeepAlive keepAlive = new KeepAlive();
        keepAlive.setMaxRequestsCount(-1);
        keepAlive.setIdleTimeoutInSeconds(-1);
        HttpServerFilter codec = ChunkedBody.in(new HttpServerFilter(false, Transport.MOST_HEADER_BYTES, keepAlive, null));
        codec.setAllowPayloadForUndefinedHttpMethods(true);
        binding = TCPNIOBindingHandler.builder(transport.tcp()).processor(FilterChainBuilder.stateless()
            .add(new TransportFilter()).add(new FramingFilter()).add(codec).add(new RequestFilter()).build()).build();
    }

    /** Takes the address, or the listening socket inherited as descriptor 0; the port that it got. */
    public int listen(InetSocketAddress at, boolean inherited) throws IOException {
        TCPNIOServerConnection bound = inherited ? inherit() : binding.bind(at);
        synchronized (this) {
            listener = bound;
            turnDoor();
        }
        loop.post(this::sweep);
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    private TCPNIOServerConnection inherit() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel) {
            return binding.bindToInherited();
        }
        throw new IOException("descriptor 0 is no listening socket");
    }

    /**
     * Lets clients in, or leaves them to whoever else accepts from the same socket. It is not closed for that: the
     * class library would put the null device in place of standard output and error with an inherited one.
     */
    public synchronized void accepts(boolean on) {
        wanted = on;
        turnDoor();
    }

    /**
     * Guards the descriptor limit while the loop has not yet seen a flood of connections: they wait in the kernel until
     * it has made room. Closing them here would hit good clients as well as the crowd.
     */
    private synchronized void flooded(boolean over) {
        if (over != flooded) {
            invariants.count(over ? "ingress door shut for a moment" : "ingress door open again");
            flooded = over;
            turnDoor();
        }
    }

    private void turnDoor() {
        if (listener == null) {
            return; // clients wait in an inherited socket: a flood may come before the binding is known here
        }
        try {
            if (wanted && !flooded) {
                listener.enableIOEvent(IOEvent.SERVER_ACCEPT);
            } else {
                listener.disableIOEvent(IOEvent.SERVER_ACCEPT);
            }
        } catch (IOException e) {
            Log.line("the door is stuck: " + e.getMessage());
        }
    }

    private void counted(int open) {
        if (open >= mostConnections + UNSEEN) {
            flooded(true);
        } else if (open <= mostConnections + UNSEEN / 2) {
            flooded(false);
        }
    }

    /** Runs on the selector: passes on only what is framed beyond doubt, one message at a time. */
    private final class FramingFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            Connection<?> c = ctx.getConnection();
            counted(accepted.incrementAndGet());
            c.addCloseListener((CloseListener<Closeable, CloseType>) (closeable, type) -> counted(accepted.decrementAndGet()));
            IngressConnection here = new IngressConnection(c, loop.nowUs());
            HERE.set(c, here);
            loop.post(() -> opened(here));
            c.addCloseListener((CloseListener<Closeable, CloseType>) (closeable, type) -> loop.post(() -> closed(here)));
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            IngressConnection here = HERE.get(ctx.getConnection());
            Buffer in = ctx.getMessage();
            if (here == null || here.deaf) {
                drop(here, in);
                return ctx.getStopAction();
            }
            int end = here.framing.scan(in);
            if (here.framing.fault() != 0) {
                here.deaf = true;
                here.body = null;
                drop(here, in);
                loop.post(() -> unreadable(here, here.framing.fault()));
                return ctx.getStopAction();
            }
            if (!here.framing.inside()) {
                here.insideSinceUs = 0;
            } else if (here.insideSinceUs == 0) {
                here.insideSinceUs = loop.nowUs();
            }
            return ctx.getInvokeAction(here.framing.whole() && end < in.limit() ? in.split(end) : null);
        }

        private void drop(IngressConnection here, Buffer in) {
            int n = in.remaining();
            in.tryDispose();
            if (here != null && (here.dropped += n) > MOST_DROPPED) {
                reads(here, false);
            }
        }
    }

    /**
     * Reads on, or lets the rest wait in the kernel. Guards memory against requests sent ahead, as closing would
     * lose the one being answered, and the loop against a client that sends the same bad thing again and again.
     */
    private void regulate(IngressConnection c) {
        boolean held = c.ahead.size() >= MOST_AHEAD || c.penance;
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

    /** Runs on the selector: gathers each request's body and posts the whole. */
    private final class RequestFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            HttpContent content = ctx.getMessage();
            IngressConnection here = HERE.get(ctx.getConnection());
            HttpRequestPacket packet = (HttpRequestPacket) content.getHttpHeader();
            if (!invariants.hold(!HttpContent.isBroken(content), "the codec refused what was framed well")) {
                here.deaf = true;
                loop.post(() -> loop.after(LINGER_US, here.connection::closeSilently));
                return ctx.getStopAction();
            }
            byte[] piece = Transport.take(content.getContent());
            boolean last = content.isLast();
            content.recycle();
            if (here.body == null) {
                here.body = new ByteArrayOutputStream();
                if (packet.requiresAcknowledgement()) {
                    HttpResponsePacket go = packet.getResponse();
                    go.setStatus(100);
                    go.setAcknowledgement(true);
                    ctx.write(go);
                }
            }
            here.body.writeBytes(piece);
            if (last) {
                IngressRequest whole = whole(packet, here.body.toByteArray(), packet.getProcessingState().isKeepAlive());
                here.body = null;
                loop.post(() -> arrived(here, whole));
            }
            return ctx.getStopAction();
        }

        private IngressRequest whole(HttpRequestPacket p, byte[] body, boolean keepAlive) {
            String query = p.getQueryString();
            return new IngressRequest(p, p.getMethod().getMethodString(), p.getRequestURI(),
                query == null || query.isEmpty() ? null : query, IngressRequest.Headers.of(p), body, keepAlive);
        }
    }

    private void opened(IngressConnection c) {
        all.add(c);
        if (all.size() > mostConnections) {
            evict(victim(c).orElse(c));
        }
    }

    /** So many connections at most from now on; those over it go as far as that harms nobody. */
    public void cap(int most) {
        mostConnections = most;
        for (var victim = victim(null); all.size() > most && victim.isPresent(); victim = victim(null)) {
            evict(victim.get());
        }
    }

    /** Guards the descriptor limit: the one whose end costs least, of several such the longest unused. */
    private Optional<IngressConnection> victim(IngressConnection newest) {
        long now = loop.nowUs();
        IngressConnection best = null;
        int least = IngressConnection.NEEDED;
        for (IngressConnection c : all) {
            int cost = c == newest ? IngressConnection.NEEDED : c.cost(now);
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
        victim.closing = true;
        victim.connection.closeSilently();
    }

    private void closed(IngressConnection c) {
        c.closing = true;
        all.remove(c);
        c.ahead.clear();
        if (c.onGone != null) {
            Runnable gone = c.onGone;
            c.onGone = null;
            gone.run();
        }
    }

    private void arrived(IngressConnection c, IngressRequest request) {
        if (c.closing) {
            return;
        }
        c.lastUsedUs = loop.nowUs();
        c.proven = true;
        if (c.current != null) {
            c.ahead.add(request);
            regulate(c);
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
        if (c.idle() && !c.closing) {
            endWithError(c);
        }
    }

    private void endWithError(IngressConnection c) {
        c.closing = true;
        @SuppressWarnings("unchecked")
        Connection<SocketAddress> out = (Connection<SocketAddress>) c.connection;
        String text = "HTTP/1.1 " + c.fault + " " + HttpStatus.getHttpStatus(c.fault).getReasonPhrase()
            + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        out.write(transport.pooled(text.getBytes(StandardCharsets.US_ASCII)), new EmptyCompletionHandler<>() {
            @Override
            public void completed(WriteResult<Buffer, SocketAddress> result) {
                try {
                    // A client that reads on sees the end at once, and its own end is seen here.
                    ((SocketChannel) ((NIOConnection) c.connection).getChannel()).shutdownOutput();
                } catch (IOException e) {
                    c.connection.closeSilently();
                }
            }
        });
        loop.after(LINGER_US, out::closeSilently);
    }

    /** Marks what to do if the client leaves before its answer. */
    public void onGone(IngressConnection c, Runnable gone) {
        c.carriesJobs = true;
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
        if (c.closing) {
            return;
        }
        c.errors = status >= BAD && status != SHED && status < FAILED ? c.errors + 1 : 0;
        if (c.errors > MOST_ERRORS && !c.penance) {
            c.penance = true;
            regulate(c);
            loop.after(PENANCE_US, () -> {
                c.penance = false;
                regulate(c);
            });
        }
        boolean ends = !request.keepAlive() || sendingAway && !c.carriesCallbacks;
        HttpResponsePacket head = request.packet().getResponse();
        head.setStatus(status);
        head.setAcknowledgement(false);
        head.setContentLength(body.length);
        if (retryAfter != null) {
            head.setHeader("Retry-After", retryAfter);
        }
        if (ends) {
            c.closing = true;
            head.setHeader("Connection", "close");
        }
        HttpContent whole = HttpContent.builder(head).content(transport.pooled(body)).last(true).build();
        writing++;
        @SuppressWarnings("unchecked")
        Connection<SocketAddress> out = (Connection<SocketAddress>) c.connection;
        out.write(whole, new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
            @Override
            public void completed(WriteResult<HttpContent, SocketAddress> result) {
                loop.post(() -> answered(c, ends));
            }

            @Override
            public void failed(Throwable t) {
                c.connection.closeSilently();
                loop.post(() -> answered(c, false));
            }
        });
    }

    private void answered(IngressConnection c, boolean ends) {
        writing--;
        if (c.current != null) {
            // Gives the buffer with its headers back to the pool; else it would be left to the collector.
            c.current.packet().recycle();
        }
        c.current = null;
        c.lastUsedUs = loop.nowUs();
        if (ends) {
            c.connection.closeSilently();
        } else if (!c.ahead.isEmpty()) {
            IngressRequest next = c.ahead.poll();
            regulate(c);
            begin(c, next);
        } else if (c.fault != 0 && !c.closing) {
            endWithError(c);
        }
    }

    /** Guards against clients that say nothing, or stop in mid-request, and connections nobody uses any more. */
    private void sweep() {
        long now = loop.nowUs();
        for (IngressConnection c : new ArrayList<>(all)) {
            long inside = c.insideSinceUs;
            boolean slow = inside != 0 ? now - inside > SLOW_US : !c.proven && now - c.openedUs > SLOW_US;
            if (c.closing || !c.idle()) {
                continue;
            }
            if (slow && inside != 0) {
                invariants.count("ingress slow request");
                c.fault = TIMED_OUT;
                endWithError(c);
            } else if (slow || now - c.lastUsedUs > SILENT_US || sendingAway && c.resting()) {
                invariants.count("ingress silent");
                c.connection.closeSilently();
            }
        }
        loop.after(SWEEP_US, this::sweep);
    }

    /**
     * While on, answers end their connections and idle ones are closed; new ones are still accepted and served. A
     * connection whose first request is due, or on which one is coming in, is not idle: its client would lose a job.
     */
    public void sendAway(boolean on) {
        sendingAway = on;
        for (IngressConnection c : new ArrayList<>(all)) {
            if (on && c.resting()) {
                c.connection.closeSilently();
            }
        }
    }

    /** Nothing is being read or answered, and no connection is so young that its request may be on the way. */
    public boolean quiet() {
        long youngUs = loop.nowUs() - IngressConnection.DUE_US;
        return writing == 0 && all.stream().allMatch(c -> c.idle() && c.insideSinceUs == 0 && (c.proven || c.openedUs < youngUs));
    }

    /** Open connections. */
    public int size() {
        return all.size();
    }
}
