package hookweir.net;

import java.net.InetSocketAddress;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;

/** Opens {@link Link}s over one filter chain: transport, HTTP client codec, and a filter that posts answers. */
public final class Dialer {
    private static final Attribute<Link> LINK = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hookweir.link");

    private final Loop loop;
    private final TCPNIOConnectorHandler connector;

    public Dialer(Loop loop, Transport transport) {
        this.loop = loop;
        FilterChain chain = FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(ChunkedBody.in(new HttpClientFilter(Transport.MOST_HEADER_BYTES)))
            .add(new AnswerFilter())
            .build();
        connector = TCPNIOConnectorHandler.builder(transport.tcp()).processor(chain).build();
    }

    /** Dials; the handler hears of the link when it is up, or that it is down at the latest after the limit. */
    @SuppressWarnings("rawtypes") // the connector's own signature
    public Link dial(InetSocketAddress to, long limitUs, Link.Handler handler) {
        Link link = new Link(loop, limitUs, handler);
        connector.connect(to, null, new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection c) {
                LINK.set(c, link);
                c.addCloseListener((CloseListener<Closeable, CloseType>) (closeable, type) -> link.ended());
                link.connected(c);
            }

            @Override
            public void failed(Throwable t) {
                link.ended();
            }
        });
        return link;
    }

    /** Runs on the selector: hands pieces of answers to the link they belong to. */
    private static final class AnswerFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            HttpContent content = ctx.getMessage();
            Link link = LINK.get(ctx.getConnection());
            HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
            // An answer that nobody asked for has no request to belong to.
            if (link == null || HttpContent.isBroken(content) || head.getRequest() == null) {
                ctx.getConnection().closeSilently();
                return ctx.getStopAction();
            }
            Buffer body = content.getContent();
            boolean framed = content.isLast() || head.isChunked() || head.getContentLength() >= 0;
            link.received(new Link.Piece(head.getStatus(), "1".equals(head.getHeader("srv-declined")),
                head.getHeader("srv-load"), framed && head.getProcessingState().isKeepAlive(),
                Transport.take(body), content.isLast()), framed);
            boolean last = content.isLast();
            content.recycle();
            if (last) {
                // The codec recycles no answer whose request it takes to be unfinished, as it does all of a client's.
                head.getRequest().setExpectContent(false);
                head.recycle(); // gives the buffer with its headers back to the pool
            }
            return ctx.getStopAction();
        }
    }
}
