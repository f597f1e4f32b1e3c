package hookweir.net.server;

import hookweir.net.Loop;
import hookweir.net.Transport;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** The transport's filter for accepted connections: passes their events to a listener. Runs on the selector, which is the loop's thread. */
final class RequestFilter extends BaseFilter {
    /** Receives the events of accepted connections. */
    interface Listener {
        /** A connection was accepted. */
        void opened(InboundConnection connection);

        /** Bytes were received. The array is reused once this returns. */
        void received(InboundConnection connection, byte[] bytes, int from, int to);

        /** A connection was closed by either side. */
        void closed(InboundConnection connection);
    }

    private static final Attribute<InboundConnection> CONNECTION_ATTRIBUTE =
        Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hookweir.server.connection");

    private final Loop loop;
    private final Transport transport;
    private final Listener listener;

    RequestFilter(Loop loop, Transport transport, Listener listener) {
        this.loop = loop;
        this.transport = transport;
        this.listener = listener;
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
        Connection<?> accepted = context.getConnection();
        InboundConnection connection = new InboundConnection(accepted, loop.nowUs());
        CONNECTION_ATTRIBUTE.set(accepted, connection);
        accepted.addCloseListener((CloseListener<Closeable, CloseType>) (closeable, type) -> loop.post(() -> listener.closed(connection)));
        listener.opened(connection);
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        InboundConnection connection = CONNECTION_ATTRIBUTE.get(context.getConnection());
        Buffer buffer = context.getMessage();
        int length = buffer.remaining();
        byte[] bytes = transport.copyReceived(buffer);
        if (connection != null) {
            loop.now(() -> listener.received(connection, bytes, 0, length));
        }
        return context.getStopAction();
    }
}
