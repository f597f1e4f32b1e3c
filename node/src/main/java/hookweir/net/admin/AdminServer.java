package hookweir.net.admin;

import hookweir.net.HalfClose;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.MessageBuilder;
import hookweir.net.Transport;
import hookweir.net.server.InboundRequest;
import hookweir.net.server.RequestDecoder;
import hookweir.net.server.StatusLine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.function.Supplier;
import org.glassfish.grizzly.Buffer;
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
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;

/**
 * The HTTP server for operators: one request per connection, answered within one I/O round, so that a response does not wait
 * for queued work of the {@link Loop}. Its few connections are separate from the limit on client connections.
 */
public final class AdminServer {
    /**
     * Maximum number of connections; their descriptors are reserved for operators. A further connection closes the oldest
     * one.
     */
    public static final int MAX_CONNECTIONS = 16;
    private static final Attribute<RequestDecoder> DECODER = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hookweir.admin");
    /** Set once the connection had its request; further input is discarded. */
    private static final Attribute<Boolean> RESPONDED = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hookweir.admin.responded");
    /**
     * How long a connection may stay open. Until then silent connections and incomplete requests block nobody but other
     * operators.
     */
    private static final long CONNECTION_TIMEOUT_US = 8_000_000;
    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    /** What a path serves: its only method and the handler that creates the response. */
    private record Endpoint(String method, Supplier<Response> handler) {
    }

    private record Response(int status, String text) {
    }

    private final Loop loop;
    private final Transport transport;
    private final Invariants invariants;
    private final Map<String, Endpoint> endpoints;
    /** Oldest first. Guarded by itself, as connections are closed on the selector and on the loop. */
    private final Deque<Connection<?>> openConnections = new ArrayDeque<>();

    /**
     * Creates a server for this serving state and these metrics.
     *
     * @param onQuiesceChanged runs after each quiesce or resume request, on any thread
     */
    public AdminServer(Loop loop, Transport transport, Invariants invariants, ServingState servingState, Metrics metrics, Runnable onQuiesceChanged) {
        this.loop = loop;
        this.transport = transport;
        this.invariants = invariants;
        endpoints = Map.of(
            "/admin/health", new Endpoint("GET", () -> servingState.acceptsClients() ? new Response(200, "serving\n") : new Response(503, "not serving\n")),
            "/admin/stats", new Endpoint("GET", () -> new Response(200, metrics.toPrometheusText())),
            "/admin/quiesce", new Endpoint("PUT", () -> setQuiesced(servingState, true, onQuiesceChanged)),
            "/admin/resume", new Endpoint("PUT", () -> setQuiesced(servingState, false, onQuiesceChanged)));
    }

    /** The state that /healthz reads is changed before the response is sent. A request that changes nothing succeeds too. */
    private static Response setQuiesced(ServingState servingState, boolean quiesced, Runnable onQuiesceChanged) {
        servingState.setQuiesced(quiesced);
        onQuiesceChanged.run();
        return new Response(200, quiesced ? "quiesced\n" : "resumed\n");
    }

    /** Binds the address and returns the port. */
    public int listen(InetSocketAddress address) throws IOException {
        var bound = TCPNIOBindingHandler.builder(transport.tcp()).processor(FilterChainBuilder.stateless()
            .add(new TransportFilter()).add(new ConnectionLimitFilter()).add(new EndpointFilter()).build()).build().bind(address);
        return ((InetSocketAddress) bound.getLocalAddress()).getPort();
    }

    /** Runs on the selector: limits the number of connections and closes silent ones. */
    private final class ConnectionLimitFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext context) {
            Connection<?> connection = context.getConnection();
            Connection<?> evicted = null;
            synchronized (openConnections) {
                openConnections.addLast(connection);
                if (openConnections.size() > MAX_CONNECTIONS) {
                    evicted = openConnections.pollFirst();
                }
            }
            if (evicted != null) {
                invariants.count("admin closed at the cap");
                evicted.closeSilently();
            }
            connection.addCloseListener((CloseListener<Closeable, CloseType>) (closeable, type) -> {
                synchronized (openConnections) {
                    openConnections.remove(connection);
                }
            });
            loop.post(() -> loop.schedule(CONNECTION_TIMEOUT_US, connection::closeSilently));
            return context.getInvokeAction();
        }
    }

    /**
     * Runs on the selector: responds only to complete requests, as unread input would reset the connection and lose the
     * response.
     */
    private final class EndpointFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            Connection<?> connection = context.getConnection();
            Buffer buffer = context.getMessage();
            int length = buffer.remaining();
            byte[] bytes = transport.copyReceived(buffer);
            if (Boolean.TRUE.equals(RESPONDED.get(connection))) {
                invariants.count("admin bytes after the end");
                return context.getStopAction();
            }
            RequestDecoder decoder = DECODER.get(connection);
            if (decoder == null) {
                decoder = new RequestDecoder(false);
                DECODER.set(connection, decoder);
            }
            for (int at = 0; at < length && decoder.fault() == 0;) {
                at = decoder.feed(bytes, at, length);
                if (decoder.announcedBodyBytes() > 0) {
                    decoder.admitBody(); // without a reservation: there are few connections, with one request each
                }
                if (decoder.isComplete()) {
                    respond(connection, decoder.takeRequest());
                    return context.getStopAction();
                }
            }
            if (decoder.fault() != 0) {
                connection.closeSilently();
            }
            return context.getStopAction();
        }

        private void respond(Connection<?> connection, InboundRequest request) {
            Endpoint endpoint = endpoints.get(request.path());
            Response response = endpoint == null ? new Response(404, "no such call\n")
                : !endpoint.method.equals(request.method()) ? new Response(405, "wants " + endpoint.method + "\n")
                : endpoint.handler.get();
            invariants.count("admin answers " + response.status);
            RESPONDED.set(connection, true);
            byte[] text = response.text.getBytes(StandardCharsets.UTF_8);
            MessageBuilder head = transport.beginMessage().add(StatusLine.of(response.status)).add("Content-Length: ").add(text.length).endLine()
                .header("Content-Type", CONTENT_TYPE).header("Connection", "close")
                .header("Allow", response.status == 405 ? endpoint.method : null).endLine();
            @SuppressWarnings("unchecked")
            Connection<SocketAddress> out = (Connection<SocketAddress>) connection;
            out.write(transport.pooledCopy(head, text), new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
                @Override
                public void completed(WriteResult<Buffer, SocketAddress> result) {
                    if (HalfClose.shutdownOutput(connection)) {
                        loop.post(() -> loop.schedule(HalfClose.LINGER_US, connection::closeSilently));
                    }
                }

                @Override
                public void failed(Throwable t) {
                    connection.closeSilently();
                }
            });
        }
    }
}
