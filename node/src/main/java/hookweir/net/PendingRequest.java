package hookweir.net;

import hookweir.Contract;
import hookweir.net.server.InboundConnection;
import hookweir.net.server.InboundRequest;
import hookweir.timer.TimerWheel;
import java.util.ArrayList;
import java.util.List;

/**
 * One request from a client until its final answer is given and its last attempt is over. Owned by
 * {@link PendingRequests}, on the loop.
 */
final class PendingRequest {
    final Contract.Request job;
    final InboundRequest httpRequest;
    final InboundConnection client;
    /** In order of their numbers. */
    final List<Attempt> attempts = new ArrayList<>();
    /** The final answer was given, or nobody waits for one any more. */
    boolean closed;
    /** The module's own against its being forgotten. */
    TimerWheel.Timer requestTimer;

    PendingRequest(Contract.Request request, InboundRequest from, InboundConnection client) {
        this.job = request;
        this.httpRequest = from;
        this.client = client;
    }

    /** The id that its client gave it. */
    String clientId() {
        return httpRequest.headers().id();
    }

    /** The attempt that is still out, or null. */
    Attempt outstandingAttempt() {
        for (Attempt attempt : attempts) {
            if (!attempt.isEnded()) {
                return attempt;
            }
        }
        return null;
    }
}
