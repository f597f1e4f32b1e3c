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
 * name both know. Owns that name and the {@link Wire}s to the neighbours; all state belongs to the loop. Chains of more
 * than two are passed along from wire to wire, never back the way they came, so no call goes round.
 */
public final class Succession {
    /** Told on the loop. */
    public interface Listener {
        /** A neighbour came, serves or went. */
        void neighboursChanged();

        /** A neighbour got a call-back that is not its own; the verdict says whether it was known here. */
        void passed(byte[] callback, Wire from, Consumer<Boolean> verdict);
    }

    /** A neighbour that says nothing holds up a call-back's answer for so long. */
    private static final long PATIENCE_US = 1_000_000;

    private final Loop loop;
    private final Invariants invariants;
    private final Listener listener;
    private final Path name;
    private final List<Wire> wires = new ArrayList<>();
    private ServerSocketChannel door;

    /** Meets others under this name; null where there can be none. */
    public Succession(Loop loop, Invariants invariants, Path name, Listener listener) {
        this.loop = loop;
        this.invariants = invariants;
        this.name = name;
        this.listener = listener;
    }

    /** Looks for a process that serves already; true if there is one. A name that nobody answers to is left over. */
    public boolean follow() {
        if (name == null || !Files.exists(name)) {
            return false;
        }
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open(StandardProtocolFamily.UNIX);
            channel.connect(UnixDomainSocketAddress.of(name));
        } catch (IOException e) {
            Log.line("nobody serves behind " + name + ": " + e.getMessage());
            quietly(channel);
            return false;
        }
        add(channel, true);
        return true;
    }

    /** This process serves from now on: the one before it is told, the next one will find this one by the name. */
    public void serves() {
        for (Wire w : wires) {
            w.send(Wire.SERVES, 0, new byte[0]);
        }
        takeName();
    }

    private void takeName() {
        if (name == null) {
            return;
        }
        quietly(door);
        try {
            Files.deleteIfExists(name);
            ServerSocketChannel mine = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            mine.bind(UnixDomainSocketAddress.of(name));
            door = mine;
            Thread t = new Thread(() -> admit(mine), "successors");
            t.setDaemon(true);
            t.start();
        } catch (IOException e) {
            // An upgrade then costs the jobs whose call-backs come to the wrong process, but serving goes on.
            Log.line("no successor can find this process by " + name + ": " + e.getMessage());
        }
    }

    /** On a thread of its own, as Grizzly's transport knows Internet addresses only. */
    private void admit(ServerSocketChannel mine) {
        try {
            while (true) {
                SocketChannel channel = mine.accept();
                loop.post(() -> add(channel, false));
            }
        } catch (IOException e) {
            invariants.count("upgrade name given up");
        }
    }

    private void add(SocketChannel channel, boolean predecessor) {
        wires.add(new Wire(channel, predecessor, loop, this::heard, this::down));
        Log.line(predecessor ? "another process serves here, this one follows it" : "another process came to follow this one");
        listener.neighboursChanged();
    }

    private void heard(Wire from, int kind, int number, byte[] bytes) {
        switch (kind) {
            case Wire.SERVES -> {
                from.serves = true;
                Log.line("the process that follows serves");
                listener.neighboursChanged();
            }
            case Wire.CALLED -> listener.passed(bytes, from, known -> from.send(Wire.VERDICT, number, new byte[] {(byte) (known ? 1 : 0)}));
            case Wire.VERDICT -> from.verdict(number, bytes.length == 1 && bytes[0] == 1);
            default -> invariants.count("upgrade message of unknown kind");
        }
    }

    private void down(Wire w) {
        if (!wires.remove(w)) {
            return;
        }
        Log.line(w.predecessor ? "the process before this one is gone" : "the process that followed is gone");
        w.close();
        if (!w.predecessor && w.serves) {
            takeName(); // it had taken the name, and the next one must find this process
        }
        listener.neighboursChanged();
    }

    /** Other processes of this scheduler. */
    public int neighbours() {
        return wires.size();
    }

    /** A later process serves. */
    public boolean succeeded() {
        return wires.stream().anyMatch(w -> !w.predecessor && w.serves);
    }

    /** Passes a call-back that is not known here to the neighbours; null or the wire that it came from is left out. */
    public void pass(byte[] callback, Wire cameFrom, Consumer<Boolean> verdict) {
        List<Wire> to = wires.stream().filter(w -> w != cameFrom).toList();
        if (to.isEmpty()) {
            verdict.accept(false);
            return;
        }
        Tally tally = new Tally(to.size(), verdict);
        for (Wire w : to) {
            int number = w.ask(callback, tally::one);
            loop.schedule(PATIENCE_US, () -> w.verdict(number, false));
        }
    }

    /** Waits for all verdicts, or for the first that says yes. */
    private static final class Tally {
        private int left;
        private Consumer<Boolean> verdict;

        Tally(int left, Consumer<Boolean> verdict) {
            this.left = left;
            this.verdict = verdict;
        }

        void one(boolean known) {
            left--;
            if (verdict != null && (known || left == 0)) {
                Consumer<Boolean> told = verdict;
                verdict = null;
                told.accept(known);
            }
        }
    }

    /** Ends all wires; the name is left for whoever has it. */
    public void end() {
        quietly(door);
        new ArrayList<>(wires).forEach(Wire::close);
    }

    private static void quietly(java.nio.channels.Channel c) {
        try {
            if (c != null) {
                c.close();
            }
        } catch (IOException e) {
            Log.line("closing " + c + ": " + e.getMessage());
        }
    }
}
