package hookweir.net.worker;

import hookweir.Contract;
import hookweir.net.OutboundConnection;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** One worker as the list has it, and the idle links to it, newest first. Belongs to the loop. */
public final class WorkerEndpoint {
    /** Its id in the list, which its call-backs carry. */
    public final String name;
    /** Its id for the module. */
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

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Where it listens, as a call's Host header has it. */
    public String hostHeader() {
        return hostHeader;
    }

    /** New work may go to it, as far as this scheduler was told. */
    public boolean isReady() {
        return state == Contract.WorkerState.READY;
    }

    /** It answered a call twice, so its links rest after each job until then. */
    void expectDuplicateResponses(long untilUs) {
        duplicateResponsesUntilUs = untilUs;
    }

    /** Its links always rest after a job. */
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
