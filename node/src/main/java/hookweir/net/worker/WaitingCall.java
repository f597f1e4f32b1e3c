package hookweir.net.worker;

import hookweir.net.OutboundConnection;
import hookweir.timer.TimerWheel;

/** A call that waits for a link to come free. */
final class WaitingCall {
    final WorkerEndpoint target;
    final OutboundConnection.Handler handler;
    final double mostBreaks;
    /** Ends the wait. */
    TimerWheel.Timer limit;

    WaitingCall(WorkerEndpoint target, OutboundConnection.Handler handler, double mostBreaks) {
        this.target = target;
        this.handler = handler;
        this.mostBreaks = mostBreaks;
    }
}
