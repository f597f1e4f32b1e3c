package hookweir.net.server;

import hookweir.net.EventLog;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.Transport;
import hookweir.net.server.InboundConnection.Phase;
import hookweir.room.ResourceBudget;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.IntSupplier;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;

/**
 * The client's side: owns the listening address and all accepted connections, those of workers' call-backs included. It hands
 * whole requests to its {@link RequestHandler} on the loop and writes the answers; which decisions they lead to is none of its
 * business, so another protocol's ingress can stand beside it. This class puts its parts together; all of them belong to the
 * loop.
 */
public final class HttpServer {
    private final Loop loop;
    private final BodyReservations reservations;
    private final ReadControl readControl;
    private final ResponseWriter writer;
    private final ConnectionCloser closer;
    private final Acceptor acceptor;
    private final ConnectionTable connections;
    private final BodyAdmission admission;
    private final ConnectionSweeper sweeper;
    private final RequestQueue requestQueue;
    private final RequestReader reader;

    /**
     * An ingress that does not listen yet.
     *
     * @param workerLinks how many links to workers there are: they share the descriptors
     */
    public HttpServer(Loop loop, Transport transport, Invariants invariants, EventLog events, ResourceBudget room, IntSupplier workerLinks, RequestHandler handler) {
        this.loop = loop;
        reservations = new BodyReservations(invariants, room, this::budgetReleased);
        readControl = new ReadControl(loop, invariants, reservations);
        writer = new ResponseWriter(loop, transport, room);
        closer = new ConnectionCloser(loop, invariants, events, readControl, writer, handler::retryAfter);
        acceptor = new Acceptor(loop, binding(transport), invariants);
        connections = new ConnectionTable(loop, invariants, room, workerLinks, acceptor, closer);
        admission = new BodyAdmission(loop, invariants, room, handler, readControl, closer, writer, connections, this::readBuffered);
        sweeper = new ConnectionSweeper(loop, invariants, room, connections, admission, closer);
        requestQueue = new RequestQueue(loop, invariants, handler, reservations, readControl, admission, connections, sweeper, closer, writer,
            this::readBuffered);
        reader = new RequestReader(loop, invariants, reservations, readControl, admission, closer, requestQueue);
    }

    private TCPNIOBindingHandler binding(Transport transport) {
        return TCPNIOBindingHandler.builder(transport.tcp()).processor(FilterChainBuilder.stateless()
            .add(new TransportFilter()).add(new RequestFilter(loop, transport, new ConnectionListener())).build()).build();
    }

    private void budgetReleased() {
        admission.budgetReleased();
    }

    private void readBuffered(InboundConnection c) {
        reader.readBuffered(c);
    }

    /** Takes the address, or the listening socket inherited as descriptor 0; the port that it got. */
    public int listen(InetSocketAddress address, boolean inherited) throws IOException {
        int port = acceptor.listen(address, inherited);
        loop.post(sweeper::run);
        return port;
    }

    /** Lets clients in, or leaves them to whoever else accepts from the same socket. */
    public void setAccepting(boolean accepting) {
        acceptor.setAccepting(accepting);
    }

    /** Releases the body of a request that is no longer held. */
    public void releaseBody(InboundRequest request) {
        reservations.release(request);
    }

    /** Keeps within the descriptors that there are: ends connections as far as that harms nobody, and else stops accepting. */
    public void enforceDescriptorLimit() {
        connections.enforceDescriptorLimit();
    }

    /** Counts the connection as a client's, and sets what to do if the client disconnects before its answer. */
    public void setClientDisconnectAction(InboundConnection c, Runnable action) {
        connections.markClientConnection(c);
        c.onDisconnect = action;
    }

    /** Marks a connection that carries call-backs: it is of use for as long as jobs are out. */
    public void markCallbackConnection(InboundConnection c) {
        c.carriesCallbacks = true;
    }

    /** Answers the connection's request under way; retryAfter may be null. */
    public void respond(InboundConnection c, int status, String retryAfter, byte[] body) {
        requestQueue.respond(c, status, retryAfter, body);
    }

    /**
     * While on, answers end their connections and idle ones are ended, once what lies on them unread has been read; new ones
     * are still accepted and served. A connection whose first request is due, or on which one is coming in, is not idle: its
     * client would lose a job.
     */
    public void setDraining(boolean draining) {
        sweeper.setDraining(draining);
    }

    /**
     * Nothing is being read or answered, and no client's connection is left: each was ended in two halves, as a request may come
     * on it until then.
     */
    public boolean isDrained() {
        return !writer.isWriting() && connections.hasOnlyIdleCallbackConnections();
    }

    /** Open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Passes connections' events to the parts that they concern. */
    private final class ConnectionListener implements RequestFilter.Listener {
        @Override
        public void opened(InboundConnection c) {
            connections.add(c);
            acceptor.connectionAccepted();
        }

        @Override
        public void received(InboundConnection c, byte[] bytes, int from, int to) {
            reader.read(c, bytes, from, to);
        }

        @Override
        public void closed(InboundConnection c) {
            c.advanceTo(Phase.CLOSED);
            connections.remove(c);
            admission.connectionClosed(c);
            requestQueue.discardPending(c);
            readControl.setUnparsedInput(c, null);
            readControl.discardInput(c, 0);
            if (c.lingerTimer != null) {
                c.lingerTimer.cancel();
            }
            if (c.onDisconnect != null) {
                Runnable action = c.onDisconnect;
                c.onDisconnect = null;
                action.run();
            }
        }
    }
}
