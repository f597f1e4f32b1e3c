package hookweir.lab.trace;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Sorts jobs by their start in bounded memory: runs of {@link #MAX_JOBS_IN_MEMORY} jobs are sorted, written to a temporary
 * directory and merged. Jobs with the same start come in an order that does not depend on the order of their rows.
 */
final class JobSorter implements TraceJob.Sink, AutoCloseable {
    /** The maximum number of jobs in memory, about 30 MB. */
    static final int MAX_JOBS_IN_MEMORY = 500_000;

    private final int maxJobsInMemory;
    private final List<TraceJob> buffer = new ArrayList<>();
    private final List<Path> runFiles = new ArrayList<>();
    private Path directory;
    private long count;

    JobSorter() {
        this(MAX_JOBS_IN_MEMORY);
    }

    JobSorter(int inMemory) {
        this.maxJobsInMemory = inMemory;
    }

    @Override
    public void accept(TraceJob job) throws IOException {
        buffer.add(job);
        count++;
        if (buffer.size() >= maxJobsInMemory) {
            spill();
        }
    }

    long count() {
        return count;
    }

    private void spill() throws IOException {
        if (directory == null) {
            directory = Files.createTempDirectory("hookweir-trace");
        }
        Collections.sort(buffer);
        Path run = directory.resolve("run" + runFiles.size());
        runFiles.add(run);
        try (DataOutputStream out = new DataOutputStream(new BufferedOutputStream(Files.newOutputStream(run)))) {
            for (TraceJob j : buffer) {
                out.writeLong(j.startUs());
                out.writeLong(j.durationUs());
                out.writeLong(j.key());
                out.writeInt(j.priority());
            }
        }
        buffer.clear();
    }

    /** Reads one sorted run, with its next job at hand. */
    private static final class RunReader implements Comparable<RunReader> {
        private final DataInputStream in;
        private TraceJob next;

        RunReader(Path file) throws IOException {
            in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 16));
            advance();
        }

        void advance() throws IOException {
            try {
                next = new TraceJob(in.readLong(), in.readLong(), in.readLong(), in.readInt());
            } catch (EOFException e) {
                next = null;
                in.close();
            }
        }

        @Override
        public int compareTo(RunReader o) {
            return next.compareTo(o.next);
        }
    }

    /** Passes all jobs to the sink in order. */
    void forEachSorted(TraceJob.Sink sink) throws IOException {
        if (runFiles.isEmpty()) {
            Collections.sort(buffer);
            for (TraceJob j : buffer) {
                sink.accept(j);
            }
            return;
        }
        spill();
        PriorityQueue<RunReader> heap = new PriorityQueue<>();
        for (Path p : runFiles) {
            RunReader run = new RunReader(p);
            if (run.next != null) {
                heap.add(run);
            }
        }
        while (!heap.isEmpty()) {
            RunReader run = heap.poll();
            sink.accept(run.next);
            run.advance();
            if (run.next != null) {
                heap.add(run);
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (Path p : runFiles) {
            Files.deleteIfExists(p);
        }
        if (directory != null) {
            Files.deleteIfExists(directory);
        }
    }
}
