package hookweir.net.worker;

import hookweir.Contract;
import hookweir.net.OutboundConnection;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A worker of the list and the idle connections to it, newest first. Used on the loop thread only. */
public final class WorkerEndpoint {
    /** The worker's id in the list, which its callbacks carry. */
    public final String name;
    /** The worker's numeric id in the scheduling module. */
    public final int id;
    final Deque<OutboundConnection> idleConnections = new ArrayDeque<>();
    private InetSocketAddress address;
    private String hostHeader;
    private Contract.WorkerState state;
    private long duplicateResponsesUntilUs;

    WorkerEndpoint(String name, int id) {
        this.name = name;
        this.id = id;
    }

    /** Returns the address at which the worker listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the worker's address as the value of a Host header. */
    public String hostHeader() {
        return hostHeader;
    }

    /** Returns whether the worker accepts new work, by the latest list update. */
    public boolean isReady() {
        return state == Contract.WorkerState.READY;
    }

    /** Makes this worker's connections always wait for the reuse delay after a job until this time, as it sent a duplicate response. */
    void expectDuplicateResponses(long untilUs) {
        duplicateResponsesUntilUs = untilUs;
    }

    /** Returns whether the worker has recently sent a duplicate response. */
    boolean sendsDuplicateResponses(long nowUs) {
        return nowUs < duplicateResponsesUntilUs;
    }

    void update(InetSocketAddress newAddress, Contract.WorkerState newState) {
        if (!newAddress.equals(address)) {
            hostHeader = OutboundConnection.hostHeader(newAddress);
        }
        address = newAddress;
        state = newState;
    }
}
