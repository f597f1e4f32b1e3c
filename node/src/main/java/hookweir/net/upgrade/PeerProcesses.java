package hookweir.net.upgrade;

import hookweir.net.Invariants;
import hookweir.net.Log;
import hookweir.net.Loop;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Two processes of one scheduler side by side: the one that serves and the one that will. They share the clients'
 * listening socket, so either may be called back about the other's jobs; such calls go over a Unix-domain socket whose
 * name both know. Owns that name and the {@link PeerConnection}s to the neighbours; all state belongs to the loop. Chains of more
 * than two are passed along from wire to wire, never back the way they came, so no call goes round.
 */
public final class PeerProcesses {
    /** Told on the loop. */
    public interface Listener {
        /** A neighbour came, serves or went. */
        void peersChanged();

        /** A neighbour got a call-back that is not its own; the verdict says whether it was known here. */
        void callbackForwarded(byte[] callback, PeerConnection from, Consumer<Boolean> verdict);
    }

    /** A neighbour that says nothing holds up a call-back's answer for so long. */
    private static final long VERDICT_TIMEOUT_US = 1_000_000;

    private final Loop loop;
    private final Invariants invariants;
    private final Listener listener;
    private final Path socketPath;
    private final List<PeerConnection> peers = new ArrayList<>();
    private ServerSocketChannel serverSocket;

    /** Meets others under this name; null where there can be none. */
    public PeerProcesses(Loop loop, Invariants invariants, Path socketPath, Listener listener) {
        this.loop = loop;
        this.invariants = invariants;
        this.socketPath = socketPath;
        this.listener = listener;
    }

    /** Looks for a process that serves already; true if there is one. A name that nobody answers to is left over. */
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

    /** This process serves from now on: the one before it is told, the next one will find this one by the name. */
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
            // An upgrade then costs the jobs whose call-backs come to the wrong process, but serving goes on.
            Log.line("no successor can find this process by " + socketPath + ": " + e.getMessage());
        }
    }

    /** On a thread of its own, as Grizzly's transport knows Internet addresses only. */
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
        peers.add(new PeerConnection(channel, predecessor, loop, this::frameReceived, this::connectionLost));
        Log.line(predecessor ? "another process serves here, this one follows it" : "another process came to follow this one");
        listener.peersChanged();
    }

    private void frameReceived(PeerConnection from, int kind, int number, byte[] bytes) {
        switch (kind) {
            case PeerConnection.SERVING_FRAME -> {
                from.serving = true;
                Log.line("the process that follows serves");
                listener.peersChanged();
            }
            case PeerConnection.CALLBACK_FRAME -> listener.callbackForwarded(bytes, from, known -> from.send(PeerConnection.VERDICT_FRAME, number, new byte[] {(byte) (known ? 1 : 0)}));
            case PeerConnection.VERDICT_FRAME -> from.completeVerdict(number, bytes.length == 1 && bytes[0] == 1);
            default -> invariants.count("upgrade message of unknown kind");
        }
    }

    private void connectionLost(PeerConnection peer) {
        if (!peers.remove(peer)) {
            return;
        }
        Log.line(peer.predecessor ? "the process before this one is gone" : "the process that followed is gone");
        peer.close();
        if (!peer.predecessor && peer.serving) {
            bindSocket(); // it had taken the name, and the next one must find this process
        }
        listener.peersChanged();
    }

    /** Other processes of this scheduler. */
    public int peerCount() {
        return peers.size();
    }

    /** A later process serves. */
    public boolean hasServingSuccessor() {
        return peers.stream().anyMatch(w -> !w.predecessor && w.serving);
    }

    /** Passes a call-back that is not known here to the neighbours; null or the wire that it came from is left out. */
    public void forwardCallback(byte[] callback, PeerConnection source, Consumer<Boolean> verdict) {
        List<PeerConnection> recipients = peers.stream().filter(peer -> peer != source).toList();
        if (recipients.isEmpty()) {
            verdict.accept(false);
            return;
        }
        VerdictCollector collector = new VerdictCollector(recipients.size(), verdict);
        for (PeerConnection peer : recipients) {
            int number = peer.forwardCallback(callback, collector::add);
            loop.schedule(VERDICT_TIMEOUT_US, () -> peer.completeVerdict(number, false));
        }
    }

    /** Waits for all verdicts, or for the first that says yes. */
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

    /** Ends all wires; the name is left for whoever has it. */
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
            Log.line("closing " + channel + ": " + e.getMessage());
        }
    }
}
