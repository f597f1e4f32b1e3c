package hookweir.lab.check;

import java.io.IOException;

/** Thrown for a history that can't be read, with file, line and reason. No part of such a history is checked. */
public final class InvalidHistoryException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidHistoryException(String source, long line, String reason) {
        super(source + ":" + line + ": " + reason);
    }
}
