package hookweir.net.ingress;

import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.Transport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
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
    private static final long SILENT_US = 60_000_000;
    private static final long SWEEP_US = 5_000_000;
    private static final long LINGER_US = 500_000;
    private static final int MOST_AHEAD = 8;
    private static final byte[] NOTHING = new byte[0];

    private final Loop loop;
    private final Transport transport;
    private final Invariants invariants;
    private final Handler handler;
    private final int mostConnections;
    private final Set<IngressConnection> all = new LinkedHashSet<>();
    private final TCPNIOBindingHandler binding;
    private TCPNIOServerConnection listener;
    private boolean leaving;
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
        HttpServerFilter codec = new HttpServerFilter(false, Transport.MOST_HEADER_BYTES, keepAlive, null);
        codec.setAllowPayloadForUndefinedHttpMethods(true);
        binding = TCPNIOBindingHandler.builder(transport.tcp()).processor(FilterChainBuilder.stateless()
            .add(new TransportFilter()).add(codec).add(new RequestFilter()).build()).build();
    }

    /** Binds the address; the port that it got. */
    public int listen(InetSocketAddress at) throws IOException {
        listener = binding.bind(at);
        loop.post(this::sweep);
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    /** Runs on the selector: gathers each request's body and posts the whole. */
    private final class RequestFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            Connection<?> c = ctx.getConnection();
            IngressConnection here = new IngressConnection(c);
            HERE.set(c, here);
            loop.post(() -> opened(here));
            c.addCloseListener((CloseListener<Closeable, CloseType>) (closeable, type) -> loop.post(() -> closed(here)));
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            HttpContent content = ctx.getMessage();
            IngressConnection here = HERE.get(ctx.getConnection());
            HttpRequestPacket packet = (HttpRequestPacket) content.getHttpHeader();
            if (HttpContent.isBroken(content)) {
                // The codec has answered 400; what else may come on this connection can't be told apart.
                invariants.count("ingress malformed body");
                here.deaf = true;
                loop.post(() -> loop.after(LINGER_US, here.connection::closeSilently));
                return ctx.getStopAction();
            }
            byte[] piece = Transport.take(content.getContent());
            boolean last = content.isLast();
            content.recycle();
            if (here.deaf) {
                return ctx.getStopAction();
            }
            if (here.body == null) {
                here.body = new ByteArrayOutputStream();
                if (packet.requiresAcknowledgement() && packet.getContentLength() <= Transport.MOST_BODY_BYTES) {
                    HttpResponsePacket go = packet.getResponse();
                    go.setStatus(100);
                    go.setAcknowledgement(true);
                    ctx.write(go);
                }
            }
            here.body.writeBytes(piece);
            if (here.body.size() > Transport.MOST_BODY_BYTES || packet.getContentLength() > Transport.MOST_BODY_BYTES) {
                // Guards the memory limit: the rest is read and dropped until the client has its 413.
                here.deaf = true;
                here.body = null;
                IngressRequest tooLong = whole(packet, NOTHING, false);
                loop.post(() -> refuseTooLong(here, tooLong));
            } else if (last) {
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
        c.lastUsedUs = loop.nowUs();
        all.add(c);
        if (all.size() > mostConnections) {
            // Guards the descriptor limit: the longest idle one goes, or else the new one.
            IngressConnection victim = all.stream().filter(IngressConnection::idle).findFirst().orElse(c);
            invariants.count("ingress closed at the cap");
            victim.connection.closeSilently();
        }
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
        if (c.current != null) {
            if (c.ahead.size() >= MOST_AHEAD) {
                invariants.count("ingress too many requests ahead");
                c.connection.closeSilently();
            } else {
                c.ahead.add(request);
            }
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

    private void refuseTooLong(IngressConnection c, IngressRequest request) {
        if (c.current == null && !c.closing) {
            c.current = request;
            answer(c, 413, null, NOTHING);
        } else {
            c.connection.closeSilently();
        }
    }

    /** Marks what to do if the client leaves before its answer. */
    public void onGone(IngressConnection c, Runnable gone) {
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
        boolean ends = !request.keepAlive() || leaving && !c.carriesCallbacks;
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
                loop.post(() -> answered(c, ends, status == 413));
            }

            @Override
            public void failed(Throwable t) {
                c.connection.closeSilently();
                loop.post(() -> answered(c, false, false));
            }
        });
    }

    private void answered(IngressConnection c, boolean ends, boolean lingers) {
        writing--;
        if (c.current != null) {
            // Gives the buffer with its headers back to the pool; else it would be left to the collector.
            c.current.packet().recycle();
        }
        c.current = null;
        c.lastUsedUs = loop.nowUs();
        if (lingers) {
            // Closing at once, with bytes unread, would reset the connection and eat the answer.
            loop.after(LINGER_US, c.connection::closeSilently);
        } else if (ends) {
            c.connection.closeSilently();
        } else if (!c.ahead.isEmpty()) {
            begin(c, c.ahead.poll());
        }
    }

    /** Guards against clients that stop in mid-request and against connections nobody uses any more. */
    private void sweep() {
        long now = loop.nowUs();
        for (IngressConnection c : new ArrayList<>(all)) {
            if (c.idle() && now - c.lastUsedUs > SILENT_US) {
                c.connection.closeSilently();
            }
        }
        loop.after(SWEEP_US, this::sweep);
    }

    /** From now on answers end their connections, and idle ones are closed; new ones are still accepted. */
    public void leave() {
        leaving = true;
        for (IngressConnection c : new ArrayList<>(all)) {
            if (c.idle() && !c.carriesCallbacks) {
                c.connection.closeSilently();
            }
        }
    }

    /** Nothing is being read or answered. */
    public boolean quiet() {
        return writing == 0 && all.stream().allMatch(c -> c.idle());
    }

    /** Open connections. */
    public int size() {
        return all.size();
    }
}
