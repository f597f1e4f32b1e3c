package hookweir.net;

import hookweir.Contract;
import hookweir.net.ingress.IngressConnection;
import hookweir.net.ingress.IngressRequest;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;

/**
 * One request from a client until its final answer is given and its last hop is over. Owned by the
 * {@link SocketHost}, on the loop.
 */
final class Exchange {
    final Contract.Request request;
    final IngressRequest from;
    final IngressConnection client;
    /** Held from the pool for the hops; given back when this is over. */
    final Buffer body;
    /** In order of their numbers. */
    final List<Hop> hops = new ArrayList<>();
    /** The final answer was given, or nobody waits for one any more. */
    boolean closed;

    Exchange(Contract.Request request, IngressRequest from, IngressConnection client, Buffer body) {
        this.request = request;
        this.from = from;
        this.client = client;
        this.body = body;
    }

    /** The hop that is still out, or null. */
    Hop out() {
        for (Hop hop : hops) {
            if (!hop.over()) {
                return hop;
            }
        }
        return null;
    }
}
