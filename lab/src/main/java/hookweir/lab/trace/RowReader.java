package hookweir.lab.trace;

import java.io.IOException;

/** Reads the rows of one published format. A single instance reads all files of a trace. */
interface RowReader {
    /** The name of the format. */
    String name();

    /** Whether the first row of each file names the columns. */
    default boolean hasHeader() {
        return false;
    }

    /** Whether a row with this number of columns is too short for the format. */
    boolean hasTooFewColumns(int columns);

    /** Checks the header row of a file, if the format has one. */
    default void checkHeader(RowFields header) throws IOException {
        throw new IllegalStateException(name() + " has no header");
    }

    /** Reads a data row with enough columns, and counts it as used, ignored or skipped unless it has to wait for a later row. */
    void readRow(RowFields fields, RowStatistics statistics, TraceJob.Sink sink) throws IOException, RowFields.UnusableRowException;

    /** Called after the last row: counts the rows that still wait for another one. */
    default void finish(RowStatistics statistics) {
        // most formats have no waiting rows
    }
}
