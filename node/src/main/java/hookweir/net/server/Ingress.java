package hookweir.net.server;

import hookweir.net.EventLog;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.Transport;
import hookweir.net.server.IngressConnection.Phase;
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
public final class Ingress {
    private final Loop loop;
    private final BodyReservations reservations;
    private final InputControl input;
    private final ResponseWriter writer;
    private final ConnectionCloser closer;
    private final Door door;
    private final ConnectionTable connections;
    private final BodyAdmission admission;
    private final ConnectionSweep sweep;
    private final RequestQueue queue;
    private final RequestReader reader;

    /**
     * An ingress that does not listen yet.
     *
     * @param workerLinks how many links to workers there are: they share the descriptors
     */
    public Ingress(Loop loop, Transport transport, Invariants invariants, EventLog events, ResourceBudget room, IntSupplier workerLinks, RequestHandler handler) {
        this.loop = loop;
        reservations = new BodyReservations(invariants, room, this::roomReleased);
        input = new InputControl(loop, invariants, reservations);
        writer = new ResponseWriter(loop, transport, room);
        closer = new ConnectionCloser(loop, invariants, events, input, writer, handler::retryAfter);
        door = new Door(loop, binding(transport), invariants);
        connections = new ConnectionTable(loop, invariants, room, workerLinks, door, closer);
        admission = new BodyAdmission(loop, invariants, room, handler, input, closer, writer, connections, this::readBuffered);
        sweep = new ConnectionSweep(loop, invariants, room, connections, admission, closer);
        queue = new RequestQueue(loop, invariants, handler, reservations, input, admission, connections, sweep, closer, writer,
            this::readBuffered);
        reader = new RequestReader(loop, invariants, reservations, input, admission, closer, queue);
    }

    private TCPNIOBindingHandler binding(Transport transport) {
        return TCPNIOBindingHandler.builder(transport.tcp()).processor(FilterChainBuilder.stateless()
            .add(new TransportFilter()).add(new RequestFilter(loop, transport, new ConnectionEvents())).build()).build();
    }

    private void roomReleased() {
        admission.roomReleased();
    }

    private void readBuffered(IngressConnection c) {
        reader.readBuffered(c);
    }

    /** Takes the address, or the listening socket inherited as descriptor 0; the port that it got. */
    public int listen(InetSocketAddress at, boolean inherited) throws IOException {
        int port = door.listen(at, inherited);
        loop.post(sweep::run);
        return port;
    }

    /** Lets clients in, or leaves them to whoever else accepts from the same socket. */
    public void accepts(boolean on) {
        door.accepts(on);
    }

    /** Releases the body of a request that is no longer held. */
    public void release(IngressRequest request) {
        reservations.release(request);
    }

    /** Keeps within the descriptors that there are: ends connections as far as that harms nobody, and else stops accepting. */
    public void fit() {
        connections.fit();
    }

    /** Counts the connection as a client's, and sets what to do if the client disconnects before its answer. */
    public void onDisconnect(IngressConnection c, Runnable action) {
        connections.carriesJobs(c);
        c.onDisconnect = action;
    }

    /** Marks a connection that carries call-backs: it is of use for as long as jobs are out. */
    public void carriesCallbacks(IngressConnection c) {
        c.carriesCallbacks = true;
    }

    /** Answers the connection's request under way; retryAfter may be null. */
    public void answer(IngressConnection c, int status, String retryAfter, byte[] body) {
        queue.answer(c, status, retryAfter, body);
    }

    /**
     * While on, answers end their connections and idle ones are ended, once what lies on them unread has been read; new ones
     * are still accepted and served. A connection whose first request is due, or on which one is coming in, is not idle: its
     * client would lose a job.
     */
    public void sendAway(boolean on) {
        sweep.sendAway(on);
    }

    /**
     * Nothing is being read or answered, and no client's connection is left: each was ended in two halves, as a request may come
     * on it until then.
     */
    public boolean quiet() {
        return !writer.isWriting() && connections.isQuiet();
    }

    /** Open connections. */
    public int size() {
        return connections.size();
    }

    /** Passes connections' events to the parts that they concern. */
    private final class ConnectionEvents implements RequestFilter.Listener {
        @Override
        public void opened(IngressConnection c) {
            connections.opened(c);
            door.accepted();
        }

        @Override
        public void received(IngressConnection c, byte[] bytes, int from, int to) {
            reader.read(c, bytes, from, to);
        }

        @Override
        public void closed(IngressConnection c) {
            c.enter(Phase.CLOSED);
            connections.closed(c);
            admission.closed(c);
            queue.closed(c);
            input.setUnparsed(c, null);
            input.discard(c, 0);
            if (c.lingerLimit != null) {
                c.lingerLimit.cancel();
            }
            if (c.onDisconnect != null) {
                Runnable action = c.onDisconnect;
                c.onDisconnect = null;
                action.run();
            }
        }
    }
}
