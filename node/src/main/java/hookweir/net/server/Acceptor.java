package hookweir.net.server;

import hookweir.net.Invariants;
import hookweir.net.Log;
import hookweir.net.Loop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * Owns the listening socket: accepts connections, or leaves them in the kernel's backlog. Accepting may be switched on and
 * off from any thread.
 */
final class Acceptor {
    /** Connections accepted from the backlog per loop turn. The transport itself accepts only one per I/O round. */
    private static final int MAX_ACCEPTS_PER_TURN = 16;

    private final Loop loop;
    private final TCPNIOBindingHandler binding;
    private final Invariants invariants;
    private TCPNIOServerConnection listener;
    /** Whether connections should be accepted, and whether no descriptor is left for another one. Guarded by this. */
    private boolean acceptingWanted = true;
    private boolean descriptorLimitReached;
    /** The number of connections accepted so far, and whether an accept task is queued. Both belong to the loop. */
    private long acceptedCount;
    private boolean acceptPosted;

    Acceptor(Loop loop, TCPNIOBindingHandler binding, Invariants invariants) {
        this.loop = loop;
        this.binding = binding;
        this.invariants = invariants;
    }

    /** Binds the address, or uses the listening socket inherited as descriptor 0, and returns the port. */
    int listen(InetSocketAddress address, boolean inherited) throws IOException {
        TCPNIOServerConnection bound = inherited ? inherit() : binding.bind(address);
        synchronized (this) {
            listener = bound;
            updateAccepting();
        }
        return ((InetSocketAddress) bound.getLocalAddress()).getPort();
    }

    private TCPNIOServerConnection inherit() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel) {
            return binding.bindToInherited();
        }
        throw new IOException("descriptor 0 is not a listening socket");
    }

    /**
     * Starts or stops accepting. While stopped, connections are left to any other process that accepts from the same socket.
     * The socket stays open: closing an inherited channel makes the class library replace standard output and standard error
     * with the null device.
     */
    synchronized void setAccepting(boolean accepting) {
        acceptingWanted = accepting;
        updateAccepting();
    }

    /** Suspends accepting while no descriptor is left for another connection. */
    synchronized void setDescriptorLimitReached(boolean reached) {
        if (reached != descriptorLimitReached) {
            invariants.count(reached ? "ingress door shut" : "ingress door open again");
            descriptorLimitReached = reached;
            updateAccepting();
        }
    }

    synchronized boolean isDescriptorLimitReached() {
        return descriptorLimitReached;
    }

    /**
     * Applies the current settings on the loop, whichever thread asks. From other threads the transport disables accepting
     * at once but enables it later, so that enabling won over a disabling that was requested after it.
     */
    private void updateAccepting() {
        if (loop.isOwner()) {
            updateAcceptingOnLoop();
        } else {
            loop.post(this::updateAcceptingOnLoop);
        }
    }

    private synchronized void updateAcceptingOnLoop() {
        if (listener == null) {
            return; // listen() has not stored the binding yet
        }
        try {
            if (acceptingWanted && !descriptorLimitReached) {
                listener.enableIOEvent(IOEvent.SERVER_ACCEPT);
            } else {
                listener.disableIOEvent(IOEvent.SERVER_ACCEPT);
            }
        } catch (IOException e) {
            Log.line("cannot switch accepting on or off: " + e.getMessage());
        }
    }

    private synchronized TCPNIOServerConnection activeListener() {
        return acceptingWanted && !descriptorLimitReached ? listener : null;
    }

    /** Called on the selector for each accepted connection; schedules further accepts for the loop's next turn. */
    void connectionAccepted() {
        acceptedCount++;
        if (!acceptPosted) {
            acceptPosted = true;
            loop.post(() -> {
                acceptMore();
                acceptPosted = false;
            });
        }
    }

    /**
     * Accepts several connections per turn. Otherwise a worker's callback would wait one I/O round for every client ahead of
     * it in the backlog.
     */
    private void acceptMore() {
        for (int i = 0; i < MAX_ACCEPTS_PER_TURN; i++) {
            TCPNIOServerConnection source = activeListener();
            long before = acceptedCount;
            try {
                if (source != null) {
                    source.onAccept();
                }
            } catch (IOException e) {
                invariants.count("ingress accept failed");
                return;
            }
            if (acceptedCount == before) {
                return;
            }
        }
    }
}
