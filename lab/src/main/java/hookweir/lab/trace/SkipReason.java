package hookweir.lab.trace;

import java.util.Locale;

/** Why a row of a trace gives no job. */
enum SkipReason {
    /** Too few columns. */
    MISSING_COLUMN,
    /** A needed value is empty. */
    MISSING_VALUE,
    /** Not a number, where one must be. */
    BAD_NUMBER,
    /** Negative, or beyond what the format allows. */
    OUT_OF_RANGE,
    /** An event that the format does not know. */
    UNKNOWN_EVENT,
    /** The end of a run that never started. */
    NO_START,
    /** A run without an end. */
    NO_END,
    /** It began before the trace did. */
    BEFORE_TRACE,
    /** It happened after the trace ended. */
    AFTER_TRACE;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
