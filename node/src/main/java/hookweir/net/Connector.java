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

/** Opens {@link OutboundConnection}s over one filter chain: transport, and a filter that reads answers. */
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

    /** Dials; the handler hears of the link when it is up, or that it is down at the latest after the limit. */
    @SuppressWarnings("rawtypes") // the connector's own signature
    public OutboundConnection connect(InetSocketAddress to, long limitUs, OutboundConnection.Handler handler) {
        OutboundConnection link = new OutboundConnection(loop, transport, limitUs, handler);
        GrizzlyFuture<Connection> dial = connectorHandler.connect(to);
        link.setConnectFuture(dial);
        dial.addCompletionHandler(new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection c) {
                CONNECTION.set(c, link);
                c.addCloseListener((CloseListener<Closeable, CloseType>) (closeable, type) -> link.connectionEnded());
                link.connected(c);
            }

            @Override
            public void failed(Throwable t) {
                link.connectionEnded();
            }
        });
        return link;
    }

    /** Runs on the selector: hands pieces of answers to the link they belong to. */
    private final class ResponseFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            OutboundConnection link = CONNECTION.get(ctx.getConnection());
            Buffer in = ctx.getMessage();
            int n = in.remaining();
            byte[] bytes = transport.copyReceived(in);
            loop.now(() -> {
                if (link == null || !link.read(bytes, n)) {
                    ctx.getConnection().closeSilently();
                }
            });
            return ctx.getStopAction();
        }
    }
}
