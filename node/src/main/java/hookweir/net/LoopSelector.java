package hookweir.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/** Gives the {@link Loop} its turn before each wait for I/O, and waits no longer than the next timer allows. */
final class LoopSelector extends DefaultSelectorHandler {
    private static final long IDLE_PARK_NS = 1_000_000;
    private static final long US_PER_MS = 1000;

    private final Loop loop;
    private volatile Selector selector;

    LoopSelector(Loop loop) {
        this.loop = loop;
        loop.setWaker(this::wake);
    }

    private void wake() {
        Selector s = selector;
        if (s != null) {
            s.wakeup();
        }
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
        Selector s = runner.getSelector();
        // Known before the turn: what is posted from now on wakes the wait below.
        selector = s;
        long waitUs = loop.turn();
        if (!loop.isRunning()) {
            // Guards against a client that is read before the module has its list, or after the process chose to leave.
            LockSupport.parkNanos(IDLE_PARK_NS);
            return Set.of();
        }
        if (waitUs <= 0 || !runner.getPostponedTasks().isEmpty()) {
            s.selectNow();
        } else {
            s.select((waitUs + US_PER_MS - 1) / US_PER_MS);
        }
        return s.selectedKeys();
    }
}
