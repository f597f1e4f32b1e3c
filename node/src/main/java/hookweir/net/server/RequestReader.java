package hookweir.net.server;

import hookweir.net.EventLog;
import hookweir.net.HttpStatus;
import hookweir.net.Invariants;
import hookweir.net.Loop;
import hookweir.net.Transport;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * Parses received bytes into requests as far as there is memory for their bodies, and buffers a limited number of bytes
 * behind waiting requests. Belongs to the loop.
 */
final class RequestReader {
    private static final int MAX_PIPELINED_REQUESTS = 8;
    /** Maximum bytes buffered behind the pipelined requests of one connection, and of all connections together. */
    private static final int MAX_BUFFERED_BYTES = 16 * 1024;
    private static final int MAX_TOTAL_BUFFERED_BYTES = 1024 * 1024;

    /** Bytes that are read from one connection before others get their turn. */
    private static final int MAX_ROUND_BYTES = 1024 * 1024;
    private static final int DISCARD_BUFFER_BYTES = 64 * 1024;

    private final ByteBuffer channelBuffer = ByteBuffer.allocateDirect(DISCARD_BUFFER_BYTES);
    private final byte[] parsedBytes = new byte[Transport.BUFFER_BYTES];
    private final Loop loop;
    private final Invariants invariants;
    private final EventLog events;
    private final RequestReservations reservations;
    private final ReadControl readControl;
    private final BodyAdmission admission;
    private final ConnectionCloser closer;
    private final RequestQueue requestQueue;

    RequestReader(Loop loop, Invariants invariants, EventLog events, RequestReservations reservations, ReadControl readControl, BodyAdmission admission,
            ConnectionCloser closer, RequestQueue requestQueue) {
        this.loop = loop;
        this.invariants = invariants;
        this.events = events;
        this.reservations = reservations;
        this.readControl = readControl;
        this.admission = admission;
        this.closer = closer;
        this.requestQueue = requestQueue;
    }

    /**
     * Reads the bytes [from, to), and what else has arrived if a request that was sent earlier is unanswered or the bytes fill a buffer.
     * Otherwise more is read only before an attempt begins, or in the next round.
     */
    void receive(InboundConnection connection, byte[] bytes, int from, int to) {
        boolean mustFindEnd = connection.hasUnansweredRequest();
        connection.unreadInput = true;
        read(connection, bytes, from, to);
        if (mustFindEnd || to - from >= Transport.BUFFER_BYTES) {
            readArrived(connection, mustFindEnd);
        }
    }

    /** Reads what has arrived, if some of it may be unread, within the limit of a round; returns whether all of it was read. */
    boolean readArrived(InboundConnection connection) {
        if (connection.unreadInput) {
            readArrived(connection, connection.hasUnansweredRequest());
        }
        return !connection.unreadInput || connection.hasDisconnected();
    }

    /**
     * Reads what has arrived, within the limit of a round: as far as it can be parsed, or up to the client's end if a request that it sent
     * earlier is unanswered.
     */
    private void readArrived(InboundConnection connection, boolean mustFindEnd) {
        int roundBytes = 0;
        while (roundBytes < MAX_ROUND_BYTES && connection.transportConnection.isOpen() && !readControl.isPaused(connection)
                && (mustFindEnd || connection.unparsedInput == null && !isBlocked(connection))) {
            int length = readChannel(connection);
            if (length <= 0) {
                connection.unreadInput = false;
                return;
            }
            roundBytes += length;
            if (connection.ignoresInput()) {
                readControl.discardInput(connection, length);
            } else {
                channelBuffer.flip().get(parsedBytes, 0, length);
                read(connection, parsedBytes, 0, length);
            }
        }
    }

    /** Reads once from the socket; returns the number of bytes, 0 if none has arrived, or -1 at the end, which closes the connection. */
    private int readChannel(InboundConnection connection) {
        channelBuffer.clear().limit(connection.ignoresInput() ? channelBuffer.capacity() : parsedBytes.length);
        int length;
        try {
            length = ((SocketChannel) ((NIOConnection) connection.transportConnection).getChannel()).read(channelBuffer);
        } catch (IOException e) {
            length = -1;
        }
        if (length < 0) {
            connection.inputEnded = true;
            connection.transportConnection.closeSilently();
        }
        return length;
    }

    /** Parses the bytes [from, to), or buffers them if earlier input must be parsed first. */
    private void read(InboundConnection connection, byte[] bytes, int from, int to) {
        if (connection.unparsedInput != null) {
            buffer(connection, bytes, from, to);
            return;
        }
        RequestDecoder decoder = connection.decoder;
        for (int at = from; at < to && !connection.ignoresInput();) {
            if (isBlocked(connection)) {
                connection.partialRequestSinceUs = 0;
                buffer(connection, bytes, at, to);
                return;
            }
            at = decoder.feed(bytes, at, to);
            if (decoder.fault() == 0 && !decoder.isComplete() && !reservations.reserveHead(connection, decoder.heldHeadBytes())) {
                rejectHead(connection, decoder.path(), decoder.className());
                return;
            }
            if (decoder.announcedBodyBytes() > 0 && decoder.fault() == 0 && !admission.admit(connection)) {
                readControl.setUnparsedInput(connection, Arrays.copyOfRange(bytes, at, to));
                return;
            }
            if (decoder.fault() != 0) {
                readControl.discardInput(connection, to - at);
                closer.closeWithErrorAfterPending(connection, decoder.fault());
                return;
            }
            if (decoder.isComplete()) {
                InboundRequest request = decoder.takeRequest();
                if (!reservations.reserveHead(connection, request.headBytes())) {
                    rejectHead(connection, request.path(), request.headers().kind());
                    return;
                }
                reservations.complete(connection, request);
                requestQueue.enqueue(connection, request);
            }
        }
        if (connection.ignoresInput()) {
            readControl.discardInput(connection, to - from);
        } else if (!decoder.isMidMessage()) {
            connection.partialRequestSinceUs = 0;
        } else if (connection.partialRequestSinceUs == 0) {
            connection.partialRequestSinceUs = loop.nowUs();
        }
    }

    /** Rejects a request for whose head there is no memory. A callback gets no response, as any response would end its repetition. */
    private void rejectHead(InboundConnection connection, String path, String className) {
        if (path != null && RequestReservations.isCallback(path)) {
            closer.close(connection, CloseReason.CALLBACK_REFUSED);
        } else {
            admission.reject(connection, className);
        }
    }

    /** Parses the buffered input, unless something still blocks it. */
    void readBuffered(InboundConnection connection) {
        if (connection.unparsedInput != null && connection.budgetWaitSinceUs == 0 && !isBlocked(connection)) {
            byte[] bytes = connection.unparsedInput;
            readControl.setUnparsedInput(connection, null);
            read(connection, bytes, 0, bytes.length);
        }
    }

    /** Whether parsing is suspended until a response was sent or the connection is no longer throttled. */
    private boolean isBlocked(InboundConnection connection) {
        return connection.pipelined.size() >= MAX_PIPELINED_REQUESTS || connection.throttled
            || connection.currentRequest != null && reservations.isWaitingLimitReached();
    }

    /**
     * Buffers input behind waiting requests. It has to be read so that the client's end of input is detected: no request is
     * sent to a worker for a client that has disconnected. Input beyond the limit is discarded, and the connection ends with
     * an error after its pending responses. The rest of a body that waits for memory is limited only while an earlier request is
     * unanswered: otherwise reading is paused, and little arrives.
     */
    private void buffer(InboundConnection connection, byte[] bytes, int from, int to) {
        int buffered = connection.unparsedInput == null ? 0 : connection.unparsedInput.length;
        int length = to - from;
        boolean exceedsLimits = buffered + length > MAX_BUFFERED_BYTES || readControl.unparsedBytes() + length > MAX_TOTAL_BUFFERED_BYTES;
        boolean waitsForMemory = connection.budgetWaitSinceUs != 0;
        if (exceedsLimits && waitsForMemory && connection.hasUnansweredRequest()) {
            readControl.discardInput(connection, buffered + length);
            admission.reject(connection, connection.decoder.className());
            return;
        }
        if (exceedsLimits && !waitsForMemory) {
            invariants.count("ingress sent too much ahead");
            events.log(() -> "connection of " + connection.peerAddress() + " sent too much ahead: " + (buffered + length) + " bytes behind "
                + connection.pipelined.size() + " waiting requests, further input is discarded");
            readControl.discardInput(connection, buffered + length);
            readControl.setUnparsedInput(connection, null);
            closer.closeWithErrorAfterPending(connection, HttpStatus.TOO_MANY_REQUESTS);
            return;
        }
        byte[] joined = buffered == 0 ? new byte[length] : Arrays.copyOf(connection.unparsedInput, buffered + length);
        System.arraycopy(bytes, from, joined, buffered, length);
        readControl.setUnparsedInput(connection, joined);
    }
}
