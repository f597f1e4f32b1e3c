package hookweir.lab.trace;

import java.io.IOException;

/** A trace that can't be read at all, or not to its end; the message names the file and the reason. */
final class InvalidTraceException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidTraceException(String message) {
        super(message);
    }
}
