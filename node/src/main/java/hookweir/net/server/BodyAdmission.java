package hookweir.net.server;

import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.room.ResourceBudget;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Decides whether a body may be read: reserves room for it, has its connection wait for room in order of arrival, or rejects
 * the request. Belongs to the loop.
 */
final class BodyAdmission {

    private final Loop loop;
    private final Invariants invariants;
    private final ResourceBudget room;
    private final RequestHandler handler;
    private final ReadControl input;
    private final ConnectionCloser closer;
    private final ResponseWriter writer;
    private final ConnectionTable connections;
    private final Consumer<InboundConnection> readBuffered;
    /** Connections whose body waits for room, in order of arrival. */
    private final Set<InboundConnection> waiting = new LinkedHashSet<>();
    private boolean retryPosted;

    /**
     * Admission to this room.
     *
     * @param readBuffered parses a connection's buffered input once its body was admitted
     */
    BodyAdmission(Loop loop, Invariants invariants, ResourceBudget room, RequestHandler handler, ReadControl input, ConnectionCloser closer,
            ResponseWriter writer, ConnectionTable connections, Consumer<InboundConnection> readBuffered) {
        this.loop = loop;
        this.invariants = invariants;
        this.room = room;
        this.handler = handler;
        this.input = input;
        this.closer = closer;
        this.writer = writer;
        this.connections = connections;
        this.readBuffered = readBuffered;
    }

    /** Reserves room for the announced body, or has the connection wait for it and returns false. True also where it was rejected. */
    boolean admit(InboundConnection c) {
        int bytes = c.decoder.announcedBodyBytes();
        c.receivingCallback = BodyReservations.isCallback(c.decoder.path());
        if (exceedsClientLimit(c, c.decoder.path())) {
            reject(c, c.decoder.className());
            return true;
        }
        ResourceBudget.Admission verdict = c.receivingCallback ? room.reserveResult(bytes) : room.reserveBody(handler.classNumber(c.decoder.className()), bytes);
        if (verdict == ResourceBudget.Admission.ADMIT) {
            c.reservedBytes = bytes;
            c.decoder.admitBody();
            if (c.decoder.takeExpectContinue()) {
                writer.writeContinue(c);
            }
            return true;
        }
        if (c.budgetWaitSinceUs == 0) {
            invariants.count("ingress waits for room");
            c.budgetWaitSinceUs = loop.nowUs();
            waiting.add(c);
            input.updateReading(c);
        }
        return false;
    }

    /** Clients have all the connections they may, and none can be closed: the remaining ones are for workers' call-backs. */
    boolean exceedsClientLimit(InboundConnection c, String path) {
        return !c.carriesJobs && connections.isClientLimitReached() && handler.isJob(path) && !connections.evictIdleClient();
    }

    /** Room was released: the connections that wait for it are tried again in the loop's next turn. */
    void budgetReleased() {
        if (!waiting.isEmpty() && !retryPosted) {
            retryPosted = true;
            loop.post(this::retryWaiting);
        }
    }

    private void retryWaiting() {
        retryPosted = false;
        for (InboundConnection c : new ArrayList<>(waiting)) {
            if (!c.isClosing() && admit(c)) {
                resume(c);
            }
        }
    }

    private void resume(InboundConnection c) {
        if (c.ignoresInput()) {
            return; // it was rejected
        }
        waiting.remove(c);
        c.budgetWaitSinceUs = 0;
        c.partialRequestSinceUs = loop.nowUs(); // the client is not charged for the wait
        readBuffered.accept(c);
        input.updateReading(c);
    }

    /** Rejects the request being read for lack of room; the client is told after its pending answers. */
    void reject(InboundConnection c, String className) {
        waiting.remove(c);
        c.budgetWaitSinceUs = 0;
        input.setUnparsedInput(c, null);
        invariants.count("ingress turned away for room");
        handler.jobRejected(className);
        input.discardInput(c, 0);
        input.updateReading(c);
        closer.closeWithErrorAfterPending(c, HttpStatus.TOO_MANY_REQUESTS);
    }

    /** Forgets a closed connection. */
    void connectionClosed(InboundConnection c) {
        waiting.remove(c);
    }
}
