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

/** The listening socket: lets connections in, or leaves them in the kernel. Any thread may turn it. */
final class Door {
    /** Connections taken from the backlog between two rounds of I/O; the transport itself takes one a round. */
    private static final int MOST_ACCEPTS = 16;

    private final Loop loop;
    private final TCPNIOBindingHandler binding;
    private final Invariants invariants;
    private TCPNIOServerConnection listener;
    /** Clients are to be let in; there is no descriptor for another. All guarded by this. */
    private boolean wanted = true;
    private boolean full;
    /** Connections accepted so far, and whether more are about to be: the loop's. */
    private long accepted;
    private boolean acceptPosted;

    Door(Loop loop, TCPNIOBindingHandler binding, Invariants invariants) {
        this.loop = loop;
        this.binding = binding;
        this.invariants = invariants;
    }

    /** Takes the address, or the listening socket inherited as descriptor 0; the port that it got. */
    int listen(InetSocketAddress at, boolean inherited) throws IOException {
        TCPNIOServerConnection bound = inherited ? inherit() : binding.bind(at);
        synchronized (this) {
            listener = bound;
            turn();
        }
        return ((InetSocketAddress) bound.getLocalAddress()).getPort();
    }

    private TCPNIOServerConnection inherit() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel) {
            return binding.bindToInherited();
        }
        throw new IOException("descriptor 0 is no listening socket");
    }

    /**
     * Lets clients in, or leaves them to whoever else accepts from the same socket. It is not closed for that: the
     * class library would put the null device in place of standard output and error with an inherited one.
     */
    synchronized void accepts(boolean on) {
        wanted = on;
        turn();
    }

    /** There is no descriptor for another, or there is again. */
    synchronized void full(boolean on) {
        if (on != full) {
            invariants.count(on ? "ingress door shut" : "ingress door open again");
            full = on;
            turn();
        }
    }

    synchronized boolean isFull() {
        return full;
    }

    /**
     * On the loop only, whoever asks: elsewhere the transport shuts it at once and opens it later, so that of one opening and
     * one shutting the opening held.
     */
    private void turn() {
        if (loop.isOwner()) {
            turnNow();
        } else {
            loop.post(this::turnNow);
        }
    }

    private synchronized void turnNow() {
        if (listener == null) {
            return; // the binding is not yet known here
        }
        try {
            if (wanted && !full) {
                listener.enableIOEvent(IOEvent.SERVER_ACCEPT);
            } else {
                listener.disableIOEvent(IOEvent.SERVER_ACCEPT);
            }
        } catch (IOException e) {
            Log.line("the door is stuck: " + e.getMessage());
        }
    }

    private synchronized TCPNIOServerConnection open() {
        return wanted && !full ? listener : null;
    }

    /** Called on the selector for each accepted connection: more are accepted in the loop's next turn. */
    void accepted() {
        accepted++;
        if (!acceptPosted) {
            acceptPosted = true;
            loop.post(() -> {
                acceptMore();
                acceptPosted = false;
            });
        }
    }

    /** Guards workers' calls against waiting one round of I/O for each client that stands before them in the backlog. */
    private void acceptMore() {
        for (int i = 0; i < MOST_ACCEPTS; i++) {
            TCPNIOServerConnection from = open();
            long before = accepted;
            try {
                if (from != null) {
                    from.onAccept();
                }
            } catch (IOException e) {
                invariants.count("ingress accept failed");
                return;
            }
            if (accepted == before) {
                return;
            }
        }
    }
}
