package hookweir.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/** Runs a turn of the {@link Loop} before each wait for I/O, and waits at most until the next timer is due. */
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
        Selector current = selector;
        if (current != null) {
            current.wakeup();
        }
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
        Selector current = runner.getSelector();
        // Set before the turn, so that a task posted from now on ends the wait below.
        selector = current;
        long waitUs = loop.turn();
        if (!loop.isRunning()) {
            // No client may be read before the module has its worker list, or after the loop has stopped.
            LockSupport.parkNanos(IDLE_PARK_NS);
            return Set.of();
        }
        if (waitUs <= 0 || !runner.getPostponedTasks().isEmpty()) {
            current.selectNow();
        } else {
            current.select((waitUs + US_PER_MS - 1) / US_PER_MS);
        }
        return current.selectedKeys();
    }
}
