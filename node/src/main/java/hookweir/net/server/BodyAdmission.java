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
    private final InputControl input;
    private final ConnectionCloser closer;
    private final ResponseWriter writer;
    private final ConnectionTable connections;
    private final Consumer<IngressConnection> readBuffered;
    /** Connections whose body waits for room, in order of arrival. */
    private final Set<IngressConnection> waiting = new LinkedHashSet<>();
    private boolean retryPosted;

    /**
     * Admission to this room.
     *
     * @param readBuffered parses a connection's buffered input once its body was admitted
     */
    BodyAdmission(Loop loop, Invariants invariants, ResourceBudget room, RequestHandler handler, InputControl input, ConnectionCloser closer,
            ResponseWriter writer, ConnectionTable connections, Consumer<IngressConnection> readBuffered) {
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
    boolean admit(IngressConnection c) {
        int bytes = c.framing.announced();
        c.callback = BodyReservations.isCallback(c.framing.path());
        if (exceedsClientLimit(c, c.framing.path())) {
            reject(c, c.framing.kind());
            return true;
        }
        ResourceBudget.Admission verdict = c.callback ? room.reserveResult(bytes) : room.reserveBody(handler.classNumber(c.framing.kind()), bytes);
        if (verdict == ResourceBudget.Admission.ADMIT) {
            c.reservedBytes = bytes;
            c.framing.admit();
            if (c.framing.takeExpectation()) {
                writer.writeContinue(c);
            }
            return true;
        }
        if (c.waitingSinceUs == 0) {
            invariants.count("ingress waits for room");
            c.waitingSinceUs = loop.nowUs();
            waiting.add(c);
            input.updateReading(c);
        }
        return false;
    }

    /** Clients have all the connections they may, and none can be closed: the remaining ones are for workers' call-backs. */
    boolean exceedsClientLimit(IngressConnection c, String path) {
        return !c.carriesJobs && connections.clientLimitReached() && handler.isJob(path) && !connections.evictIdleClient();
    }

    /** Room was released: the connections that wait for it are tried again in the loop's next turn. */
    void roomReleased() {
        if (!waiting.isEmpty() && !retryPosted) {
            retryPosted = true;
            loop.post(this::retryWaiting);
        }
    }

    private void retryWaiting() {
        retryPosted = false;
        for (IngressConnection c : new ArrayList<>(waiting)) {
            if (!c.closing() && admit(c)) {
                resume(c);
            }
        }
    }

    private void resume(IngressConnection c) {
        if (c.ignoresInput()) {
            return; // it was rejected
        }
        waiting.remove(c);
        c.waitingSinceUs = 0;
        c.partialSinceUs = loop.nowUs(); // the client is not charged for the wait
        readBuffered.accept(c);
        input.updateReading(c);
    }

    /** Rejects the request being read for lack of room; the client is told after its pending answers. */
    void reject(IngressConnection c, String className) {
        waiting.remove(c);
        c.waitingSinceUs = 0;
        input.setUnparsed(c, null);
        invariants.count("ingress turned away for room");
        handler.rejected(className);
        input.discard(c, 0);
        input.updateReading(c);
        closer.closeUnreadable(c, HttpStatus.TOO_MANY_REQUESTS);
    }

    /** Forgets a closed connection. */
    void closed(IngressConnection c) {
        waiting.remove(c);
    }
}
