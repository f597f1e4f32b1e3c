package hookweir.net.worker;

import hookweir.net.OutboundConnection;
import hookweir.timer.TimerWheel;

/** A call that waits: for any connection to become free, or for the reuse delay of one that is reserved for it. */
final class ConnectionWaiter {
    final WorkerEndpoint worker;
    final OutboundConnection.Handler handler;
    final double maxBreakRate;
    /** When the wait in the queue ends without a connection; 0 if the call was never queued. Returning to the queue doesn't extend it. */
    long queueUntilUs;
    /** Fails the call at that time; null unless the call is queued. */
    TimerWheel.Timer timeoutTimer;

    ConnectionWaiter(WorkerEndpoint worker, OutboundConnection.Handler handler, double maxBreakRate) {
        this.worker = worker;
        this.handler = handler;
        this.maxBreakRate = maxBreakRate;
    }
}
