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
 * The scheduler's HTTP server: owns the listening address and all accepted connections, from clients and from workers that
 * send callbacks. It passes complete requests to its {@link RequestHandler} on the loop and writes the responses. It takes
 * no scheduling decisions, so a server for another protocol can be added beside it. This class wires its parts together; all
 * of them belong to the loop.
 */
public final class HttpServer {
    private final Loop loop;
    private final RequestReservations reservations;
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
     * Creates a server that does not listen yet.
     *
     * @param workerConnections supplies the number of connections to workers, which share the descriptors
     */
    public HttpServer(Loop loop, Transport transport, Invariants invariants, EventLog events, ResourceBudget budget,
            IntSupplier workerConnections, RequestHandler handler) {
        this.loop = loop;
        reservations = new RequestReservations(invariants, budget, this::budgetReleased);
        readControl = new ReadControl(loop, invariants, events, reservations);
        writer = new ResponseWriter(loop, transport, budget);
        closer = new ConnectionCloser(loop, invariants, events, readControl, writer, handler::retryAfter);
        acceptor = new Acceptor(loop, binding(transport), invariants);
        connections = new ConnectionTable(loop, invariants, budget, workerConnections, acceptor, closer);
        admission = new BodyAdmission(loop, invariants, budget, handler, readControl, closer, writer, connections, this::readBuffered);
        sweeper = new ConnectionSweeper(loop, invariants, budget, connections, admission, closer);
        requestQueue = new RequestQueue(loop, invariants, events, handler, reservations, readControl, admission, connections, sweeper, closer, writer,
            this::readBuffered);
        reader = new RequestReader(loop, invariants, events, reservations, readControl, admission, closer, requestQueue);
    }

    private TCPNIOBindingHandler binding(Transport transport) {
        return TCPNIOBindingHandler.builder(transport.tcp()).processor(FilterChainBuilder.stateless()
            .add(new TransportFilter()).add(new RequestFilter(loop, transport, new ConnectionListener())).build()).build();
    }

    private void budgetReleased() {
        admission.budgetReleased();
    }

    private void readBuffered(InboundConnection connection) {
        reader.readBuffered(connection);
    }

    /** Binds the address, or uses the listening socket inherited as descriptor 0, and returns the port. */
    public int listen(InetSocketAddress address, boolean inherited) throws IOException {
        int port = acceptor.listen(address, inherited);
        loop.post(sweeper::run);
        return port;
    }

    /** Starts or stops accepting. While stopped, connections are left to any other process that accepts from the same socket. */
    public void setAccepting(boolean accepting) {
        acceptor.setAccepting(accepting);
    }

    /** Releases the body of a request that is no longer held. */
    public void releaseBody(InboundRequest request) {
        reservations.release(request);
    }

    /** Enforces the limit on descriptors: evicts connections that can be closed without losing a job, or suspends accepting. */
    public void enforceDescriptorLimit() {
        connections.enforceDescriptorLimit();
    }

    /** Counts the connection as a client connection and sets the action to run if the client disconnects before its response. */
    public void setClientDisconnectAction(InboundConnection connection, Runnable action) {
        connections.markClientConnection(connection);
        connection.onDisconnect = action;
        readControl.updateReading(connection);
    }

    /**
     * Reads what has arrived on a client's connection, within the limit of a round. From a task of the loop, as requests may be handled.
     *
     * @return whether all of it was read
     */
    public boolean readArrivedInput(InboundConnection connection) {
        return reader.readArrived(connection);
    }

    /** Marks a connection that carries callbacks. It stays useful while jobs are in progress. */
    public void markCallbackConnection(InboundConnection connection) {
        connection.carriesCallbacks = true;
    }

    /** Sends the response to the connection's current request; retryAfter may be null. */
    public void respond(InboundConnection connection, int status, String retryAfter, byte[] body) {
        requestQueue.respond(connection, status, retryAfter, body);
    }

    /**
     * Starts or stops moving clients to other schedulers. Meanwhile responses end their connections, and idle connections
     * are closed once their unread input has been read; new connections are still accepted and served. A connection whose
     * first request is due, or whose request is being received, is not idle: closing it would lose its client's job.
     */
    public void setDraining(boolean draining) {
        sweeper.setDraining(draining);
    }

    /** Refuses all jobs that are being received, as this process ends before it could answer them. */
    public void refuseUnfinishedJobs() {
        sweeper.refuseUnfinishedJobs();
    }

    /**
     * Whether nothing is being read or written and no client connection is left. Client connections are half-closed first
     * and count until they are fully closed, as a request may still arrive on them.
     */
    public boolean isDrained() {
        return !writer.isWriting() && connections.hasOnlyIdleCallbackConnections();
    }

    /** The number of connections from which nothing is read at present. */
    public int pausedConnectionCount() {
        return readControl.pausedConnections();
    }

    /** The number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Passes connection events to the parts that handle them. */
    private final class ConnectionListener implements RequestFilter.Listener {
        @Override
        public void opened(InboundConnection connection) {
            connections.add(connection);
            acceptor.connectionAccepted();
        }

        @Override
        public void received(InboundConnection connection, byte[] bytes, int from, int to) {
            reader.receive(connection, bytes, from, to);
        }

        @Override
        public void closed(InboundConnection connection) {
            connection.advanceTo(Phase.CLOSED);
            connections.remove(connection);
            admission.connectionClosed(connection);
            Runnable onDisconnect = connection.onDisconnect;
            connection.onDisconnect = null;
            if (onDisconnect != null) {
                onDisconnect.run();
            }
            readControl.updateReading(connection);
            requestQueue.discardPending(connection);
            readControl.setUnparsedInput(connection, null);
            readControl.discardInput(connection, 0);
            if (connection.lingerTimer != null) {
                connection.lingerTimer.cancel();
            }
        }
    }
}
