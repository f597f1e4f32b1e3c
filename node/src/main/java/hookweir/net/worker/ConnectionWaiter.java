package hookweir.net.worker;

import hookweir.net.OutboundConnection;
import hookweir.timer.TimerWheel;

/** A call that waits for a link to come free. */
final class ConnectionWaiter {
    final WorkerEndpoint worker;
    final OutboundConnection.Handler handler;
    final double maxBreakRate;
    /** Ends the wait. */
    TimerWheel.Timer timeoutTimer;

    ConnectionWaiter(WorkerEndpoint target, OutboundConnection.Handler handler, double mostBreaks) {
        this.worker = target;
        this.handler = handler;
        this.maxBreakRate = mostBreaks;
    }
}
