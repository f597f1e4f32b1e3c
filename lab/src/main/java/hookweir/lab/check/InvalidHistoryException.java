package hookweir.lab.check;

import java.io.IOException;

/** A history that can't be read: file, line and reason. Nothing of such a history is judged. */
public final class InvalidHistoryException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidHistoryException(String source, long line, String reason) {
        super(source + ":" + line + ": " + reason);
    }
}
