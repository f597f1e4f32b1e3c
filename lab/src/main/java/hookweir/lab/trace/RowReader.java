package hookweir.lab.trace;

import java.io.IOException;

/** Reads the rows of one published format; all files of a trace go through one. */
interface RowReader {
    /** The form's name. */
    String name();

    /** The first row of each file names the columns. */
    default boolean hasHeader() {
        return false;
    }

    /** A row of so many columns is none of this format. */
    boolean hasTooFewColumns(int columns);

    /** The columns of a file, where it has a header. */
    default void checkHeader(RowFields names) throws IOException {
        throw new IllegalStateException(name() + " has no header");
    }

    /** A data row of enough columns: counts itself as used, ignored or skipped in the tally, except where it waits for another row. */
    void readRow(RowFields f, RowStatistics tally, TraceJob.Sink to) throws IOException, RowFields.UnusableRowException;

    /** No more rows: whatever waits is accounted for. */
    default void finish(RowStatistics tally) {
        // most wait for nothing
    }
}
