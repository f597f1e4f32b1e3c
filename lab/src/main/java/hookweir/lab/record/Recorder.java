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
 * Writes down what stand-ins and clients see, as a history on one clock. The clock is read under the lock under which an
 * event takes its place, so what one thread saw before another heard of it stands before it. A thread of its own writes.
 * Where the place is full, or the writer falls behind by more than {@link #MAX_PENDING_EVENTS} events, that is said once and the
 * history is not judged: a recording is whole or worth nothing.
 */
public final class Recorder implements EventSink, AutoCloseable {
    /** Events that wait to be written, at most. */
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

    /** Begins a history in that file; a place that can't be written to is an error at once. */
    public Recorder(Path file, RuleLimits terms) throws IOException {
        this(file, open(file), terms, MAX_PENDING_EVENTS);
    }

    Recorder(Path file, Writer to, RuleLimits terms, int mostBehind) throws IOException {
        this.file = file;
        this.maxPending = mostBehind;
        writer = new HistoryWriter(to, terms);
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
    public synchronized void accept(Event e) {
        if (failure != null || closing) {
            return;
        }
        if (pending.size() >= maxPending) {
            fail("fell behind by " + maxPending + " events");
            return;
        }
        pending.add(new Entry((System.nanoTime() - startNs) / 1_000_000, e));
        if (pending.size() == 1) {
            notifyAll();
        }
    }

    private synchronized void fail(String why) {
        if (failure == null) {
            failure = why;
            pending.clear();
            System.err.println("hookweir-lab: --record " + file + ": " + why + "; the run will not be judged");
        }
    }

    /** Why the history is not whole; null while it is. */
    public synchronized String failure() {
        return failure;
    }

    private synchronized List<Entry> nextBatch() throws InterruptedException {
        while (pending.isEmpty() && !closing) {
            wait(WAIT_MS);
        }
        List<Entry> taken = pending;
        pending = new ArrayList<>(taken.size());
        return taken;
    }

    private void write() {
        try {
            for (List<Entry> batch = nextBatch(); !batch.isEmpty(); batch = nextBatch()) {
                for (Entry e : batch) {
                    writer.write(e.atMs, e.event);
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

    /** Ends the history; what is seen from now on is not written. Once is enough. */
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
