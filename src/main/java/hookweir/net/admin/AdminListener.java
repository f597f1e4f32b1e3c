package hookweir.net.admin;

import hookweir.net.ChunkedBody;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.function.Supplier;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
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

/**
 * The operators' address: one call a connection, answered on the selector from state that any thread may read, so
 * that no answer waits for the {@link Loop}. Owns its connections, few and outside the clients' cap.
 */
public final class AdminListener {
    /** Connections at most: descriptors reserved for operators. A further one ends the oldest that has no answer yet. */
    public static final int MOST_CONNECTIONS = 16;
    private static final int MOST_HEADER_BYTES = 4096;
    /** Silent and half callers are sent away after this; until then they hold up nobody but each other. */
    private static final long SILENT_US = 8_000_000;
    private static final String PLAIN = "text/plain; version=0.0.4; charset=utf-8";

    /** What a path answers to: its one method, and what makes the answer. */
    private record Call(String method, Supplier<Answer> answer) {
    }

    private record Answer(int status, String text) {
    }

    private final Loop loop;
    private final Transport transport;
    private final Invariants invariants;
    private final Map<String, Call> calls;
    /** Oldest first. Guarded by itself: connections are closed on the selector and on the loop. */
    private final Deque<Connection<?>> open = new ArrayDeque<>();

    /**
     * Answers for this standing and with these figures.
     *
     * @param turned runs, on any thread, after the clients were sent away or called back
     */
    public AdminListener(Loop loop, Transport transport, Invariants invariants, Standing standing, Figures figures, Runnable turned) {
        this.loop = loop;
        this.transport = transport;
        this.invariants = invariants;
        calls = Map.of(
            "/admin/health", new Call("GET", () -> standing.takesClients() ? new Answer(200, "serving\n") : new Answer(503, "not serving\n")),
            "/admin/stats", new Call("GET", () -> new Answer(200, figures.text())),
            "/admin/quiesce", new Call("PUT", () -> turn(standing, true, turned)),
            "/admin/resume", new Call("PUT", () -> turn(standing, false, turned)));
    }

    /** What /healthz reads is turned before the yes; a call that changes nothing is a yes too. */
    private static Answer turn(Standing standing, boolean away, Runnable turned) {
        standing.quiesce(away);
        turned.run();
        return new Answer(200, away ? "quiesced\n" : "resumed\n");
    }

    /** Binds the address; the port that it got. */
    @SuppressWarnings("deprecation") // no other constructor of the codec takes a limit on heads
    public int listen(InetSocketAddress at) throws IOException {
        HttpServerFilter codec = ChunkedBody.in(new HttpServerFilter(false, MOST_HEADER_BYTES, new KeepAlive(), null));
        codec.setAllowPayloadForUndefinedHttpMethods(true);
        var bound = TCPNIOBindingHandler.builder(transport.tcp()).processor(FilterChainBuilder.stateless()
            .add(new TransportFilter()).add(new DoorFilter()).add(codec).add(new CallFilter()).build()).build().bind(at);
        return ((InetSocketAddress) bound.getLocalAddress()).getPort();
    }

    /** Runs on the selector: keeps the connections few and ends those that say nothing. */
    private final class DoorFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            Connection<?> c = ctx.getConnection();
            Connection<?> victim = null;
            synchronized (open) {
                open.addLast(c);
                if (open.size() > MOST_CONNECTIONS) {
                    victim = open.pollFirst();
                }
            }
            if (victim != null) {
                invariants.count("admin closed at the cap");
                victim.closeSilently();
            }
            c.addCloseListener((CloseListener<Closeable, CloseType>) (closeable, type) -> {
                synchronized (open) {
                    open.remove(c);
                }
            });
            loop.post(() -> loop.after(SILENT_US, c::closeSilently));
            return ctx.getInvokeAction();
        }
    }

    /** Runs on the selector: answers a call once it is whole, lest its rest reset the connection and its answer. */
    private final class CallFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            HttpContent content = ctx.getMessage();
            HttpRequestPacket packet = (HttpRequestPacket) content.getHttpHeader();
            boolean last = content.isLast();
            boolean broken = HttpContent.isBroken(content);
            content.recycle();
            if (broken) {
                ctx.getConnection().closeSilently();
            } else if (last) {
                answer(ctx.getConnection(), packet);
            }
            return ctx.getStopAction();
        }

        private void answer(Connection<?> c, HttpRequestPacket packet) {
            Call call = calls.get(packet.getRequestURI());
            Answer answer = call == null ? new Answer(404, "no such call\n")
                : !call.method.equals(packet.getMethod().getMethodString()) ? new Answer(405, "wants " + call.method + "\n")
                : call.answer.get();
            invariants.count("admin answers " + answer.status);
            byte[] text = answer.text.getBytes(StandardCharsets.UTF_8);
            HttpResponsePacket head = packet.getResponse();
            head.setStatus(answer.status);
            head.setContentLength(text.length);
            head.setHeader("Content-Type", PLAIN);
            head.setHeader("Connection", "close");
            if (answer.status == 405) {
                head.setHeader("Allow", call.method);
            }
            @SuppressWarnings("unchecked")
            Connection<SocketAddress> out = (Connection<SocketAddress>) c;
            out.write(HttpContent.builder(head).content(transport.pooled(text)).last(true).build(),
                new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
                    @Override
                    public void completed(WriteResult<HttpContent, SocketAddress> result) {
                        c.closeSilently();
                        // Gives its buffer back to the pool; not here, as the codec is still at work on it.
                        loop.post(packet::recycle);
                    }

                    @Override
                    public void failed(Throwable t) {
                        c.closeSilently();
                    }
                });
        }
    }
}
