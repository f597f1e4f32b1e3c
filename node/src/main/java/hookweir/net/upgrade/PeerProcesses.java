package hookweir.net.upgrade;

import hookweir.net.Invariants;
import hookweir.net.Log;
import hookweir.net.Loop;
import hookweir.net.Transport;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The other processes of this scheduler during an upgrade, when an old process and its successor run side by side. They
 * share the listening socket, so a worker's callback may reach the process that does not hold the job; it is then forwarded
 * over a Unix-domain socket whose path both processes know. Owns that path and the {@link PeerConnection}s; all state
 * belongs to the loop. With more than two processes a callback is forwarded along the chain, never back to where it came
 * from, so it cannot loop.
 */
public final class PeerProcesses {
    /** Receives peer events, on the loop. */
    public interface Listener {
        /** A peer process connected, started serving or disconnected. */
        void peersChanged();

        /**
         * A peer process forwarded a callback that is not for one of its jobs. The verdict says whether the job is known
         * here.
         */
        void callbackForwarded(byte[] callback, PeerConnection from, Consumer<Boolean> verdict);

        /** A peer process has a new request with this id. The verdict says whether the id was used already. */
        void idClaimed(String id, PeerConnection from, Consumer<Boolean> verdict);

        /** A peer process knew requests with these ids before it was connected. */
        void knownIdsReceived(List<String> ids);

        /** Returns the ids of all requests that this process knows. */
        Collection<String> knownIds();
    }

    /** How long a peer that does not respond may delay the response to a callback. */
    private static final long CALLBACK_TIMEOUT_US = 1_000_000;
    /** How long a peer that does not respond may delay a new request; it delays only those that came before the first timeout. */
    private static final long CLAIM_TIMEOUT_US = 250_000;
    /** The number of a question whose verdict doesn't count. */
    private static final int UNNUMBERED = 0;
    private static final String ID_SEPARATOR = "\n";

    private final Loop loop;
    private final Invariants invariants;
    private final Listener listener;
    private final Path socketPath;
    private final List<PeerConnection> peers = new ArrayList<>();
    private ServerSocketChannel serverSocket;

    /**
     * Creates the peer handling of one process.
     *
     * @param socketPath where the processes of this scheduler meet, or null if there can be no other process
     */
    public PeerProcesses(Loop loop, Invariants invariants, Path socketPath, Listener listener) {
        this.loop = loop;
        this.invariants = invariants;
        this.socketPath = socketPath;
        this.listener = listener;
    }

    /**
     * Connects to a process that serves already; returns whether there is one. A path that nobody listens on is left over
     * from an earlier process.
     */
    public boolean connectToPredecessor() {
        if (socketPath == null || !Files.exists(socketPath)) {
            return false;
        }
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open(StandardProtocolFamily.UNIX);
            channel.connect(UnixDomainSocketAddress.of(socketPath));
        } catch (IOException e) {
            Log.line("nobody serves behind " + socketPath + ": " + e.getMessage());
            closeQuietly(channel);
            return false;
        }
        addPeer(channel, true);
        return true;
    }

    /** Announces that this process serves: notifies the peers, and binds the socket path so that its successor can connect. */
    public void announceServing() {
        for (PeerConnection peer : peers) {
            peer.send(PeerConnection.SERVING_FRAME, 0, new byte[0]);
        }
        bindSocket();
    }

    private void bindSocket() {
        if (socketPath == null) {
            return;
        }
        closeQuietly(serverSocket);
        try {
            Files.deleteIfExists(socketPath);
            ServerSocketChannel newSocket = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            newSocket.bind(UnixDomainSocketAddress.of(socketPath));
            serverSocket = newSocket;
            Thread thread = new Thread(() -> acceptPeers(newSocket), "successors");
            thread.setDaemon(true);
            thread.start();
        } catch (IOException e) {
            // Serving continues. During an upgrade, jobs whose callbacks reach the wrong process would be lost.
            Log.line("no successor can find this process by " + socketPath + ": " + e.getMessage());
        }
    }

    /** Runs on its own thread, as Grizzly's transport supports only Internet addresses. */
    private void acceptPeers(ServerSocketChannel listeningSocket) {
        try {
            while (true) {
                SocketChannel channel = listeningSocket.accept();
                loop.post(() -> addPeer(channel, false));
            }
        } catch (IOException e) {
            invariants.count("upgrade name given up");
        }
    }

    private void addPeer(SocketChannel channel, boolean predecessor) {
        PeerConnection added = new PeerConnection(channel, predecessor, loop, this::frameReceived, this::connectionLost);
        peers.add(added);
        Log.line(predecessor ? "another process serves here, this one follows it" : "another process came to follow this one");
        if (!predecessor) {
            sendKnownIds(added);
        }
        listener.peersChanged();
    }

    /** Sends all known ids, in frames of limited size. */
    private void sendKnownIds(PeerConnection successor) {
        StringBuilder frame = new StringBuilder();
        for (String id : listener.knownIds()) {
            if (frame.length() + ID_SEPARATOR.length() + id.length() > Transport.MAX_BODY_BYTES) {
                successor.send(PeerConnection.KNOWN_IDS_FRAME, 0, encode(frame.toString()));
                frame.setLength(0);
            }
            frame.append(frame.isEmpty() ? "" : ID_SEPARATOR).append(id);
        }
        successor.send(PeerConnection.KNOWN_IDS_FRAME, 0, encode(frame.toString()));
    }

    private static byte[] encode(String ids) {
        return ids.getBytes(StandardCharsets.US_ASCII);
    }

    private static String decode(byte[] bytes) {
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    private void frameReceived(PeerConnection from, int kind, int number, byte[] bytes) {
        switch (kind) {
            case PeerConnection.SERVING_FRAME -> {
                from.serving = true;
                Log.line("the process that follows serves");
                listener.peersChanged();
            }
            case PeerConnection.CALLBACK_FRAME -> listener.callbackForwarded(bytes, from, known -> sendVerdict(from, number, known));
            case PeerConnection.CLAIM_FRAME -> listener.idClaimed(decode(bytes), from, known -> sendVerdict(from, number, known));
            case PeerConnection.VERDICT_FRAME -> from.verdictReceived(number, bytes.length == 1 && bytes[0] == 1);
            case PeerConnection.KNOWN_IDS_FRAME -> listener.knownIdsReceived(bytes.length == 0 ? List.of() : List.of(decode(bytes).split(ID_SEPARATOR)));
            default -> invariants.count("upgrade message of unknown kind");
        }
    }

    private static void sendVerdict(PeerConnection to, int number, boolean known) {
        to.send(PeerConnection.VERDICT_FRAME, number, new byte[] {(byte) (known ? 1 : 0)});
    }

    private void connectionLost(PeerConnection peer) {
        if (!peers.remove(peer)) {
            return;
        }
        Log.line(peer.predecessor ? "lost the connection to the process before this one" : "lost the connection to the process that followed");
        peer.close();
        if (!peer.predecessor && peer.serving) {
            bindSocket(); // the successor had bound the path; later processes must find this one again
        }
        listener.peersChanged();
    }

    /** The number of connected processes of this scheduler, not counting this one. */
    public int peerCount() {
        return peers.size();
    }

    /** Whether a later process serves. */
    public boolean hasServingSuccessor() {
        return peers.stream().anyMatch(peer -> !peer.predecessor && peer.serving);
    }

    /** Forwards a callback for an unknown job to all peers except the one it came from, which may be null. */
    public void forwardCallback(byte[] callback, PeerConnection source, Consumer<Boolean> verdict) {
        ask(PeerConnection.CALLBACK_FRAME, callback, CALLBACK_TIMEOUT_US, source, peer -> true, verdict);
    }

    /**
     * Claims the id of a new request from all peers except the one whose claim it is, which may be null. The verdict is whether one of
     * them has used the id already. Only peers that may accept requests are waited for.
     */
    public void claimId(String id, PeerConnection source, Consumer<Boolean> verdict) {
        ask(PeerConnection.CLAIM_FRAME, encode(id), CLAIM_TIMEOUT_US, source, PeerConnection::mayAcceptRequests, verdict);
    }

    /** Sends a question to all peers but its source. Only the verdicts of the awaited ones count. */
    private void ask(int kind, byte[] payload, long timeoutUs, PeerConnection source, Predicate<PeerConnection> isAwaited, Consumer<Boolean> verdict) {
        if (peers.isEmpty()) {
            verdict.accept(false);
            return;
        }
        Map<Boolean, List<PeerConnection>> recipients = peers.stream().filter(peer -> peer != source).collect(Collectors.partitioningBy(isAwaited));
        recipients.get(false).forEach(peer -> peer.send(kind, UNNUMBERED, payload));
        List<PeerConnection> awaited = recipients.get(true);
        if (awaited.isEmpty()) {
            verdict.accept(false);
            return;
        }
        VerdictCollector collector = new VerdictCollector(awaited.size(), verdict);
        awaited.forEach(peer -> peer.ask(kind, payload, timeoutUs, collector::add));
    }

    /** Waits for all verdicts, or for the first positive one. */
    private static final class VerdictCollector {
        private int remaining;
        private Consumer<Boolean> verdict;

        VerdictCollector(int remaining, Consumer<Boolean> verdict) {
            this.remaining = remaining;
            this.verdict = verdict;
        }

        void add(boolean known) {
            remaining--;
            if (verdict != null && (known || remaining == 0)) {
                Consumer<Boolean> completed = verdict;
                verdict = null;
                completed.accept(known);
            }
        }
    }

    /** Closes all connections. The socket path is left in place, as another process may have bound it. */
    public void close() {
        closeQuietly(serverSocket);
        new ArrayList<>(peers).forEach(PeerConnection::close);
    }

    private static void closeQuietly(java.nio.channels.Channel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            Log.line("failed to close " + channel + ": " + e.getMessage());
        }
    }
}
