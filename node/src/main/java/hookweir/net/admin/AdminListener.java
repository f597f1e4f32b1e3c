package hookweir.net.admin;

import hookweir.net.HalfClose;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.MessageBuilder;
import hookweir.net.Transport;
import hookweir.net.server.Framing;
import hookweir.net.server.IngressRequest;
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
 * The operators' address: one call a connection, answered in a round of I/O, so that no answer waits for all that
 * the {@link Loop} has to do. Owns its connections, few and outside the clients' cap.
 */
public final class AdminListener {
    /** Connections at most: descriptors reserved for operators. A further one ends the oldest that has no answer yet. */
    public static final int MOST_CONNECTIONS = 16;
    private static final Attribute<Framing> CALL = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hookweir.admin");
    /** It had its call: what follows is dropped. */
    private static final Attribute<Boolean> HAD = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("hookweir.admin.had");
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
    public int listen(InetSocketAddress at) throws IOException {
        var bound = TCPNIOBindingHandler.builder(transport.tcp()).processor(FilterChainBuilder.stateless()
            .add(new TransportFilter()).add(new DoorFilter()).add(new CallFilter()).build()).build().bind(at);
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
            loop.post(() -> loop.schedule(SILENT_US, c::closeSilently));
            return ctx.getInvokeAction();
        }
    }

    /** Runs on the selector: answers a call once it is whole, lest its rest reset the connection and its answer. */
    private final class CallFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            Connection<?> c = ctx.getConnection();
            Buffer in = ctx.getMessage();
            int n = in.remaining();
            byte[] bytes = transport.copyReceived(in);
            if (Boolean.TRUE.equals(HAD.get(c))) {
                invariants.count("admin bytes after the end");
                return ctx.getStopAction();
            }
            Framing framing = CALL.get(c);
            if (framing == null) {
                framing = new Framing(false);
                CALL.set(c, framing);
            }
            for (int at = 0; at < n && framing.fault() == 0;) {
                at = framing.feed(bytes, at, n);
                if (framing.announced() > 0) {
                    framing.admit(); // a handful of connections, each with one call
                }
                if (framing.isComplete()) {
                    answer(c, framing.take());
                    return ctx.getStopAction();
                }
            }
            if (framing.fault() != 0) {
                c.closeSilently();
            }
            return ctx.getStopAction();
        }

        private void answer(Connection<?> c, IngressRequest request) {
            Call call = calls.get(request.path());
            Answer answer = call == null ? new Answer(404, "no such call\n")
                : !call.method.equals(request.method()) ? new Answer(405, "wants " + call.method + "\n")
                : call.answer.get();
            invariants.count("admin answers " + answer.status);
            HAD.set(c, true);
            byte[] text = answer.text.getBytes(StandardCharsets.UTF_8);
            MessageBuilder head = transport.beginMessage().add(StatusLine.of(answer.status)).add("Content-Length: ").add(text.length).endLine()
                .header("Content-Type", PLAIN).header("Connection", "close")
                .header("Allow", answer.status == 405 ? call.method : null).endLine();
            @SuppressWarnings("unchecked")
            Connection<SocketAddress> out = (Connection<SocketAddress>) c;
            out.write(transport.pooledCopy(head, text), new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
                @Override
                public void completed(WriteResult<Buffer, SocketAddress> result) {
                    if (HalfClose.shutdownOutput(c)) {
                        loop.post(() -> loop.schedule(HalfClose.LINGER_US, c::closeSilently));
                    }
                }

                @Override
                public void failed(Throwable t) {
                    c.closeSilently();
                }
            });
        }
    }
}
