package hookweir.net;

import hookweir.Contract;
import hookweir.net.server.InboundConnection;
import hookweir.net.server.InboundRequest;
import hookweir.timer.TimerWheel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * One request from a client, until its final response is sent and its last attempt has ended. Owned by
 * {@link PendingRequests}, on the loop.
 */
final class PendingRequest {
    /** The job as the decision module knows it. */
    final Contract.Request job;
    final InboundRequest httpRequest;
    final InboundConnection client;
    /** When the request was accepted, in us of the loop's clock. */
    final long acceptedUs;
    /** The attempts, indexed by attempt number. */
    final List<Attempt> attempts = new ArrayList<>();
    /** The final response was sent, or the client disconnected. */
    boolean closed;
    /** Ensures that the request is never forgotten: the limit of its claim, then the decision module's timer for it. */
    private TimerWheel.Timer timer;
    /** Receives whether the request may be accepted; null unless its id is being claimed from the peer processes. */
    Consumer<Boolean> claimResult;

    PendingRequest(Contract.Request job, InboundRequest httpRequest, InboundConnection client, long acceptedUs) {
        this.job = job;
        this.httpRequest = httpRequest;
        this.client = client;
        this.acceptedUs = acceptedUs;
    }

    /** Replaces the timer of this request; the earlier one does not expire any more. */
    void setTimer(TimerWheel.Timer next) {
        cancelTimer();
        timer = next;
    }

    /** Cancels the timer of this request, if there is one. */
    void cancelTimer() {
        if (timer != null) {
            timer.cancel();
        }
    }

    /** Returns the id assigned by the client. */
    String clientId() {
        return httpRequest.headers().id();
    }

    /** Returns whether a worker may have run the job in an attempt that has ended. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    /** Returns the attempt that has not ended yet, or null. */
    Attempt outstandingAttempt() {
        for (Attempt attempt : attempts) {
            if (!attempt.isEnded()) {
                return attempt;
            }
        }
        return null;
    }
}
