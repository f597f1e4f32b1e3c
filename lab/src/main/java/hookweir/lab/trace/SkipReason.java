package hookweir.lab.trace;

import java.util.Locale;

/** Why a row of a trace yields no job. */
enum SkipReason {
    /** Too few columns. */
    MISSING_COLUMN,
    /** A required value is empty. */
    MISSING_VALUE,
    /** A value is not a number where one is required. */
    BAD_NUMBER,
    /** A value is negative or beyond the limits of the format. */
    OUT_OF_RANGE,
    /** An event type that the format does not define. */
    UNKNOWN_EVENT,
    /** The end of a run that never started. */
    NO_START,
    /** A run without an end. */
    NO_END,
    /** The run began before the trace. */
    BEFORE_TRACE,
    /** The event occurred after the end of the trace. */
    AFTER_TRACE;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
