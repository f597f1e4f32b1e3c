package hookweir.net.worker;

import hookweir.net.OutboundConnection;
import hookweir.timer.TimerWheel;

/** A call that waits for a free connection. */
final class ConnectionWaiter {
    final WorkerEndpoint worker;
    final OutboundConnection.Handler handler;
    final double maxBreakRate;
    /** Fails the call if it waits too long. */
    TimerWheel.Timer timeoutTimer;

    ConnectionWaiter(WorkerEndpoint worker, OutboundConnection.Handler handler, double maxBreakRate) {
        this.worker = worker;
        this.handler = handler;
        this.maxBreakRate = maxBreakRate;
    }
}
