package hookweir.net;

import java.net.InetSocketAddress;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;

/** Opens {@link OutboundConnection}s. All share one filter chain: the transport, and a filter that reads responses. */
public final class Connector {
    private static final Attribute<OutboundConnection> CONNECTION = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hookweir.link");

    private final Loop loop;
    private final Transport transport;
    private final TCPNIOConnectorHandler connectorHandler;

    public Connector(Loop loop, Transport transport) {
        this.loop = loop;
        this.transport = transport;
        FilterChain chain = FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new ResponseFilter())
            .build();
        connectorHandler = TCPNIOConnectorHandler.builder(transport.tcp()).processor(chain).build();
    }

    /** Connects; the handler is notified when the connection is open or has failed, at the latest after the timeout. */
    @SuppressWarnings("rawtypes") // the connector's own signature
    public OutboundConnection connect(InetSocketAddress to, long timeoutUs, OutboundConnection.Handler handler) {
        OutboundConnection outbound = new OutboundConnection(loop, transport, timeoutUs, handler);
        GrizzlyFuture<Connection> future = connectorHandler.connect(to);
        outbound.setConnectFuture(future);
        future.addCompletionHandler(new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection opened) {
                CONNECTION.set(opened, outbound);
                opened.addCloseListener((CloseListener<Closeable, CloseType>) (closeable, type) -> outbound.connectionEnded());
                outbound.connected(opened);
            }

            @Override
            public void failed(Throwable t) {
                outbound.connectionEnded();
            }
        });
        return outbound;
    }

    /** Runs on the selector thread: passes received bytes to the connection they belong to. */
    private final class ResponseFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            OutboundConnection outbound = CONNECTION.get(ctx.getConnection());
            Buffer in = ctx.getMessage();
            int length = in.remaining();
            byte[] bytes = transport.copyReceived(in);
            loop.now(() -> {
                if (outbound == null || !outbound.read(bytes, length)) {
                    ctx.getConnection().closeSilently();
                }
            });
            return ctx.getStopAction();
        }
    }
}
