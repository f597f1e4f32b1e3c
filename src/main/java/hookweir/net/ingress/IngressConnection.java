package hookweir.net.ingress;

import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Connection;

/** One accepted connection. The upper fields belong to the loop, the lower ones to the selector. */
public final class IngressConnection {
    final Connection<?> connection;
    final long openedUs;
    /** The request being answered, or null. */
    IngressRequest current;
    /** Requests that a client sent ahead of its answers. */
    final Deque<IngressRequest> ahead = new ArrayDeque<>();
    /** Runs if the client leaves before its answer. */
    Runnable onGone;
    long lastUsedUs;
    /** It brought a whole request once. */
    boolean proven;
    boolean carriesCallbacks;
    boolean closing;
    /** Requests in a row that were no good; whether reading pauses for them; whether it pauses at all. */
    int errors;
    boolean penance;
    boolean held;
    /** What can't be read came after the requests held: this is the status to end with, or 0. */
    int fault;

    // Selector only, but that the loop reads the time.
    final Framing framing = new Framing();
    /** When the message that is coming in began; 0 between messages. */
    volatile long insideSinceUs;
    /** The request whose body is coming in. */
    java.io.ByteArrayOutputStream body;
    /** Nothing that comes in is looked at any more. */
    boolean deaf;
    int dropped;

    IngressConnection(Connection<?> connection, long openedUs) {
        this.connection = connection;
        this.openedUs = openedUs;
        this.lastUsedUs = openedUs;
    }

    /** A client's kept connection between requests: it may be closed and nothing is lost. */
    boolean resting() {
        return idle() && proven && insideSinceUs == 0 && !carriesCallbacks;
    }

    /** It waits for a request. */
    boolean idle() {
        return current == null && ahead.isEmpty();
    }
}
