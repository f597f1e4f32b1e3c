package hookweir.lab.trace;

import java.io.IOException;

/** Thrown for a trace that cannot be read, or not to its end; the message names the file and the reason. */
final class InvalidTraceException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidTraceException(String message) {
        super(message);
    }
}
