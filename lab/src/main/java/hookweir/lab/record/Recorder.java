package hookweir.lab.record;

import hookweir.lab.check.Event;
import hookweir.lab.check.RuleLimits;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Records what stubs and clients observe as a history with one clock. The clock is read under the lock that orders the
 * events, so an event that causes another one always precedes it. A separate thread writes the file. If the disk is full,
 * or the writer falls behind by more than {@link #MAX_PENDING_EVENTS} events, the failure is reported once and the history
 * is not checked: a recording with gaps proves nothing.
 */
public final class Recorder implements EventSink, AutoCloseable {
    /** Maximum number of events waiting to be written. */
    static final int MAX_PENDING_EVENTS = 1 << 18;

    private static final long WAIT_MS = 50;

    private record Entry(long atMs, Event event) {
    }

    private final Path file;
    private final HistoryWriter writer;
    private final Thread thread;
    private final int maxPending;
    private final long startNs = System.nanoTime();
    private List<Entry> pending = new ArrayList<>();
    private String failure;
    private boolean closing;

    /** Starts a history in the given file; fails immediately if the file can't be written. */
    public Recorder(Path file, RuleLimits limits) throws IOException {
        this(file, open(file), limits, MAX_PENDING_EVENTS);
    }

    Recorder(Path file, Writer out, RuleLimits limits, int maxPending) throws IOException {
        this.file = file;
        this.maxPending = maxPending;
        writer = new HistoryWriter(out, limits);
        thread = new Thread(this::write, "recorder");
        thread.setDaemon(true);
        thread.start();
    }

    private static Writer open(Path file) throws IOException {
        try {
            return Files.newBufferedWriter(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IOException("--record " + file + ": can't be written: " + e, e);
        }
    }

    @Override
    public synchronized void accept(Event event) {
        if (failure != null || closing) {
            return;
        }
        if (pending.size() >= maxPending) {
            fail("fell behind by " + maxPending + " events");
            return;
        }
        pending.add(new Entry((System.nanoTime() - startNs) / 1_000_000, event));
        if (pending.size() == 1) {
            notifyAll();
        }
    }

    private synchronized void fail(String reason) {
        if (failure == null) {
            failure = reason;
            pending.clear();
            System.err.println("hookweir-lab: --record " + file + ": " + reason + "; the run will not be checked");
        }
    }

    /** Returns why the history is incomplete; null while it is complete. */
    public synchronized String failure() {
        return failure;
    }

    private synchronized List<Entry> nextBatch() throws InterruptedException {
        while (pending.isEmpty() && !closing) {
            wait(WAIT_MS);
        }
        List<Entry> batch = pending;
        pending = new ArrayList<>(batch.size());
        return batch;
    }

    private void write() {
        try {
            for (List<Entry> batch = nextBatch(); !batch.isEmpty(); batch = nextBatch()) {
                for (Entry entry : batch) {
                    writer.write(entry.atMs, entry.event);
                }
                writer.flush();
            }
        } catch (IOException e) {
            fail(e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        finish();
    }

    /** Ends the history; later events are not written. Further calls have no effect. */
    public void finish() throws IOException {
        synchronized (this) {
            if (closing) {
                return;
            }
        }
        accept(Event.of(Event.Type.CLOSE, "", "", ""));
        synchronized (this) {
            closing = true;
            notifyAll();
        }
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            writer.close();
        } catch (IOException e) {
            fail(e.toString());
        }
    }
}
