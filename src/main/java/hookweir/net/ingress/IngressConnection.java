package hookweir.net.ingress;

import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Connection;

/** One accepted connection. The upper fields belong to the loop, the lower ones to the selector. */
public final class IngressConnection {
    final Connection<?> connection;
    /** The request being answered, or null. */
    IngressRequest current;
    /** Requests that a client sent ahead of its answers. */
    final Deque<IngressRequest> ahead = new ArrayDeque<>();
    /** Runs if the client leaves before its answer. */
    Runnable onGone;
    long lastUsedUs;
    boolean carriesCallbacks;
    boolean closing;

    // Selector only: the request whose body is coming in.
    java.io.ByteArrayOutputStream body;
    boolean deaf;

    IngressConnection(Connection<?> connection) {
        this.connection = connection;
    }

    /** It waits for a request. */
    boolean idle() {
        return current == null && ahead.isEmpty();
    }
}
